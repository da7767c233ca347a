package fold

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// play is a random history: operators and instances who act on what they read some time ago,
// records that reach the log late, in another order, or twice.
type play struct {
	t *rapid.T
	j journal
	// views are the states after each entry.
	views []*State
	// flying are records on their way to the log.
	flying []record.Entry
}

func newPlay(t *rapid.T) *play {
	return &play{t: t, views: []*State{New(crew())}}
}

// view returns a state that some reader may have now.
func (p *play) view() *State {
	back := rapid.IntRange(0, min(4, len(p.views)-1)).Draw(p.t, "back")
	return p.views[len(p.views)-1-back]
}

func (p *play) send(id string, r record.Record) {
	p.flying = append(p.flying, record.Entry{ID: id, Data: must(record.Encode(r))})
}

// land appends one of the records on their way. Its answer may be lost: it stays on its way.
func (p *play) land() {
	if len(p.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.flying)-1).Draw(p.t, "lands")
	e := p.flying[i]
	if !rapid.Bool().Draw(p.t, "lost-answer") {
		p.flying = append(p.flying[:i:i], p.flying[i+1:]...)
	}
	s := p.views[len(p.views)-1].copyDeep()
	s.Apply(p.j.addData(e.ID, e.Data))
	p.views = append(p.views, s)
}

// act lets somebody do something that looks sensible in an old view.
func (p *play) act() {
	s := p.view()
	switch rapid.IntRange(0, 6).Draw(p.t, "act") {
	case 0:
		p.publish(s)
	case 1:
		p.approve(s)
	case 2, 3:
		p.roll(s)
	case 4:
		instance := rapid.SampledFrom([]string{"one", "two"}).Draw(p.t, "instance")
		p.send("claim-"+instance, claimOf(s.Terms["klet"].Log, instance))
	case 5:
		p.assign(s)
	case 6:
		p.release()
	}
}

// release brings a version into force at once, past whatever is on its way.
func (p *play) release() {
	s := p.views[len(p.views)-1]
	flying := p.flying
	for _, act := range []func(*State){p.publish, p.approve, p.roll} {
		p.flying = nil
		act(s)
		p.land()
		s = p.views[len(p.views)-1]
	}
	p.flying = append(flying, p.flying...)
}

func (p *play) publish(s *State) {
	if s.Head >= s.version()+maxCandidates {
		return // the naive version knows no bound
	}
	b := sample(s.Head+1, rapid.SampledFrom([]string{"a", "b"}).Draw(p.t, "mark"))
	for i := range b.Signers {
		b.Signers[i].Revoked = rapid.IntRange(0, 5).Draw(p.t, "revoked") == 0
	}
	if rapid.Bool().Draw(p.t, "replaced") {
		b.Services[0].Servers[0].Name = "pregled-2"
	}
	name := rapid.SampledFrom([]string{"ana", "boris"}).Draw(p.t, "publisher")
	signed, err := bundle.Publish(b, name, keyOf(name))
	if err != nil {
		return // nobody would be left to release
	}
	p.send(signed.Statement.ID(), record.BundlePublished{Signed: signed})
}

func (p *play) approve(s *State) {
	if len(s.Candidates) == 0 {
		return
	}
	c := rapid.SampledFrom(s.Candidates).Draw(p.t, "candidate")
	st := approve(c.Signed, rapid.SampledFrom([]string{"cene", "dora"}).Draw(p.t, "approver"))
	p.send(st.ID(), record.BundleApproved{Approval: st})
}

func (p *play) roll(s *State) {
	for _, c := range s.Candidates {
		if c.Approved() {
			st := roll(c.Signed, s.version(), rapid.SampledFrom([]string{"cene", "dora"}).Draw(p.t, "roller"))
			p.send(st.ID(), record.BundleRolled{Roll: st})
			return
		}
	}
	p.approve(s)
}

func (p *play) assign(s *State) {
	r := keys.Range{First: 0, Last: rapid.Uint64Range(0, 1).Draw(p.t, "last")}
	sequence := rapid.Uint64Range(0, 3).Draw(p.t, "sequence")
	server := rapid.SampledFrom([]string{"pregled-1", "pregled-2"}).Draw(p.t, "server")
	p.send(fmt.Sprintf("assign-%d", sequence), record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf(server, s.Terms["klet"].Log, sequence, r)},
	})
}

func (p *play) run() {
	for range rapid.IntRange(1, 60).Draw(p.t, "steps") {
		if rapid.IntRange(0, 2).Draw(p.t, "what") == 0 {
			p.land()
		} else {
			p.act()
		}
	}
	for range min(len(p.flying), 20) {
		p.land()
	}
}

func TestVerdictsAreThoseOfTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(t)
		p.run()
		s, n := New(crew()), naive{anchors: crew()}
		for _, e := range p.j.entries {
			v := s.Apply(e)
			if got, want := outcomeOf(v), n.apply(e); got != want {
				t.Fatalf("offset %d: %+v, want %+v; %+v on %s", e.Offset, got, want, v, e.Data)
			}
			if _, version := n.inForce(); s.version() != version {
				t.Fatalf("offset %d: version %d in force, want %d", e.Offset, s.version(), version)
			}
		}
	})
}

// Readers differ in how they came by their state: from the start, from a checkpoint, in
// several sittings. They must not differ in what they say.
func TestEveryReaderReachesTheSameBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(t)
		p.run()
		whole := New(crew())
		var late *State
		cut := rapid.IntRange(0, len(p.j.entries)).Draw(t, "cut")
		for i, e := range p.j.entries {
			if i == cut {
				late = must(Restore(must(whole.Encode()), crew()))
			}
			v := whole.Apply(e)
			if late == nil {
				continue
			}
			if got := late.Apply(e); outcomeOf(got) != outcomeOf(v) {
				t.Fatalf("offset %d: %+v after a checkpoint, %+v without", e.Offset, got, v)
			}
		}
		if late != nil && !bytes.Equal(must(late.Encode()), must(whole.Encode())) {
			t.Fatal("other bytes after a checkpoint")
		}
	})
}

func TestOneWinnerAndNeverBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(t)
		p.run()
		s := New(crew())
		newest := NewBundleTracker(crew())
		accepted, won := make(map[uint64]bool), make(map[string]bool)
		for _, e := range p.j.entries {
			before := s.version()
			switch v := s.Apply(e).(type) {
			case Accepted:
				accepted[e.Offset] = true
				place := contested(must(record.Decode(e.Data)))
				if place != "" && won[place] {
					t.Fatalf("offset %d: a second winner for %s", e.Offset, place)
				}
				won[place] = true
			case Rejected:
				if v.Cause == CauseLost && (v.Winner.IsZero() || !accepted[v.Winner.Offset]) {
					t.Fatalf("offset %d: no winner in %+v", e.Offset, v)
				}
			}
			if s.version() < before {
				t.Fatalf("offset %d: version %d after %d", e.Offset, s.version(), before)
			}
			checkProof(t, s, newest)
		}
	})
}

// contested names what only one record may win.
func contested(r record.Record) string {
	switch r := r.(type) {
	case record.BundlePublished:
		return fmt.Sprintf("version %d", r.Signed.Statement.Version)
	case record.BundleRolled:
		return fmt.Sprintf("roll after %d", r.Roll.Follows)
	case record.TermClaimed:
		return fmt.Sprintf("term after %d", r.Follows)
	default:
		return ""
	}
}

// checkProof checks that a peer that followed the history accepts each bundle in force.
func checkProof(t *rapid.T, s *State, newest *BundleTracker) {
	if s.InForce == nil || s.version() == newest.Proof().Version() {
		return
	}
	if err := newest.AdoptProof(s.Proof); err != nil {
		t.Fatalf("version %d: %v", s.version(), err)
	}
	if s.Proof.Signed.Statement.Signer == s.Proof.Approval.Signer {
		t.Fatalf("version %d was approved by its publisher", s.version())
	}
}

// A publisher's key was stolen. Its holder signs any statement in anybody's name, at any
// time. Nothing of that may come into force.
func TestStolenKeyPutsNothingInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j journal
		j.addAll(release(sample(1, "a"), 0)...)
		s := New(crew())
		j.fold(s)
		names := []string{"ana", "boris", "cene", "dora", "eva"}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			b := sample(s.Head+1, "stolen")
			if rapid.Bool().Draw(t, "repeated-version") {
				b = sample(max(s.Head, 1), "stolen")
			}
			signed := must(bundle.Publish(b, name, keyOf("ana")))
			if len(s.Candidates) > 0 && rapid.Bool().Draw(t, "candidate") {
				signed = rapid.SampledFrom(s.Candidates).Draw(t, "of").Signed
			}
			other := rapid.SampledFrom(names).Draw(t, "other")
			published := signed.Statement
			published.Signer = "nobody"
			j.addAll(record.BundlePublished{Signed: signed},
				record.BundleApproved{Approval: must(bundle.Approve(published, other, keyOf("ana")))},
				record.BundleRolled{Roll: must(bundle.Roll(published, 1, other, keyOf("ana")))})
			j.fold(s)
			if s.version() != 1 {
				t.Fatalf("version %d came into force", s.version())
			}
			for _, c := range s.Candidates {
				if c.Approved() {
					t.Fatalf("version %d was approved", c.Signed.Statement.Version)
				}
			}
		}
	})
}
