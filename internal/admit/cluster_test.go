package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// cluster is a number of instances. Each has its own view of which other instances there are, and
// each asks the others to admit its requests.
type cluster struct {
	random      *rand.Rand
	rosters     []*roster.Roster
	controllers []*admit.Controller
	// isolated holds the instances that reach no other instance, dead those that have failed.
	// Instances of the domain cutOff reach only instances of their own domain.
	isolated map[int]bool
	cutOff   string
	dead     map[int]bool
}

const clusterDomains = 4

func (c *cluster) name(i int) string   { return fmt.Sprintf("i%03d", i) }
func (c *cluster) domain(i int) string { return fmt.Sprintf("d%d", i%clusterDomains) }

func newCluster(seed uint64, size int, servers []rules.Server) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), isolated: map[int]bool{}, dead: map[int]bool{}}
	for i := range size {
		r := roster.New(c.name(i), c.domain(i))
		for j := range size {
			r.Put(c.name(j), roster.Entry{Address: c.name(j), Domain: c.domain(j), Incarnation: 1, Share: 1}, start)
		}
		ctl := admit.New(rand.New(rand.NewPCG(seed, uint64(i))), admit.Options{})
		ctl.SetServers(start, servers)
		c.rosters, c.controllers = append(c.rosters, r), append(c.controllers, ctl)
	}
	return c
}

// reaches reports whether a message from instance i arrives at instance j.
func (c *cluster) reaches(i, j int) bool {
	split := c.cutOff != "" && (c.domain(i) == c.cutOff) != (c.domain(j) == c.cutOff)
	return i == j || !c.dead[j] && !c.isolated[i] && !c.isolated[j] && !split
}

// sendHeartbeats sends a heartbeat from each instance to all others.
func (c *cluster) sendHeartbeats(now time.Time) {
	for i := range c.rosters {
		for j := range c.rosters {
			if !c.dead[i] && c.reaches(i, j) {
				c.rosters[j].RecordHeartbeat(roster.Heartbeat{Name: c.name(i), Incarnation: 1, StoreOK: true}, now)
			}
		}
	}
}

// request asks the instances that are responsible for a server in turn, as instance i does, and
// returns the index of the one that admitted the request, -1 if none did.
func (c *cluster) request(i int, req admit.Request, now time.Time) int {
	controller := i
	for n, p := range c.rosters[i].Rank(req.Server, "d0", now) {
		var j int
		_, _ = fmt.Sscanf(p.Name, "i%03d", &j)
		if n == 2 {
			req.NonExclusive = true
			break
		}
		if j == i {
			break
		}
		if c.reaches(i, j) {
			controller = j
			break
		}
		c.rosters[i].Suspect(p.Name, now)
	}
	req.NonExclusive = req.NonExclusive || !c.rosters[controller].MajorityAlive(now)
	req.Standby = c.rosters[controller].Rank(req.Server, "d0", now)[0].Name != c.name(controller)
	if _, admitted := c.controllers[controller].Decide(now, req).(admit.Admitted); !admitted {
		c.controllers[controller].Cancel(now, req.ID)
		return -1
	}
	return controller
}

// floodCluster sends requests for a server for seven seconds through instances that disagree on which of them is its
// controller: some are isolated, a domain is cut off, and others are killed. It returns when requests were sent.
func floodCluster(seed uint64, s rules.Server) []time.Time {
	const size = 200
	c := newCluster(seed, size, []rules.Server{s})
	faults := map[int]func(){
		1500: func() {
			for range 35 {
				c.isolated[c.random.IntN(size)] = true
			}
		},
		2000: func() { c.cutOff = c.domain(c.random.IntN(size)) },
		2600: func() {
			for range 40 {
				c.dead[c.random.IntN(size)] = true
			}
		},
		4000: func() { clear(c.isolated) },
		5000: func() { c.cutOff = "" },
	}
	var sent []time.Time
	for ms := 0; ms < 7000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if inject := faults[ms]; inject != nil {
			inject()
		}
		if ms%500 == 0 {
			c.sendHeartbeats(now)
		}
		i := c.random.IntN(size)
		if c.dead[i] {
			continue
		}
		req := newRequest(uint64(ms), now)
		req.From, req.Server = c.name(i), s.ID
		behindCut := c.cutOff != "" && (c.domain(i) == c.cutOff) != (s.Domain == c.cutOff)
		if behindCut {
			continue // no request from there reaches the server
		}
		if controller := c.request(i, req, now); controller >= 0 {
			sent = append(sent, now)
			c.controllers[controller].Complete(now, admit.Completion{ID: req.ID, Server: s.ID, Route: "read", Took: 20 * time.Millisecond})
		}
	}
	return sent
}

// Guards against too many requests to a cold server when instances disagree on which of them is its
// controller.
func TestColdServerWithManyControllers(t *testing.T) {
	cold := rules.Server{ID: "s", Service: "books", Domain: "d0", Slots: 2, ColdRate: coldRate, WarmAt: start.Add(time.Hour)}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sent := floodCluster(seed, cold)
			t.Logf("%d sent, %d in a second", len(sent), maxInASecond(sent))
			is.True(float64(maxInASecond(sent)) <= coldRate*coldRateFactor+coldBurst)
			is.True(len(sent) > 20) // the server still gets requests
		})
	}
}

// Guards against too many requests to a server that has stated a limit when instances disagree on which of them is its
// controller.
func TestLimitedServerWithManyControllers(t *testing.T) {
	for _, rate := range []float64{0.25, 1.7, 7, 40} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(rate, seed), func(t *testing.T) {
				is := is.New(t)
				sent := floodCluster(seed, rules.Server{ID: "s", Service: "books", Domain: "d0", Slots: 2, RateLimit: rate})
				t.Logf("%d sent, %d in %v", len(sent), maxInSpan(sent, limitWindow), limitWindow)
				is.True(float64(maxInSpan(sent, limitWindow)) <= maxLimited(rate))
				is.True(float64(len(sent)) > rate)
			})
		}
	}
}

// Guards against instances that do not know each other and all send their requests to the same server, which turns most of
// them away while others are idle.
func TestUnregisteredInstancesSpreadOverServers(t *testing.T) {
	is := is.New(t)
	const instances, servers, slots, queue = 75, 25, 3, 12
	var all []rules.Server
	for i := range servers {
		all = append(all, rules.Server{ID: fmt.Sprintf("s%02d", i), Service: "books", Domain: "d0", Slots: slots})
	}
	atServer := map[string]int{}
	for i := range instances {
		ctl := admit.New(rand.New(rand.NewPCG(7, uint64(i))), admit.Options{})
		ctl.SetServers(start, all)
		for serial := range uint64(2) {
			d := ctl.Decide(start, admit.Request{
				ID: admit.ID{Serial: serial + 1}, Service: "books", Pool: "books", Domain: "d0", Route: "r", NonExclusive: true,
				TargetAt: start.Add(time.Second), Deadline: start.Add(3 * time.Second),
			})
			admitted, ok := d.(admit.Admitted)
			is.True(ok)
			atServer[admitted.Server]++
		}
	}
	most := 0
	for _, n := range atServer {
		most = max(most, n)
	}
	t.Logf("%d requests at %d of %d servers, at most %d at one", 2*instances, len(atServer), servers, most)
	is.True(most <= slots+queue)
	is.True(len(atServer) == servers)
}
