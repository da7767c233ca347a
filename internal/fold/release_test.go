package fold

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

func TestReleaseComesIntoForce(t *testing.T) {
	is := is.New(t)
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	j.addAll(release(sample(2, "b"), 1)...)
	s := New(crew())
	for _, v := range j.fold(s) {
		is.Equal(v, Accepted{})
	}
	is.Equal(s.InForce.Version, uint64(2))
	is.Equal(s.InForceOffset, uint64(5))
	is.Equal(len(s.Candidates), 0)
	b, err := s.Proof.Verify(crew())
	is.NoErr(err)
	is.Equal(b, s.InForce)
}

// Two operators publish version 1 at the same moment. Each is told that the append
// succeeded. The one whose record stands second in the log must learn that it lost, and to
// whom, or it would roll a bundle that is not its own.
func TestPublishRaceNamesTheWinner(t *testing.T) {
	is := is.New(t)
	first, second := publish(sample(1, "a"), "ana"), publish(sample(1, "b"), "boris")
	var j journal
	j.addAll(record.BundlePublished{Signed: first}, record.BundlePublished{Signed: second})
	verdicts := j.fold(New(crew()))
	is.Equal(verdicts[0], Accepted{})
	r := refusal(t, verdicts[1], CauseLost)
	is.Equal(r.Winner, Winner{Version: 1, Hash: first.Statement.Hash, Signer: "ana", Offset: 0})
	is.Equal(r.Offset, uint64(1))
}

// Two operators roll two approved versions at once, each having seen version 1 in force. The
// second had planned its moves from version 1, so it is refused.
func TestRollRaceNamesTheWinner(t *testing.T) {
	is := is.New(t)
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	two, three := publish(sample(2, "b"), "ana"), publish(sample(3, "c"), "boris")
	j.addAll(
		record.BundlePublished{Signed: two},
		record.BundlePublished{Signed: three},
		record.BundleApproved{Approval: approve(two, "cene")},
		record.BundleApproved{Approval: approve(three, "dora")},
		record.BundleRolled{Roll: roll(two, 1, "cene")},
		record.BundleRolled{Roll: roll(three, 1, "dora")},
		record.BundleRolled{Roll: roll(three, 2, "dora")},
		record.BundleRolled{Roll: roll(two, 3, "cene")},
	)
	s := New(crew())
	v := j.fold(s)
	is.Equal(v[7], Accepted{})
	r := refusal(t, v[8], CauseLost)
	is.Equal(r.Winner, Winner{Version: 2, Hash: two.Statement.Hash, Signer: "cene", Offset: 7})
	is.Equal(v[9], Accepted{})
	is.Equal(refusal(t, v[10], CauseLost).Winner.Version, uint64(3))
	is.Equal(s.InForce.Version, uint64(3))
}

func TestRefusedReleases(t *testing.T) {
	one := publish(sample(1, "a"), "ana")
	published := record.BundlePublished{Signed: one}
	approved := record.BundleApproved{Approval: approve(one, "cene")}
	rolled := record.BundleRolled{Roll: roll(one, 0, "cene")}
	other := publish(sample(1, "b"), "ana")
	shared := crew()
	shared[2].PublicKey = shared[0].PublicKey
	tests := map[string]struct {
		anchors []bundle.Signer
		records []record.Record
		want    Cause
	}{
		"unpublished":    {records: []record.Record{approved}, want: CauseUnknown},
		"unapproved":     {records: []record.Record{published, rolled}, want: CauseUnapproved},
		"out of order":   {records: []record.Record{record.BundlePublished{Signed: publish(sample(2, "a"), "ana")}}, want: CauseOrder},
		"other hash":     {records: []record.Record{published, record.BundleApproved{Approval: approve(other, "cene")}}, want: CauseLost},
		"no publisher":   {records: []record.Record{record.BundlePublished{Signed: publish(sample(1, "a"), "cene")}}, want: CauseSignature},
		"no roller":      {records: []record.Record{published, approved, record.BundleRolled{Roll: roll(one, 0, "ana")}}, want: CauseSignature},
		"second approve": {records: []record.Record{published, approved, record.BundleApproved{Approval: approve(one, "dora")}}, want: CauseLost},
		"shared key": {
			anchors: shared,
			records: []record.Record{published, record.BundleApproved{Approval: must(bundle.Approve(one.Statement, "cene", keyOf("ana")))}},
			want:    CauseSignature,
		},
		"wrong replaced": {records: []record.Record{published, approved, record.BundleRolled{Roll: roll(one, 9, "cene")}}, want: CauseLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if tt.anchors == nil {
				tt.anchors = crew()
			}
			var j journal
			j.addAll(tt.records...)
			s := New(tt.anchors)
			v := j.fold(s)
			refusal(t, v[len(v)-1], tt.want)
			is.Equal(s.InForce, nil)
		})
	}
}

// An operator appends a roll and the answer is lost, so the command appends it again, later
// and after others have written. The second record must read as a repeat, not as a refusal.
func TestRepeatAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	var j journal
	records := release(sample(1, "a"), 0)
	for range 2 {
		for i, r := range records {
			j.add(string(rune('a'+i)), r)
		}
	}
	for i, r := range records {
		j.add(string(rune('k'+i)), r)
	}
	v := j.fold(New(crew()))
	for i := range 9 {
		want := Result(Duplicate{})
		if i < 3 {
			want = Accepted{}
		}
		is.Equal(v[i], want)
	}
}

// An approver is revoked by version 3 while version 4 waits, approved by that approver. The
// approval is worth nothing then; another approver may give a new one.
func TestRevokedApprovalIsDropped(t *testing.T) {
	is := is.New(t)
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	two := sample(2, "b")
	two.Signers[2].Revoked = true
	j.addAll(release(two, 1)[:2]...)
	three := publish(sample(3, "c"), "boris")
	j.addAll(record.BundlePublished{Signed: three}, record.BundleApproved{Approval: approve(three, "cene")})
	s := New(crew())
	j.fold(s)
	is.True(s.candidate(3).Approved())
	view := s.Snapshot()
	j.addAll(release(two, 1)[2])
	j.addAll(record.BundleRolled{Roll: roll(three, 2, "dora")})
	v := j.fold(s)
	is.Equal(v[0], Accepted{})
	refusal(t, v[1], CauseUnapproved)
	is.True(!s.candidate(3).Approved())
	is.True(view.Candidates[1].Approved())
	j.addAll(record.BundleApproved{Approval: approve(three, "dora")}, record.BundleRolled{Roll: roll(three, 2, "dora")})
	v = j.fold(s)
	is.Equal(v[0], Accepted{})
	is.Equal(v[1], Accepted{})
}

// As above, but the publisher of the waiting version is revoked: the version is dropped.
func TestVersionOfRevokedPublisherIsDropped(t *testing.T) {
	is := is.New(t)
	var j journal
	two := sample(1, "b")
	two.Signers[1].Revoked = true
	j.addAll(release(two, 0)[:2]...)
	three := publish(sample(2, "c"), "boris")
	j.addAll(record.BundlePublished{Signed: three}, release(two, 0)[2], record.BundleApproved{Approval: approve(three, "dora")})
	s := New(crew())
	v := j.fold(s)
	is.Equal(v[3], Accepted{})
	refusal(t, v[4], CauseUnknown)
	is.Equal(len(s.Candidates), 0)
	is.Equal(s.Head, uint64(2))
}

// A reader looks at a snapshot while the fold goes on: an approval must not appear in it.
func TestSnapshotKeepsCandidates(t *testing.T) {
	is := is.New(t)
	var j journal
	one := publish(sample(1, "a"), "ana")
	j.addAll(record.BundlePublished{Signed: one})
	s := New(crew())
	j.fold(s)
	view := s.Snapshot()
	j.addAll(record.BundleApproved{Approval: approve(one, "cene")})
	j.fold(s)
	is.True(!view.Candidates[0].Approved())
	is.True(s.Candidates[0].Approved())
}

// Somebody with a publisher's key publishes without end. The versions that wait stay bounded,
// and one that is approved is not pushed out.
func TestCandidatesAreBounded(t *testing.T) {
	is := is.New(t)
	var j journal
	for v := uint64(1); v <= maxCandidates+4; v++ {
		signed := publish(sample(v, "a"), "ana")
		j.addAll(record.BundlePublished{Signed: signed})
		if v == 2 {
			j.addAll(record.BundleApproved{Approval: approve(signed, "cene")})
		}
	}
	s := New(crew())
	j.fold(s)
	is.Equal(len(s.Candidates), maxCandidates)
	is.Equal(s.Candidates[0].Signed.Statement.Version, uint64(2))
	is.Equal(s.Candidates[1].Signed.Statement.Version, uint64(6))
}

// deltaOf returns the record of a version that is published as a delta.
func deltaOf(base, next *bundle.Bundle, baseHash []byte) record.BundlePublished {
	signed := publish(next, "ana")
	d := must(bundle.NewDelta(base, baseHash, next, signed.Statement.Hash))
	return record.BundlePublished{Signed: bundle.Signed{Statement: signed.Statement}, Delta: &d}
}

func TestPublishedDeltas(t *testing.T) {
	one, two, three := sample(1, "a"), sample(2, "b"), sample(3, "c")
	hash := func(b *bundle.Bundle) []byte { return publish(b, "ana").Statement.Hash }
	whole := deltaOf(one, two, hash(one))
	whole.Signed.Canonical = publish(two, "ana").Canonical
	tests := map[string]struct {
		records []record.Record
		cause   Cause
	}{
		"from in force": {records: []record.Record{deltaOf(one, two, hash(one))}},
		"from waiting":  {records: []record.Record{deltaOf(one, two, hash(one)), deltaOf(two, three, hash(two))}},
		"from nothing":  {records: []record.Record{deltaOf(two, two, hash(two))}, cause: CauseInvalid},
		"both forms":    {records: []record.Record{whole}, cause: CauseInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var j journal
			j.addAll(release(one, 0)...)
			j.addAll(tt.records...)
			s := New(crew())
			v := j.fold(s)
			if tt.cause != "" {
				refusal(t, v[len(v)-1], tt.cause)
				return
			}
			is.Equal(v[len(v)-1], Accepted{})
			last := s.Candidates[len(s.Candidates)-1]
			is.Equal(last.Signed, publish(sample(uint64(len(tt.records))+1, []string{"b", "c"}[len(tt.records)-1]), "ana"))
			restored := must(Restore(must(s.Encode()), crew()))
			base, _ := restored.BundleByHash(last.Signed.Statement.Hash)
			is.True(base != nil)
		})
	}
}
