package delay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/delay"
)

func TestLongest(t *testing.T) {
	const long, short = 400 * time.Millisecond, 20 * time.Millisecond
	for name, test := range map[string]struct {
		// longAt and shortAt are when the two delays are observed, askedAt when Longest is called.
		longAt, shortAt, askedAt, want time.Duration
	}{
		"both are recent":         {0, 100 * time.Millisecond, 200 * time.Millisecond, long},
		"one window later":        {0, 1100 * time.Millisecond, 1900 * time.Millisecond, long},
		"the long one is too old": {0, 1100 * time.Millisecond, 2200 * time.Millisecond, short},
		"both are too old":        {0, 100 * time.Millisecond, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var g delay.Gauge
			start := time.Unix(1e9, 0)
			g.Observe(long, start.Add(test.longAt))
			g.Observe(short, start.Add(test.shortAt))
			is.New(t).Equal(g.Longest(start.Add(test.askedAt)), test.want)
		})
	}
}
