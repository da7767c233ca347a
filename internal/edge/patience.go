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
	// bandStep is the width of a class, as a logarithm: 2%.
	bandStep = 0.02
	// bandHalf is the time after which a request counts half.
	bandHalf = 15 * time.Second
	// bandEvery is how often the band is estimated.
	bandEvery = 500 * time.Millisecond
	// bandLeast is the number of requests from which on a band is estimated.
	bandLeast = 30
	// topShare is the share of requests that may state more than the band's top: a few callers
	// wait several times as long as the rest.
	topShare = 0.1
	// calmShare is the share of refusals up to which nearly all requests are first ones, and
	// lowShare the share of requests that may lie below the band besides those that return.
	calmShare = 0.05
	lowShare  = 0.02
	// unknownFloor bounds the band, as a part of its top, until it has been learnt, and
	// highestFloor however narrow it is: the network takes some time as well.
	unknownFloor = 0.8
	highestFloor = 0.93
	// bandRoutes bounds the number of routes whose callers are known.
	bandRoutes = 4096
)

// patience knows what the callers of each route state.
type patience struct {
	mu    sync.Mutex
	bands map[string]*band
}

// band is what the callers of one route state.
type band struct {
	classes map[int]float64
	total   float64
	refused float64
	at      time.Time
	// estimatedAt is when floor and first were estimated. Floor is what a first request states at
	// least, as a part of top; first is what one states on average.
	estimatedAt time.Time
	top         time.Duration
	floor       float64
	first       time.Duration
}

func (p *patience) band(route string, now time.Time) *band {
	b := p.bands[route]
	if b == nil {
		if p.bands == nil || len(p.bands) >= bandRoutes {
			p.bands = map[string]*band{}
		}
		b = &band{classes: map[int]float64{}, at: now, floor: unknownFloor}
		p.bands[route] = b
	}
	return b
}

// returning takes in what a caller states. It reports whether the caller has been here before,
// and then about how long ago its first request was.
func (p *patience) returning(route string, stated time.Duration, now time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.band(route, now)
	b.classes[classOf(stated)]++
	b.total++
	if now.Sub(b.estimatedAt) >= bandEvery {
		b.decay(now)
		b.estimate(now)
	}
	if float64(stated) >= b.floor*float64(b.top) {
		return false, 0
	}
	return true, max(b.first-stated, 0)
}

// refuse takes in that a caller got no answer that it wanted, and may return.
func (p *patience) refuse(route string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.band(route, now).refused++
}

func classOf(d time.Duration) int {
	return int(math.Round(math.Log(float64(max(d, time.Millisecond))) / bandStep))
}

func (b *band) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(b.at).Seconds() / bandHalf.Seconds())
	b.at = now
	b.total *= factor
	b.refused *= factor
	for class, n := range b.classes {
		if n *= factor; n < 0.01 {
			delete(b.classes, class)
		} else {
			b.classes[class] = n
		}
	}
}

// estimate finds the band.
func (b *band) estimate(now time.Time) {
	b.estimatedAt = now
	classes := make([]int, 0, len(b.classes))
	for class := range b.classes {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	above := 0.0
	for _, class := range slices.Backward(classes) {
		if above += b.classes[class]; above > topShare*b.total {
			b.top = middle(class)
			break
		}
	}
	if b.total >= bandLeast && b.refused <= calmShare*b.total {
		b.floor = b.lowest(classes)
	}
	sum, n := 0.0, 0.0
	for _, class := range classes {
		if d := middle(class); float64(d) >= b.floor*float64(b.top) && d <= b.top {
			sum += float64(d) * b.classes[class]
			n += b.classes[class]
		}
	}
	b.first = b.top
	if n > 0 {
		b.first = time.Duration(sum / n)
	}
}

// lowest returns the least that first requests state, as a part of top.
func (b *band) lowest(classes []int) float64 {
	below := 0.0
	for _, class := range classes {
		if below += b.classes[class]; below > b.refused+lowShare*b.total {
			// Half a class further down ends the class.
			least := float64(middle(class)) * (1 - bandStep)
			return min(least/float64(b.top), highestFloor)
		}
	}
	return highestFloor
}

func middle(class int) time.Duration { return time.Duration(math.Exp(float64(class) * bandStep)) }
