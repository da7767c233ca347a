package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that reach a leaving server late because they are let go as late as on a fast link.
func TestSlowSendsEndTheTimeOfALeavingServerSooner(t *testing.T) {
	const slow = drainReserve + 200*time.Millisecond
	for name, test := range map[string]struct {
		took, after, sooner time.Duration
	}{
		"within the reserve": {drainReserve - time.Millisecond, 0, 0},
		"beyond the reserve": {slow, 0, slow - drainReserve},
		"some time ago":      {slow, 3 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &Node{cluster: newTestState()}
				n.cluster.applyDirectory(true, "stays", "ready", "leaves", "draining")
				n.ObserveSendDelay(test.took, time.Now())
				time.Sleep(test.after)
				leaves, found := n.Server("leaves")
				is.True(found)
				is.Equal(n.cluster.server("leaves").LeaveBy.Sub(leaves.LeaveBy), test.sooner)
				stays, found := n.Server("stays")
				is.True(found)
				is.True(stays.LeaveBy.IsZero())
			})
		})
	}
}
