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

// lossCheckTimeout limits the check whether the process of a server died.
const lossCheckTimeout = time.Second

// handleNoResponse decides whether a request that got no complete response is retried. If so, it
// returns true; otherwise it returns the refusal.
func (g *gateRequest) handleNoResponse(slot policy.Slot, t route.Target, err error) (*refusal, bool) {
	f := g.front
	f.deps.Log.Warn("no-answer", "request", g.id, "service", g.request.service, "server", slot.Server, "error", err)
	if errors.Is(err, errNotAuthorized) {
		g.service.cancel(g.policyRequest)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonRightLost, outcome: caller.NotRun,
			detail: err.Error(), server: slot.Server, retryAfter: shortRetryDelay,
		}, false
	}
	fault := faultOf(err)
	if fault == policy.ConnectionLost {
		g.checkServerLoss(t, slot)
	}
	if g.Context().Err() != nil {
		g.policyRequest.Replayable = false
	}
	decision := g.service.handleFault(g.policyRequest, slot, fault)
	if errors.Is(err, upstr.ErrSilent) {
		f.counters.silentConnections.Add(1)
	}
	if _, retry := decision.(policy.Retry); retry {
		g.mayHaveRun = g.mayHaveRun || fault != policy.NotSent
		g.newConn = errors.Is(err, upstr.ErrSilent)
		return nil, true
	}
	final := decision.(policy.Final)
	ref := failureRefusal(g.request, final.Outcome, err)
	if errors.Is(err, upstr.ErrDeadline) && g.body.readError() == nil {
		ref.status, ref.reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	if errors.Is(err, upstr.ErrSilent) {
		ref.reason = ReasonConnectionSilent
	}
	if final.Blocked {
		ref.reason = policy.ReasonBlocked
		ref.detail = "block " + g.policyRequest.Fingerprint.String()
		ref.retryAfter = 0
	}
	ref.server = slot.Server
	return ref, false
}

// faultOf returns the fault that an error of package upstr stands for.
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

// checkServerLoss checks whether the process of the server died when its connection was lost, and
// records the request as a suspect if so. An idempotent request waits for the result, since its
// retries could otherwise crash one server after another. For any other request the check runs in
// the background, so that the caller gets the response at once.
func (g *gateRequest) checkServerLoss(t route.Target, slot policy.Slot) {
	if g.policyRequest.Fingerprint == 0 {
		g.print()
	}
	lostAt := time.Now()
	print, server := g.policyRequest.Fingerprint, g.service.client(t.Server)
	addedAt := g.service.addPendingLoss(print, slot.Server)
	check := func() {
		ctx, cancel := context.WithTimeout(context.Background(), lossCheckTimeout)
		defer cancel()
		died := server.ServerDied(ctx, lostAt)
		if died {
			g.front.counters.serversLost.Add(1)
			g.front.deps.Log.Warn("server-lost", "service", g.service.name, "server", slot.Server, "request", g.id, "print", print)
		}
		g.service.resolvePendingLoss(addedAt, print, slot.Server, died)
	}
	if g.idempotent {
		check()
		return
	}
	g.front.inFlight.begin()
	go func() {
		defer g.front.inFlight.end()
		check()
	}()
}

// refusedBeforeRunning reports whether a response says that the server did not begin the request.
func refusedBeforeRunning(r *http.Response) bool {
	refusing := r.StatusCode == http.StatusMisdirectedRequest || r.StatusCode == http.StatusServiceUnavailable ||
		r.StatusCode == http.StatusTooManyRequests
	return refusing && r.Header.Get(caller.HeaderOutcome) == string(caller.NotRun)
}

// handleRefusal decides whether a request that the server refused before running it is retried. If
// so, it returns true; otherwise it returns the refusal.
func (g *gateRequest) handleRefusal(slot policy.Slot, r *http.Response) (*refusal, bool) {
	ref := &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonServerBusy, outcome: caller.NotRun, server: slot.Server,
		retryAfter: shortRetryDelay,
	}
	fault := policy.Refused
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && seconds > 0 {
		ref.retryAfter = time.Duration(seconds) * time.Second
	}
	if r.StatusCode == http.StatusMisdirectedRequest {
		ref.reason, fault = ReasonNotOwner, policy.NotOwner
	} else {
		g.service.ejectBusy(slot, g.front.now().Add(ref.retryAfter))
	}
	if _, retry := g.service.handleFault(g.policyRequest, slot, fault).(policy.Retry); retry {
		return nil, true
	}
	return ref, false
}

// The following methods call the policy core, all but slotOf with the lock held.

func (s *service) earnRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.EarnRetry()
}

func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.SpendRetry()
}

func (s *service) hasSuspects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasSuspects()
}

func (s *service) cancel(r *policy.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Cancel(r)
}

func (s *service) slotOf(r *policy.Request, server string) policy.Slot {
	return s.core.SlotOf(r, server)
}

func (s *service) handleFault(r *policy.Request, slot policy.Slot, fault policy.Fault) policy.RetryDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HandleFault(s.front.now(), r, slot, fault)
}

func (s *service) ejectBusy(slot policy.Slot, until policy.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.EjectBusy(s.front.now(), slot, until)
}

// addPendingLoss returns the time that resolvePendingLoss needs.
func (s *service) addPendingLoss(p policy.Fingerprint, server string) policy.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.front.now()
	s.core.AddPendingLoss(now, p, server)
	return now
}

func (s *service) resolvePendingLoss(addedAt policy.Time, p policy.Fingerprint, server string, died bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ResolvePendingLoss(s.front.now(), addedAt, p, server, died)
}

func (s *service) complete(r *policy.Request, status int, stored *policy.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Complete(s.front.now(), r, status, stored)
}

func (s *service) recordUnknown(r *policy.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordUnknown(r)
}
