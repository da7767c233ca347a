package homes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// world runs one core for each domain over one log in virtual time. Each domain does the
// worst that it may: it serves what it is allowed at once, and keeps serving what it lost
// for the length of a lease, but no longer than IsolationTimeout after its last read of the
// log.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     Time
	state   *fold.State
	offset  uint64
	domains []*simDomain
}

// simDomain is the state of one domain in a world.
type simDomain struct {
	name        string
	core        *Core
	logDown     bool
	unreachable bool
	readAt      Time
	// serves holds the ranges that the servers may act on, and expiring until when they serve
	// ranges that are no longer allowed.
	serves   []keys.Range
	expiring map[keys.Range]Time
	queue    []Append
	// fence is the highest value of the homes fence that the voters of the domain have
	// stored.
	fence uint64
	// newLeader says that the leader was replaced and the new one has not reported what it
	// holds.
	newLeader bool
}

const (
	worldService = "stockbook"
	worldLease   = Time(time.Second)
	worldStep    = Time(100 * time.Millisecond)
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), state: fold.New(nil)}
	for _, name := range []string{"badulla-hall", "bandarawela-hall", "welimada-hall"} {
		w.domains = append(w.domains, &simDomain{name: name, core: New(DefaultConfig(name)), expiring: make(map[keys.Range]Time)})
	}
	return w
}

// setShares puts a bundle in force that gives the domains these shares of the hash space.
func (w *world) setShares(version uint64, shares ...int) {
	b := &bundle.Bundle{Version: version}
	s := bundle.Service{Name: worldService, Divided: true, Isolation: bundle.IsolationMove}
	for i, d := range w.domains {
		b.Domains = append(b.Domains, bundle.Domain{Name: d.name})
		s.Homes = append(s.Homes, bundle.Home{Domain: d.name, Share: shares[i]})
		s.Servers = append(s.Servers, bundle.Server{Name: d.name + "-1", Domain: d.name, ChecksGrants: true})
	}
	b.Services = []bundle.Service{s}
	w.state.InForce = b
}

func (w *world) step() {
	w.now += worldStep
	for _, d := range w.domains {
		w.stepDomain(d)
	}
	w.checkDisjoint()
}

// stepDomain lets a domain read, decide and append. Each event takes effect on the allowed
// ranges before readAt, which extends the leases, is updated.
func (w *world) stepDomain(d *simDomain) {
	reachable := ReachableDomains{}
	for _, o := range w.domains {
		if o != d && !o.unreachable && !d.unreachable {
			reachable.Names = append(reachable.Names, o.name)
		}
	}
	w.applyEffects(d, d.core.Handle(w.now, reachable))
	if !d.logDown || !d.unreachable {
		w.applyEffects(d, d.core.Handle(w.now, BundleInForce{Bundle: w.state.InForce}))
	}
	if !d.logDown {
		view := w.state.Snapshot()
		w.applyEffects(d, d.core.Handle(w.now, LogRead{State: view}))
		d.readAt = w.now
	}
	w.reportLeaderState(d)
	w.writeQueue(d)
}

// reportLeaderState passes the state of the domain's leader and its voters to the core.
func (w *world) reportLeaderState(d *simDomain) {
	w.applyEffects(d, d.core.Handle(w.now, LeaderState{
		Settled:       true,
		Ranges:        map[string][]keys.Range{worldService: w.served(d)},
		Fence:         d.fence,
		MajorityFence: d.fence,
	}))
	if d.newLeader {
		d.newLeader = false
		w.applyEffects(d, []Effect{Allow{Ranges: d.core.allowed}})
	}
}

// served returns the ranges that servers of a domain may act on now.
func (w *world) served(d *simDomain) []keys.Range {
	all := d.serves
	if w.now > d.readAt+Time(d.core.config.IsolationTimeout) {
		all = nil
	}
	for r, until := range d.expiring {
		if w.now <= until {
			all = keys.Union(all, []keys.Range{r})
		}
	}
	return keys.Union(all, nil)
}

func (w *world) applyEffects(d *simDomain, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Allow:
			if d.core.leaderState == nil {
				continue
			}
			next := e.Ranges[worldService]
			for _, r := range keys.Subtract(w.served(d), next) {
				d.expiring[r] = min(w.now+worldLease, d.readAt+Time(d.core.config.IsolationTimeout))
			}
			d.serves = next
		case DistributeFence:
			d.fence = max(d.fence, e.Fence)
		case Append:
			if !slices.ContainsFunc(d.queue, func(a Append) bool { return a.ID == e.ID }) {
				d.queue = append(d.queue, e)
			}
		}
	}
}

// writeQueue appends what a domain has queued to the log: late, out of order with other
// domains, and sometimes twice, as when an answer was lost.
func (w *world) writeQueue(d *simDomain) {
	for !d.logDown && len(d.queue) > 0 && w.random.IntN(15) == 0 {
		a := d.queue[0]
		if w.random.IntN(5) > 0 {
			d.queue = d.queue[1:]
		}
		data, err := record.Encode(a.Record)
		if err != nil {
			w.t.Fatal(err)
		}
		w.state.Apply(record.Entry{Offset: w.offset, ID: a.ID, Data: data})
		w.offset++
	}
}

// replaceLeader starts a new core for a domain. It knows what the old one last read; appends
// of the old one stay queued.
func (w *world) replaceLeader(d *simDomain) {
	old := d.core
	d.core = New(DefaultConfig(d.name))
	d.newLeader = true
	if old.bundle == nil || old.state == nil {
		return
	}
	w.applyEffects(d, d.core.Handle(w.now, BundleInForce{Bundle: old.bundle}))
	w.applyEffects(d, d.core.Handle(w.now, LogRead{State: old.state}))
}

func (w *world) checkDisjoint() {
	for i, a := range w.domains {
		for _, b := range w.domains[:i] {
			if both := keys.Intersect(w.served(a), w.served(b)); len(both) > 0 {
				w.t.Fatalf("at %v both %s and %s may serve %v", time.Duration(w.now), a.name, b.name, both)
			}
		}
	}
}

func (w *world) run(steps int) {
	for range steps {
		w.step()
	}
}

func (w *world) allServed() bool {
	var all []keys.Range
	for _, d := range w.domains {
		all = keys.Union(all, w.served(d))
	}
	return keys.Covers(all, []keys.Range{keys.Full})
}

// Bundles move homes between domains while domains lose the log, each other, or both, and
// recover. No range may be served by two domains at once, and none may stay without a domain
// after the faults have ended.
func TestNoRangeHasTwoHomes(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed)
			version := uint64(1)
			w.setShares(version, 6, 6, 6)
			w.run(50)
			for range 40 {
				d := w.domains[w.random.IntN(len(w.domains))]
				switch w.random.IntN(5) {
				case 4:
					w.replaceLeader(d)
				case 0:
					d.logDown = !d.logDown
				case 1:
					d.unreachable = !d.unreachable
				case 2:
					version++
					shares := [][]int{{6, 6, 6}, {3, 8, 7}}[w.random.IntN(2)]
					w.setShares(version, shares...)
				}
				w.run(1 + w.random.IntN(100))
			}
			for _, d := range w.domains {
				d.logDown, d.unreachable = false, false
			}
			w.run(1200)
			is := is.New(t)
			is.True(w.allServed())
		})
	}
}

// A domain is lost. Its ranges of a service that may move are served by another domain after
// notice, eviction and the wait for the leases of the lost domain. They move back when it
// returns.
func TestLostDomainIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.setShares(1, 6, 6, 6)
	w.run(100)
	is.True(w.allServed())
	lost := w.domains[0]
	before := lost.serves
	lost.logDown, lost.unreachable = true, true
	w.run(600)
	is.Equal(len(w.served(lost)), 0)
	is.True(w.allServed())
	lost.logDown, lost.unreachable = false, false
	w.run(300)
	is.Equal(lost.serves, before)
	is.True(w.allServed())
}

// A domain loses the other domains but not the log. Its servers work, and an eviction would
// make its keys unavailable for half a minute. It must object to each notice instead.
func TestDomainThatReadsTheLogIsNotEvicted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.setShares(1, 6, 6, 6)
	w.run(100)
	w.domains[0].unreachable = true
	before := w.domains[0].serves
	for range 3000 {
		w.step()
		is.Equal(w.domains[0].serves, before)
	}
}
