package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The timeouts of a large site's callers vary between 85% and 100% of four seconds. Half of their
// first requests were misclassified as returning, with their target nearly past: they were queued
// behind the others, and a quarter of all requests was rejected while servers were free.
func TestFirstAndReturningRequests(t *testing.T) {
	tests := map[string]struct {
		// spread is the fraction of the longest timeout by which timeouts differ, and patient the
		// share of callers that wait three times as long.
		spread, patient float64
		// rejected is the share of first requests that are rejected in the second half of the
		// test. Their callers return after 0.35 to 1.25 seconds.
		rejected float64
		// maxMisclassified is the share of first requests that may be classified as returning,
		// and minDetected the share of returning requests that must be detected.
		maxMisclassified, minDetected float64
	}{
		"equal timeouts":                   {0.01, 0, 0.3, 0.02, 0.95},
		"timeouts differ by a sixth":       {0.15, 0, 0, 0.03, 0},
		"timeouts differ, many rejections": {0.15, 0, 0.4, 0.04, 0.5},
		"a few very long timeouts":         {0.1, 0.04, 0.2, 0.03, 0.4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			var d returnDetector
			now := time.Unix(1000, 0)
			first, misclassified, returned, detected := 0.0, 0.0, 0.0, 0.0
			for i := range 4000 {
				now = now.Add(10 * time.Millisecond)
				stated := 4000 * (1 - test.spread*random.Float64())
				if random.Float64() < test.patient {
					stated *= 3
				}
				secondHalf := i >= 2000
				returning, _ := d.observe("read", time.Duration(stated)*time.Millisecond, now)
				if secondHalf {
					first++
				}
				if secondHalf && returning {
					misclassified++
				}
				if !secondHalf || random.Float64() >= test.rejected {
					continue
				}
				d.recordRejection("read", now)
				wait := 350 + 900*random.Float64()
				isReturning, elapsed := d.observe("read", time.Duration(stated-wait)*time.Millisecond, now)
				returned++
				if isReturning {
					detected++
					is.True(elapsed < 2*time.Second)
				}
			}
			t.Logf("misclassified %.3f, detected %.3f", misclassified/first, detected/max(returned, 1))
			is.True(misclassified <= test.maxMisclassified*first)
			is.True(detected >= test.minDetected*returned)
		})
	}
}
