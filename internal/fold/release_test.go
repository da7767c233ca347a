package fold

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

func TestReleaseComesIntoForce(t *testing.T) {
	is := is.New(t)
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	log.addAll(release(testBundle(2, "b"), 1)...)
	s := New(testSigners())
	for _, v := range log.applyTo(s) {
		is.Equal(v, Accepted{})
	}
	is.Equal(s.InForce.Version, uint64(2))
	is.Equal(s.InForceOffset, uint64(5))
	is.Equal(len(s.Candidates), 0)
	b, err := s.Proof.Verify(testSigners())
	is.NoErr(err)
	is.Equal(b, s.InForce)
}

// Two operators publish version 1 at the same time, and both appends succeed. The result for
// the second record must say that it lost and to which one. Otherwise its operator would roll
// a bundle that is not its own.
func TestPublishRaceNamesTheWinner(t *testing.T) {
	is := is.New(t)
	first, second := publish(testBundle(1, "a"), "ana"), publish(testBundle(1, "b"), "boris")
	var log testLog
	log.addAll(record.BundlePublished{Signed: first}, record.BundlePublished{Signed: second})
	results := log.applyTo(New(testSigners()))
	is.Equal(results[0], Accepted{})
	r := requireRejected(t, results[1], CauseLostRace)
	is.Equal(r.Winner, Winner{Version: 1, Hash: first.Statement.Hash, Signer: "ana", Offset: 0})
	is.Equal(r.Offset, uint64(1))
}

// Two operators roll two approved versions at the same time, both based on version 1. The
// second roll must be rejected, because its moves were planned from a version that is no
// longer in force.
func TestRollRaceNamesTheWinner(t *testing.T) {
	is := is.New(t)
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	two, three := publish(testBundle(2, "b"), "ana"), publish(testBundle(3, "c"), "boris")
	log.addAll(
		record.BundlePublished{Signed: two},
		record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(two, "cene")},
		record.BundleApproved{Approval: approve(three, "dora")},
		record.BundleRolled{Roll: roll(two, 1, "cene")},
		record.BundleRolled{Roll: roll(three, 1, "dora")},
		record.BundleRolled{Roll: roll(three, 2, "dora")},
		record.BundleRolled{Roll: roll(two, 3, "cene")},
	)
	s := New(testSigners())
	results := log.applyTo(s)
	is.Equal(results[7], Accepted{})
	r := requireRejected(t, results[8], CauseLostRace)
	is.Equal(r.Winner, Winner{Version: 2, Hash: two.Statement.Hash, Signer: "cene", Offset: 7})
	is.Equal(results[9], Accepted{})
	is.Equal(requireRejected(t, results[10], CauseLostRace).Winner.Version, uint64(3))
	is.Equal(s.InForce.Version, uint64(3))
}

func TestRejectedReleases(t *testing.T) {
	one := publish(testBundle(1, "a"), "ana")
	published := record.BundlePublished{Signed: one}
	approved := record.BundleApproved{Approval: approve(one, "cene")}
	rolled := record.BundleRolled{Roll: roll(one, 0, "cene")}
	other := publish(testBundle(1, "b"), "ana")
	shared := testSigners()
	shared[2].PublicKey = shared[0].PublicKey
	tests := map[string]struct {
		anchors []bundle.Signer
		records []record.Record
		want    Cause
	}{
		"unpublished":    {records: []record.Record{approved}, want: CauseUnknownVersion},
		"unapproved":     {records: []record.Record{published, rolled}, want: CauseUnapproved},
		"out of order":   {records: []record.Record{record.BundlePublished{Signed: publish(testBundle(2, "a"), "ana")}}, want: CauseOutOfOrder},
		"other hash":     {records: []record.Record{published, record.BundleApproved{Approval: approve(other, "cene")}}, want: CauseLostRace},
		"no publisher":   {records: []record.Record{record.BundlePublished{Signed: publish(testBundle(1, "a"), "cene")}}, want: CauseSignature},
		"no roller":      {records: []record.Record{published, approved, record.BundleRolled{Roll: roll(one, 0, "ana")}}, want: CauseSignature},
		"second approve": {records: []record.Record{published, approved, record.BundleApproved{Approval: approve(one, "dora")}}, want: CauseLostRace},
		"shared key": {
			anchors: shared,
			records: []record.Record{published, record.BundleApproved{Approval: must(bundle.Approve(one.Statement, "cene", keyOf("ana")))}},
			want:    CauseSignature,
		},
		"wrong replaced": {records: []record.Record{published, approved, record.BundleRolled{Roll: roll(one, 9, "cene")}}, want: CauseLostRace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if tt.anchors == nil {
				tt.anchors = testSigners()
			}
			var log testLog
			log.addAll(tt.records...)
			s := New(tt.anchors)
			results := log.applyTo(s)
			requireRejected(t, results[len(results)-1], tt.want)
			is.Equal(s.InForce, nil)
		})
	}
}

// The response to an append is lost, so the command appends the record again, after other
// records and possibly with another ID. The second record must be a duplicate, not rejected.
func TestRetryAfterLostResponseIsDuplicate(t *testing.T) {
	is := is.New(t)
	var log testLog
	records := release(testBundle(1, "a"), 0)
	for range 2 {
		for i, r := range records {
			log.add(string(rune('a'+i)), r)
		}
	}
	for i, r := range records {
		log.add(string(rune('k'+i)), r)
	}
	results := log.applyTo(New(testSigners()))
	for i := range 9 {
		want := Result(Duplicate{})
		if i < 3 {
			want = Accepted{}
		}
		is.Equal(results[i], want)
	}
}

// Version 2 revokes the approver of version 3, which is a candidate. The approval must no
// longer count, and another approver may approve the version again.
func TestRevokedApprovalIsDropped(t *testing.T) {
	is := is.New(t)
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	two := testBundle(2, "b")
	two.Signers[2].Revoked = true
	log.addAll(release(two, 1)[:2]...)
	three := publish(testBundle(3, "c"), "boris")
	log.addAll(record.BundlePublished{Signed: three}, record.BundleApproved{Approval: approve(three, "cene")})
	s := New(testSigners())
	log.applyTo(s)
	is.True(s.candidate(3).Approved())
	view := s.Snapshot()
	log.addAll(release(two, 1)[2])
	log.addAll(record.BundleRolled{Roll: roll(three, 2, "dora")})
	results := log.applyTo(s)
	is.Equal(results[0], Accepted{})
	requireRejected(t, results[1], CauseUnapproved)
	is.True(!s.candidate(3).Approved())
	is.True(view.Candidates[1].Approved())
	log.addAll(record.BundleApproved{Approval: approve(three, "dora")}, record.BundleRolled{Roll: roll(three, 2, "dora")})
	results = log.applyTo(s)
	is.Equal(results[0], Accepted{})
	is.Equal(results[1], Accepted{})
}

// Version 1 revokes the publisher of version 2, which is a candidate. The candidate must be
// dropped.
func TestCandidateOfRevokedPublisherIsDropped(t *testing.T) {
	is := is.New(t)
	var log testLog
	one := testBundle(1, "b")
	one.Signers[1].Revoked = true
	log.addAll(release(one, 0)[:2]...)
	two := publish(testBundle(2, "c"), "boris")
	log.addAll(record.BundlePublished{Signed: two}, release(one, 0)[2], record.BundleApproved{Approval: approve(two, "dora")})
	s := New(testSigners())
	results := log.applyTo(s)
	is.Equal(results[3], Accepted{})
	requireRejected(t, results[4], CauseUnknownVersion)
	is.Equal(len(s.Candidates), 0)
	is.Equal(s.Head, uint64(2))
}

// A reader holds a snapshot while further records are applied. A later approval must not
// appear in the snapshot.
func TestSnapshotKeepsCandidates(t *testing.T) {
	is := is.New(t)
	var log testLog
	one := publish(testBundle(1, "a"), "ana")
	log.addAll(record.BundlePublished{Signed: one})
	s := New(testSigners())
	log.applyTo(s)
	view := s.Snapshot()
	log.addAll(record.BundleApproved{Approval: approve(one, "cene")})
	log.applyTo(s)
	is.True(!view.Candidates[0].Approved())
	is.True(s.Candidates[0].Approved())
}

// A publisher publishes without limit. The number of candidates must stay bounded, and an
// approved candidate must not be dropped.
func TestNumberOfCandidatesIsLimited(t *testing.T) {
	is := is.New(t)
	var log testLog
	for v := uint64(1); v <= maxCandidates+4; v++ {
		signed := publish(testBundle(v, "a"), "ana")
		log.addAll(record.BundlePublished{Signed: signed})
		if v == 2 {
			log.addAll(record.BundleApproved{Approval: approve(signed, "cene")})
		}
	}
	s := New(testSigners())
	log.applyTo(s)
	is.Equal(len(s.Candidates), maxCandidates)
	is.Equal(s.Candidates[0].Signed.Statement.Version, uint64(2))
	is.Equal(s.Candidates[1].Signed.Statement.Version, uint64(6))
}

// publishedDelta returns the record that publishes next as a delta from base.
func publishedDelta(base, next *bundle.Bundle, baseHash []byte) record.BundlePublished {
	signed := publish(next, "ana")
	d := must(bundle.NewDelta(base, baseHash, next, signed.Statement.Hash))
	return record.BundlePublished{Signed: bundle.Signed{Statement: signed.Statement}, Delta: &d}
}

func TestPublishedDeltas(t *testing.T) {
	one, two, three := testBundle(1, "a"), testBundle(2, "b"), testBundle(3, "c")
	hash := func(b *bundle.Bundle) []byte { return publish(b, "ana").Statement.Hash }
	both := publishedDelta(one, two, hash(one))
	both.Signed.Canonical = publish(two, "ana").Canonical
	tests := map[string]struct {
		records []record.Record
		cause   Cause
	}{
		"from bundle in force": {records: []record.Record{publishedDelta(one, two, hash(one))}},
		"from candidate":       {records: []record.Record{publishedDelta(one, two, hash(one)), publishedDelta(two, three, hash(two))}},
		"from unknown base":    {records: []record.Record{publishedDelta(two, two, hash(two))}, cause: CauseInvalidBundle},
		"both forms":           {records: []record.Record{both}, cause: CauseInvalidBundle},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log testLog
			log.addAll(release(one, 0)...)
			log.addAll(tt.records...)
			s := New(testSigners())
			results := log.applyTo(s)
			if tt.cause != "" {
				requireRejected(t, results[len(results)-1], tt.cause)
				return
			}
			is.Equal(results[len(results)-1], Accepted{})
			last := s.Candidates[len(s.Candidates)-1]
			is.Equal(last.Signed, publish(testBundle(uint64(len(tt.records))+1, []string{"b", "c"}[len(tt.records)-1]), "ana"))
			restored := must(Restore(must(s.Encode()), testSigners()))
			base, _ := restored.BundleByHash(last.Signed.Statement.Hash)
			is.True(base != nil)
		})
	}
}
