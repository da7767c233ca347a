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

// newHistory returns a log with a release, a term claim and an assignment.
func newHistory() *testLog {
	var log testLog
	log.addAll(release(testBundle(1, "a"), 0)...)
	log.addAll(claimOf(0, "one"), record.AssignmentMade{
		Domain: "klet", Service: "pregled",
		Assignments: []record.Assignment{assignmentOf("pregled-1", 1, 1, keys.Full)},
	})
	return &log
}

// addCheckpoint appends a mark, the records in between, and the checkpoint for the mark. The
// writer of the checkpoint has applied the whole log.
func (l *testLog) addCheckpoint(between ...record.Record) record.Entry {
	l.addAll(record.CheckpointMarked{Instance: "one"})
	writer := New(testSigners())
	l.applyTo(writer)
	c := must(writer.NewCheckpoint())
	l.addAll(between...)
	return l.add("checkpoint", c)
}

// An instance that starts when the log no longer retains the records before a checkpoint must
// reach the state of the instances that read all records, including the bundle in force and
// the digests of recent records.
func TestReaderStartsAtCheckpoint(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	at := log.addCheckpoint(claimOf(1, "two"))
	log.addAll(claimOf(2, "three"))
	whole, late := New(testSigners()), New(testSigners())
	log.applyTo(whole)
	is.Equal(late.Apply(log.entries[at.Offset]), Accepted{})
	is.True(late.Next < at.Offset)
	is.Equal(late.InForce.Version, uint64(1))
	log.applyTo(late)
	is.True(bytes.Equal(must(late.Encode()), must(whole.Encode())))
}

func TestGapWithoutCheckpoint(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	s := New(testSigners())
	is.Equal(s.Apply(log.entries[2]), Gap{Next: 0, Offset: 2})
	is.Equal(s.Next, uint64(0))
}

// A faulty instance writes a checkpoint that does not agree with the records. Readers that
// have applied the records must reject it.
func TestWrongCheckpointIsRejected(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	log.addAll(record.CheckpointMarked{Instance: "one"})
	writer := New(testSigners())
	log.applyTo(writer)
	writer.marks[0].state.Terms["klet"] = Term{Log: 9, Instance: "wrong"}
	log.addAll(must(writer.NewCheckpoint()))
	s := New(testSigners())
	results := log.applyTo(s)
	requireRejected(t, results[len(results)-1], CauseCheckpoint)
	is.Equal(s.Terms["klet"].Log, uint64(1))
}

// Two instances found a gap and no checkpoint, and started at different offsets. The one with
// the shorter history must adopt a checkpoint of the other one, but not the reverse.
func TestCheckpointWithLongerHistoryIsAdopted(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	short := NewAt(testSigners(), 3)
	log.addCheckpoint()
	log.applyTo(short)
	whole := New(testSigners())
	log.applyTo(whole)
	is.Equal(short.StartOffset, uint64(0))
	is.True(bytes.Equal(must(short.Encode()), must(whole.Encode())))

	log.addAll(record.CheckpointMarked{Instance: "two"})
	other := NewAt(testSigners(), 3)
	for other.Next < uint64(len(log.entries)) && other.StartOffset == 3 {
		e := log.entries[other.Next]
		if r, err := record.Decode(e.Data); err == nil {
			if _, ok := r.(record.Checkpoint); ok {
				other.Next++
				continue
			}
		}
		other.Apply(e)
	}
	log.addAll(must(other.NewCheckpoint()))
	results := log.applyTo(whole)
	requireRejected(t, results[len(results)-1], CauseCheckpoint)
}

// A newer release writes a record of a kind that this one does not know. This release must
// not replace the newer state by its own checkpoint, nor lead based on an incomplete state.
func TestNewerRecordStopsCheckpoints(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	log.addAll(record.CheckpointMarked{Instance: "one"})
	at := log.addData("new", []byte(`{"format":2,"kind":"server-borrowed","body":{}}`))
	s := New(testSigners())
	results := log.applyTo(s)
	requireRejected(t, results[len(results)-1], CauseNewerRelease)
	is.Equal(s.NewerRecord.Offset, at.Offset)
	is.True(!s.MayLead())
	_, err := s.NewCheckpoint()
	is.True(err != nil)
	_, err = s.Encode()
	is.True(err != nil)
}

func TestUnreadableRecordsAreRejected(t *testing.T) {
	tests := map[string]struct {
		data string
		want Cause
	}{
		"not JSON":                     {data: "seven", want: CauseMalformed},
		"no format":                    {data: `{"kind":"checkpoint","body":{}}`, want: CauseMalformed},
		"unknown kind":                 {data: `{"format":1,"kind":"nothing","body":{}}`, want: CauseMalformed},
		"unknown field":                {data: `{"format":1,"kind":"term-claimed","body":{"colour":1}}`, want: CauseMalformed},
		"newer format":                 {data: `{"format":2,"kind":"term-claimed","body":{}}`, want: CauseNewerRelease},
		"newer bundle":                 {data: newerBundle("ana"), want: CauseNewerRelease},
		"newer by signer without role": {data: newerBundle("cene"), want: CauseSignature},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log testLog
			log.addData("x", []byte(tt.data))
			s := New(testSigners())
			requireRejected(t, log.applyTo(s)[0], tt.want)
			is.Equal(s.NewerRecord != nil, tt.want == CauseNewerRelease)
			is.Equal(s.Next, uint64(1))
		})
	}
}

// newerBundle returns the record of a published bundle of format 2 that name has signed.
func newerBundle(name string) string {
	canonical := []byte(`{"format":2,"version":1,"follows":0,"colours":[]}`)
	st := publish(testBundle(1, "a"), name).Statement
	st.Hash = bundle.Hash(canonical)
	st.Signature = ed25519.Sign(keyOf(name), st.Text())
	signed := bundle.Signed{Canonical: canonical, Statement: st}
	return string(must(record.Encode(record.BundlePublished{Signed: signed})))
}

// The log was replaced by an empty one, which has since grown past the offset at which a
// reader waits. Offsets do not show this; the reader detects it because the last entry that
// it read has changed.
func TestReplacedLogIsDetected(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	s := New(testSigners())
	log.applyTo(s)
	last := log.entries[s.Next-1]
	is.Equal(s.Apply(last), Duplicate{})
	last.ID = "another"
	is.Equal(s.Apply(last), LogReplaced{Offset: last.Offset})
}

// After a record that this release cannot read, the newer release writes a checkpoint that
// this one can read. It must adopt the checkpoint and may lead again.
func TestReadableCheckpointAfterNewerRecordIsAdopted(t *testing.T) {
	is := is.New(t)
	log := newHistory()
	log.addData("new", []byte(`{"format":2,"kind":"server-borrowed","body":{}}`))
	s := New(testSigners())
	log.applyTo(s)
	is.True(!s.MayLead())
	newer := New(testSigners())
	log.applyTo(newer)
	newer.NewerRecord = nil
	newer.Terms["klet"] = Term{Log: 5, Instance: "one"}
	log.addAll(record.CheckpointMarked{Instance: "one"})
	newer.Apply(log.entries[newer.Next])
	log.addAll(must(newer.NewCheckpoint()))
	log.applyTo(s)
	is.True(s.MayLead())
	is.Equal(s.Terms["klet"].Log, uint64(5))
}
