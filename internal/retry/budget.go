// Package retry limits how many requests are sent to servers again. It performs no I/O.
package retry

import (
	"maps"
	"sync"
	"time"
)

const (
	// cells is the number of cells into which a window is divided.
	cells = 40
	// ratioShare is the part of the allowed ratio that is used. The limit holds in a window that may contain a retry but
	// not all of the requests that earned it.
	ratioShare = 0.85
	// slackShare is the part of the fixed number that is used. In a window the process that ran at its beginning may use that
	// part, and those that started since as much again, however many they are: each gets it in proportion to its age.
	slackShare = 0.5
)

// Budget limits retries. In any window, all instances together may retry a fraction of the requests plus a fixed number. The
// requests are those of that window, of the one before it, or of the one half a window before it, whichever are most.
//
// Each instance retries at most that fraction of the requests that it received in the window that ends now, so that the limit
// holds without messages and those that get many requests may retry many. Only the fixed number is divided evenly. While an
// instance's part of it is not known, it uses none, and in its first window only as much of it as has passed of the window.
// Budget is safe for concurrent use.
type Budget struct {
	// ratio is the number of retries that each request earns. slack returns this instance's part of the fixed number, which
	// may change with the number of instances, and false while that number is not known.
	ratio float64
	cell  time.Duration
	slack func() (float64, bool)
	now   func() time.Time

	mu sync.Mutex
	// startedAt is the start of the first cell.
	startedAt time.Time
	ledgers   map[string]*ledger
	counts    map[string]Counts
}

// Counts counts the retries of a service since the start: those that were sent, those that the budget refused, and those that
// were taken from it and given back, as they were not sent.
type Counts struct{ Sent, Refused, Refunded int }

// ledger counts the requests for a service by cell, the newest of which has the number last, and holds the times of the
// retries in the window, the earliest first.
type ledger struct {
	last     int
	requests [cells]int
	retries  []time.Time
}

// NewBudget returns a budget. Ratio is the number of retries per request that all instances may make in a window; slack
// returns this instance's part of the fixed number of retries, or false while that is not known.
func NewBudget(ratio float64, window time.Duration, slack func() (float64, bool), now func() time.Time) *Budget {
	return &Budget{
		ratio: ratio * ratioShare, cell: max(window/cells, 1), slack: slack, now: now, startedAt: now(),
		ledgers: map[string]*ledger{}, counts: map[string]Counts{},
	}
}

// ledger returns the ledger of a service, without what lies before the window that ends now. The lock is held.
func (b *Budget) ledger(service string) *ledger {
	now := b.now()
	current := int(now.Sub(b.startedAt) / b.cell)
	l := b.ledgers[service]
	if l == nil {
		l = &ledger{last: current}
		b.ledgers[service] = l
	}
	for passed := min(current-l.last, cells); passed > 0; passed-- {
		l.requests[(current-passed+1)%cells] = 0
	}
	l.last = max(l.last, current)
	from := now.Add(-cells * b.cell)
	expired := 0
	for expired < len(l.retries) && !l.retries[expired].After(from) {
		expired++
	}
	l.retries = l.retries[expired:]
	return l
}

// age returns how much of its first window the budget has lived, up to 1.
func (b *Budget) age() float64 {
	return min(float64(b.now().Sub(b.startedAt))/float64(cells*b.cell), 1)
}

// requestCount returns the number of requests that earn retries now.
func (l *ledger) requestCount() (n int) {
	for _, count := range l.requests {
		n += count
	}
	return n
}

// Earn counts a request for a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(service)
	l.requests[l.last%cells]++
}

// Spend reports whether a request for a service may be retried, and if so takes the retry from the budget.
func (b *Budget) Spend(service string) bool { return b.SpendAbove(service, 0) }

// SpendAbove does the same, and leaves a part of what the window allows, from 0 to 1, for retries that help more.
func (b *Budget) SpendAbove(service string, reserved float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(service)
	allowed := b.ratio * float64(l.requestCount())
	if slack, known := b.slack(); known {
		allowed += slack * slackShare * b.age()
	}
	c := b.counts[service]
	spent := float64(len(l.retries)+1) <= allowed*(1-reserved)
	if spent {
		c.Sent++
		l.retries = append(l.retries, b.now())
	} else {
		c.Refused++
	}
	b.counts[service] = c
	return spent
}

// Refund gives back a retry that was taken from the budget a moment ago and not sent.
func (b *Budget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger(service)
	if len(l.retries) > 0 {
		// With the oldest one removed, no other retry stops counting before it leaves the window.
		l.retries = l.retries[1:]
	}
	c := b.counts[service]
	c.Sent--
	c.Refunded++
	b.counts[service] = c
}

// Counts returns the retries since the start by service.
func (b *Budget) Counts() map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.counts)
}
