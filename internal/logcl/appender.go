package logcl

import (
	"errors"
	"math/rand/v2"
	"slices"

	"example.org/mustardring/internal/record"
)

// AppenderConfig configures an Appender.
type AppenderConfig struct {
	// PerSecond and Burst limit the rate of calls. All instances share the rate of the log.
	PerSecond float64
	Burst     int
	// MaxQueued is the largest number of records in the queue.
	MaxQueued int
	// MaxCalls is the largest number of calls in flight.
	MaxCalls int
	// Random adds jitter to retries.
	Random *rand.Rand
}

// Appender appends records at least once. It performs no I/O: Handle takes an event and the time
// and returns effects. A record is retried with the same ID and data until the log acknowledges
// it or the Reader finds it in the log. A duplicate in the log is harmless, because package fold
// recognizes it by ID and data.
type Appender struct {
	config        AppenderConfig
	pacer         *pacer
	queue         []*item
	callsInFlight int
}

// NewAppender returns an Appender with an empty queue.
func NewAppender(config AppenderConfig) *Appender {
	return &Appender{config: config, pacer: newPacer(config.PerSecond, config.Burst, config.Random)}
}

// Pending returns the number of records that are not acknowledged yet.
func (a *Appender) Pending() int {
	return len(a.queue)
}

// Handle processes one event and returns the effects. The time must not go back.
func (a *Appender) Handle(now Time, event AppendEvent) []AppendEffect {
	var effects []AppendEffect
	switch e := event.(type) {
	case Submitted:
		effects = a.submit(e)
	case WriteResult:
		effects = a.handleWriteResult(now, e)
	case EntryRead:
		effects = a.acknowledge(e.ID, e.Offset)
	case LogReplaced:
		for _, i := range a.queue {
			i.stale = i.inFlight
		}
	case Ticked:
	}
	return a.send(now, effects)
}

// submit queues a record, or merges it into a queued one. It ignores a submission that is in the
// queue already.
func (a *Appender) submit(e Submitted) []AppendEffect {
	if a.hasSubmission(e.ID) {
		return nil
	}
	if newer, ok := e.Record.(record.AssignmentMade); ok {
		if effects, merged := a.merge(e.ID, newer); merged {
			return effects
		}
	}
	effects := a.replace(e.Record)
	if len(a.queue) >= a.config.MaxQueued {
		return append(effects, Dropped{ID: e.ID, Reason: DropQueueFull})
	}
	a.queue = append(a.queue, newItem(e.ID, e.Record))
	slices.SortStableFunc(a.queue, func(x, y *item) int { return priority(x.record) - priority(y.record) })
	return effects
}

// hasSubmission reports whether the queue holds the submission with the ID.
func (a *Appender) hasSubmission(id string) bool {
	return slices.ContainsFunc(a.queue, func(i *item) bool { return slices.Contains(i.submissions, id) })
}

// merge merges a record into the newest item of the same service and domain, and reports whether
// it did. It never merges into an older item, because the record would then be appended before
// the assignments of the newest one.
func (a *Appender) merge(id string, newer record.AssignmentMade) ([]AppendEffect, bool) {
	for _, i := range slices.Backward(a.queue) {
		if i.sameService(newer) {
			replaced, merged := i.merge(id, newer)
			return drop(replaced, DropReplaced), merged
		}
	}
	return nil, false
}

// replace drops the unsent items that a newer record supersedes.
func (a *Appender) replace(newer record.Record) []AppendEffect {
	var effects []AppendEffect
	a.queue = slices.DeleteFunc(a.queue, func(i *item) bool {
		if i.sent() || !supersedes(newer, i.record) {
			return false
		}
		effects = append(effects, drop(i.submissions, DropReplaced)...)
		return true
	})
	return effects
}

func drop(ids []string, reason DropReason) []AppendEffect {
	var effects []AppendEffect
	for _, id := range ids {
		effects = append(effects, Dropped{ID: id, Reason: reason})
	}
	return effects
}

func (a *Appender) handleWriteResult(now Time, e WriteResult) []AppendEffect {
	a.callsInFlight--
	stale := a.endCall(e.ID)
	switch {
	case errors.Is(e.Err, ErrRejected):
		return a.remove(e.ID, DropRejected)
	case e.Err != nil:
		a.pacer.failed(now)
		return nil
	}
	a.pacer.succeeded()
	if stale {
		return nil
	}
	return a.acknowledge(e.ID, e.Offset)
}

// endCall records that the call for an item has ended, and reports whether its result may come
// from a log that has since been replaced.
func (a *Appender) endCall(id string) (stale bool) {
	for _, i := range a.queue {
		if i.id == id {
			stale = i.stale
			i.inFlight, i.stale = false, false
		}
	}
	return stale
}

// acknowledge removes a record that is in the log according to a response or to the Reader, and
// acknowledges its submissions. The Reader also finds records whose responses were all lost.
func (a *Appender) acknowledge(id string, offset uint64) []AppendEffect {
	var effects []AppendEffect
	a.queue = slices.DeleteFunc(a.queue, func(i *item) bool {
		if i.id != id || !i.sent() {
			return false
		}
		for _, submit := range i.submissions {
			effects = append(effects, Acknowledged{ID: submit, Offset: offset})
		}
		return true
	})
	return effects
}

func (a *Appender) remove(id string, reason DropReason) []AppendEffect {
	var effects []AppendEffect
	a.queue = slices.DeleteFunc(a.queue, func(i *item) bool {
		if i.id != id {
			return false
		}
		effects = append(effects, drop(i.submissions, reason)...)
		return true
	})
	return effects
}

// send adds a Write for each call that the rate limit, the backoff and MaxCalls allow.
func (a *Appender) send(now Time, effects []AppendEffect) []AppendEffect {
	for a.callsInFlight < a.config.MaxCalls {
		next := a.nextItem()
		if next == nil {
			return effects
		}
		at, ok := a.pacer.take(now)
		if !ok {
			return append(effects, WakeAt{At: at})
		}
		if err := next.encode(); err != nil {
			effects = append(effects, a.remove(next.id, DropRejected)...)
			continue
		}
		next.inFlight = true
		a.callsInFlight++
		effects = append(effects, Write{ID: next.id, Data: next.data})
	}
	return effects
}

// nextItem returns the first item of the queue that has no call in flight, or nil.
func (a *Appender) nextItem() *item {
	for _, i := range a.queue {
		if !i.inFlight {
			return i
		}
	}
	return nil
}
