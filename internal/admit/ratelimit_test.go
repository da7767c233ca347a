package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

// In any limitWindow, a server that has stated a limit may get limitFactor times what that allows, plus limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// maxLimited returns how many requests a server may get in a limitWindow.
func maxLimited(rate float64) float64 { return limitFactor*rate*limitWindow.Seconds() + limitSlack }

func limitedServer(id string, rate float64) rules.Server {
	return rules.Server{ID: id, Service: "books", Domain: "north", Slots: 2, RateLimit: rate}
}

// Guards against a server that gets more requests than it has stated, or far fewer.
func TestLimitedServer(t *testing.T) {
	const lasts, most = 12 * time.Second, 90 // requests a second that two slots run
	for name, keyed := range map[string]bool{"any server": false, "the owner of a key": true} {
		for _, rate := range []float64{0.25, 1.7, 20, 1000} {
			t.Run(fmt.Sprintf("%s, %v a second", name, rate), func(t *testing.T) {
				is := is.New(t)
				c := newController(limitedServer("s0", rate))
				times := flood(lasts, keyed, func(time.Time) *admit.Controller { return c })["s0"]
				got := maxInSpan(times, limitWindow)
				t.Logf("%d requests, at most %d in %v", len(times), got, limitWindow)
				is.True(float64(got) <= 1.25*rate*limitWindow.Seconds()+2)
				is.True(float64(len(times)) >= 0.8*min(rate, most)*lasts.Seconds()-1)
			})
		}
	}
}

// Guards against a controller that starts with a full allowance when it takes over from another one.
func TestLimitedServerAfterTakeovers(t *testing.T) {
	for _, rate := range []float64{0.25, 1.7, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			controllers := []*admit.Controller{newController(limitedServer("s0", rate)), newController(limitedServer("s0", rate)), newController(limitedServer("s0", rate))}
			times := flood(12*time.Second, true, func(now time.Time) *admit.Controller {
				return controllers[int(now.Sub(start)/(1300*time.Millisecond))%len(controllers)]
			})["s0"]
			is.True(float64(maxInSpan(times, limitWindow)) <= maxLimited(rate))
		})
	}
}

// Guards against callers that wait for a server that cannot run their requests in time, and that all come back together.
func TestLimitedServerRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	c := newController(limitedServer("s0", 2))
	retries, waiting := map[time.Duration]int{}, 0
	for i := range uint64(30) {
		req := newRequest(i, start)
		req.Server = "s0"
		switch d := c.Decide(start, req).(type) {
		case admit.Queued:
			waiting++
		case admit.Rejected:
			is.Equal(d.Reason, admit.Overload)
			is.True(d.RetryIn >= 100*time.Millisecond)
			retries[d.RetryIn/(50*time.Millisecond)]++
		}
	}
	is.True(waiting <= 2)
	for _, n := range retries {
		is.True(n <= 10) // not all in the same twentieth of a second
	}
}

// Guards against requests that wait on, without a chance, for a server that states a limit meanwhile.
func TestLimitRejectsWaitingRequests(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 1))
	waiting := 0
	for i := range uint64(9) {
		req := newRequest(i, start)
		req.Server = "s0"
		if i == 0 {
			req.TargetAt = start.Add(100 * time.Millisecond) // a route of short requests
		}
		if _, is := c.Decide(start, req).(admit.Queued); is {
			waiting++
		}
	}
	is.True(waiting >= 5)
	rejected := 0
	for _, d := range c.PutServer(start, limitedServer("s0", 0.5)) {
		if r, is := d.(admit.Rejected); is && r.RetryIn > 0 {
			rejected++
		}
	}
	is.True(rejected >= waiting-1)
}

// Guards against requests that go to a server that has stated a limit while others have room.
func TestLimitedServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	c := newController(limitedServer("s0", 1), server("s1", "north", 20))
	counts := map[string]int{}
	for name, times := range flood(8*time.Second, false, func(time.Time) *admit.Controller { return c }) {
		counts[name] = len(times)
	}
	is.True(counts["s0"] <= 12)
	is.True(counts["s1"] > 1000)
}
