package edge

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Callers state how long they will wait from now on. A caller that returns after a rejection
// states a shorter timeout than in its first request. Nothing else distinguishes the two, as each
// attempt has its own ID.
//
// The timeouts of first requests differ too, by a sixth at some sites. A fixed bound on the
// timeout misclassified half of all first requests there as returning, with their target nearly
// past, and a quarter of the page requests was rejected. So each instance learns the band of
// timeouts that first requests state, from periods with few rejections, in which nearly all
// requests are first ones.

// The parameters of a timeoutBand.
const (
	// classWidth is the width of a histogram class, in units of the natural logarithm: about 2%.
	classWidth = 0.02
	// bandHalfLife is the time after which the weight of a request has halved.
	bandHalfLife = 15 * time.Second
	// estimateInterval is the time between two estimates of a band.
	estimateInterval = 500 * time.Millisecond
	// minBandRequests is the weighted number of requests that an estimate of the floor needs.
	minBandRequests = 30
	// aboveTopShare is the share of requests that may lie above the band: a few callers wait
	// several times as long as the rest.
	aboveTopShare = 0.1
	// maxCalmRejectedShare is the share of rejected requests up to which nearly all requests are
	// first ones; only then the floor is estimated.
	maxCalmRejectedShare = 0.05
	// belowFloorShare is the share of requests, besides returning ones, that may lie below the band.
	belowFloorShare = 0.02
	// initialFloor is the floor, as a fraction of the top, until there is an estimate.
	initialFloor = 0.8
	// maxFloor is the highest floor, as a fraction of the top. The network delays requests, so
	// the band must not be too narrow.
	maxFloor = 0.93
	// maxBandRoutes is the number of routes with a band; beyond it, all bands are dropped.
	maxBandRoutes = 4096
)

// returnDetector detects requests of callers that return after a rejection, by the timeouts that
// they state.
type returnDetector struct {
	mu sync.Mutex
	// bands holds the band of each route.
	bands map[string]*timeoutBand
}

// timeoutBand is the range of the timeouts that the first requests of a route's callers state.
type timeoutBand struct {
	// classes is a histogram of the stated timeouts, total the sum of its weights, and rejected
	// the weight of the rejected requests. All weights decay; decayedAt is when they last did.
	classes   map[int]float64
	total     float64
	rejected  float64
	decayedAt time.Time
	// estimatedAt is when the fields below were estimated. Top is the upper end of the band, floor
	// its lower end as a fraction of top, and meanFirst the mean timeout of the requests in it.
	estimatedAt time.Time
	top         time.Duration
	floor       float64
	meanFirst   time.Duration
}

// bandOf returns the band of a route, a new one if it has none yet.
func (d *returnDetector) bandOf(route string, now time.Time) *timeoutBand {
	b := d.bands[route]
	if b == nil {
		if d.bands == nil || len(d.bands) >= maxBandRoutes {
			d.bands = map[string]*timeoutBand{}
		}
		b = &timeoutBand{classes: map[int]float64{}, decayedAt: now, floor: initialFloor}
		d.bands[route] = b
	}
	return b
}

// observe adds the timeout that a request states to the band of its route. It reports whether the
// request is a returning one, and if so about how long ago the caller's first request arrived.
func (d *returnDetector) observe(route string, stated time.Duration, now time.Time) (bool, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bandOf(route, now)
	b.classes[classOf(stated)]++
	b.total++
	if now.Sub(b.estimatedAt) >= estimateInterval {
		b.decay(now)
		b.estimate(now)
	}
	if float64(stated) >= b.floor*float64(b.top) {
		return false, 0
	}
	return true, max(b.meanFirst-stated, 0)
}

// recordRejection counts a request that ended without a successful reply, so that its caller may
// return.
func (d *returnDetector) recordRejection(route string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bandOf(route, now).rejected++
}

// classOf returns the histogram class of a timeout.
func classOf(d time.Duration) int {
	return int(math.Round(math.Log(float64(max(d, time.Millisecond))) / classWidth))
}

// decay reduces all weights according to the time since the last decay, and drops empty classes.
func (b *timeoutBand) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(b.decayedAt).Seconds() / bandHalfLife.Seconds())
	b.decayedAt = now
	b.total *= factor
	b.rejected *= factor
	for class, n := range b.classes {
		if n *= factor; n < 0.01 {
			delete(b.classes, class)
		} else {
			b.classes[class] = n
		}
	}
}

// estimate computes the band from the histogram.
func (b *timeoutBand) estimate(now time.Time) {
	b.estimatedAt = now
	classes := make([]int, 0, len(b.classes))
	for class := range b.classes {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	above := 0.0
	for _, class := range slices.Backward(classes) {
		if above += b.classes[class]; above > aboveTopShare*b.total {
			b.top = classCenter(class)
			break
		}
	}
	if b.total >= minBandRequests && b.rejected <= maxCalmRejectedShare*b.total {
		b.floor = b.estimateFloor(classes)
	}
	sum, n := 0.0, 0.0
	for _, class := range classes {
		if d := classCenter(class); float64(d) >= b.floor*float64(b.top) && d <= b.top {
			sum += float64(d) * b.classes[class]
			n += b.classes[class]
		}
	}
	b.meanFirst = b.top
	if n > 0 {
		b.meanFirst = time.Duration(sum / n)
	}
}

// estimateFloor returns the lower end of the band as a fraction of top. It assumes that each
// rejected request returned with a timeout below the band.
func (b *timeoutBand) estimateFloor(classes []int) float64 {
	below := 0.0
	for _, class := range classes {
		if below += b.classes[class]; below > b.rejected+belowFloorShare*b.total {
			// A whole class width below the center, so that the class lies within the band.
			floor := float64(classCenter(class)) * (1 - classWidth)
			return min(floor/float64(b.top), maxFloor)
		}
	}
	return maxFloor
}

// classCenter returns the timeout at the center of a class.
func classCenter(class int) time.Duration {
	return time.Duration(math.Exp(float64(class) * classWidth))
}
