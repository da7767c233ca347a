// Package delay measures how long what this instance sends takes at present: the time until the process has the processor to
// write, and that until the packets in front on its link have gone.
package delay

import (
	"sync"
	"time"
)

// window is for how long a delay counts after it was observed, at least. After twice the window it counts no more.
const window = time.Second

// Gauge holds the longest recent delay. It may be used by several goroutines. A nil Gauge holds none.
type Gauge struct {
	mu sync.Mutex
	// endsAt is the end of the current window. current is the longest delay in it, previous that in the window before.
	endsAt            time.Time
	current, previous time.Duration
}

// Observe takes in a delay that has ended now.
func (g *Gauge) Observe(d time.Duration, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.current = max(g.current, d)
}

// Longest returns the longest delay of the current window and the one before, zero if none was observed.
func (g *Gauge) Longest(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return max(g.current, g.previous)
}

// maxAllowance bounds what Allowance returns. The stop of a process says nothing about its delays once it runs again.
const maxAllowance = time.Second

// Allowance returns how much time limits and reserves have to allow for the longest delay, at most maxAllowance.
func (g *Gauge) Allowance(now time.Time) time.Duration {
	return min(g.Longest(now), maxAllowance)
}

// advance begins a new window if the current one has ended. The caller holds mu.
func (g *Gauge) advance(now time.Time) {
	if now.Before(g.endsAt) {
		return
	}
	g.previous = g.current
	if now.Sub(g.endsAt) >= window {
		g.previous = 0
	}
	g.current, g.endsAt = 0, now.Add(window)
}
