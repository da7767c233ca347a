package rules

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestServerSet(t *testing.T) {
	is := is.New(t)
	all := map[string]Server{}
	for i := range 1000 {
		id := fmt.Sprint(i)
		all[id] = Server{ID: id}
	}
	before := NewServerSet(all)
	after := before.With(map[string]Server{"5": {ID: "5", Draining: true}, "new": {ID: "new"}}, []string{"7", "unknown"})
	is.Equal(before.Len(), 1000)
	is.Equal(after.Len(), 1000)
	s, _ := before.Get("5")
	is.True(!s.Draining) // earlier sets stay as they are
	s, _ = after.Get("5")
	is.True(s.Draining)
	is.True(before.Has("7") && !after.Has("7") && after.Has("new"))
	n := 0
	for range after.All() {
		n++
	}
	is.Equal(n, 1000)
}
