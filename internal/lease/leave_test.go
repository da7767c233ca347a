package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// setLeaveBy sets until when a server gets requests, zero for no limit, and whether it drains.
func (tc *testCluster) setLeaveBy(id string, leaveBy time.Time, draining bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.servers[id].Draining, tc.servers[id].LeaveBy = draining, leaveBy
}

// heldKeys returns the number of checked keys that a server holds.
func (tc *testCluster) heldKeys(id string) int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	n := 0
	for _, l := range tc.servers[id].leases {
		if l.granted && time.Now().Before(l.expiresAt) {
			n++
		}
	}
	return n
}

// Guards against a leaving server that runs what arrives after its time because its leases last longer.
func TestLeasesOfALeavingServerEndByItsTime(t *testing.T) {
	const leaveIn, transit = 1750 * time.Millisecond, 200 * time.Millisecond
	for name, test := range map[string]struct {
		// knownAfter is how long after the beginning of its time it is known that the server leaves.
		knownAfter time.Duration
		// returnsAfter is when the server turns out to stay, zero if it leaves.
		returnsAfter time.Duration
		// missing says that the server does not drain, but its entry is missing.
		missing bool
	}{
		"its entry is missing":             {missing: true},
		"known at once":                    {},
		"known late":                       {knownAfter: time.Second},
		"stays before the end of its time": {returnsAfter: leaveIn - 50*time.Millisecond},
		"stays after the end of its time":  {returnsAfter: leaveIn + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(is *is.I, tc *testCluster) {
				time.Sleep(5 * time.Second)
				tc.outage(time.Minute) // the keys stay where they are
				leaveBy := time.Now().Add(leaveIn)
				time.Sleep(test.knownAfter)
				held := tc.heldKeys("s0")
				is.True(held > 0)
				tc.setLeaveBy("s0", leaveBy, !test.missing)
				if test.returnsAfter != 0 {
					time.Sleep(time.Until(leaveBy) - leaveIn + test.returnsAfter)
					tc.setLeaveBy("s0", time.Time{}, false)
					time.Sleep(transit)
					is.Equal(tc.heldKeys("s0"), held)
					time.Sleep(2 * leaseDuration)
					is.Equal(tc.heldKeys("s0"), held)
					return
				}
				time.Sleep(time.Until(leaveBy) - transit)
				is.Equal(tc.heldKeys("s0"), held)
				after := 0
				if test.missing {
					after = held
				}
				for _, later := range []time.Duration{2 * transit, 2 * leaseDuration} {
					time.Sleep(later)
					is.Equal(tc.heldKeys("s0"), after)
				}
			})
		})
	}
}

// Guards against keys without an owner from the moment at which an instance starts that cannot tell how long ago a server has said
// that it leaves.
func TestKeysOfALeavingServerAreNotReleasedAtAStart(t *testing.T) {
	runInCluster(t, func(is *is.I, tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.outage(time.Minute)
		held := tc.heldKeys("s0")
		tc.setLeaveBy("s0", time.Now().Add(-10*time.Second), true)
		time.Sleep((leaseDuration - renewInterval) / 2)
		is.Equal(tc.heldKeys("s0"), held)
		time.Sleep(2 * leaseDuration)
		is.Equal(tc.heldKeys("s0"), 0)
	})
}
