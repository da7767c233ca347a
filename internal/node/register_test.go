package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
)

// Guards against instances that write their records again and again because reads fail or answers arrive too late. While
// 986 instances started together, each wrote its record 24 times.
func TestRegistrationIsWrittenOnce(t *testing.T) {
	silent := fmt.Errorf("%w: silent", follow.ErrUnknown)
	now := time.Now()
	later := now.Add(time.Hour)
	tests := map[string]struct {
		write func(r *registration)
		known ownersKnowledge
		due   bool
	}{
		"nothing sent":                    {func(*registration) {}, ownersKnowledge{}, true},
		"registered":                      {func(*registration) {}, ownersKnowledge{Registered: true}, false},
		"written, not read yet":           {func(r *registration) { r.attempted(7, nil, now) }, ownersKnowledge{End: 7, AsOf: later}, false},
		"written, and removed":            {func(r *registration) { r.attempted(7, nil, now) }, ownersKnowledge{End: 9}, true},
		"unknown, not read since":         {func(r *registration) { r.attempted(0, silent, now) }, ownersKnowledge{AsOf: now.Add(maxAppendTime)}, false},
		"unknown, read and missing":       {func(r *registration) { r.attempted(0, silent, now) }, ownersKnowledge{AsOf: now.Add(maxAppendTime + 1)}, true},
		"left to a seed":                  {func(r *registration) { r.delegated(now) }, ownersKnowledge{AsOf: now}, false},
		"left to a seed that did nothing": {func(r *registration) { r.delegated(now) }, ownersKnowledge{AsOf: now.Add(seedRegisterTime + 1)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r registration
			test.write(&r)
			is.Equal(r.due(test.known, later), test.due)
		})
	}
}

// Guards against instances that keep an overloaded store busy with refused registrations.
func TestRefusedRegistrationsBackOff(t *testing.T) {
	is := is.New(t)
	var r registration
	now := time.Now()
	for range 12 {
		r.attempted(0, fmt.Errorf("%w: status 503", follow.ErrNotDone), now)
	}
	is.True(r.nextAt.Sub(now) >= maxRegisterDelay/2)
	is.True(r.due(ownersKnowledge{}, now.Add(2*maxRegisterDelay)))
}
