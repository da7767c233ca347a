package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
)

// Guards against instances that write their records again and again because each answer arrives too late.
func TestRegisterIsReadBeforeAppendIsRepeated(t *testing.T) {
	tests := map[string]struct {
		err      error
		possible bool
		repeats  time.Duration
	}{
		"answered":  {nil, true, maxAppendTime},
		"no answer": {fmt.Errorf("%w: silent", follow.ErrUnknown), true, maxAppendTime},
		"refused":   {fmt.Errorf("%w: status 503", follow.ErrNotDone), false, registerInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r registration
			now := time.Now()
			is.True(r.due(false, now))
			is.Equal(r.attempted(test.err, now), test.possible)
			is.True(!r.due(false, now.Add(test.repeats-time.Millisecond)))
			is.True(r.due(false, now.Add(test.repeats)))
			is.True(!r.due(true, now.Add(time.Hour)))
			is.True(!r.outcomeUnknown)
		})
	}
}
