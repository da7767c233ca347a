package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers of a larger site wait between 85% and 100% of four seconds. Half of their first
// requests were taken for returning ones whose target is nearly past: they went behind the
// others, and a quarter of all was refused while servers were free.
func TestFirstRequestsDiffer(t *testing.T) {
	tests := map[string]struct {
		// spread is the part of the longest wait by which callers differ, patient the share of
		// those that wait three times as long.
		spread, patient float64
		// refused is the share of first requests that were refused and return after a tenth of a
		// second and more, once half of the time is over.
		refused float64
		// most is the largest share of first requests that may be mistaken, found the least share
		// of returning ones that must be found.
		most, found float64
	}{
		"all wait as long":              {0.01, 0, 0.3, 0.02, 0.95},
		"they differ by a sixth":        {0.15, 0, 0, 0.03, 0},
		"they differ, many are refused": {0.15, 0, 0.4, 0.04, 0.5},
		"a few are very patient":        {0.1, 0.04, 0.2, 0.03, 0.4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			var p returnDetector
			now := time.Unix(1000, 0)
			first, mistaken, returned, found := 0.0, 0.0, 0.0, 0.0
			for i := range 4000 {
				now = now.Add(10 * time.Millisecond)
				stated := 4000 * (1 - test.spread*random.Float64())
				if random.Float64() < test.patient {
					stated *= 3
				}
				late := i >= 2000
				returning, _ := p.observe("read", time.Duration(stated)*time.Millisecond, now)
				if late {
					first++
				}
				if late && returning {
					mistaken++
				}
				if !late || random.Float64() >= test.refused {
					continue
				}
				p.recordRejection("read", now)
				wait := 350 + 900*random.Float64()
				again, elapsed := p.observe("read", time.Duration(stated-wait)*time.Millisecond, now)
				returned++
				if again {
					found++
					is.True(elapsed < 2*time.Second)
				}
			}
			t.Logf("mistaken %.3f, found %.3f", mistaken/first, found/max(returned, 1))
			is.True(mistaken <= test.most*first)
			is.True(found >= test.found*returned)
		})
	}
}
