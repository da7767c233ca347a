package policy

import (
	"testing"

	"github.com/matryer/is"
)

// Requests come one at a time to a service with three equal servers, and each finds all of them
// idle. If ties went to the first server, it would run all the requests and become slow while
// the other two did nothing.
func TestIdleServersTakeTurns(t *testing.T) {
	is := is.New(t)
	q := NewQueue(8)
	q.Configure(0, 8, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}, {Name: "c", Slots: 2}})
	ran := make(map[string]int)
	for i := range 90 {
		now := Time(i+1) * ms
		for _, d := range q.Admit(now, newSlotRequest(Ticket(i), "x", now+500*ms)) {
			a, admitted := d.(Admitted)
			is.True(admitted)
			ran[a.Server]++
			q.Release(now, a.Server, defaultRunTime, false)
		}
	}
	is.Equal(ran, map[string]int{"a": 30, "b": 30, "c": 30})
}
