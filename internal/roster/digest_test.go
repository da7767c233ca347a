package roster

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
)

// newLargeDomain returns the rosters of two instances of a domain with a number of others, a and hub. All clocks show the
// time since start, that of the hub is ahead by an hour.
func newLargeDomain(others int, start time.Time) (a, hub *Roster) {
	a, hub = New("a", "d0"), New("hub", "d0")
	for _, r := range []*Roster{a, hub} {
		for i := range others {
			r.Put(fmt.Sprintf("i%03d", i), Entry{Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "d0", Incarnation: 1, Share: 1}, start)
		}
		r.Put("a", Entry{Address: "10.0.1.1:1", Domain: "d0", Incarnation: 1, Share: 1}, start)
		r.Put("hub", Entry{Address: "10.0.1.2:1", Domain: "d0", Incarnation: 1, Share: 2}, start)
	}
	return a, hub
}

// Guards against a majority that rests on reports that seem newer than they are: the report of a digest that was in transit
// for long, or that was about an old heartbeat.
func TestReportsAreDatedByTheirHeartbeats(t *testing.T) {
	const hour = clock.Instant(time.Hour)
	at := func(d time.Duration) clock.Instant { return clock.Instant(d) }
	tests := map[string]struct {
		heardAt, sentAt, receivedAt time.Duration
		agreesSince, not            time.Duration
	}{
		"at once":                 {10 * time.Second, 10 * time.Second, 10 * time.Second, 9900 * time.Millisecond, 10 * time.Second},
		"of an old heartbeat":     {8 * time.Second, 10 * time.Second, 10 * time.Second, 7900 * time.Millisecond, 8 * time.Second},
		"in transit for a second": {10 * time.Second, 10 * time.Second, 11 * time.Second, 9900 * time.Millisecond, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			const others = 100
			a, hub := newLargeDomain(others, start)
			// The offsets of the clocks become known: a exchanged heartbeats with the hub, and the hub with the others.
			a.RecordEcho(Heartbeat{Name: "hub", Incarnation: 1, SentAt: int64(hour + at(7*time.Second)), EchoAt: int64(at(7 * time.Second))}, at(7*time.Second))
			for i := range others {
				h := Heartbeat{Name: fmt.Sprintf("i%03d", i), Incarnation: 1, Known: 5, SentAt: int64(at(test.heardAt)), EchoAt: int64(hour + at(test.heardAt))}
				hub.RecordEcho(h, hour+at(test.heardAt))
				hub.RecordHeartbeat(h, start.Add(test.heardAt))
			}
			reports := hub.Reports(start.Add(test.sentAt), hour+at(test.sentAt))
			is.Equal(len(reports), others)
			a.RecordHeartbeat(Heartbeat{Name: "hub", Incarnation: 1, Known: 5}, start.Add(test.receivedAt))
			a.RecordDigest("hub", int64(hour+at(test.sentAt)), reports, start.Add(test.receivedAt), at(test.receivedAt))
			is.True(a.MajorityAgrees(int64(test.agreesSince), 5))
			is.True(!a.MajorityAgrees(int64(test.not), 5)) // not newer than the heartbeats
			is.True(!a.MajorityAgrees(int64(test.agreesSince), 4))
		})
	}
}

// Guards against reports of an earlier incarnation, and against digests of a sender whose clock is not known.
func TestUndatedReportsProveNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	a, hub := newLargeDomain(100, start)
	for i := range 100 {
		hub.RecordHeartbeat(Heartbeat{Name: fmt.Sprintf("i%03d", i), Incarnation: 1, Known: 5}, start)
	}
	reports := hub.Reports(start, 0)
	a.RecordDigest("hub", 1, reports, start.Add(time.Second), clock.Instant(time.Second))
	is.True(!a.MajorityAgrees(1, 5))
	is.True(a.MajorityAlive(start.Add(time.Second)))
	for i := range reports {
		reports[i].Incarnation = 2
		reports[i].Confirmed = 9
	}
	a.RecordDigest("hub", 1, reports, start.Add(2*time.Second), clock.Instant(2*time.Second))
	is.Equal(len(a.Unconfirmed(8, start)), 102)
}

// Guards against the loss of all instances of a domain in the eyes of the others when its hubs are lost.
func TestHubsAreReplaced(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	a, _ := newLargeDomain(100, start)
	is.Equal(a.Hubs(start)[0].Name, "hub")
	later := start.Add(hubTimeout + time.Millisecond)
	for i := range 100 {
		a.RecordHeartbeat(Heartbeat{Name: fmt.Sprintf("i%03d", i), Incarnation: 1}, later)
	}
	hubs := a.Hubs(later)
	is.Equal(len(hubs), hubCount)
	is.True(hubs[0].Name != "hub")
	is.True(a.MajorityAlive(later))
}

// Checks that the number of heartbeats that an instance sends does not grow with the instances of its domain, but for hubs.
func TestHubsAreFew(t *testing.T) {
	for _, others := range []int{100, 300, 1000, 2800} {
		is := is.New(t)
		a, _ := newLargeDomain(others, time.Now())
		is.True(a.LargeDomain("d0"))
		is.Equal(len(a.Hubs(time.Now())), hubCount)
	}
}

// Guards against an upgrade in turn in which instances of two releases cannot decode each other's heartbeats: structs are
// encoded by position, with the number of their fields.
func TestHeartbeatsKeepTheirFields(t *testing.T) {
	is := is.New(t)
	is.Equal(transmittedFields(reflect.TypeFor[Heartbeat]()), 16)
	is.Equal(transmittedFields(reflect.TypeFor[Report]()), 10)
}

// transmittedFields returns the number of fields of a struct that are encoded.
func transmittedFields(t reflect.Type) int {
	count := 0
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("msgpack") != "-" {
			count++
		}
	}
	return count
}
