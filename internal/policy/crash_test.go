package policy

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// expiryMillis is when the crash records of the tests expire.
const expiryMillis = 100_000

// A request crashes its server and is resent with a new id each time. After two crashes it is
// blocked at all instances. Another request that ran beside it both times got a response in
// between, and is never blocked.
func TestTrackerBlocksTheCause(t *testing.T) {
	is := is.New(t)
	tracker := NewCrashTracker("pregled")
	const cause, bystander Fingerprint = 1, 2
	for _, f := range []Fingerprint{cause, bystander} {
		tracker.RecordCrash(f, Loss{Server: "a", AtNanos: 10}, expiryMillis)
		is.Equal(tracker.SuspicionOf(f, 2, 10), Suspect)
	}
	tracker.Clear(bystander, 20)
	is.Equal(tracker.SuspicionOf(bystander, 2, 20), Unsuspected)
	tracker.RecordCrash(cause, Loss{Server: "b", AtNanos: 30}, expiryMillis)
	tracker.RecordCrash(bystander, Loss{Server: "b", AtNanos: 30}, expiryMillis)
	is.Equal(tracker.SuspicionOf(cause, 2, 30), Blocked)
	is.Equal(tracker.SuspicionOf(bystander, 2, 30), Suspect)

	other := NewCrashTracker("pregled")
	other.Merge(tracker.Records(30))
	is.Equal(other.SuspicionOf(cause, 2, 30), Blocked)
	is.Equal(other.SuspicionOf(bystander, 2, 30), Suspect)

	other.SetLifted([]Fingerprint{cause})
	is.Equal(other.SuspicionOf(cause, 2, 30), Unsuspected)
	is.Equal(tracker.SuspicionOf(cause, 2, expiryMillis), Unsuspected)
	is.Equal(len(tracker.Records(expiryMillis)), 0)
}

// A request crashes a server where two other requests with the same fingerprint run as well. Each
// of these two sees the loss, a few milliseconds apart. If that counted as two crashes, all
// requests with that fingerprint would be blocked: once this rejected 425 of them.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	const second = int64(1_000_000_000)
	const bystander Fingerprint = 1
	tracker := NewCrashTracker("pregled")
	first, other := Loss{Server: "a", AtNanos: second}, Loss{Server: "a", AtNanos: second + 3_000_000}
	tracker.AddPendingLoss(bystander, first)
	tracker.AddPendingLoss(bystander, other)
	is.Equal(tracker.SuspicionOf(bystander, 2, 10), Suspect) // both losses are pending
	tracker.ResolvePendingLoss(bystander, first, true, expiryMillis)
	is.Equal(tracker.SuspicionOf(bystander, 2, 10), Suspect) // one loss is pending
	tracker.ResolvePendingLoss(bystander, other, true, expiryMillis)
	is.Equal(tracker.SuspicionOf(bystander, 2, 10), Suspect)
	tracker.RecordCrash(bystander, Loss{Server: "a", AtNanos: 2 * second}, expiryMillis)
	is.Equal(tracker.SuspicionOf(bystander, 2, 10), Blocked) // a second crash of the same server counts
}

// A server closes one connection without a response but does not crash. The request is suspected
// only until the loss is resolved.
func TestPendingLossIsResolved(t *testing.T) {
	is := is.New(t)
	tracker := NewCrashTracker("pregled")
	loss := Loss{Server: "a", AtNanos: 10}
	tracker.AddPendingLoss(1, loss)
	is.True(tracker.Any())
	is.Equal(tracker.SuspicionOf(1, 2, 10), Suspect)
	is.Equal(len(tracker.Records(10)), 0)
	tracker.ResolvePendingLoss(1, loss, false, 0)
	is.Equal(tracker.SuspicionOf(1, 2, 10), Unsuspected)
	is.True(!tracker.Any())
	tracker.AddPendingLoss(1, loss)
	tracker.ResolvePendingLoss(1, loss, true, expiryMillis)
	is.Equal(tracker.SuspicionOf(1, 1, 10), Blocked)
}

// Records of other instances arrive in any order and more than once. All instances must end with
// the same records.
func TestCrashRecordsMergeInAnyOrder(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) CrashRecord {
		return CrashRecord{
			Service: "pregled", Fingerprint: 1,
			Losses: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Loss {
				return Loss{Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), AtNanos: rapid.Int64Range(1, 9).Draw(t, "at")}
			}), 0, 3).Draw(t, "losses"),
			ClearedNanos: rapid.Int64Range(0, 9).Draw(t, "cleared"),
			UntilMillis:  rapid.Int64Range(50, 60).Draw(t, "until"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(record, 1, 6).Draw(t, "blocks")
		shuffled := rapid.Permutation(append(records, records[0])).Draw(t, "again")
		one, two := NewCrashTracker("pregled"), NewCrashTracker("pregled")
		one.Merge(records)
		for _, r := range shuffled {
			two.Merge([]CrashRecord{r})
		}
		x, y := one.Records(0), two.Records(0)
		if len(x) != 1 || len(y) != 1 {
			t.Fatalf("%d and %d records", len(x), len(y))
		}
		if len(x[0].Losses) != len(y[0].Losses) || x[0].ClearedNanos != y[0].ClearedNanos || x[0].UntilMillis != y[0].UntilMillis {
			t.Fatalf("%+v and %+v", x[0], y[0])
		}
	})
}

func TestTrackerLimitsSuspects(t *testing.T) {
	is := is.New(t)
	tracker := NewCrashTracker("pregled")
	for i := range maxSuspects + 10 {
		tracker.RecordCrash(Fingerprint(i+1), Loss{Server: "a", AtNanos: 1}, int64(100+i))
	}
	is.Equal(len(tracker.Records(0)), maxSuspects)
	is.Equal(tracker.SuspicionOf(1, 1, 0), Unsuspected)
	is.Equal(tracker.SuspicionOf(maxSuspects+10, 1, 0), Blocked)
}
