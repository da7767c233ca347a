package shard

import (
	"math"
	"time"
)

// WorkBuckets is the number of buckets of a histogram of service times. Each has twice the width of the one two below it:
// bucket i begins at 2^((i-4)/2) times the mean, the first one at zero, and the last one has no end.
const WorkBuckets = 12

// meanBucket is the bucket that begins at the mean.
const meanBucket = 4

// WorkBucket returns the bucket of a service time that is the given multiple of its mean.
func WorkBucket(multiple float64) int {
	return min(max(int(math.Floor(workPosition(multiple))), 0), WorkBuckets-1)
}

// workPosition returns the position of a multiple of the mean on the scale of the buckets.
func workPosition(multiple float64) float64 {
	return 2*math.Log2(max(multiple, math.SmallestNonzeroFloat64)) + meanBucket
}

// workHalfLife is the time after which a service time counts half. The distribution belongs to the service, and shows the
// rare long requests only in many answers.
const workHalfLife = 30 * time.Second

// WorkTimes is the distribution of service times, as multiples of the mean of their route at the speed of the server.
// Later answers count more. The zero value holds none.
type WorkTimes struct {
	counts [WorkBuckets]float64
	at     time.Time
}

// Add adds the numbers of answers by bucket. Those of unknown buckets are ignored.
func (w *WorkTimes) Add(counts []uint16, now time.Time) {
	scale := math.Exp2(-now.Sub(w.at).Seconds() / workHalfLife.Seconds())
	w.at = now
	for i := range w.counts {
		w.counts[i] *= scale
		if i < len(counts) {
			w.counts[i] += float64(counts[i])
		}
	}
}

// minWorkAnswers is the number of answers from which on the distribution counts as known.
const minWorkAnswers = 100

// Known reports whether the distribution rests on enough answers.
func (w *WorkTimes) Known() bool { return w.total() >= minWorkAnswers }

func (w *WorkTimes) total() float64 {
	sum := 0.0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// Above returns the share of requests that take longer than a multiple of the mean, zero if nothing is known.
func (w *WorkTimes) Above(multiple float64) float64 {
	if w == nil || !w.Known() {
		return 0
	}
	position := workPosition(multiple)
	above := 0.0
	for i, n := range w.counts {
		above += n * min(max(float64(i+1)-position, 0), 1)
	}
	return above / w.total()
}

// mean returns the mean multiple, from 1 to maxWorkMean; 1 if nothing is known. It is above 1 as long requests count for less
// in the measured speeds.
func (w *WorkTimes) mean() float64 {
	if w == nil || !w.Known() {
		return 1
	}
	sum := 0.0
	for i, n := range w.counts {
		// The middle of a bucket is 1.2 times its lower bound.
		sum += n * 1.2 * math.Exp2(float64(i-meanBucket)/2)
	}
	return min(max(sum/w.total(), 1), maxWorkMean)
}

// maxWorkMean bounds the factor by which measured speeds are corrected.
const maxWorkMean = 1.5
