package logcl

import (
	"errors"
	"math/rand/v2"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// ReaderConfig bounds a Reader.
type ReaderConfig struct {
	// Anchors are the signers that the fold trusts at first.
	Anchors []bundle.Signer
	// MaxEntries bounds the entries of one read.
	MaxEntries int
	// PerSecond and Burst bound the calls: a log that does not wait with empty answers, or
	// whose clock is ahead, would be read without pause.
	PerSecond float64
	Burst     int
	// Random spreads retries.
	Random *rand.Rand
}

// Fetch is the next call of Log.Read, whose answer goes to Handle as Fetched.
type Fetch struct {
	From  uint64
	Limit int
	// At is when the call may leave.
	At Time
}

// FetchResult is the answer of Log.Read to a Fetch that left at AskedAt.
type FetchResult struct {
	Fetch   Fetch
	AskedAt Time
	Batch   Batch
	// Err is nil, or one that wraps an error of this package.
	Err error
}

// ReadEffect is an output of a Reader. The set is sealed.
type ReadEffect interface {
	isReadEffect()
}

// EntryApplied is one entry that the reader met, and what the fold made of it. The shell reports
// a fold.Refused with offset and reason, and tells the Appender that the ID was Seen.
type EntryApplied struct {
	Entry  record.Entry
	Result fold.Result
}

// CaughtUp says that the state holds all that stood in the log at AskedAt.
type CaughtUp struct {
	AskedAt Time
}

// GapFound says that the log has forgotten records which the reader needs. It goes on at the
// next checkpoint, and without one from Oldest with what is left.
type GapFound struct {
	Wanted uint64
	Oldest uint64
}

// StateReset says that the log started anew. The state is that of an empty log, and what the
// instance holds must be appended again: the bundle in force, its assignments, its term.
type StateReset struct {
	Identity string
}

// ReadFailed says that the log could not be read.
type ReadFailed struct {
	Err error
}

func (EntryApplied) isReadEffect() {}
func (CaughtUp) isReadEffect()     {}
func (GapFound) isReadEffect()     {}
func (StateReset) isReadEffect()   {}
func (ReadFailed) isReadEffect()   {}

// Reader follows the log and folds it. It has no input or output: Start gives the first
// Fetch, and Handle takes the answer of each and gives effects and the next.
type Reader struct {
	config   ReaderConfig
	pace     *pace
	state    *fold.State
	identity string
	// scanning says that the reader looks for a checkpoint, at scan, because of a gap.
	scanning bool
	scan     uint64
	// recheck says that the entry before state.Next is to be read once more: after a failure
	// the log that answers may be another one.
	recheck bool
	// forgotten says that this entry is forgotten, so that the next read starts after it.
	forgotten bool
}

// NewReader returns a Reader at the start of the log.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{
		config: config,
		pace:   newPace(config.PerSecond, config.Burst, config.Random),
		state:  fold.New(config.Anchors),
	}
}

// State returns the folded state. The next Handle changes it.
func (r *Reader) State() *fold.State {
	return r.state
}

// Start returns the first Fetch.
func (r *Reader) Start(now Time) Fetch {
	return r.next(now)
}

// Handle takes the answer to a Fetch. The time never goes back.
func (r *Reader) Handle(now Time, e FetchResult) ([]ReadEffect, Fetch) {
	if e.Err != nil && !errors.Is(e.Err, ErrGap) {
		r.pace.failed(now)
		r.recheck = true
		return []ReadEffect{ReadFailed{Err: e.Err}}, r.next(now)
	}
	r.pace.succeeded()
	var effects []ReadEffect
	switch {
	case r.isAnotherLog(e.Batch):
		effects = r.restart(e.Batch)
	case errors.Is(e.Err, ErrGap):
		effects = r.gap(e)
	default:
		effects = r.fold(e)
	}
	return effects, r.next(now)
}

// isAnotherLog tells by identity, or by an end before what was read already, that the log
// was replaced. A new log that has grown past that point shows by the entry before, which is
// read again after a failure, and each time from a log that names no identity: such a log is
// polled at the bounded rate in place of waiting at its end.
func (r *Reader) isAnotherLog(b Batch) bool {
	return r.identity != "" && b.Identity != r.identity || b.Next < r.state.Next
}

func (r *Reader) restart(b Batch) []ReadEffect {
	r.identity = b.Identity
	r.state = fold.New(r.config.Anchors)
	r.scanning, r.recheck = false, false
	return []ReadEffect{StateReset{Identity: b.Identity}}
}

// gap starts the search for a checkpoint. Where the search itself meets a gap, the log has
// forgotten more meanwhile, and it goes on from there.
func (r *Reader) gap(e FetchResult) []ReadEffect {
	r.identity = e.Batch.Identity
	if e.Fetch.From+1 == r.state.Next && e.Batch.Oldest == r.state.Next {
		// Only the entry to be read once more is forgotten.
		r.recheck, r.forgotten = false, true
		return nil
	}
	r.scanning, r.recheck = true, false
	r.scan = e.Batch.Oldest
	return []ReadEffect{GapFound{Wanted: e.Fetch.From, Oldest: e.Batch.Oldest}}
}

func (r *Reader) fold(e FetchResult) []ReadEffect {
	r.identity = e.Batch.Identity
	r.recheck = false
	var effects []ReadEffect
	for _, entry := range e.Batch.Entries {
		if r.scanning {
			r.scan = entry.Offset + 1
		}
		verdict := r.state.Apply(entry)
		switch verdict.(type) {
		case fold.LogReplaced:
			return append(effects, r.restart(e.Batch)...)
		case fold.Gap:
			continue
		}
		effects = append(effects, EntryApplied{Entry: entry, Result: verdict})
		r.scanning = false
		if r.state.Next <= entry.Offset {
			// A checkpoint was taken over: the records after its mark are read next.
			return effects
		}
	}
	if r.scanning && r.scan >= e.Batch.Next {
		// No checkpoint in the whole log: what is left is folded as it is.
		r.state = fold.NewAt(r.config.Anchors, e.Batch.Oldest)
		r.scanning = false
		return effects
	}
	if !r.scanning && r.state.Next >= e.Batch.Next {
		effects = append(effects, CaughtUp{AskedAt: e.AskedAt})
	}
	return effects
}

func (r *Reader) next(now Time) Fetch {
	fetch := Fetch{From: r.state.Next, Limit: r.config.MaxEntries}
	switch {
	case r.scanning:
		fetch.From = r.scan
	case r.forgotten:
		r.forgotten = false
	case (r.recheck || r.identity == "") && r.state.Next > r.state.StartOffset:
		fetch.From = r.state.Next - 1
	}
	fetch.At = r.pace.reserve(now)
	return fetch
}
