package logcl

import (
	"errors"
	"math/rand/v2"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	// Anchors lists the signers that are trusted at the start of the log.
	Anchors []bundle.Signer
	// MaxEntries is the largest number of entries in one read.
	MaxEntries int
	// PerSecond and Burst limit the rate of calls. Without a limit, a log that does not delay
	// empty responses, or whose clock is ahead, would be polled in a busy loop.
	PerSecond float64
	Burst     int
	// Random adds jitter to retries.
	Random *rand.Rand
}

// Fetch is the next call of Log.Read, whose result goes to Handle as FetchResult.
type Fetch struct {
	From  uint64
	Limit int
	// At is the earliest time of the call.
	At Time
}

// FetchResult is the result of Log.Read for a Fetch that was sent at AskedAt.
type FetchResult struct {
	Fetch   Fetch
	AskedAt Time
	Batch   Batch
	// Err is nil or wraps an error of this package.
	Err error
}

// ReadEffect is an output of a Reader. Only types of this package implement it.
type ReadEffect interface {
	isReadEffect()
}

// EntryApplied reports that an entry was applied to the state, and with what result. The caller
// logs a rejected entry with its offset and reason, and passes the ID to the Appender as
// EntryRead.
type EntryApplied struct {
	Entry  record.Entry
	Result fold.Result
}

// CaughtUp reports that the state includes all records that were in the log at AskedAt.
type CaughtUp struct {
	AskedAt Time
}

// GapFound reports that the log no longer retains records from offset Wanted on, which the
// reader needs. The reader continues at the next checkpoint. If there is none, it starts with an
// empty state at Oldest.
type GapFound struct {
	Wanted uint64
	Oldest uint64
}

// StateReset reports that the log was replaced by a new one. The state is that of an empty log.
// The caller must append again what the instance holds: the bundle in force, its assignments and
// its term.
type StateReset struct {
	Identity string
}

// ReadFailed reports that the log could not be read.
type ReadFailed struct {
	Err error
}

func (EntryApplied) isReadEffect() {}
func (CaughtUp) isReadEffect()     {}
func (GapFound) isReadEffect()     {}
func (StateReset) isReadEffect()   {}
func (ReadFailed) isReadEffect()   {}

// Reader reads the log and applies its records to a state. It performs no I/O: Start returns the
// first Fetch, and Handle takes the result of a Fetch and returns effects and the next Fetch.
type Reader struct {
	config   ReaderConfig
	pacer    *pacer
	state    *fold.State
	identity string
	// scanning reports whether the reader searches for a checkpoint after a gap, and scanOffset
	// is the offset that it reads next in this search.
	scanning   bool
	scanOffset uint64
	// recheck reports whether the next read starts with the entry before state.Next, to detect
	// that the log was replaced. It is set after a failure, since another log may respond next.
	recheck bool
	// skipRecheck reports whether the log no longer retains that entry, so that the next read
	// starts after it.
	skipRecheck bool
}

// NewReader returns a Reader at the start of the log.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{
		config: config,
		pacer:  newPacer(config.PerSecond, config.Burst, config.Random),
		state:  fold.New(config.Anchors),
	}
}

// State returns the state as of the records applied so far. The next call of Handle changes it.
func (r *Reader) State() *fold.State {
	return r.state
}

// Start returns the first Fetch.
func (r *Reader) Start(now Time) Fetch {
	return r.nextFetch(now)
}

// Handle processes the result of a Fetch. It returns effects and the next Fetch. The time must
// not go back.
func (r *Reader) Handle(now Time, e FetchResult) ([]ReadEffect, Fetch) {
	if e.Err != nil && !errors.Is(e.Err, ErrGap) {
		r.pacer.failed(now)
		r.recheck = true
		return []ReadEffect{ReadFailed{Err: e.Err}}, r.nextFetch(now)
	}
	r.pacer.succeeded()
	var effects []ReadEffect
	switch {
	case r.isReplaced(e.Batch):
		effects = r.reset(e.Batch)
	case errors.Is(e.Err, ErrGap):
		effects = r.handleGap(e)
	default:
		effects = r.apply(e)
	}
	return effects, r.nextFetch(now)
}

// isReplaced reports whether the log was replaced by a new one, which shows by another identity
// or by an end below the offset read so far. A new log that is already longer and states no
// identity is detected by fold.State.Apply, because the last entry is read again: after each
// failure, and in every read of a log without identity. Reads of such a log return at once
// instead of waiting for a record at its end, so only the rate limit bounds them.
func (r *Reader) isReplaced(b Batch) bool {
	return r.identity != "" && b.Identity != r.identity || b.Next < r.state.Next
}

// reset starts the state anew for a log that replaced the one before.
func (r *Reader) reset(b Batch) []ReadEffect {
	r.identity = b.Identity
	r.state = fold.New(r.config.Anchors)
	r.scanning, r.recheck = false, false
	return []ReadEffect{StateReset{Identity: b.Identity}}
}

// handleGap starts the search for a checkpoint at the oldest retained record. If the search
// itself meets a gap, because the log has dropped more records meanwhile, it continues from the
// new oldest record.
func (r *Reader) handleGap(e FetchResult) []ReadEffect {
	r.identity = e.Batch.Identity
	if e.Fetch.From+1 == r.state.Next && e.Batch.Oldest == r.state.Next {
		// Only the entry to be rechecked is no longer retained.
		r.recheck, r.skipRecheck = false, true
		return nil
	}
	r.scanning, r.recheck = true, false
	r.scanOffset = e.Batch.Oldest
	return []ReadEffect{GapFound{Wanted: e.Fetch.From, Oldest: e.Batch.Oldest}}
}

// apply applies the entries of a batch to the state. During a search for a checkpoint it skips
// all entries before the checkpoint.
func (r *Reader) apply(e FetchResult) []ReadEffect {
	r.identity = e.Batch.Identity
	r.recheck = false
	var effects []ReadEffect
	for _, entry := range e.Batch.Entries {
		if r.scanning {
			r.scanOffset = entry.Offset + 1
		}
		result := r.state.Apply(entry)
		switch result.(type) {
		case fold.LogReplaced:
			return append(effects, r.reset(e.Batch)...)
		case fold.Gap:
			continue
		}
		effects = append(effects, EntryApplied{Entry: entry, Result: result})
		r.scanning = false
		if r.state.Next <= entry.Offset {
			// The state was restored from a checkpoint. The records after its mark are read next.
			return effects
		}
	}
	if r.scanning && r.scanOffset >= e.Batch.Next {
		// The log has no checkpoint, so the state starts empty at the oldest retained record.
		r.state = fold.NewAt(r.config.Anchors, e.Batch.Oldest)
		r.scanning = false
		return effects
	}
	if !r.scanning && r.state.Next >= e.Batch.Next {
		effects = append(effects, CaughtUp{AskedAt: e.AskedAt})
	}
	return effects
}

// nextFetch returns the Fetch for the next record, for the next step of the search for a
// checkpoint, or for the last applied entry if it is to be rechecked.
func (r *Reader) nextFetch(now Time) Fetch {
	fetch := Fetch{From: r.state.Next, Limit: r.config.MaxEntries}
	switch {
	case r.scanning:
		fetch.From = r.scanOffset
	case r.skipRecheck:
		r.skipRecheck = false
	case (r.recheck || r.identity == "") && r.state.Next > r.state.StartOffset:
		fetch.From = r.state.Next - 1
	}
	fetch.At = r.pacer.reserve(now)
	return fetch
}
