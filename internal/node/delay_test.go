package node

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/delay"
	"example.org/mustardring/internal/follow"
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
		"stopped for long":   {time.Hour, 0, time.Second - drainReserve},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &Node{cluster: newTestState(), sendDelay: &delay.Gauge{}}
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

// Guards against an instance that gives up each source of a topic before the answer can arrive, as its own link or processor is busy.
func TestAnswersOfPeersAreAwaitedAsLongAsThisInstanceIsLate(t *testing.T) {
	const late = 300 * time.Millisecond
	for name, test := range map[string]struct {
		observed time.Duration
		err      error
	}{
		"known to be late": {late, errTopicPending}, "not known to be late": {0, errPeerSilent},
		"stopped for long": {time.Hour, errTopicPending},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(silenceFactor*peerSilence + late)
				w.WriteHeader(statusTopicPending)
			}))
			defer server.Close()
			n := newPeers(t, 1, "s1")[0]
			n.ObserveSendDelay(test.observed, time.Now())
			_, err := n.callPeer(t.Context(), server.Listener.Addr().String(), follow.PeerRequest{Topic: "config"}, func() {})
			is.True(errors.Is(err, test.err))
		})
	}
}
