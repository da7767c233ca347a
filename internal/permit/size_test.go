package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
)

var sizeStart = time.Unix(1000, 0)

// busyKeeper returns a keeper whose servers are all busy, with requests that wait, and the permits in use.
func busyKeeper(servers, waits int) (*Controller, []Admitted) {
	k := New(rand.New(rand.NewPCG(1, 2)))
	var all []rules.Server
	for i := range servers {
		all = append(all, rules.Server{ID: fmt.Sprintf("s%04d", i), Service: "books", Domain: fmt.Sprintf("d%d", i%6), Slots: 2})
	}
	k.SetServers(sizeStart, all)
	k.route("read", time.Second) // the work of a route is guessed from its first target
	var granted []Admitted
	for i := range (2+waitThere)*servers + waits {
		if g, there := k.Decide(sizeStart, sizeAsk(uint64(i), sizeStart)).(Admitted); there {
			granted = append(granted, g)
		}
	}
	return k, granted
}

func sizeAsk(serial uint64, now time.Time) Request {
	return Request{
		ID: ID{From: fmt.Sprintf("i%d", serial%295), Serial: serial}, Service: "books", Domain: fmt.Sprintf("d%d", serial%6),
		Route: "read", TargetAt: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
	}
}

// turn gives the oldest permit back and lets one more request come.
func turn(k *Controller, granted []Admitted, serial uint64, now time.Time) []Admitted {
	g := granted[0]
	granted = granted[1:]
	for _, v := range k.Complete(now, Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 200 * time.Millisecond, Load: Load{Running: 1, Known: true}}) {
		if g, there := v.(Admitted); there {
			granted = append(granted, g)
		}
	}
	if g, there := k.Decide(now, sizeAsk(serial, now)).(Admitted); there {
		granted = append(granted, g)
	}
	return granted
}

// One instance gives the permits of a service. Each message made it look at every server, and, while
// requests waited, at every server for each of them: with 237 waiting at 279 servers it needed more than a
// second for what came in one. What a message costs must depend on neither.
func TestWorkDoesNotGrow(t *testing.T) {
	const (
		turns = 200
		// looksMost is what a permit that comes back and a request that comes may look at: the servers that
		// the asker was sent to of late, one of each domain, and the timers of a few requests.
		looksMost = recentMost + 6 + 8
	)
	for _, servers := range []int{10, 100, 1000} {
		for _, waits := range []int{0, 100, 1000} {
			t.Run(fmt.Sprintf("%d servers, %d wait", servers, waits), func(t *testing.T) {
				is := is.New(t)
				k, granted := busyKeeper(servers, waits)
				is.Equal(len(k.queued), waits)
				k.looked = 0
				now := sizeStart
				for i := range turns {
					now = now.Add(time.Millisecond)
					granted = turn(k, granted, uint64(1e6+i), now)
					k.LongRunning(now)
				}
				is.Equal(len(k.queued), waits)
				t.Logf("%.1f looks a turn", float64(k.looked)/turns)
				is.True(k.looked <= looksMost*turns)
			})
		}
	}
}

// Most of the timers of a busy keeper are of permits that are back long since. They must not pile up.
func TestTimersAreForgotten(t *testing.T) {
	is := is.New(t)
	k, granted := busyKeeper(10, 0)
	now := sizeStart
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		a := sizeAsk(uint64(1e6+i), now)
		a.TargetAt, a.Deadline = now.Add(time.Second), now.Add(2*time.Second)
		for _, v := range k.Complete(now, Completion{ID: granted[0].ID, Server: granted[0].Server, Route: "read", Took: 200 * time.Millisecond}) {
			granted = append(granted, v.(Admitted))
		}
		granted = granted[1:]
		if g, there := k.Decide(now, a).(Admitted); there {
			granted = append(granted, g)
		}
		k.LongRunning(now)
	}
	is.True(len(k.timers.entries) < 1000)
	is.True(len(k.doubts.entries) < 1000)
	is.True(len(k.returns.entries) < 1000)
}

// A permit that comes back and a request that comes, on a busy machine: 3.4 us at 10 servers, 66 us at 279
// and 1.2 ms with 237 requests waiting when each looked at every server.
func BenchmarkTurn(b *testing.B) {
	for name, size := range map[string]struct{ servers, waits int }{
		"10 servers": {10, 0}, "279 servers": {279, 0}, "279 servers, 237 wait": {279, 237}, "1000 servers, 1000 wait": {1000, 1000},
	} {
		b.Run(name, func(b *testing.B) {
			k, granted := busyKeeper(size.servers, size.waits)
			now := sizeStart
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				granted = turn(k, granted, uint64(1e6+i), now)
			}
		})
	}
}
