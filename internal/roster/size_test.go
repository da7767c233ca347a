package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that takes itself for the only one, or one of few, while it does not know the register.
func TestSizeIsUnknownUntilRegistered(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		change func(r *Roster)
		want   Size
	}{
		"nothing read":               {func(*Roster) {}, Unknown{}},
		"others registered first":    {func(r *Roster) { r.Put("b", Entry{Incarnation: 1}, now) }, Unknown{}},
		"previous incarnation":       {func(r *Roster) { r.Put("a", Entry{Incarnation: 1}, now); r.Put("b", Entry{Incarnation: 1}, now) }, Known{2}},
		"previous incarnation ended": {func(r *Roster) { r.Put("a", Entry{Incarnation: 1, Ended: true}, now) }, Unknown{}},
		"alone":                      {func(r *Roster) { r.Put("a", Entry{Incarnation: 1}, now) }, Known{1}},
		"removed by the others": {func(r *Roster) {
			r.Put("a", Entry{}, now)
			r.Put("b", Entry{}, now)
			r.Put("a", Entry{Removed: true}, now)
		}, Known{2}},
		"registration deleted":        {func(r *Roster) { r.Put("a", Entry{}, now); r.Put("b", Entry{}, now); r.Remove("a", now) }, Known{2}},
		"another instance has joined": {func(r *Roster) { r.Put("a", Entry{}, now); r.Put("b", Entry{}, now); r.Put("c", Entry{}, now) }, Known{3}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New("a", "d0")
			test.change(r)
			is.New(t).Equal(r.Size(), test.want)
		})
	}
}
