package logcl

import (
	"errors"
	"math/rand/v2"
	"slices"

	"example.org/mustardring/internal/record"
)

// AppenderConfig bounds an Appender.
type AppenderConfig struct {
	// PerSecond and Burst bound the calls. All instances share the rate of the log.
	PerSecond float64
	Burst     int
	// MaxQueued bounds the records that wait.
	MaxQueued int
	// MaxCalls bounds the calls that are out at once.
	MaxCalls int
	// Random spreads retries.
	Random *rand.Rand
}

// Appender appends records at least once. It has no input or output: Handle takes an event
// with the time and returns effects. A record is sent again, under the same ID and with the
// same data, until the log acknowledges it or the reader meets it in the log. A repeated
// append is harmless, because the fold knows it by ID and data.
type Appender struct {
	config AppenderConfig
	pace   *pace
	queue  []*item
	calls  int
}

// NewAppender returns an Appender with an empty queue.
func NewAppender(config AppenderConfig) *Appender {
	return &Appender{config: config, pace: newPace(config.PerSecond, config.Burst, config.Random)}
}

// Pending returns the number of records that are not acknowledged.
func (a *Appender) Pending() int {
	return len(a.queue)
}

// Handle takes one event. The time never goes back.
func (a *Appender) Handle(now Time, event AppendEvent) []AppendEffect {
	var effects []AppendEffect
	switch e := event.(type) {
	case Submitted:
		effects = a.submit(e)
	case WriteResult:
		effects = a.written(now, e)
	case EntryRead:
		effects = a.acknowledge(e.ID, e.Offset)
	case LogReplaced:
		for _, i := range a.queue {
			i.stale = i.calling
		}
	case Ticked:
	}
	return a.send(now, effects)
}

func (a *Appender) submit(e Submitted) []AppendEffect {
	if a.knows(e.ID) {
		return nil
	}
	if newer, ok := e.Record.(record.AssignmentMade); ok {
		if effects, merged := a.merge(e.ID, newer); merged {
			return effects
		}
	}
	effects := a.replace(e.Record)
	if len(a.queue) >= a.config.MaxQueued {
		return append(effects, Dropped{ID: e.ID, Reason: DropFull})
	}
	a.queue = append(a.queue, newItem(e.ID, e.Record))
	slices.SortStableFunc(a.queue, func(x, y *item) int { return rank(x.record) - rank(y.record) })
	return effects
}

func (a *Appender) knows(id string) bool {
	return slices.ContainsFunc(a.queue, func(i *item) bool { return slices.Contains(i.submits, id) })
}

// merge joins into the newest item of the same servers, or into none: a record that went
// into an older one would overtake the newer.
func (a *Appender) merge(id string, newer record.AssignmentMade) ([]AppendEffect, bool) {
	for _, i := range slices.Backward(a.queue) {
		if i.sameServers(newer) {
			replaced, merged := i.merge(id, newer)
			return drop(replaced, DropReplaced), merged
		}
	}
	return nil, false
}

func (a *Appender) replace(newer record.Record) []AppendEffect {
	var effects []AppendEffect
	a.queue = slices.DeleteFunc(a.queue, func(i *item) bool {
		if i.sent() || !replaces(newer, i.record) {
			return false
		}
		effects = append(effects, drop(i.submits, DropReplaced)...)
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

func (a *Appender) written(now Time, e WriteResult) []AppendEffect {
	a.calls--
	stale := a.answered(e.ID)
	switch {
	case errors.Is(e.Err, ErrRefused):
		return a.remove(e.ID, DropRefused)
	case e.Err != nil:
		a.pace.failed(now)
		return nil
	}
	a.pace.succeeded()
	if stale {
		return nil
	}
	return a.acknowledge(e.ID, e.Offset)
}

// answered ends the call of an item and reports whether its answer may come from a log that
// is no more.
func (a *Appender) answered(id string) (stale bool) {
	for _, i := range a.queue {
		if i.id == id {
			stale = i.stale
			i.calling, i.stale = false, false
		}
	}
	return stale
}

// acknowledge also ends a record whose answers were lost: the reader saw it in the log.
func (a *Appender) acknowledge(id string, offset uint64) []AppendEffect {
	var effects []AppendEffect
	a.queue = slices.DeleteFunc(a.queue, func(i *item) bool {
		if i.id != id || !i.sent() {
			return false
		}
		for _, submit := range i.submits {
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
		effects = append(effects, drop(i.submits, reason)...)
		return true
	})
	return effects
}

// send starts as many calls as pace and bounds allow.
func (a *Appender) send(now Time, effects []AppendEffect) []AppendEffect {
	for a.calls < a.config.MaxCalls {
		next := a.next()
		if next == nil {
			return effects
		}
		at, ok := a.pace.take(now)
		if !ok {
			return append(effects, WakeAt{At: at})
		}
		if err := next.encode(); err != nil {
			effects = append(effects, a.remove(next.id, DropRefused)...)
			continue
		}
		next.calling = true
		a.calls++
		effects = append(effects, Write{ID: next.id, Data: next.data})
	}
	return effects
}

func (a *Appender) next() *item {
	for _, i := range a.queue {
		if !i.calling {
			return i
		}
	}
	return nil
}
