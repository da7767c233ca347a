package policy

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const blockEnd = 100_000

// A caller sends a request that crashes its server, and sends it again with a new id each
// time. After two servers it is refused everywhere. Another request that ran beside it the
// first time has an answer the next time, and is never refused.
func TestSuspectsFindTheCause(t *testing.T) {
	is := is.New(t)
	s := NewSuspects("pregled")
	const cause, bystander Fingerprint = 1, 2
	for _, p := range []Fingerprint{cause, bystander} {
		s.Lost(p, Loss{Server: "a", AtNanos: 10}, blockEnd)
		is.Equal(s.Degree(p, 2, 10), Suspect)
	}
	s.Clear(bystander, 20)
	is.Equal(s.Degree(bystander, 2, 20), Unsuspected)
	s.Lost(cause, Loss{Server: "b", AtNanos: 30}, blockEnd)
	s.Lost(bystander, Loss{Server: "b", AtNanos: 30}, blockEnd)
	is.Equal(s.Degree(cause, 2, 30), Blocked)
	is.Equal(s.Degree(bystander, 2, 30), Suspect)

	other := NewSuspects("pregled")
	other.Merge(s.Blocks(30))
	is.Equal(other.Degree(cause, 2, 30), Blocked)
	is.Equal(other.Degree(bystander, 2, 30), Suspect)

	other.Lift([]Fingerprint{cause})
	is.Equal(other.Degree(cause, 2, 30), Unsuspected)
	is.Equal(s.Degree(cause, 2, blockEnd), Unsuspected)
	is.Equal(len(s.Blocks(blockEnd)), 0)
}

// An order crashed its server, at which two orders of other callers with the same content as one
// another ran as well. Each of the two saw the loss, within a few milliseconds: that was counted as
// two crashes, and all 425 orders with that content were refused from then on.
func TestOneCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	const second = int64(1_000_000_000)
	const bystander Fingerprint = 1
	s := NewSuspects("pregled")
	first, beside := Loss{Server: "a", AtNanos: second}, Loss{Server: "a", AtNanos: second + 3_000_000}
	s.Hold(bystander, first)
	s.Hold(bystander, beside)
	is.Equal(s.Degree(bystander, 2, 10), Suspect) // while it is being found out
	s.Settle(bystander, first, true, blockEnd)
	is.Equal(s.Degree(bystander, 2, 10), Suspect) // half found out
	s.Settle(bystander, beside, true, blockEnd)
	is.Equal(s.Degree(bystander, 2, 10), Suspect)
	s.Lost(bystander, Loss{Server: "a", AtNanos: 2 * second}, blockEnd)
	is.Equal(s.Degree(bystander, 2, 10), Blocked) // a second crash of the same server counts
}

// A server closes one connection without an answer, and lives. Its request is watched while
// that is found out, and not blamed.
func TestSuspectsHoldUntilSettled(t *testing.T) {
	is := is.New(t)
	s := NewSuspects("pregled")
	held := Loss{Server: "a", AtNanos: 10}
	s.Hold(1, held)
	is.True(s.Any())
	is.Equal(s.Degree(1, 2, 10), Suspect)
	is.Equal(len(s.Blocks(10)), 0)
	s.Settle(1, held, false, 0)
	is.Equal(s.Degree(1, 2, 10), Unsuspected)
	is.True(!s.Any())
	s.Hold(1, held)
	s.Settle(1, held, true, blockEnd)
	is.Equal(s.Degree(1, 1, 10), Blocked)
}

// Gossip arrives in any order and more than once. All instances must end with the same.
func TestBlocksMergeInAnyOrder(t *testing.T) {
	block := rapid.Custom(func(t *rapid.T) CrashRecord {
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
		blocks := rapid.SliceOfN(block, 1, 6).Draw(t, "blocks")
		again := rapid.Permutation(append(blocks, blocks[0])).Draw(t, "again")
		one, two := NewSuspects("pregled"), NewSuspects("pregled")
		one.Merge(blocks)
		for _, b := range again {
			two.Merge([]CrashRecord{b})
		}
		x, y := one.Blocks(0), two.Blocks(0)
		if len(x) != 1 || len(y) != 1 {
			t.Fatalf("%d and %d blocks", len(x), len(y))
		}
		if len(x[0].Losses) != len(y[0].Losses) || x[0].ClearedNanos != y[0].ClearedNanos || x[0].UntilMillis != y[0].UntilMillis {
			t.Fatalf("%+v and %+v", x[0], y[0])
		}
	})
}

func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewSuspects("pregled")
	for i := range maxSuspects + 10 {
		s.Lost(Fingerprint(i+1), Loss{Server: "a", AtNanos: 1}, int64(100+i))
	}
	is.Equal(len(s.Blocks(0)), maxSuspects)
	is.Equal(s.Degree(1, 1, 0), Unsuspected)
	is.Equal(s.Degree(maxSuspects+10, 1, 0), Blocked)
}
