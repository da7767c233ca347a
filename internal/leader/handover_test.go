package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/keys"
)

// longestOutage advances the world to a time and returns the longest time for which a hash was
// not usable.
func (w *world) longestOutage(until Time) Time {
	unusableFor := make(map[uint64]Time)
	longest := Time(0)
	for w.now < until && w.failure == "" {
		w.advance(w.now + sampleInterval)
		for _, hash := range w.hashes {
			if w.usable(hash) {
				unusableFor[hash] = 0
				continue
			}
			unusableFor[hash] += sampleInterval
			longest = max(longest, unusableFor[hash])
		}
	}
	return longest
}

// tableOwners returns the owner of each hash in the table of the leader.
func (w *world) tableOwners() map[uint64]string {
	owners := make(map[uint64]string)
	for _, hash := range w.hashes {
		owners[hash] = ownerIn(w.leading().core.Table(), hash)
	}
	return owners
}

// Two instances cannot reach each other, but both reach every server. Without the pre-vote
// each takes the voters from the other in turn, and no leader lasts long enough to move the
// ranges of a lost server: its keys stay unavailable until the cut ends. Voters that get
// exchanges from a leader keep the other instance from beginning a term.
func TestCutInstancesDoNotTakeTurns(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, stableLayout(3, 5, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	leader := w.leading()
	term := leader.core.lead.term
	for _, n := range w.instances {
		if n != leader {
			w.partition(leader.name, n.name)
			break
		}
	}
	w.advance(8000 * ms)
	w.servers[1].down = true
	w.advance(10_000 * ms)
	is.Equal(w.countOwned(), len(w.hashes))
	w.advance(20_000 * ms)
	is.Equal(w.leading().core.lead.term, term)
}

// An instance is stopped while it leads. It announces that in its heartbeat. Another instance
// succeeds it at once, through a claim in the log if that is available, and adopts the grants
// that the servers hold. No range is unavailable in between.
func TestStoppingLeaderHandsOver(t *testing.T) {
	tests := map[string]struct {
		logDown bool
	}{
		"log up":   {},
		"log down": {logDown: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, stableLayout(3, 5, 0), "")
			w.startAll()
			w.advance(6000 * ms)
			if tt.logDown {
				w.log.downTo = 1 << 60
				w.advance(7000 * ms)
			}
			before := w.tableOwners()
			old := w.leading()
			old.handle(Stopping{})
			longest := w.longestOutage(9000 * ms)
			is.Equal(longest, Time(0))
			is.True(w.leading() != nil && w.leading() != old)
			is.Equal(w.tableOwners(), before) // no churn
			for _, g := range w.leading().core.Table().Gates {
				is.True(g.Instance != old.name)
			}
		})
	}
}

// A server is marked as leaving. Its ranges go to other servers one round trip after it gave
// them up, and it keeps none.
func TestLeavingServerIsEmptied(t *testing.T) {
	tests := map[string]layout{
		"checking":     stableLayout(2, 4, 0),
		"not checking": stableLayout(2, 3, 1),
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, l, "")
			w.startAll()
			w.advance(7000 * ms)
			w.layout.leaving = "s03"
			for _, n := range w.instances {
				n.handle(Configured{Version: 2, Services: w.services()})
			}
			longest := w.longestOutage(9000 * ms)
			is.True(longest <= 10*ms)
			for _, server := range w.tableOwners() {
				is.True(server != "" && server != "s03")
			}
		})
	}
}

// A server is lost while the log is unavailable. The new owners serve their ranges and are
// marked as not acknowledged by the log. When the log is available again, the moves are
// appended in one record per service.
func TestMovesWithoutLogAreAppendedLater(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, stableLayout(2, 4, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	w.log.downTo = 3600_000 * ms
	w.advance(7000 * ms)
	w.servers[0].down = true
	w.advance(10_000 * ms)
	is.Equal(w.countOwned(), len(w.hashes))
	provisional := 0
	for _, o := range w.leading().core.Table().Owners {
		if o.Offset == 0 {
			provisional++
		}
	}
	is.True(provisional > 0)

	_, before, _ := w.log.counts()
	w.log.downTo = 0
	w.advance(12_000 * ms)
	_, after, _ := w.log.counts()
	is.Equal(after-before, 1)
	for _, o := range w.leading().core.Table().Owners {
		is.True(o.Offset != 0)
	}
	_, assigned := w.log.fold()
	is.True(assigned["s01"].Provisional)
}

// A domain is cut off from the log. A service with the isolation rule move is served until
// IsolationTimeout after the last successful read, so that another domain may serve it then.
// A service with the rule hold is still served.
func TestIsolation(t *testing.T) {
	tests := map[string]struct {
		isolation string
		served    int
	}{
		"hold": {served: 8},
		"move": {isolation: "move"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := stableLayout(2, 3, 0)
			l.isolation = tt.isolation
			l.config = func(c *Config) { c.IsolationTimeout = 5_000_000_000 }
			w := newWorld(1, l, "")
			w.startAll()
			w.advance(6000 * ms)
			w.log.downTo = 1 << 60
			w.advance(10_500 * ms)
			is.Equal(w.countOwned(), 8)
			w.advance(11_200 * ms)
			is.Equal(w.countOwned(), tt.served)
		})
	}
}

// A bundle changes the voters. From then on, the leader needs a majority of both voter sets.
func TestChangedVotersNeedBothMajorities(t *testing.T) {
	tests := map[string]struct {
		lost  []string
		leads bool
	}{
		"none lost":            {leads: true},
		"one of each":          {lost: []string{"s00", "s03"}, leads: true},
		"majority of the old":  {lost: []string{"s00", "s01"}},
		"majority of the new":  {lost: []string{"s02", "s03"}},
		"one of the old alone": {lost: []string{"s00"}, leads: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, stableLayout(1, 4, 0), "")
			w.layout.voters = func(server string) bool { return server != "s03" }
			w.startAll()
			w.advance(5000 * ms)
			w.layout.voters = func(server string) bool { return server != "s00" }
			w.instances[0].handle(Configured{Version: 2, Services: w.services()})
			w.advance(6000 * ms)
			term := w.leading().core.lead.term
			for _, name := range tt.lost {
				w.machines[name].down = true
			}
			w.advance(8000 * ms)
			n := w.leading()
			is.Equal(n != nil && n.core.lead.term == term, tt.leads)
		})
	}
}

// A server resumes after it was frozen for longer than its lease. It must not use its last
// grant: the deadline has passed, and the ranges have other owners.
func TestFrozenServerComesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, stableLayout(2, 4, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	w.servers[0].pausedTo = 60_000 * ms
	w.advance(59_000 * ms)
	is.Equal(w.countOwned(), len(w.hashes))
	w.advance(62_000 * ms)
	is.Equal(w.failure, "")
	is.Equal(w.countOwned(), len(w.hashes))
}

// After a change of leader, a server that checks grants is marked as leaving, in a service that
// also has servers that do not check. Its ranges were confirmed as held in the new term, so no
// request for them can run elsewhere. They move after one lease, without waiting for the
// longest request and pause of a gate.
func TestConfirmedRangesMoveBeforeRequestsEnd(t *testing.T) {
	is := is.New(t)
	l := stableLayout(3, 3, 1)
	l.config = func(c *Config) { c.MaxPause = 20_000_000_000 }
	w := newWorld(1, l, "")
	w.startAll()
	w.advance(30_000 * ms)
	w.kill(w.leading())
	w.layout.leaving = "s00"
	for _, n := range w.instances {
		if !n.down {
			n.handle(Configured{Version: 2, Services: w.services()})
		}
	}
	w.advance(32_000 * ms)
	for _, server := range w.tableOwners() {
		is.True(server != "s00")
	}
}

// Servers are restarted one after another. If a restart cost a voter its vote for the rest of
// the term, the leader would lose its majority with the second of three voters, and every
// range of the domain would be unavailable until the next leader may grant ranges.
func TestVotersRestartInTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, stableLayout(2, 3, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	term := w.leading().core.lead.term
	for i := range 6 {
		w.boot(w.servers[i%3])
		w.advance(w.now + 1500*ms)
		is.Equal(w.countOwned(), len(w.hashes))
		w.advance(w.now + 1500*ms)
	}
	is.True(w.leading() != nil)
	is.Equal(w.leading().core.lead.term, term)
}

func TestSubtract(t *testing.T) {
	r := func(first, last uint64) keys.Range { return keys.Range{First: first, Last: last} }
	top := ^uint64(0)
	tests := map[string]struct {
		whole keys.Range
		taken []keys.Range
		want  []keys.Range
	}{
		"nothing taken":    {whole: r(5, 9), want: []keys.Range{r(5, 9)}},
		"all taken":        {whole: r(5, 9), taken: []keys.Range{r(0, 20)}},
		"middle":           {whole: r(5, 9), taken: []keys.Range{r(7, 7)}, want: []keys.Range{r(5, 6), r(8, 9)}},
		"ends":             {whole: r(5, 9), taken: []keys.Range{r(0, 5), r(9, 12)}, want: []keys.Range{r(6, 8)}},
		"overlapping":      {whole: r(0, 9), taken: []keys.Range{r(1, 8), r(2, 3)}, want: []keys.Range{r(0, 0), r(9, 9)}},
		"top of the space": {whole: r(0, top), taken: []keys.Range{r(10, top)}, want: []keys.Range{r(0, 9)}},
		"elsewhere":        {whole: r(5, 9), taken: []keys.Range{r(0, 4), r(10, 12)}, want: []keys.Range{r(5, 9)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(subtract(tt.whole, tt.taken), tt.want)
		})
	}
}
