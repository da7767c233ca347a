package permit

import (
	"math"
	"time"
)

// demand is the work that requests of one priority ask for in a second, in seconds.
type demand struct {
	rate float64
	at   time.Time
}

// demandTime is the time over which demand is averaged: some ten requests of a busy kind.
const demandTime = time.Second

func (d *demand) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	d.at = now
}

// note takes in the work that an admitted request asks for.
func (k *Controller) note(now time.Time, w *waiting) {
	d := k.demands[w.Priority]
	if d == nil {
		d = &demand{at: now}
		k.demands[w.Priority] = d
	}
	d.decay(now)
	d.rate += w.expect.Seconds() / demandTime.Seconds()
}

// leftOver returns the share of the servers' time that more urgent requests leave. Those that
// come while a request waits go before it: without this, requests of low priority were let wait
// beyond their target at one and a half times the capacity (TestUrgentGoesFirst).
func (k *Controller) leftOver(now time.Time, priority int) float64 {
	taken := 0.0
	for p, d := range k.demands {
		if p < priority {
			d.decay(now)
			taken += d.rate
		}
	}
	return max(1-taken/float64(max(k.slots, 1)), leftLeast)
}

// leftLeast bounds the factor by which a predicted wait grows.
const leftLeast = 0.1
