package edge

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Callers state how long they will wait from now on. One that returns after a refusal states
// less than one that comes for the first time, which is all there is to tell them apart: each
// sending has its own identity. Callers differ, though, in how long they wait to begin with, by
// a sixth at some sites. With a fixed bound half of all first requests were taken for returning
// ones there, their target for nearly past, and a quarter of the page reads was refused.
//
// So each instance learns the band of what first requests state, in times with few refusals,
// when nearly all are first ones.

// The constants of learning what callers state.
const (
	// classWidth is the width of a class, as a logarithm: 2%.
	classWidth = 0.02
	// bandHalfLife is the time after which a request counts half.
	bandHalfLife = 15 * time.Second
	// estimateInterval is how often the band is estimated.
	estimateInterval = 500 * time.Millisecond
	// minBandRequests is the number of requests from which on a band is estimated.
	minBandRequests = 30
	// aboveTopShare is the share of requests that may state more than the band's top: a few callers
	// wait several times as long as the rest.
	aboveTopShare = 0.1
	// maxCalmRejectedShare is the share of refusals up to which nearly all requests are first ones, and
	// lowShare the share of requests that may lie below the band besides those that return.
	maxCalmRejectedShare = 0.05
	belowFloorShare      = 0.02
	// initialFloor bounds the band, as a part of its top, until it has been learnt, and
	// highestFloor however narrow it is: the network takes some time as well.
	initialFloor = 0.8
	maxFloor     = 0.93
	// maxBandRoutes bounds the number of routes whose callers are known.
	maxBandRoutes = 4096
)

// returnDetector knows what the callers of each route state.
type returnDetector struct {
	mu    sync.Mutex
	bands map[string]*timeoutBand
}

// timeoutBand is what the callers of one route state.
type timeoutBand struct {
	classes   map[int]float64
	total     float64
	rejected  float64
	decayedAt time.Time
	// estimatedAt is when floor and first were estimated. Floor is what a first request states at
	// least, as a part of top; first is what one states on average.
	estimatedAt time.Time
	top         time.Duration
	floor       float64
	meanFirst   time.Duration
}

func (p *returnDetector) bandOf(route string, now time.Time) *timeoutBand {
	b := p.bands[route]
	if b == nil {
		if p.bands == nil || len(p.bands) >= maxBandRoutes {
			p.bands = map[string]*timeoutBand{}
		}
		b = &timeoutBand{classes: map[int]float64{}, decayedAt: now, floor: initialFloor}
		p.bands[route] = b
	}
	return b
}

// observe takes in what a caller states. It reports whether the caller has been here before,
// and then about how long ago its first request was.
func (p *returnDetector) observe(route string, stated time.Duration, now time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bandOf(route, now)
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

// recordRejection takes in that a caller got no answer that it wanted, and may return.
func (p *returnDetector) recordRejection(route string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bandOf(route, now).rejected++
}

func classOf(d time.Duration) int {
	return int(math.Round(math.Log(float64(max(d, time.Millisecond))) / classWidth))
}

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

// estimate finds the band.
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

// estimateFloor returns the least that first requests state, as a part of top.
func (b *timeoutBand) estimateFloor(classes []int) float64 {
	below := 0.0
	for _, class := range classes {
		if below += b.classes[class]; below > b.rejected+belowFloorShare*b.total {
			// Half a class further down ends the class.
			least := float64(classCenter(class)) * (1 - classWidth)
			return min(least/float64(b.top), maxFloor)
		}
	}
	return maxFloor
}

func classCenter(class int) time.Duration {
	return time.Duration(math.Exp(float64(class) * classWidth))
}
