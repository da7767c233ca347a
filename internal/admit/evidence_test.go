package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
)

// Guards against a server that is set aside for all instances because one of them loses its requests on the way, and against
// one that fails and is not set aside.
func TestLossesOfOneInstance(t *testing.T) {
	type end struct {
		from    string
		outcome admit.Outcome
	}
	repeat := func(n int, ends ...end) []end {
		var out []end
		for range n {
			out = append(out, ends...)
		}
		return out
	}
	answered, lost, failed := admit.Answered, admit.Lost, admit.Failed
	cases := map[string]struct {
		ends   []end
		chosen bool
	}{
		"one instance loses all, another is answered": {append(repeat(2, end{"a", answered}, end{"b", answered}), repeat(6, end{"a", lost})...), true},
		"two instances lose all":                      {append(repeat(2, end{"a", answered}, end{"b", answered}), repeat(3, end{"a", lost}, end{"b", lost})...), false},
		"the only instance loses all":                 {append(repeat(2, end{"a", answered}), repeat(6, end{"a", lost})...), false},
		"the server answers with failures":            {append(repeat(2, end{"a", answered}, end{"b", answered}), repeat(6, end{"a", failed})...), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start
			controller := newController(server("s1", "north", 4), server("s2", "north", 4), server("s3", "north", 4), server("s4", "north", 4))
			for i, e := range c.ends {
				now = now.Add(50 * time.Millisecond)
				req := newRequest(uint64(i+1), now)
				req.From, req.Server = e.from, "s1"
				_, admitted := controller.Decide(now, req).(admit.Admitted)
				is.True(admitted)
				controller.Complete(now, admit.Completion{ID: req.ID, Server: "s1", Route: "read", Outcome: e.outcome, Took: 20 * time.Millisecond})
			}
			chosen := false
			for i := range uint64(16) {
				req := newRequest(1000+i, now)
				req.From = "c"
				if d, admitted := controller.Decide(now, req).(admit.Admitted); admitted && d.Server == "s1" {
					chosen = true
				}
			}
			is.Equal(chosen, c.chosen)
		})
	}
}
