package fold

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// stateOf folds releases of versions 1 to n.
func stateOf(n uint64, mark string) *State {
	var j journal
	for v := uint64(1); v <= n; v++ {
		j.addAll(release(sample(v, mark), v-1)...)
	}
	s := New(crew())
	j.fold(s)
	return s
}

// A domain is cut off and its log reader is down. A fresh instance there must start with the
// version that its neighbour serves, and an old record that it reads later must not bring it
// back.
func TestNewestNeverGoesBack(t *testing.T) {
	is := is.New(t)
	n := NewBundleTracker(crew())
	is.NoErr(n.AdoptProof(stateOf(3, "a").Proof))
	is.Equal(n.Bundle().Version, uint64(3))
	is.Equal(n.AdoptFromLog(stateOf(2, "a")), false)
	is.True(errors.Is(n.AdoptProof(stateOf(2, "a").Proof), ErrNotNewer))
	is.Equal(n.Bundle().Version, uint64(3))
	is.Equal(n.AdoptFromLog(stateOf(3, "a")), false)
	origin, offset := n.Origin()
	is.Equal(origin, OriginLog)
	is.Equal(offset, uint64(8))
	is.True(n.AdoptFromLog(stateOf(4, "a")))
	is.Equal(n.Bundle().Version, uint64(4))
}

// The log service lost its records and starts anew, while instances serve version 3. The
// first that reads the empty log brings the version back, and operators go on from there.
func TestLogThatStartsAnewGetsTheBundleBack(t *testing.T) {
	is := is.New(t)
	n := NewBundleTracker(crew())
	n.AdoptFromLog(stateOf(3, "a"))
	s := New(crew())
	r, id, missing := n.MissingRecord(s)
	is.True(missing)
	var j journal
	j.add(id, r)
	j.add(id, r)
	j.add("another", r)
	j.addAll(record.BundlePublished{Signed: publish(sample(1, "b"), "ana")})
	j.addAll(release(sample(4, "b"), 3)...)
	v := j.fold(s)
	is.Equal(v[0], Accepted{})
	is.Equal(v[1], Duplicate{})
	is.Equal(v[2], Duplicate{})
	is.Equal(refusal(t, v[3], CauseLost).Winner.Version, uint64(3))
	is.Equal(v[6], Accepted{})
	_, _, missing = n.MissingRecord(s)
	is.True(!missing)
	is.True(n.AdoptFromLog(s))
	is.Equal(n.Bundle().Version, uint64(4))
}

// The log started anew and operators published version 1 to 3 again before any instance had
// brought the old version 3 back. All instances must settle on one of the two.
func TestLogSettlesTwoBundlesOfOneVersion(t *testing.T) {
	is := is.New(t)
	n := NewBundleTracker(crew())
	n.AdoptFromLog(stateOf(3, "a"))
	s := stateOf(3, "b")
	is.True(n.AdoptFromLog(s))
	is.Equal(n.Bundle().Services[0].HotKeys, []string{"b"})
	is.Equal(n.AdoptFromLog(s), false)
}

// Signers that were revoked still hold their keys. Together they sign a version that replaces
// one from before their revocation, and hand it to an instance as news.
func TestRevokedSignersCannotFork(t *testing.T) {
	is := is.New(t)
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	clean := sample(2, "a")
	clean.Signers = append(crew()[1:2], signer("eva", bundle.RoleApprove, bundle.RoleRoll))
	j.addAll(release(clean, 1)...)
	s := New(crew())
	j.fold(s)
	n := NewBundleTracker(crew())
	n.AdoptFromLog(s)

	var fork journal
	fork.addAll(release(sample(1, "a"), 0)...)
	two, three := publish(sample(2, "f"), "ana"), publish(sample(3, "f"), "ana")
	fork.addAll(record.BundlePublished{Signed: two}, record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(three, "cene")}, record.BundleRolled{Roll: roll(three, 1, "dora")})
	f := New(crew())
	fork.fold(f)
	is.Equal(f.InForce.Version, uint64(3))
	is.True(errors.Is(n.AdoptProof(f.Proof), bundle.ErrFork))
	refusal(t, s.prove(99, f.Proof), CauseLost)
	is.Equal(n.Bundle().Version, uint64(2))
	other := NewBundleTracker(crew())
	is.NoErr(other.AdoptProof(f.Proof))
	_, _, missing := other.MissingRecord(s)
	is.True(!missing)
}

// A peer hands over version 3, which replaced version 1, to an instance that saw version 2 in
// force. The signers are the same, yet it is another history: nobody who saw version 2 could
// have signed that roll and won.
func TestRollPastTheHeldVersionIsAFork(t *testing.T) {
	is := is.New(t)
	n := NewBundleTracker(crew())
	n.AdoptFromLog(stateOf(2, "a"))
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	two, three := publish(sample(2, "f"), "ana"), publish(sample(3, "f"), "ana")
	j.addAll(record.BundlePublished{Signed: two}, record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(three, "cene")}, record.BundleRolled{Roll: roll(three, 1, "dora")})
	s := New(crew())
	j.fold(s)
	is.True(errors.Is(n.AdoptProof(s.Proof), bundle.ErrFork))
}

// A release reaches an instance as an update. Another one is lost on its way, so that the
// next does not fit and the whole proof is asked for.
func TestNewestTakesUpdates(t *testing.T) {
	is := is.New(t)
	held := make([]bundle.Held, 5)
	for v := uint64(1); v <= 4; v++ {
		s := stateOf(v, "a")
		held[v] = bundle.Held{Proof: s.Proof, Bundle: s.InForce}
	}
	n := NewBundleTracker(crew())
	is.True(errors.Is(n.ApplyUpdate(must(bundle.NewUpdate(held[1], held[2]))), bundle.ErrStep))
	is.NoErr(n.AdoptProof(held[1].Proof))
	is.NoErr(n.ApplyUpdate(must(bundle.NewUpdate(held[1], held[2]))))
	is.True(errors.Is(n.ApplyUpdate(must(bundle.NewUpdate(held[3], held[4]))), bundle.ErrStep))
	is.Equal(n.Bundle().Version, uint64(2))
	is.NoErr(n.AdoptProof(held[4].Proof))
	is.Equal(n.Held(), held[4])
}
