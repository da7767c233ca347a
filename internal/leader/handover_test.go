package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/keys"
)

// worst advances the world and returns the longest time for which a hash was not usable.
func (w *world) worst(until Time) Time {
	gone := make(map[uint64]Time)
	worst := Time(0)
	for w.now < until && w.failure == "" {
		w.advance(w.now + sampleEvery)
		for _, hash := range w.hashes {
			if w.usable(hash) {
				gone[hash] = 0
				continue
			}
			gone[hash] += sampleEvery
			worst = max(worst, gone[hash])
		}
	}
	return worst
}

// ownersBy returns the owner of each hash by the table of the leader.
func (w *world) ownersBy() map[uint64]string {
	owners := make(map[uint64]string)
	for _, hash := range w.hashes {
		owners[hash] = ownerIn(w.leading().core.Table(), hash)
	}
	return owners
}

// Two instances cannot hear each other, but both reach every server. Each takes the voters
// from the other again and again, and no leader lasts long enough to move the ranges of a
// server that is lost: its keys stay unavailable for as long as the cut lasts. Voters that
// hear from a leader keep the other from beginning a term.
func TestCutInstancesDoNotTakeTurns(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, quiet(3, 5, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	leader := w.leading()
	term := leader.core.lead.term
	for _, n := range w.instances {
		if n != leader {
			w.part(leader.name, n.name)
			break
		}
	}
	w.advance(8000 * ms)
	w.servers[1].down = true
	w.advance(10_000 * ms)
	is.Equal(w.served(), len(w.hashes))
	w.advance(20_000 * ms)
	is.Equal(w.leading().core.lead.term, term)
}

// An instance is replaced while it leads. It says so, another succeeds at once by a claim in
// the log, adopts what the servers hold, and nobody notices.
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
			w := newWorld(1, quiet(3, 5, 0), "")
			w.startAll()
			w.advance(6000 * ms)
			if tt.logDown {
				w.log.downTo = 1 << 60
				w.advance(7000 * ms)
			}
			before := w.ownersBy()
			old := w.leading()
			old.event(Stopping{})
			worst := w.worst(9000 * ms)
			is.Equal(worst, Time(0))
			is.True(w.leading() != nil && w.leading() != old)
			is.Equal(w.ownersBy(), before) // no churn
			for _, g := range w.leading().core.Table().Gates {
				is.True(g.Instance != old.name)
			}
		})
	}
}

// A server is to leave. Its ranges go to others one round trip after it gave them up, and it
// keeps none.
func TestLeavingServerIsEmptied(t *testing.T) {
	tests := map[string]layout{
		"checking":     quiet(2, 4, 0),
		"not checking": quiet(2, 3, 1),
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, l, "")
			w.startAll()
			w.advance(7000 * ms)
			w.layout.leaving = "s03"
			for _, n := range w.instances {
				n.event(Configured{Version: 2, Services: w.services()})
			}
			worst := w.worst(9000 * ms)
			is.True(worst <= 10*ms)
			for _, server := range w.ownersBy() {
				is.True(server != "" && server != "s03")
			}
		})
	}
}

// The log is away while a server is lost. The moves serve, are marked as not acknowledged,
// and are appended in one record a service when the log is back.
func TestMovesWithoutLogAreAppendedLater(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, quiet(2, 4, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	w.log.downTo = 3600_000 * ms
	w.advance(7000 * ms)
	w.servers[0].down = true
	w.advance(10_000 * ms)
	is.Equal(w.served(), len(w.hashes))
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

// A domain is cut off from the log. A service that moves away from an isolated domain is
// served until the bound after the last good read, so that another domain may serve it then;
// one that is held is served on.
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
			l := quiet(2, 3, 0)
			l.isolation = tt.isolation
			l.config = func(c *Config) { c.IsolationTimeout = 5_000_000_000 }
			w := newWorld(1, l, "")
			w.startAll()
			w.advance(6000 * ms)
			w.log.downTo = 1 << 60
			w.advance(10_500 * ms)
			is.Equal(w.served(), 8)
			w.advance(11_200 * ms)
			is.Equal(w.served(), tt.served)
		})
	}
}

// A bundle changes the voters. The leader needs a majority of both sets from then on.
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
			w := newWorld(1, quiet(1, 4, 0), "")
			w.layout.voters = func(server string) bool { return server != "s03" }
			w.startAll()
			w.advance(5000 * ms)
			w.layout.voters = func(server string) bool { return server != "s00" }
			w.instances[0].event(Configured{Version: 2, Services: w.services()})
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

// A server that was frozen for minutes comes back and still believes in its last grant. The
// server itself refuses: its deadline is over, and the range has another owner.
func TestFrozenServerComesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, quiet(2, 4, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	w.servers[0].pausedTo = 60_000 * ms
	w.advance(59_000 * ms)
	is.Equal(w.served(), len(w.hashes))
	w.advance(62_000 * ms)
	is.Equal(w.failure, "")
	is.Equal(w.served(), len(w.hashes))
}

// A new leader is there, and a server that checks is to leave a service that has servers which
// do not. What the server holds was seen held, so nothing of it lingers elsewhere: it moves
// after a lease, not after the longest request and pause.
func TestSeenRangesMoveBeforeRequestsEnd(t *testing.T) {
	is := is.New(t)
	l := quiet(3, 3, 1)
	l.config = func(c *Config) { c.MaxPause = 20_000_000_000 }
	w := newWorld(1, l, "")
	w.startAll()
	w.advance(30_000 * ms)
	w.kill(w.leading())
	w.layout.leaving = "s00"
	for _, n := range w.instances {
		if !n.down {
			n.event(Configured{Version: 2, Services: w.services()})
		}
	}
	w.advance(32_000 * ms)
	for _, server := range w.ownersBy() {
		is.True(server != "s00")
	}
}

// Servers are restarted one after another, as on any day. Were a voter's restart to cost its
// vote for the rest of the term, the leader would lose its majority with the second of three,
// and every range of the domain would be unavailable until the next leader has waited.
func TestVotersRestartInTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, quiet(2, 3, 0), "")
	w.startAll()
	w.advance(6000 * ms)
	term := w.leading().core.lead.term
	for i := range 6 {
		w.boot(w.servers[i%3])
		w.advance(w.now + 1500*ms)
		is.Equal(w.served(), len(w.hashes))
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
