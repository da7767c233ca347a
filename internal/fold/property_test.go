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

// randomHistory generates a log. Operators and instances act on a state that may be outdated,
// and their records reach the log late, in another order, or twice.
type randomHistory struct {
	t   *rapid.T
	log testLog
	// states holds the state after each entry.
	states []*State
	// pending holds records that were sent but are not in the log yet.
	pending []record.Entry
}

func newRandomHistory(t *rapid.T) *randomHistory {
	return &randomHistory{t: t, states: []*State{New(testSigners())}}
}

// drawState returns one of the newest five states, as a reader that lags behind may have it.
func (h *randomHistory) drawState() *State {
	back := rapid.IntRange(0, min(4, len(h.states)-1)).Draw(h.t, "back")
	return h.states[len(h.states)-1-back]
}

func (h *randomHistory) send(id string, r record.Record) {
	h.pending = append(h.pending, record.Entry{ID: id, Data: must(record.Encode(r))})
}

// appendPending appends one of the pending records. If its response is lost, the record stays
// pending and may be appended again.
func (h *randomHistory) appendPending() {
	if len(h.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.pending)-1).Draw(h.t, "appended")
	e := h.pending[i]
	if !rapid.Bool().Draw(h.t, "lost-answer") {
		h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
	}
	s := h.states[len(h.states)-1].clone()
	s.Apply(h.log.addData(e.ID, e.Data))
	h.states = append(h.states, s)
}

// drawAction sends a record that is valid in a state that may be outdated, or appends a whole
// release.
func (h *randomHistory) drawAction() {
	s := h.drawState()
	switch rapid.IntRange(0, 6).Draw(h.t, "act") {
	case 0:
		h.publish(s)
	case 1:
		h.approve(s)
	case 2, 3:
		h.roll(s)
	case 4:
		instance := rapid.SampledFrom([]string{"one", "two"}).Draw(h.t, "instance")
		h.send("claim-"+instance, claimOf(s.Terms["klet"].Log, instance))
	case 5:
		h.assign(s)
	case 6:
		h.release()
	}
}

// release appends the records of a release ahead of all pending records.
func (h *randomHistory) release() {
	s := h.states[len(h.states)-1]
	earlier := h.pending
	for _, action := range []func(*State){h.publish, h.approve, h.roll} {
		h.pending = nil
		action(s)
		h.appendPending()
		s = h.states[len(h.states)-1]
	}
	h.pending = append(earlier, h.pending...)
}

func (h *randomHistory) publish(s *State) {
	if s.Head >= s.versionInForce()+maxCandidates {
		return // the reference model does not limit the candidates
	}
	b := testBundle(s.Head+1, rapid.SampledFrom([]string{"a", "b"}).Draw(h.t, "mark"))
	for i := range b.Signers {
		b.Signers[i].Revoked = rapid.IntRange(0, 5).Draw(h.t, "revoked") == 0
	}
	if rapid.Bool().Draw(h.t, "replaced") {
		b.Services[0].Servers[0].Name = "pregled-2"
	}
	name := rapid.SampledFrom([]string{"ana", "boris"}).Draw(h.t, "publisher")
	signed, err := bundle.Publish(b, name, keyOf(name))
	if err != nil {
		return // too few signers are left to release a bundle
	}
	h.send(signed.Statement.ID(), record.BundlePublished{Signed: signed})
}

func (h *randomHistory) approve(s *State) {
	if len(s.Candidates) == 0 {
		return
	}
	c := rapid.SampledFrom(s.Candidates).Draw(h.t, "candidate")
	st := approve(c.Signed, rapid.SampledFrom([]string{"cene", "dora"}).Draw(h.t, "approver"))
	h.send(st.ID(), record.BundleApproved{Approval: st})
}

// roll sends a roll of the oldest approved candidate, or an approval if none is approved.
func (h *randomHistory) roll(s *State) {
	for _, c := range s.Candidates {
		if c.Approved() {
			st := roll(c.Signed, s.versionInForce(), rapid.SampledFrom([]string{"cene", "dora"}).Draw(h.t, "roller"))
			h.send(st.ID(), record.BundleRolled{Roll: st})
			return
		}
	}
	h.approve(s)
}

func (h *randomHistory) assign(s *State) {
	r := keys.Range{First: 0, Last: rapid.Uint64Range(0, 1).Draw(h.t, "last")}
	sequence := rapid.Uint64Range(0, 3).Draw(h.t, "sequence")
	server := rapid.SampledFrom([]string{"pregled-1", "pregled-2"}).Draw(h.t, "server")
	h.send(fmt.Sprintf("assign-%d", sequence), record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf(server, s.Terms["klet"].Log, sequence, r)},
	})
}

func (h *randomHistory) run() {
	for range rapid.IntRange(1, 60).Draw(h.t, "steps") {
		if rapid.IntRange(0, 2).Draw(h.t, "what") == 0 {
			h.appendPending()
		} else {
			h.drawAction()
		}
	}
	for range min(len(h.pending), 20) {
		h.appendPending()
	}
}

func TestResultsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t)
		h.run()
		s, m := New(testSigners()), referenceModel{anchors: testSigners()}
		for _, e := range h.log.entries {
			result := s.Apply(e)
			if got, want := outcomeOf(result), m.apply(e); got != want {
				t.Fatalf("offset %d: %+v, want %+v; result %+v for %s", e.Offset, got, want, result, e.Data)
			}
			if _, version := m.inForce(); s.versionInForce() != version {
				t.Fatalf("offset %d: version %d in force, want %d", e.Offset, s.versionInForce(), version)
			}
		}
	})
}

// A reader that continues from a checkpoint must return the same results and reach the same
// encoded state as a reader of the whole log.
func TestReadersReachTheSameEncodedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t)
		h.run()
		whole := New(testSigners())
		var late *State
		split := rapid.IntRange(0, len(h.log.entries)).Draw(t, "cut")
		for i, e := range h.log.entries {
			if i == split {
				late = must(Restore(must(whole.Encode()), testSigners()))
			}
			want := whole.Apply(e)
			if late == nil {
				continue
			}
			if got := late.Apply(e); outcomeOf(got) != outcomeOf(want) {
				t.Fatalf("offset %d: %+v after a checkpoint, %+v without", e.Offset, got, want)
			}
		}
		if late != nil && !bytes.Equal(must(late.Encode()), must(whole.Encode())) {
			t.Fatal("encoded state after a checkpoint differs")
		}
	})
}

// Of records that exclude each other only one may be accepted, the others must name an
// accepted record as winner, and the version in force must not decrease.
func TestOneWinnerAndNoOlderVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t)
		h.run()
		s := New(testSigners())
		tracker := NewBundleTracker(testSigners())
		accepted, won := make(map[uint64]bool), make(map[string]bool)
		for _, e := range h.log.entries {
			before := s.versionInForce()
			switch result := s.Apply(e).(type) {
			case Accepted:
				accepted[e.Offset] = true
				slot := contestedSlot(must(record.Decode(e.Data)))
				if slot != "" && won[slot] {
					t.Fatalf("offset %d: a second winner for %s", e.Offset, slot)
				}
				won[slot] = true
			case Rejected:
				if result.Cause == CauseLostRace && (result.Winner.IsZero() || !accepted[result.Winner.Offset]) {
					t.Fatalf("offset %d: no accepted winner in %+v", e.Offset, result)
				}
			}
			if s.versionInForce() < before {
				t.Fatalf("offset %d: version %d after %d", e.Offset, s.versionInForce(), before)
			}
			checkProof(t, s, tracker)
		}
	})
}

// contestedSlot returns a name that is the same for records of which only one may be accepted.
// It returns the empty string for records that exclude no others.
func contestedSlot(r record.Record) string {
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

// checkProof checks that a peer that adopted each bundle in force so far accepts the next one.
func checkProof(t *rapid.T, s *State, tracker *BundleTracker) {
	if s.InForce == nil || s.versionInForce() == tracker.Proof().Version() {
		return
	}
	if err := tracker.AdoptProof(s.Proof); err != nil {
		t.Fatalf("version %d: %v", s.versionInForce(), err)
	}
	if s.Proof.Signed.Statement.Signer == s.Proof.Approval.Signer {
		t.Fatalf("version %d was approved by its publisher", s.versionInForce())
	}
}

// With the stolen key of a publisher, an attacker signs statements of any kind in the name of
// any signer. None of them may approve a version or put it in force.
func TestStolenKeyPutsNothingInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log testLog
		log.addAll(release(testBundle(1, "a"), 0)...)
		s := New(testSigners())
		log.applyTo(s)
		names := []string{"ana", "boris", "cene", "dora", "eva"}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			b := testBundle(s.Head+1, "stolen")
			if rapid.Bool().Draw(t, "repeated-version") {
				b = testBundle(max(s.Head, 1), "stolen")
			}
			signed := must(bundle.Publish(b, name, keyOf("ana")))
			if len(s.Candidates) > 0 && rapid.Bool().Draw(t, "candidate") {
				signed = rapid.SampledFrom(s.Candidates).Draw(t, "of").Signed
			}
			other := rapid.SampledFrom(names).Draw(t, "other")
			published := signed.Statement
			published.Signer = "nobody"
			log.addAll(record.BundlePublished{Signed: signed},
				record.BundleApproved{Approval: must(bundle.Approve(published, other, keyOf("ana")))},
				record.BundleRolled{Roll: must(bundle.Roll(published, 1, other, keyOf("ana")))})
			log.applyTo(s)
			if s.versionInForce() != 1 {
				t.Fatalf("version %d came into force", s.versionInForce())
			}
			for _, c := range s.Candidates {
				if c.Approved() {
					t.Fatalf("version %d was approved", c.Signed.Statement.Version)
				}
			}
		}
	})
}
