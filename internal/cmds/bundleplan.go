package cmds

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"example.org/mustardring/pkg/bundle"
)

// moveRoundTrips is the number of round trips for which a range has no owner in a planned move: the
// revocation and its acknowledgement, the grant, and the first request to the new owner.
const moveRoundTrips = 3

// BundlePlanCmd shows which share of the keys a version moves, before anything is published. With
// Settle it also writes a version with stated ranges that move fewer keys, and shows that one.
type BundlePlanCmd struct {
	Before    string        `arg:"" type:"path" help:"File of the version in force."`
	After     string        `arg:"" type:"path" help:"File of the planned version."`
	RoundTrip time.Duration `default:"3ms" help:"Round-trip time between instances and servers."`
	Lease     time.Duration `default:"3s" help:"Duration of the leases of servers."`
	Settle    string        `type:"path" help:"Write the planned version with stated ranges that move the fewest keys."`
	bundleOutput
}

// Run prints the plan.
func (c *BundlePlanCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundlePlanCmd) run(out io.Writer) error {
	before, after, err := readBundles(c.Before, c.After)
	if err != nil {
		return err
	}
	if c.Settle != "" {
		if err := c.settle(before, after); err != nil {
			return err
		}
	}
	p := plan{Before: before.Version, After: after.Version}
	for _, m := range bundle.CompareMoves(before, after) {
		p.Services = append(p.Services, servicePlan{
			Moves:       m,
			Total:       m.Total(),
			Least:       m.Least(),
			PlannedMove: millis(moveRoundTrips * c.RoundTrip),
			LostServer:  millis(c.Lease),
		})
	}
	return c.show(out, p)
}

// settle writes the planned version to the file that Settle names. For services whose default
// division between domains moves more keys than necessary, it first adds ranges that move the
// fewest.
func (c *BundlePlanCmd) settle(before, after *bundle.Bundle) error {
	for _, m := range bundle.CompareMoves(before, after) {
		if math.Abs(m.Between-m.LeastBetween) < minShareDifference {
			continue
		}
		if homes := after.SettleHomes(before, m.Service); homes != nil {
			after.Service(m.Service).Homes = homes
		}
	}
	return writeJSONFile(c.Settle, after)
}

// minShareDifference is a share of the hash space. Divisions that differ by less count as equal.
const minShareDifference = 1e-9

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// plan is the result of BundlePlanCmd.
type plan struct {
	Before   uint64        `json:"before"`
	After    uint64        `json:"after"`
	Services []servicePlan `json:"services"`
}

// servicePlan holds the moves of one service, as shares of the hash space.
type servicePlan struct {
	bundle.Moves
	Total float64 `json:"total"`
	Least float64 `json:"least"`
	// PlannedMove and LostServer are how long a key that moves has no owner, in milliseconds:
	// PlannedMove if its current server releases it, LostServer if that server does not answer.
	PlannedMove float64 `json:"planned-move-ms"`
	LostServer  float64 `json:"lost-server-ms"`
}

func (p plan) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "from version %d to %d\n", p.Before, p.After)
	for _, s := range p.Services {
		s.writeText(w)
	}
}

func (s servicePlan) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "service %q: %.2f%% of the keys move, the least possible is %.2f%%\n", s.Service, 100*s.Total, 100*s.Least)
	if s.Total == 0 {
		return
	}
	fmt.Fprintf(w, "  between servers of one domain: %.2f%%\n", 100*s.Within)
	for _, f := range s.Flows {
		fmt.Fprintf(w, "  from %s to %s: %.2f%%\n", f.From, f.To, 100*f.Share)
	}
	fmt.Fprintf(w, "  a key that moves is not served for about %.0f ms and the requests in flight\n", s.PlannedMove)
	if s.Lost > 0 {
		fmt.Fprintf(w, "  servers with %.2f%% of the keys are removed without leaving first: if they do not answer, %.0f ms\n", 100*s.Lost, s.LostServer)
	}
	if s.Total > s.Least+minShareDifference {
		fmt.Fprintf(w, "  plan --settle FILE writes the version with ranges that move the least\n")
	}
}
