package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/caller"
)

// settleTime bounds the finding out whether a server was lost.
const settleTime = time.Second

// unanswered decides what becomes of a request to which the server gave no whole answer.
func (j *job) unanswered(slot policy.Slot, t route.Target, err error) (*refusal, bool) {
	f := j.front
	f.deps.Log.Warn("no-answer", "request", j.id, "service", j.request.service, "server", slot.Server, "error", err)
	if errors.Is(err, errNoRight) {
		j.service.forget(j.policy)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonNoRight, outcome: caller.NotRun,
			detail: err.Error(), server: slot.Server, retry: retrySoon,
		}, false
	}
	fault := faultOf(err)
	if fault == policy.ConnectionLost {
		j.blame(t, slot)
	}
	if j.Context().Err() != nil {
		j.policy.Replayable = false
	}
	decision := j.service.failed(j.policy, slot, fault)
	if errors.Is(err, upstr.ErrSilent) {
		f.meters.silent.Add(1)
	}
	if _, again := decision.(policy.Retry); again {
		j.doubt = j.doubt || fault != policy.NotSent
		j.fresh = errors.Is(err, upstr.ErrSilent)
		return nil, true
	}
	final := decision.(policy.Final)
	no := failed(j.request, final.Outcome, err)
	if errors.Is(err, upstr.ErrDeadline) && j.body.cause() == nil {
		no.status, no.reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	if errors.Is(err, upstr.ErrSilent) {
		no.reason = ReasonSilent
	}
	if final.Blocked {
		no.reason = policy.ReasonBlocked
		no.detail = "block " + j.policy.Fingerprint.String()
		no.retry = 0
	}
	no.server = slot.Server
	return no, false
}

// faultOf returns the fault that an error of package upstr tells of.
func faultOf(err error) policy.Fault {
	switch {
	case errors.Is(err, upstr.ErrNotSent):
		return policy.NotSent
	case errors.Is(err, upstr.ErrLost):
		return policy.ConnectionLost
	default:
		return policy.InDoubt
	}
}

// blame finds out whether the server was lost, and suspects the request if it was. A request
// that may be tried again waits for that, so that it does not walk through the servers; the
// caller of any other has its answer at once.
func (j *job) blame(t route.Target, slot policy.Slot) {
	if j.policy.Fingerprint == 0 {
		j.print()
	}
	lostAt := time.Now()
	print, server := j.policy.Fingerprint, j.service.connections(t.Server)
	heldAt := j.service.hold(print, slot.Server)
	settle := func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		died := server.ServerDied(ctx, lostAt)
		if died {
			j.front.meters.lost.Add(1)
			j.front.deps.Log.Warn("server-lost", "service", j.service.name, "server", slot.Server, "request", j.id, "print", print)
		}
		j.service.settle(heldAt, print, slot.Server, died)
	}
	if j.idempotent {
		settle()
		return
	}
	j.front.inFlight.begin()
	go func() {
		defer j.front.inFlight.end()
		settle()
	}()
}

// refusedBefore reports whether a server says that it refused a request before running it.
func refusedBefore(r *http.Response) bool {
	refusing := r.StatusCode == http.StatusMisdirectedRequest || r.StatusCode == http.StatusServiceUnavailable ||
		r.StatusCode == http.StatusTooManyRequests
	return refusing && r.Header.Get(caller.HeaderOutcome) == string(caller.NotRun)
}

// refused decides what becomes of a request that the server refused before running it.
func (j *job) refused(slot policy.Slot, r *http.Response) (*refusal, bool) {
	no := &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonServerBusy, outcome: caller.NotRun, server: slot.Server,
		retry: retrySoon,
	}
	fault := policy.Refused
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && seconds > 0 {
		no.retry = time.Duration(seconds) * time.Second
	}
	if r.StatusCode == http.StatusMisdirectedRequest {
		no.reason, fault = ReasonNotOwner, policy.NotOwner
	} else {
		j.service.busy(slot, j.front.now().Add(no.retry))
	}
	if _, again := j.service.failed(j.policy, slot, fault).(policy.Retry); again {
		return nil, true
	}
	return no, false
}

// The calls of the policy core, each under the service's lock.

func (s *service) earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.EarnRetry()
}

func (s *service) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.SpendRetry()
}

func (s *service) suspicious() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasSuspects()
}

func (s *service) forget(r *policy.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Cancel(r)
}

func (s *service) held(r *policy.Request, server string) policy.Slot {
	return s.core.SlotOf(r, server)
}

func (s *service) failed(r *policy.Request, slot policy.Slot, fault policy.Fault) policy.RetryDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HandleFault(s.front.now(), r, slot, fault)
}

func (s *service) busy(slot policy.Slot, until policy.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.EjectBusy(s.front.now(), slot, until)
}

// hold returns the time for settle.
func (s *service) hold(p policy.Fingerprint, server string) policy.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.front.now()
	s.core.AddPendingLoss(now, p, server)
	return now
}

func (s *service) settle(heldAt policy.Time, p policy.Fingerprint, server string, died bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ResolvePendingLoss(s.front.now(), heldAt, p, server, died)
}

func (s *service) answered(r *policy.Request, status int, k *policy.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Complete(s.front.now(), r, status, k)
}

func (s *service) doubt(r *policy.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordUnknown(r)
}
