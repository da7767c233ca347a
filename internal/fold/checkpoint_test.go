package fold

import (
	"bytes"
	"crypto/ed25519"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// history is a journal with a release, a claim and an assignment.
func history() *journal {
	var j journal
	j.addAll(release(sample(1, "a"), 0)...)
	j.addAll(claimOf(0, "one"), record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf("pregled-1", 1, 1, keys.Full)},
	})
	return &j
}

// checkpoint appends a mark and, after further records, its checkpoint by a reader of all.
func (j *journal) checkpoint(between ...record.Record) record.Entry {
	j.addAll(record.CheckpointMarked{Instance: "one"})
	writer := New(crew())
	j.fold(writer)
	c := must(writer.NewCheckpoint())
	j.addAll(between...)
	return j.add("checkpoint", c)
}

// The log forgot the records before a checkpoint. An instance that starts now must reach the
// state of those that read everything, bundle and memory of IDs included.
func TestReaderStartsAtCheckpoint(t *testing.T) {
	is := is.New(t)
	j := history()
	at := j.checkpoint(claimOf(1, "two"))
	j.addAll(claimOf(2, "three"))
	whole, late := New(crew()), New(crew())
	j.fold(whole)
	is.Equal(late.Apply(j.entries[at.Offset]), Accepted{})
	is.True(late.Next < at.Offset)
	is.Equal(late.InForce.Version, uint64(1))
	j.fold(late)
	is.True(bytes.Equal(must(late.Encode()), must(whole.Encode())))
}

func TestGapWithoutCheckpoint(t *testing.T) {
	is := is.New(t)
	j := history()
	s := New(crew())
	is.Equal(s.Apply(j.entries[2]), Gap{Next: 0, Offset: 2})
	is.Equal(s.Next, uint64(0))
}

// An instance with a fault writes a checkpoint that says something else than the records.
// Readers that have the records must not follow it.
func TestCheckpointThatDisagreesIsRefused(t *testing.T) {
	is := is.New(t)
	j := history()
	j.addAll(record.CheckpointMarked{Instance: "one"})
	writer := New(crew())
	j.fold(writer)
	writer.marks[0].state.Terms["klet"] = Term{Log: 9, Instance: "wrong"}
	j.addAll(must(writer.NewCheckpoint()))
	s := New(crew())
	v := j.fold(s)
	refusal(t, v[len(v)-1], CauseCheckpoint)
	is.Equal(s.Terms["klet"].Log, uint64(1))
}

// Two instances found a gap and no checkpoint, and started at different offsets. One that
// read from further back writes a checkpoint; the other must go over to it, not the reverse.
func TestShorterHistoryGivesWay(t *testing.T) {
	is := is.New(t)
	j := history()
	short := NewAt(crew(), 3)
	j.checkpoint()
	j.fold(short)
	whole := New(crew())
	j.fold(whole)
	is.Equal(short.StartOffset, uint64(0))
	is.True(bytes.Equal(must(short.Encode()), must(whole.Encode())))

	j.addAll(record.CheckpointMarked{Instance: "two"})
	other := NewAt(crew(), 3)
	for other.Next < uint64(len(j.entries)) && other.StartOffset == 3 {
		e := j.entries[other.Next]
		if r, err := record.Decode(e.Data); err == nil {
			if _, ok := r.(record.Checkpoint); ok {
				other.Next++
				continue
			}
		}
		other.Apply(e)
	}
	j.addAll(must(other.NewCheckpoint()))
	v := j.fold(whole)
	refusal(t, v[len(v)-1], CauseCheckpoint)
}

// A newer release writes a kind of record that this one does not know. This one must not
// overwrite the newer state by a checkpoint of its own, nor lead by what it half knows.
func TestNewerRecordStopsCheckpoints(t *testing.T) {
	is := is.New(t)
	j := history()
	j.addAll(record.CheckpointMarked{Instance: "one"})
	at := j.addData("new", []byte(`{"format":2,"kind":"server-borrowed","body":{}}`))
	s := New(crew())
	v := j.fold(s)
	refusal(t, v[len(v)-1], CauseNewer)
	is.Equal(s.NewerRecord.Offset, at.Offset)
	is.True(!s.MayLead())
	_, err := s.NewCheckpoint()
	is.True(err != nil)
	_, err = s.Encode()
	is.True(err != nil)
}

func TestUnreadableRecordsAreRefused(t *testing.T) {
	tests := map[string]struct {
		data string
		want Cause
	}{
		"no JSON":        {data: "seven", want: CauseMalformed},
		"no format":      {data: `{"kind":"checkpoint","body":{}}`, want: CauseMalformed},
		"unknown kind":   {data: `{"format":1,"kind":"nothing","body":{}}`, want: CauseMalformed},
		"unknown member": {data: `{"format":1,"kind":"term-claimed","body":{"colour":1}}`, want: CauseMalformed},
		"newer format":   {data: `{"format":2,"kind":"term-claimed","body":{}}`, want: CauseNewer},
		"newer bundle":   {data: newerBundle("ana"), want: CauseNewer},
		"newer unsigned": {data: newerBundle("cene"), want: CauseSignature},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var j journal
			j.addData("x", []byte(tt.data))
			s := New(crew())
			refusal(t, j.fold(s)[0], tt.want)
			is.Equal(s.NewerRecord != nil, tt.want == CauseNewer)
			is.Equal(s.Next, uint64(1))
		})
	}
}

// newerBundle returns a published bundle of format 2, signed by somebody.
func newerBundle(name string) string {
	canonical := []byte(`{"format":2,"version":1,"follows":0,"colours":[]}`)
	st := publish(sample(1, "a"), name).Statement
	st.Hash = bundle.Hash(canonical)
	st.Signature = ed25519.Sign(keyOf(name), st.Text())
	signed := bundle.Signed{Canonical: canonical, Statement: st}
	return string(must(record.Encode(record.BundlePublished{Signed: signed})))
}

// The log service was replaced by an empty one and has grown past the offset that a reader
// waits for. Offsets alone do not show it; the last entry it read is another one now.
func TestNewLogIsNoticed(t *testing.T) {
	is := is.New(t)
	j := history()
	s := New(crew())
	j.fold(s)
	last := j.entries[s.Next-1]
	is.Equal(s.Apply(last), Duplicate{})
	last.ID = "another"
	is.Equal(s.Apply(last), LogReplaced{Offset: last.Offset})
}

// The newer release writes a checkpoint that this one can read: it is then as good as any.
func TestCheckpointEndsTheDoubtOfANewerRecord(t *testing.T) {
	is := is.New(t)
	j := history()
	j.addData("new", []byte(`{"format":2,"kind":"server-borrowed","body":{}}`))
	s := New(crew())
	j.fold(s)
	is.True(!s.MayLead())
	newer := New(crew())
	j.fold(newer)
	newer.NewerRecord = nil
	newer.Terms["klet"] = Term{Log: 5, Instance: "one"}
	j.addAll(record.CheckpointMarked{Instance: "one"})
	newer.Apply(j.entries[newer.Next])
	j.addAll(must(newer.NewCheckpoint()))
	j.fold(s)
	is.True(s.MayLead())
	is.Equal(s.Terms["klet"].Log, uint64(5))
}
