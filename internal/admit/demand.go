package admit

import (
	"math"
	"time"
)

// demand is a moving average of the work that requests of one priority ask for, in seconds of
// service time per second.
type demand struct {
	rate float64
	at   time.Time
}

// The time constants of the averages.
const (
	// demandWindow is that of what is admitted: about ten requests of a busy route.
	demandWindow = time.Second
	// askedWindow is that of what new requests ask for, from which capacity for returns is left over. A burst ends before it
	// makes up most of the average, while a key that stays busy does so within some seconds.
	askedWindow = 5 * time.Second
)

// decay ages the average up to now.
func (d *demand) decay(now time.Time, window time.Duration) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / window.Seconds())
	d.at = now
}

// recordDemand adds the work of a request that is admitted or queued.
func (c *Controller) recordDemand(now time.Time, w *waiter) {
	d := c.demands[w.Priority]
	if d == nil {
		d = &demand{at: now}
		c.demands[w.Priority] = d
	}
	d.add(now, w.expectedTime, demandWindow)
}

// add adds some work.
func (d *demand) add(now time.Time, work, window time.Duration) {
	d.decay(now, window)
	d.rate += work.Seconds() / window.Seconds()
}

// leftoverShare returns the share of the servers' time that more urgent requests leave over. More
// urgent requests that come while a request waits go before it. Without this factor, requests of
// low priority were queued beyond their target at one and a half times the capacity
// (TestUrgentGoesFirst).
func (c *Controller) leftoverShare(now time.Time, priority int) float64 {
	taken := 0.0
	for p, d := range c.demands {
		if p < priority {
			d.decay(now, demandWindow)
			taken += d.rate
		}
	}
	return max(1-taken/float64(max(c.slots, 1)), minLeftoverShare, c.floor(priority))
}

// minLeftoverShare bounds the factor by which a predicted wait grows.
const minLeftoverShare = 0.1
