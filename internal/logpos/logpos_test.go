package logpos

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against offsets of different eras that are compared as if they named the same records.
func TestPositionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	ascending := []Pos{At(0, 0), At(0, 97), At(1, 0), At(1, 95), At(2, 3), At(2, 4), At(MaxEra, 1<<30)}
	for i := 1; i < len(ascending); i++ {
		is.True(ascending[i-1] < ascending[i])
	}
	is.Equal(At(3, 7)+1, At(3, 8))
	is.Equal(At(3, 7).Era(), Era(3))
	is.Equal(At(3, 7).Offset(), int64(7))
	is.Equal(At(3, 7).String(), "3/7")
	is.Equal(At(0, 7).String(), "7")
	is.Equal(Pos(-1).Offset(), int64(-1))
	is.Equal(Pos(-1).Era(), Era(0))
	is.Equal(Pos(7).In(3), At(3, 7)) // of a release that does not know eras
	is.Equal(At(2, 7).In(3), At(2, 7))
	is.Equal(Pos(-1).In(3), Pos(-1))
}

// Guards against fences of a later era that are not above all of earlier ones, or that a JSON number does not hold.
func TestFencesOfLaterErasAreHigher(t *testing.T) {
	is := is.New(t)
	is.True(FirstFence(2) > FirstFence(1)+1<<32-1)
	is.Equal(FenceEra(FirstFence(5)+93), Era(5))
	is.Equal(FenceEra(93), Era(0))
	is.True(FirstFence(MaxEra)+1<<32-1 < 1<<53)
	is.Equal(FenceEra(1<<63), MaxEra)
}
