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

// demandWindow is the time constant of the average: about ten requests of a busy route.
const demandWindow = time.Second

// decay ages the average up to now.
func (d *demand) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	d.at = now
}

// recordDemand adds the work of a request that is admitted or queued.
func (c *Controller) recordDemand(now time.Time, w *waiter) {
	d := c.demands[w.Priority]
	if d == nil {
		d = &demand{at: now}
		c.demands[w.Priority] = d
	}
	d.add(now, w.expectedTime)
}

// add adds some work.
func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.rate += work.Seconds() / demandWindow.Seconds()
}

// leftoverShare returns the share of the servers' time that more urgent requests leave over. More
// urgent requests that come while a request waits go before it. Without this factor, requests of
// low priority were queued beyond their target at one and a half times the capacity
// (TestUrgentGoesFirst).
func (c *Controller) leftoverShare(now time.Time, priority int) float64 {
	taken := 0.0
	for p, d := range c.demands {
		if p < priority {
			d.decay(now)
			taken += d.rate
		}
	}
	return max(1-taken/float64(max(c.slots, 1)), minLeftoverShare, c.floor(priority))
}

// minLeftoverShare bounds the factor by which a predicted wait grows.
const minLeftoverShare = 0.1
