package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/roster"
)

// The word of a server that leaves was dated by when a message came, and messages took 0.12 to 0.17
// seconds to instances on full links: callers' requests reached servers beyond their time. What another
// instance sends must never be dated later than it was sent, however long it and its echo took.
func TestDate(t *testing.T) {
	const (
		ms     = int64(time.Millisecond)
		theirs = int64(time.Hour) // their clock is ahead by so much
	)
	// exchange is a heartbeat sent here at a time, its answer sent there at another, both by our clock.
	type exchange struct{ sentAt, answeredAt int64 }
	tests := map[string]struct {
		exchanges []exchange
		// sentAt is when the message in question was sent, readAt when it came, by our clock.
		sentAt, readAt int64
		// late is how much earlier than it was sent the message seems to be.
		late  int64
		dated bool
	}{
		"nothing was exchanged":                {nil, 5000, 5100, 0, false},
		"an answer at once":                    {[]exchange{{1000, 1004}}, 5000, 5100, 4, true},
		"an answer half a second later":        {[]exchange{{1000, 1500}}, 5000, 5100, 500, true},
		"the closest of many":                  {[]exchange{{1000, 1500}, {2000, 2003}, {3000, 3400}}, 5000, 5100, 3, true},
		"the closest counts for a while":       {[]exchange{{1000, 1003}, {8000, 8500}}, 9000, 9100, 3, true},
		"but not for long, as clocks drift":    {[]exchange{{1000, 1003}, {8000, 8500}, {15000, 15500}}, 15600, 15700, 500, true},
		"after a long silence nothing is left": {[]exchange{{1000, 1003}}, 60000, 60100, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("i0", "d0")
			r.Put("i1", roster.Entry{Incarnation: 1, Domain: "d0"}, start)
			for _, e := range test.exchanges {
				b := roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: e.answeredAt*ms + theirs, EchoAt: e.sentAt * ms}
				r.RecordEcho(b, clock.Instant((e.answeredAt+2)*ms))
			}
			got, dated := r.EarliestSendTime("i1", test.sentAt*ms+theirs, clock.Instant(test.readAt*ms))
			is.Equal(dated, test.dated)
			if dated {
				is.Equal(int64(got), (test.sentAt-test.late)*ms)
			}
		})
	}
}

// A process that starts anew may run on another machine: its clock has nothing to do with the one before.
func TestDateOfAnotherLife(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	r.Put("i1", roster.Entry{Incarnation: 1, Domain: "d0"}, start)
	r.RecordEcho(roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: 100, EchoAt: 90}, 110)
	r.Put("i1", roster.Entry{Incarnation: 2, Domain: "d0"}, start)
	r.RecordEcho(roster.Heartbeat{Name: "i1", Incarnation: 1, SentAt: 120, EchoAt: 115}, 130) // it was on its way
	_, dated := r.EarliestSendTime("i1", 140, 150)
	is.True(!dated)
	_, dated = r.EarliestSendTime("stranger", 140, 150)
	is.True(!dated)
}
