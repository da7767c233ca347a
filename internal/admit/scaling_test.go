package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
)

var scalingStart = time.Unix(1000, 0)

// busyController returns a controller whose servers are all busy, with requests that wait, and the
// current admissions.
func busyController(servers, waiting int) (*Controller, []Admitted) {
	c := New(rand.New(rand.NewPCG(1, 2)), Options{})
	var all []rules.Server
	for i := range servers {
		all = append(all, rules.Server{ID: fmt.Sprintf("s%04d", i), Service: "books", Domain: fmt.Sprintf("d%d", i%6), Slots: 2})
	}
	c.SetServers(scalingStart, all)
	c.route("read", time.Second) // the first target determines the assumed service time
	var admitted []Admitted
	for i := range (2+maxWaitingAtServer)*servers + waiting {
		if g, ok := c.Decide(scalingStart, scalingRequest(uint64(i), scalingStart)).(Admitted); ok {
			admitted = append(admitted, g)
		}
	}
	return c, admitted
}

// scalingRequest returns a request with hours to its target and deadline.
func scalingRequest(serial uint64, now time.Time) Request {
	return Request{
		ID: ID{From: fmt.Sprintf("i%d", serial%295), Serial: serial}, Service: "books", Domain: fmt.Sprintf("d%d", serial%6),
		Route: "read", TargetAt: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
	}
}

// completeAndDecide completes the oldest admission and asks for one more.
func completeAndDecide(c *Controller, admitted []Admitted, serial uint64, now time.Time) []Admitted {
	g := admitted[0]
	admitted = admitted[1:]
	for _, d := range c.Complete(now, Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 200 * time.Millisecond, Load: Load{Running: 1, Known: true}}) {
		if g, ok := d.(Admitted); ok {
			admitted = append(admitted, g)
		}
	}
	if g, ok := c.Decide(now, scalingRequest(serial, now)).(Admitted); ok {
		admitted = append(admitted, g)
	}
	return admitted
}

// Guards against a cost per message that grows with the number of servers or of waiting requests.
// Each message made the controller look at every server, and at every server again for each waiting
// request: with 237 requests waiting at 279 servers, it needed more than a second for the messages
// of one second.
func TestCostDoesNotGrowWithSize(t *testing.T) {
	const (
		rounds = 200
		// maxInspected is how many things a completion and a new request may look at: the recent
		// servers of the instance, one server of each domain, and the timers of a few requests.
		maxInspected = maxRecentServers + 6 + 8
	)
	for _, servers := range []int{10, 100, 1000} {
		for _, waiting := range []int{0, 100, 1000} {
			t.Run(fmt.Sprintf("%d servers, %d wait", servers, waiting), func(t *testing.T) {
				is := is.New(t)
				c, admitted := busyController(servers, waiting)
				is.Equal(len(c.queued), waiting)
				c.inspected = 0
				now := scalingStart
				for i := range rounds {
					now = now.Add(time.Millisecond)
					admitted = completeAndDecide(c, admitted, uint64(1e6+i), now)
					c.LongRunning(now)
				}
				is.Equal(len(c.queued), waiting)
				t.Logf("%.1f inspected per round", float64(c.inspected)/rounds)
				is.True(c.inspected <= maxInspected*rounds)
			})
		}
	}
}

// Most timers of a busy controller belong to admissions that have ended. They must not pile up.
func TestTimersOfEndedAdmissionsAreDropped(t *testing.T) {
	is := is.New(t)
	c, admitted := busyController(10, 0)
	now := scalingStart
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		a := scalingRequest(uint64(1e6+i), now)
		a.TargetAt, a.Deadline = now.Add(time.Second), now.Add(2*time.Second)
		for _, d := range c.Complete(now, Completion{ID: admitted[0].ID, Server: admitted[0].Server, Route: "read", Took: 200 * time.Millisecond}) {
			admitted = append(admitted, d.(Admitted))
		}
		admitted = admitted[1:]
		if g, ok := c.Decide(now, a).(Admitted); ok {
			admitted = append(admitted, g)
		}
		c.LongRunning(now)
	}
	is.True(len(c.timers.entries) < 1000)
	is.True(len(c.checks.entries) < 1000)
	is.True(len(c.expectedReleases.entries) < 1000)
}

// BenchmarkCompleteAndDecide measures a completion and a new request. On a busy machine, they took
// 3.4 us at 10 servers, 66 us at 279 servers, and 1.2 ms with 237 requests waiting, when each
// looked at every server.
func BenchmarkCompleteAndDecide(b *testing.B) {
	for name, size := range map[string]struct{ servers, waiting int }{
		"10 servers": {10, 0}, "279 servers": {279, 0}, "279 servers, 237 wait": {279, 237}, "1000 servers, 1000 wait": {1000, 1000},
	} {
		b.Run(name, func(b *testing.B) {
			c, admitted := busyController(size.servers, size.waiting)
			now := scalingStart
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				admitted = completeAndDecide(c, admitted, uint64(1e6+i), now)
			}
		})
	}
}

// Guards against costs of a decision that no request needs: each change of a server moved it within the sorted list of open
// servers, which requests for the owners of keys do not use, and each timer took memory of its own.
func TestDecisionsForOwnersAreCheap(t *testing.T) {
	const (
		servers = 279
		// maxAllocations is for the request while it is decided on, its timers, the decision, its shares and its origin.
		maxAllocations = 10
	)
	is := is.New(t)
	c := New(rand.New(rand.NewPCG(1, 2)), Options{FairShares: true, KeptReturns: true})
	var all []rules.Server
	for i := range servers {
		all = append(all, rules.Server{ID: fmt.Sprintf("s%04d", i), Service: "books", Domain: "d0", Slots: 4})
	}
	c.SetServers(scalingStart, all)
	c.updateLists()
	lists := slices.Clone(c.openByDomain[0].listings)
	now, serial := scalingStart, uint64(0)
	allocations := testing.AllocsPerRun(2000, func() {
		serial++
		now = now.Add(time.Millisecond)
		req := scalingRequest(serial, now)
		req.Server, req.Caller, req.Origin = all[serial%servers].ID, uint32(serial), serial
		g := c.Decide(now, req).(Admitted)
		c.Complete(now, Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 200 * time.Millisecond})
	})
	t.Logf("%v allocations", allocations)
	is.True(allocations <= maxAllocations)
	is.True(slices.Equal(c.openByDomain[0].listings, lists)) // nothing has moved
	is.Equal(len(c.unentered), servers)                      // each server waits once for its place
	first := c.openLists()[0].listings
	is.True(slices.IsSortedFunc(first, listing.compare) && len(first) == servers)
	c.RemoveServer(now, all[0].ID)
	is.Equal(len(c.unentered), 0) // no removed server is kept
}
