package policy

import (
	"testing"

	"github.com/matryer/is"
)

// Submissions come one at a time to a service with three equal servers. Each found all of
// them idle, and each went to the first: it ran all the work and its answers grew slow while
// two servers did nothing.
func TestIdleServersTakeTurns(t *testing.T) {
	is := is.New(t)
	q := NewQueue(8)
	q.Configure(0, 8, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}, {Name: "c", Slots: 2}})
	ran := make(map[string]int)
	for i := range 90 {
		now := Time(i+1) * ms
		for _, v := range q.Ask(now, ask(Ticket(i), "x", now+500*ms)) {
			s, started := v.(Admitted)
			is.True(started)
			ran[s.Server]++
			q.Release(now, s.Server, defaultRun, false)
		}
	}
	is.Equal(ran, map[string]int{"a": 30, "b": 30, "c": 30})
}
