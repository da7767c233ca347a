package member

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/matryer/is"
)

// In a group of any size, news of one instance must reach all others in as many hops as the
// group has binary digits, and nobody may have more contacts than that beyond the small groups.
func TestContactsReachEverybody(t *testing.T) {
	is := is.New(t)
	const all = 16
	for size := 1; size <= 300; size++ {
		var names []string
		for n := range size {
			names = append(names, fmt.Sprintf("i%03d", n))
		}
		hops := map[string]int{names[0]: 0}
		for queue := names[:1:1]; len(queue) > 0; queue = queue[1:] {
			chosen := contacts(names, queue[0], all)
			is.True(len(chosen) <= max(all-1, bits.Len(uint(size-1)))) // bounded
			for _, next := range chosen {
				is.True(next != queue[0]) // nobody talks to itself
				if _, known := hops[next]; !known {
					hops[next] = hops[queue[0]] + 1
					queue = append(queue, next)
				}
			}
		}
		is.Equal(len(hops), size) // reached
		for _, n := range hops {
			is.True(n <= bits.Len(uint(size)))
		}
	}
}
