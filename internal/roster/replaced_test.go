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
