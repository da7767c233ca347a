package fold

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// stateAtVersion returns the state after the releases of versions 1 to n.
func stateAtVersion(n uint64, mark string) *State {
	var log testLog
	for v := uint64(1); v <= n; v++ {
		log.addAll(release(testBundle(v, mark), v-1)...)
	}
	s := New(testSigners())
	log.applyTo(s)
	return s
}

// An instance that starts without access to the log must adopt the version of a peer. Older
// records that it reads from the log later must not replace it by an older version.
func TestTrackedVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	tracker := NewBundleTracker(testSigners())
	is.NoErr(tracker.AdoptProof(stateAtVersion(3, "a").Proof))
	is.Equal(tracker.Bundle().Version, uint64(3))
	is.Equal(tracker.AdoptFromLog(stateAtVersion(2, "a")), false)
	is.True(errors.Is(tracker.AdoptProof(stateAtVersion(2, "a").Proof), ErrNotNewer))
	is.Equal(tracker.Bundle().Version, uint64(3))
	is.Equal(tracker.AdoptFromLog(stateAtVersion(3, "a")), false)
	origin, offset := tracker.Origin()
	is.Equal(origin, OriginLog)
	is.Equal(offset, uint64(8))
	is.True(tracker.AdoptFromLog(stateAtVersion(4, "a")))
	is.Equal(tracker.Bundle().Version, uint64(4))
}

// The log was lost and starts again while instances serve version 3. The first instance that
// reads the empty log must restore version 3, and version 4 can be released after it.
func TestBundleIsRestoredInLostLog(t *testing.T) {
	is := is.New(t)
	tracker := NewBundleTracker(testSigners())
	tracker.AdoptFromLog(stateAtVersion(3, "a"))
	s := New(testSigners())
	r, id, missing := tracker.MissingRecord(s)
	is.True(missing)
	var log testLog
	log.add(id, r)
	log.add(id, r)
	log.add("another", r)
	log.addAll(record.BundlePublished{Signed: publish(testBundle(1, "b"), "ana")})
	log.addAll(release(testBundle(4, "b"), 3)...)
	results := log.applyTo(s)
	is.Equal(results[0], Accepted{})
	is.Equal(results[1], Duplicate{})
	is.Equal(results[2], Duplicate{})
	is.Equal(requireRejected(t, results[3], CauseLostRace).Winner.Version, uint64(3))
	is.Equal(results[6], Accepted{})
	_, _, missing = tracker.MissingRecord(s)
	is.True(!missing)
	is.True(tracker.AdoptFromLog(s))
	is.Equal(tracker.Bundle().Version, uint64(4))
}

// The log was lost, and operators released versions 1 to 3 again before an instance restored
// the old version 3. All instances must adopt the version 3 of the log.
func TestLogDecidesBetweenBundlesOfSameVersion(t *testing.T) {
	is := is.New(t)
	tracker := NewBundleTracker(testSigners())
	tracker.AdoptFromLog(stateAtVersion(3, "a"))
	s := stateAtVersion(3, "b")
	is.True(tracker.AdoptFromLog(s))
	is.Equal(tracker.Bundle().Services[0].HotKeys, []string{"b"})
	is.Equal(tracker.AdoptFromLog(s), false)
}

// Revoked signers still have their keys. Together they release a version that replaces one
// from before their revocation. Instances must reject it as a fork.
func TestRevokedSignersCannotFork(t *testing.T) {
	is := is.New(t)
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	clean := testBundle(2, "a")
	clean.Signers = append(testSigners()[1:2], signer("eva", bundle.RoleApprove, bundle.RoleRoll))
	log.addAll(release(clean, 1)...)
	s := New(testSigners())
	log.applyTo(s)
	tracker := NewBundleTracker(testSigners())
	tracker.AdoptFromLog(s)

	var fork testLog
	fork.addAll(release(testBundle(1, "a"), 0)...)
	two, three := publish(testBundle(2, "f"), "ana"), publish(testBundle(3, "f"), "ana")
	fork.addAll(record.BundlePublished{Signed: two}, record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(three, "cene")}, record.BundleRolled{Roll: roll(three, 1, "dora")})
	f := New(testSigners())
	fork.applyTo(f)
	is.Equal(f.InForce.Version, uint64(3))
	is.True(errors.Is(tracker.AdoptProof(f.Proof), bundle.ErrFork))
	requireRejected(t, s.applyProven(99, f.Proof), CauseLostRace)
	is.Equal(tracker.Bundle().Version, uint64(2))
	other := NewBundleTracker(testSigners())
	is.NoErr(other.AdoptProof(f.Proof))
	_, _, missing := other.MissingRecord(s)
	is.True(!missing)
}

// A peer sends version 3, whose roll replaced version 1, to an instance that saw version 2 in
// force. The signers are valid, but the history is a different one, because such a roll is
// rejected once version 2 is in force.
func TestRollThatSkipsTrackedVersionIsFork(t *testing.T) {
	is := is.New(t)
	tracker := NewBundleTracker(testSigners())
	tracker.AdoptFromLog(stateAtVersion(2, "a"))
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	two, three := publish(testBundle(2, "f"), "ana"), publish(testBundle(3, "f"), "ana")
	log.addAll(record.BundlePublished{Signed: two}, record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(three, "cene")}, record.BundleRolled{Roll: roll(three, 1, "dora")})
	s := New(testSigners())
	log.applyTo(s)
	is.True(errors.Is(tracker.AdoptProof(s.Proof), bundle.ErrFork))
}

// An instance adopts releases as updates. After an update was lost, the next one does not
// apply, and the instance needs the complete proof.
func TestTrackerAppliesUpdates(t *testing.T) {
	is := is.New(t)
	held := make([]bundle.Held, 5)
	for v := uint64(1); v <= 4; v++ {
		s := stateAtVersion(v, "a")
		held[v] = bundle.Held{Proof: s.Proof, Bundle: s.InForce}
	}
	tracker := NewBundleTracker(testSigners())
	is.True(errors.Is(tracker.ApplyUpdate(must(bundle.NewUpdate(held[1], held[2]))), bundle.ErrStep))
	is.NoErr(tracker.AdoptProof(held[1].Proof))
	is.NoErr(tracker.ApplyUpdate(must(bundle.NewUpdate(held[1], held[2]))))
	is.True(errors.Is(tracker.ApplyUpdate(must(bundle.NewUpdate(held[3], held[4]))), bundle.ErrStep))
	is.Equal(tracker.Bundle().Version, uint64(2))
	is.NoErr(tracker.AdoptProof(held[4].Proof))
	is.Equal(tracker.Held(), held[4])
}
