package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against grants of an instance whose end is recorded, for whose leases the others do not wait.
func TestNoGrantsAfterAnInstanceCeases(t *testing.T) {
	runInCluster(t, func(is *is.I, tc *testCluster) {
		time.Sleep(4 * time.Second)
		is.Equal(tc.servedKeys(), 256)
		for _, n := range tc.others("") {
			n.manager.Cease()
		}
		time.Sleep(leaseDuration*102/100 + maxTransitTime)
		is.Equal(tc.servedKeys(), 0)
	})
}
