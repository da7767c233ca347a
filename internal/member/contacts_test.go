package member

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/matryer/is"
)

// In a group of any size, an update of one instance must reach all others in at most as many
// hops as the size has binary digits. Beyond the full-mesh size, no instance may have more
// contacts than that.
func TestContactsReachAllInstances(t *testing.T) {
	is := is.New(t)
	const maxFullMesh = 16
	for size := 1; size <= 300; size++ {
		var names []string
		for n := range size {
			names = append(names, fmt.Sprintf("i%03d", n))
		}
		hops := map[string]int{names[0]: 0}
		for queue := names[:1:1]; len(queue) > 0; queue = queue[1:] {
			chosen := contacts(names, queue[0], maxFullMesh)
			is.True(len(chosen) <= max(maxFullMesh-1, bits.Len(uint(size-1)))) // bounded
			for _, next := range chosen {
				is.True(next != queue[0]) // no instance is its own contact
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
