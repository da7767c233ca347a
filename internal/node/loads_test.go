package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/dgram"
)

// Guards against a capacity that alternates between two estimates. The controller of a server had seen sixty answers,
// another instance a single quick one from when it did not know of the controller yet. Every second plan used the
// estimate of the other instance and moved half a dozen ranges to the server, and the next plan moved them away.
func TestCapacityIsWeightedByAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := newLoadTracker(false)
	for range 20 {
		now = now.Add(reportInterval)
		l.add(dgram.LoadReport{Name: "a", Service: "books", Servers: []string{"s"}, Capacities: []float64{12}, Answers: []uint16{6}}, now)
		l.add(dgram.LoadReport{Name: "b", Service: "books", Servers: []string{"s"}, Capacities: []float64{40}, Answers: []uint16{1}}, now)
	}
	rate, _ := l.services["books"].capacities["s"].rate(now)
	is.True(rate > 11 && rate < 17)
	// The server becomes five times slower, which shows at once.
	now = now.Add(reportInterval)
	l.add(dgram.LoadReport{Name: "a", Service: "books", Servers: []string{"s"}, Capacities: []float64{2.4}, Answers: []uint16{2}}, now)
	rate, _ = l.services["books"].capacities["s"].rate(now)
	is.True(rate < 9)
}

// Checks that the capacity of a server is unknown again when no more answers are reported.
func TestCapacityIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := capacityEstimates{}
	p.add("a", 10, 4, now)
	rate, known := p.rate(now)
	is.True(known)
	is.Equal(rate, 10.0)
	_, known = p.rate(now.Add(6 * time.Second))
	is.True(!known)
	_, _ = p.rate(now.Add(time.Minute))
	is.Equal(len(p), 0)
}
