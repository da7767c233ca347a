package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// office is a keeper on another instance, to which messages take some time.
type office struct {
	address netip.AddrPort
	asker   *asker
	there   time.Duration
	back    time.Duration

	mu     sync.Mutex
	keeper *permit.Controller
}

func newOffice(port uint16, there, back time.Duration, slots int) *office {
	o := &office{address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), there: there, back: back}
	o.keeper = permit.New(rand.New(rand.NewPCG(1, 2)))
	o.keeper.SetServers(time.Now(), []rules.Server{{ID: "s", Service: "books", Slots: slots}})
	return o
}

func (o *office) take(m gram.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	key := func(serial uint64) permit.ID { return permit.ID{From: "a", Serial: serial} }
	var verdicts []permit.Decision
	switch m := m.(type) {
	case gram.Ask:
		verdicts = []permit.Decision{o.keeper.Decide(now, permit.Request{
			ID: key(m.Serial), Service: "books", Server: m.Server, Route: "read",
			TargetAt: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		})}
	case gram.Withdraw:
		verdicts = o.keeper.Cancel(now, key(m.Serial))
	case gram.Done:
		verdicts = o.keeper.Complete(now, permit.Completion{ID: key(m.Serial), Server: "s", Route: "read", Took: 100 * time.Millisecond})
	}
	for _, v := range verdicts {
		time.AfterFunc(o.back, func() { o.asker.told(o.address, message(v)) })
	}
}

// network carries messages to offices.
func network(offices ...*office) func(to netip.AddrPort, m gram.Message) {
	return func(to netip.AddrPort, m gram.Message) {
		for _, o := range offices {
			if o.address == to {
				time.AfterFunc(o.there, func() { o.take(m) })
			}
		}
	}
}

// free reports whether a keeper has a slot for a request at once.
func (o *office) free(serial uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	a := permit.Request{
		ID: permit.ID{From: "probe", Serial: serial}, Service: "books", Server: "s", Route: "read",
		TargetAt: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		HasFallback: true, // not to wait at the server
	}
	_, granted := o.keeper.Decide(now, a).(permit.Admitted)
	o.keeper.Cancel(now, a.ID)
	return granted
}

// Requests for a key waited 1.2 seconds at a server that had nothing to do. The instance that
// asked was small and heard a keeper's word late; it asked the next keeper, took the late word of
// the first for that of the second, and gave the permit back there. The second keeper then granted
// what nobody waited for, and held the slot until the request's limit.
func TestLateWordOfAnotherKeeper(t *testing.T) {
	tests := map[string]struct{ there, back time.Duration }{
		"the asking is late":       {200 * time.Millisecond, time.Millisecond},
		"the word is late":         {time.Millisecond, 160 * time.Millisecond},
		"the word is later still":  {time.Millisecond, 400 * time.Millisecond},
		"both keepers are in time": {time.Millisecond, time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := newOffice(1, test.there, test.back, 1), newOffice(2, time.Millisecond, 30*time.Millisecond, 1)
				k := newAsker(network(first, second), func(string) {}, 0.16, 1000)
				first.asker, second.asker = k, k
				// The second keeper's server is busy for a moment, so that it says "wait" first.
				second.take(gram.Ask{Serial: 99, Server: "s"})
				time.AfterFunc(300*time.Millisecond, func() { second.take(gram.Done{Serial: 99}) })
				a := permit.Request{Service: "books", Server: "s", TargetAt: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second)}
				for _, o := range []*office{first, second} {
					v, heard := k.ask(t.Context(), a, roster.Peer{Name: "k", Entry: roster.Entry{Share: 1}}, o.address)
					if !heard {
						continue
					}
					is.Equal(v.Server, "s")
					time.Sleep(100 * time.Millisecond)
					k.send(o.address, gram.Done{Serial: v.Serial})
					k.close(v.Serial)
					break
				}
				time.Sleep(time.Second)
				is.True(first.free(1))
				is.True(second.free(2))
				is.Equal(len(k.askings), 0)
			})
		})
	}
}

// A caller leaves while its request waits, and the message that withdraws it overtakes the
// asking. The permit that follows goes back.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOffice(1, 50*time.Millisecond, time.Millisecond, 1)
		k := newAsker(network(o), func(string) {}, 1, 1000)
		o.asker = k
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer leave()
		_, heard := k.ask(ctx, permit.Request{Service: "books", Server: "s", Deadline: time.Now().Add(20 * time.Second)}, roster.Peer{}, o.address)
		is.True(!heard)
		o.take(gram.Withdraw{Serial: k.serial})
		time.Sleep(time.Second)
		is.True(o.free(1))
	})
}

// An instance on a thin link gave a permit back while its link was full, and the message and its
// repetition were lost. The server's slot stayed taken for two seconds, and those who waited for
// it were late or refused.
func TestGivingBackIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOffice(1, time.Millisecond, time.Millisecond, 1)
		k := newAsker(network(o), func(string) {}, 1, 10)
		o.asker = k
		a := permit.Request{Service: "books", Server: "s", TargetAt: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second)}
		v, heard := k.ask(t.Context(), a, roster.Peer{}, o.address)
		is.True(heard)
		o.mu.Lock()
		is.Equal(len(o.keeper.LongRunning(time.Now())), 0) // it has just been granted
		o.mu.Unlock()
		time.Sleep(9 * time.Second) // the fake route is taken for 3.3 seconds long until one is seen
		o.mu.Lock()
		doubtful := o.keeper.LongRunning(time.Now())
		is.Equal(len(o.keeper.LongRunning(time.Now())), 0) // not twice at once
		o.mu.Unlock()
		is.Equal(len(doubtful), 1)
		k.check(o.address, gram.Check{Serial: doubtful[0].Serial})
		time.Sleep(time.Second)
		is.True(!o.free(1)) // it is in use
		k.close(v.Serial)
		k.check(o.address, gram.Check{Serial: doubtful[0].Serial})
		time.Sleep(time.Second)
		is.True(o.free(2))
	})
}
