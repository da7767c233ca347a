package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that is taken for one that has started again because a heartbeat of the process before it was late.
func TestLateHeartbeatsOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	r, now := New("self", "d"), time.Now()
	r.Put("i", Entry{Domain: "d", Incarnation: 1}, now)
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 1}, now)
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 2}, now.Add(time.Second))
	is.Equal(r.ReplacedSince("i"), now.Add(time.Second))
	is.True(r.LastHeard("i", 2))
	r.Put("i", Entry{Domain: "d", Incarnation: 2}, now.Add(2*time.Second))
	is.True(r.ReplacedSince("i").IsZero())
	p, _ := r.Peer("i")
	is.Equal(p.HeardSince, now.Add(time.Second))
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 2}, now.Add(2*time.Second))
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 1}, now.Add(3*time.Second))
	is.True(r.ReplacedSince("i").IsZero())
	is.True(r.LastHeard("i", 2))
}

// Guards against two instances that take turns as leader: the former one, which has ended, counted as alive again for its
// successor and went before it.
func TestEndedLeaderDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	r, now := New("i1", "d"), time.Now()
	heartbeat := func(name string, at time.Time) {
		r.RecordHeartbeat(Heartbeat{Name: name, Incarnation: 1, StoreOK: true, StoreAnswered: true}, at)
	}
	for _, name := range []string{"i0", "i1", "i2"} {
		r.Put(name, Entry{Domain: "d", Incarnation: 1, Share: 1}, now)
		heartbeat(name, now)
	}
	leader, _ := r.Leader(now)
	is.Equal(leader.Name, "i0")
	for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(100 * time.Millisecond) {
		heartbeat("i1", at)
		heartbeat("i2", at)
		if leader, _ = r.Leader(at); leader.Name == "i0" {
			is.True(r.leadingSince.IsZero())
			continue
		}
		if r.leadingSince.IsZero() {
			r.SetLeading(true, at)
		}
		leader, _ = r.Leader(at)
		is.Equal(leader.Name, "i1")
	}
	is.True(!r.leadingSince.IsZero())
	heartbeat("i0", now.Add(5*time.Second))
	leader, _ = r.Leader(now.Add(5 * time.Second))
	is.Equal(leader.Name, "i0") // it is back
}

// Guards against an instance that has started again and counts as silent from then on: it was registered, and before its next
// heartbeat taken for the process before it again.
func TestHeardIncarnationStaysTheLastHeard(t *testing.T) {
	is := is.New(t)
	r, now := New("self", "d"), time.Now()
	r.Put("i", Entry{Domain: "d", Incarnation: 1}, now)
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 1}, now)
	r.RecordHeartbeat(Heartbeat{Name: "i", Incarnation: 2}, now.Add(time.Second))
	r.Put("i", Entry{Domain: "d", Incarnation: 2}, now.Add(time.Second))
	is.True(r.LastHeard("i", 2)) // although it has sent no heartbeat since it was registered
	is.True(!r.LastHeard("i", 1))
}

// Guards against two owners: a process that runs is dropped because of the end of the one before it, and is not waited for.
func TestEndOfAFormerIncarnationDropsNobody(t *testing.T) {
	for name, e := range map[string]Entry{"ended": {Domain: "d", Incarnation: 1, Ended: true}, "removed": {Domain: "d", Incarnation: 1, Removed: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, now := New("self", "d"), time.Now()
			r.Put("i", Entry{Domain: "d", Incarnation: 1}, now)
			r.Put("i", Entry{Domain: "d", Incarnation: 2}, now)
			r.Put("i", e, now)
			is.Equal(r.Unconfirmed(5, now.Add(-time.Minute)), []string{"i"})
			is.True(!r.HasRemoved())
			e.Incarnation = 2
			r.Put("i", e, now)
			_, found := r.Peer("i")
			is.True(!found)
		})
	}
}

// Guards against two owners: the registration and the end of an earlier process are both late, and the process that runs meanwhile
// is not waited for.
func TestEndOfAProcessThatReplacedAnother(t *testing.T) {
	is := is.New(t)
	r, now := New("self", "d"), time.Now()
	r.Put("i", Entry{Domain: "d", Incarnation: 2}, now)
	r.Put("i", Entry{Domain: "d", Incarnation: 1}, now.Add(time.Second))
	r.Put("i", Entry{Domain: "d", Incarnation: 1, Ended: true}, now.Add(2*time.Second))
	is.Equal(r.Unconfirmed(5, now), []string{"i"})
	is.Equal(len(r.Unconfirmed(5, now.Add(time.Second))), 0) // its view is too old by then
	r.Put("i", Entry{Domain: "d", Incarnation: 3}, now.Add(time.Minute))
	r.Put("i", Entry{Domain: "d", Incarnation: 3, Ended: true}, now.Add(2*time.Minute))
	is.Equal(len(r.Unconfirmed(5, now)), 0)
}
