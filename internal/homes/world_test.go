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

// world runs one core for each domain over one log in virtual time. What a domain serves is
// modelled at its extremes: it grants what it is allowed at once, and goes on serving what
// it lost for a lease, or, for a service that may move, until the bound after its last read.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     Time
	state   *fold.State
	offset  uint64
	domains []*domainWorld
}

type domainWorld struct {
	name   string
	core   *Core
	cutLog bool
	silent bool
	readAt Time
	// serves has what the servers may act on; lost has when ranges that are no longer allowed
	// stop being served.
	serves []keys.Range
	lost   map[keys.Range]Time
	queue  []Append
	// fence is what the voters of the domain remember.
	fence uint64
	// fresh says that the leader was replaced and has not told what it holds yet.
	fresh bool
}

const (
	worldService = "stockbook"
	worldLease   = Time(time.Second)
	worldStep    = Time(100 * time.Millisecond)
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), state: fold.New(nil)}
	for _, name := range []string{"badulla-hall", "bandarawela-hall", "welimada-hall"} {
		w.domains = append(w.domains, &domainWorld{name: name, core: New(DefaultConfig(name)), lost: make(map[keys.Range]Time)})
	}
	return w
}

// roll puts a bundle in force with shares of the hash space for the domains.
func (w *world) roll(version uint64, shares ...int) {
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
	w.check()
}

// stepDomain lets a domain learn, decide and write. What it reads takes effect on what may be
// served before the read itself extends the leases.
func (w *world) stepDomain(d *domainWorld) {
	heard := ReachableDomains{}
	for _, o := range w.domains {
		if o != d && !o.silent && !d.silent {
			heard.Names = append(heard.Names, o.name)
		}
	}
	w.perform(d, d.core.Handle(w.now, heard))
	if !d.cutLog || !d.silent {
		w.perform(d, d.core.Handle(w.now, BundleInForce{Bundle: w.state.InForce}))
	}
	if !d.cutLog {
		view := w.state.Snapshot()
		w.perform(d, d.core.Handle(w.now, LogRead{State: view}))
		d.readAt = w.now
	}
	w.lead(d)
	w.flush(d)
}

// lead tells the core of a domain what its leader holds and its voters remember.
func (w *world) lead(d *domainWorld) {
	w.perform(d, d.core.Handle(w.now, LeaderState{
		Settled:       true,
		Ranges:        map[string][]keys.Range{worldService: w.held(d)},
		Fence:         d.fence,
		MajorityFence: d.fence,
	}))
	if d.fresh {
		d.fresh = false
		w.perform(d, []Effect{Allow{Ranges: d.core.allowed}})
	}
}

// held returns what the servers of a domain may act on now.
func (w *world) held(d *domainWorld) []keys.Range {
	all := d.serves
	if w.now > d.readAt+Time(d.core.config.IsolationTimeout) {
		all = nil
	}
	for r, until := range d.lost {
		if w.now <= until {
			all = keys.Union(all, []keys.Range{r})
		}
	}
	return keys.Union(all, nil)
}

func (w *world) perform(d *domainWorld, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Allow:
			if d.core.held == nil {
				continue
			}
			next := e.Ranges[worldService]
			for _, r := range keys.Subtract(w.held(d), next) {
				d.lost[r] = min(w.now+worldLease, d.readAt+Time(d.core.config.IsolationTimeout))
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

// flush writes what a domain has queued, late and out of order with others, twice now and
// then because an answer was lost.
func (w *world) flush(d *domainWorld) {
	for !d.cutLog && len(d.queue) > 0 && w.random.IntN(15) == 0 {
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

// succeed replaces the leader of a domain. The new one knows what it last read; statements
// of the old one are still under way.
func (w *world) succeed(d *domainWorld) {
	old := d.core
	d.core = New(DefaultConfig(d.name))
	d.fresh = true
	if old.bundle == nil || old.state == nil {
		return
	}
	w.perform(d, d.core.Handle(w.now, BundleInForce{Bundle: old.bundle}))
	w.perform(d, d.core.Handle(w.now, LogRead{State: old.state}))
}

func (w *world) check() {
	for i, a := range w.domains {
		for _, b := range w.domains[:i] {
			if both := keys.Intersect(w.held(a), w.held(b)); len(both) > 0 {
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

func (w *world) served() bool {
	var all []keys.Range
	for _, d := range w.domains {
		all = keys.Union(all, w.held(d))
	}
	return keys.Covers(all, []keys.Range{keys.Full})
}

// Bundles move homes between domains while domains lose the log, each other, or both, and
// come back. A buyer would see cheese sold twice if two domains served a range at once, and
// none at all if a range stayed without a home after the faults have ended.
func TestNoRangeHasTwoHomes(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed)
			version := uint64(1)
			w.roll(version, 6, 6, 6)
			w.run(50)
			for range 40 {
				d := w.domains[w.random.IntN(len(w.domains))]
				switch w.random.IntN(5) {
				case 4:
					w.succeed(d)
				case 0:
					d.cutLog = !d.cutLog
				case 1:
					d.silent = !d.silent
				case 2:
					version++
					shares := [][]int{{6, 6, 6}, {3, 8, 7}}[w.random.IntN(2)]
					w.roll(version, shares...)
				}
				w.run(1 + w.random.IntN(100))
			}
			for _, d := range w.domains {
				d.cutLog, d.silent = false, false
			}
			w.run(1200)
			is := is.New(t)
			is.True(w.served())
		})
	}
}

// A domain is lost. Its ranges of a service that may move are served by another domain after
// notice, the eviction and the bound of the lost domain's leases, and go back on its return.
func TestLostDomainIsSucceeded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.roll(1, 6, 6, 6)
	w.run(100)
	is.True(w.served())
	lost := w.domains[0]
	before := lost.serves
	lost.cutLog, lost.silent = true, true
	w.run(600)
	is.Equal(len(w.held(lost)), 0)
	is.True(w.served())
	lost.cutLog, lost.silent = false, false
	w.run(300)
	is.Equal(lost.serves, before)
	is.True(w.served())
}

// A domain is cut off from the other domains but not from the log. Nothing is wrong with its
// servers: an eviction would cost its keys half a minute. It objects to the notice.
func TestDomainThatReadsTheLogIsNotEvicted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.roll(1, 6, 6, 6)
	w.run(100)
	w.domains[0].silent = true
	before := w.domains[0].serves
	for range 3000 {
		w.step()
		is.Equal(w.domains[0].serves, before)
	}
}
