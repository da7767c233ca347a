package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// remoteController is an admission controller on another instance. Messages to it take requestDelay, its decisions
// replyDelay.
type remoteController struct {
	address      netip.AddrPort
	client       *admissionClient
	requestDelay time.Duration
	replyDelay   time.Duration

	mu         sync.Mutex
	controller *admit.Controller
}

func newRemoteController(port uint16, requestDelay, replyDelay time.Duration, slots int) *remoteController {
	rc := &remoteController{address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), requestDelay: requestDelay, replyDelay: replyDelay}
	rc.controller = admit.New(rand.New(rand.NewPCG(1, 2)), admit.Options{})
	rc.controller.SetServers(time.Now(), []rules.Server{{ID: "s", Service: "books", Slots: slots}})
	return rc
}

func (rc *remoteController) handle(m dgram.Message) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := time.Now()
	id := func(serial uint64) admit.ID { return admit.ID{From: "a", Serial: serial} }
	var decisions []admit.Decision
	switch m := m.(type) {
	case dgram.AdmissionRequest:
		decisions = []admit.Decision{rc.controller.Decide(now, admit.Request{
			ID: id(m.Serial), Service: "books", Server: m.Server, Route: "read",
			TargetAt: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		})}
	case dgram.Cancel:
		decisions = rc.controller.Cancel(now, id(m.Serial))
	case dgram.Completion:
		decisions = rc.controller.Complete(now, admit.Completion{ID: id(m.Serial), Server: "s", Route: "read", Took: 100 * time.Millisecond})
	}
	for _, v := range decisions {
		time.AfterFunc(rc.replyDelay, func() { rc.client.handleDecision(rc.address, decisionMessage(v)) })
	}
}

// network returns a function that delivers messages to controllers by address.
func network(controllers ...*remoteController) func(to netip.AddrPort, m dgram.Message) {
	return func(to netip.AddrPort, m dgram.Message) {
		for _, rc := range controllers {
			if rc.address == to {
				time.AfterFunc(rc.requestDelay, func() { rc.handle(m) })
			}
		}
	}
}

// hasFreeSlot reports whether the controller admits a request at once.
func (rc *remoteController) hasFreeSlot(serial uint64) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := time.Now()
	request := admit.Request{
		ID: admit.ID{From: "probe", Serial: serial}, Service: "books", Server: "s", Route: "read",
		TargetAt: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second),
		HasFallback: true, // reject instead of queueing
	}
	_, admitted := rc.controller.Decide(now, request).(admit.Admitted)
	rc.controller.Cancel(now, request.ID)
	return admitted
}

// Guards against slots that nobody uses. An instance with a small share of a core got the decision of the first
// controller late, while it asked the second one. It took the decision for that of the second and completed the
// request there. The second then admitted a request that nobody waited for and held the slot until the deadline,
// while other requests waited 1.2 seconds at an idle server.
func TestLateDecisionOfAnotherController(t *testing.T) {
	tests := map[string]struct{ requestDelay, replyDelay time.Duration }{
		"late request":       {200 * time.Millisecond, time.Millisecond},
		"late decision":      {time.Millisecond, 160 * time.Millisecond},
		"very late decision": {time.Millisecond, 400 * time.Millisecond},
		"both in time":       {time.Millisecond, time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := newRemoteController(1, test.requestDelay, test.replyDelay, 1), newRemoteController(2, time.Millisecond, 30*time.Millisecond, 1)
				client := newAdmissionClient(network(first, second), func(string) {}, 0.16, 1000)
				first.client, second.client = client, client
				// The server of the second controller is busy for a moment, so that the request is queued first.
				second.handle(dgram.AdmissionRequest{Serial: 99, Server: "s"})
				time.AfterFunc(300*time.Millisecond, func() { second.handle(dgram.Completion{Serial: 99}) })
				request := admit.Request{Service: "books", Server: "s", TargetAt: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second)}
				for _, rc := range []*remoteController{first, second} {
					v, answered := client.request(t.Context(), request, roster.Peer{Name: "k", Entry: roster.Entry{Share: 1}}, rc.address)
					if !answered {
						continue
					}
					is.Equal(v.Server, "s")
					time.Sleep(100 * time.Millisecond)
					client.send(rc.address, dgram.Completion{Serial: v.Serial})
					client.close(v.Serial)
					break
				}
				time.Sleep(time.Second)
				is.True(first.hasFreeSlot(1))
				is.True(second.hasFreeSlot(2))
				is.Equal(len(client.decisions), 0)
			})
		})
	}
}

// Guards against a slot that stays taken if a caller leaves while its request is queued and the message that cancels
// it overtakes the request: the admission that follows is cancelled.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rc := newRemoteController(1, 50*time.Millisecond, time.Millisecond, 1)
		client := newAdmissionClient(network(rc), func(string) {}, 1, 1000)
		rc.client = client
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer leave()
		_, answered := client.request(ctx, admit.Request{Service: "books", Server: "s", Deadline: time.Now().Add(20 * time.Second)}, roster.Peer{}, rc.address)
		is.True(!answered)
		rc.handle(dgram.Cancel{Serial: client.lastSerial})
		time.Sleep(time.Second)
		is.True(rc.hasFreeSlot(1))
	})
}

// Guards against a slot that stays taken if a completion and its repetition are lost on a saturated slow link. The
// slot was not free for two seconds, and the requests that waited for it were late or rejected.
func TestLostCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rc := newRemoteController(1, time.Millisecond, time.Millisecond, 1)
		client := newAdmissionClient(network(rc), func(string) {}, 1, 10)
		rc.client = client
		request := admit.Request{Service: "books", Server: "s", TargetAt: time.Now().Add(time.Second), Deadline: time.Now().Add(20 * time.Second)}
		v, answered := client.request(t.Context(), request, roster.Peer{}, rc.address)
		is.True(answered)
		rc.mu.Lock()
		is.Equal(len(rc.controller.LongRunning(time.Now())), 0) // it has just been admitted
		rc.mu.Unlock()
		time.Sleep(9 * time.Second) // the route counts as 3.3 seconds long until a duration is known
		rc.mu.Lock()
		longRunning := rc.controller.LongRunning(time.Now())
		is.Equal(len(rc.controller.LongRunning(time.Now())), 0) // not reported twice in a row
		rc.mu.Unlock()
		is.Equal(len(longRunning), 1)
		client.handleCheck(rc.address, dgram.AdmissionCheck{Serial: longRunning[0].Serial})
		time.Sleep(time.Second)
		is.True(!rc.hasFreeSlot(1)) // still in use
		client.close(v.Serial)
		client.handleCheck(rc.address, dgram.AdmissionCheck{Serial: longRunning[0].Serial})
		time.Sleep(time.Second)
		is.True(rc.hasFreeSlot(2))
	})
}
