package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/roster"
)

// Guards against dating a message by its time of receipt: messages take 0.12 to 0.17 seconds on full links, so
// that requests would still be sent to servers that are leaving, after their time. A message must never be
// dated later than it was sent, however long it and its echo were in transit.
func TestEarliestSendTime(t *testing.T) {
	const (
		ms     = int64(time.Millisecond)
		offset = int64(time.Hour) // the peer's clock is ahead by this
	)
	// exchange is a heartbeat that this instance sent and the time at which the peer sent its reply, both in
	// milliseconds by the local clock.
	type exchange struct{ sentAt, answeredAt int64 }
	tests := map[string]struct {
		exchanges []exchange
		// sentAt is the time at which the dated message was sent, readAt that at which it was received,
		// both in milliseconds by the local clock.
		sentAt, readAt int64
		// early is the number of milliseconds by which the message is dated too early.
		early int64
		dated bool
	}{
		"no exchange":                       {nil, 5000, 5100, 0, false},
		"an immediate reply":                {[]exchange{{1000, 1004}}, 5000, 5100, 4, true},
		"a reply half a second later":       {[]exchange{{1000, 1500}}, 5000, 5100, 500, true},
		"the closest of several":            {[]exchange{{1000, 1500}, {2000, 2003}, {3000, 3400}}, 5000, 5100, 3, true},
		"an old bound is used for a while":  {[]exchange{{1000, 1003}, {8000, 8500}}, 9000, 9100, 3, true},
		"but not for long, as clocks drift": {[]exchange{{1000, 1003}, {8000, 8500}, {15000, 15500}}, 15600, 15700, 500, true},
		"no recent exchange":                {[]exchange{{1000, 1003}}, 60000, 60100, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("i0", "d0")
			r.Put("i1", roster.Entry{Incarnation: 1, Domain: "d0"}, start)
			for _, e := range test.exchanges {
				b := roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: e.answeredAt*ms + offset, EchoAt: e.sentAt * ms}
				r.RecordEcho(b, clock.Instant((e.answeredAt+2)*ms))
			}
			got, dated := r.EarliestSendTime("i1", test.sentAt*ms+offset, clock.Instant(test.readAt*ms))
			is.Equal(dated, test.dated)
			if dated {
				is.Equal(int64(got), (test.sentAt-test.early)*ms)
			}
		})
	}
}

// A restarted instance may run on another machine, whose clock is unrelated to the previous one.
func TestEarliestSendTimeAfterRestart(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	r.Put("i1", roster.Entry{Incarnation: 1, Domain: "d0"}, start)
	r.RecordEcho(roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: 100, EchoAt: 90}, 110)
	r.Put("i1", roster.Entry{Incarnation: 2, Domain: "d0"}, start)
	r.RecordEcho(roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: 120, EchoAt: 115}, 130) // was in transit
	_, dated := r.EarliestSendTime("i1", 140, 150)
	is.True(!dated)
	_, dated = r.EarliestSendTime("stranger", 140, 150)
	is.True(!dated)
}
