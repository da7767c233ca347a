package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// shortRetryDelay is the Retry-After of a refusal whose cause probably lasts only briefly.
const shortRetryDelay = time.Second

// serve handles one request.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, sender senderKind) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := f.parseRequest(r, sender)
	if err != nil {
		writeRefusal(w, q.id, &refusal{
			status: http.StatusBadRequest, reason: ReasonBadHeader, outcome: caller.NotRun,
			detail: err.Error(), service: q.service,
		})
		return
	}
	defer q.releaseBody()
	defer f.startServeSpan(w, q)()
	if ref := f.route(w, q); ref != nil {
		if q.mayHaveRun && ref.didNotRun() {
			// The last attempt did not run, but an earlier one may have.
			ref.outcome, ref.unsent = caller.Unknown, false
		}
		ref.service = q.service
		f.counters.refusals.Add(string(ref.reason), 1)
		writeRefusal(w, q.id, ref)
	}
	f.counters.count(w.Header())
}

// route sends a request to its destination and writes the response. If it returns a refusal,
// nothing has been written yet.
func (f *Front) route(w http.ResponseWriter, q *request) *refusal {
	switch d := f.findDestination(q).(type) {
	case route.Local:
		if ref := f.prepare(q, d.Service); ref != nil {
			return ref
		}
		return f.runAtGate(w, q, d)
	case route.Forward:
		if ref := f.prepare(q, d.Service); ref != nil {
			return ref
		}
		return f.forward(w, q, d)
	case route.Unavailable:
		return unavailableRefusal(q, d)
	default:
		return &refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: unreachedOutcome(q), unsent: true}
	}
}

// findDestination returns the next destination of a request. In a service that is not divided, the
// destination of a deduplicated request depends on its id, so that its resends go there too.
func (f *Front) findDestination(q *request) route.Destination {
	d := f.deps.Finder.Find(q.service, q.hash)
	if !q.deduplicated() || divided(d) {
		return d
	}
	q.hash = keys.Hash(q.service, q.id)
	if f.deps.FindHome == nil {
		return d
	}
	return f.deps.FindHome(q.service, q.hash)
}

// divided reports whether a destination belongs to a divided service. It returns true if there is
// no destination.
func divided(d route.Destination) bool {
	switch d := d.(type) {
	case route.Local:
		return d.Service.Divided
	case route.Forward:
		return d.Service.Divided
	default:
		return true
	}
}

// prepare checks a request against the limits of the service, and sets its body and deadline. It
// also limits how often the request is routed at this instance.
func (f *Front) prepare(q *request, s *bundle.Service) *refusal {
	if s.Divided && q.key == "" {
		return &refusal{
			status: http.StatusBadRequest, reason: ReasonNoKey, outcome: caller.NotRun,
			detail: "the header " + caller.HeaderKey + " is required",
		}
	}
	if limit := s.Limits.BodyBytes; limit > 0 && q.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge, outcome: caller.NotRun}
	}
	if q.lookups++; q.lookups > maxHops {
		return ownerMovedRefusal(q)
	}
	if q.body == nil {
		q.body = f.newBody(q, s.Limits.BodyBytes)
	}
	f.limitDeadline(q, s)
	return nil
}

// ownerMovedRefusal returns the refusal for a request that was routed too often because the owner
// of its key keeps changing.
func ownerMovedRefusal(q *request) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonTooManyHops, outcome: unreachedOutcome(q), unsent: true, retryAfter: shortRetryDelay,
		detail: "the owner of the key moved while the request was on its way",
	}
}

// unreachedOutcome returns the outcome of a request that did not reach its gate. This submission
// did not run, but an earlier one with the same id may have, and only the gate has the record. The
// outcome is therefore "not run" only if the request is not deduplicated or the caller states that
// this is the first submission.
func unreachedOutcome(q *request) caller.Outcome {
	if q.deduplicated() && q.submissionNumber != 1 {
		return caller.Unknown
	}
	return caller.NotRun
}

// unavailableRefusal returns the refusal for a request that has no destination.
func unavailableRefusal(q *request, d route.Unavailable) *refusal {
	if d.Reason == route.ReasonUnknownService {
		return &refusal{status: http.StatusNotFound, reason: reasonOf(d.Reason), outcome: caller.NotRun}
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonOf(d.Reason), outcome: unreachedOutcome(q), unsent: true, retryAfter: shortRetryDelay,
	}
}

// failureRefusal returns the refusal for a request that ended with an error. An error that occurred
// while the body was read decides about status and reason.
func failureRefusal(q *request, outcome caller.Outcome, err error) *refusal {
	ref := &refusal{status: http.StatusBadGateway, reason: ReasonServerLost, outcome: outcome, retryAfter: shortRetryDelay}
	switch cause := q.body.readError(); {
	case errors.Is(cause, errBodyTooLarge):
		ref.status, ref.reason, ref.retryAfter = http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0
	case errors.Is(cause, errBodyCut):
		ref.status, ref.reason, ref.retryAfter = http.StatusBadRequest, ReasonBodyCut, 0
	case isTimeout(err):
		ref.status, ref.reason = http.StatusGatewayTimeout, ReasonTimeout
	case q.Context().Err() != nil:
		ref.status, ref.reason, ref.retryAfter = statusCallerGone, ReasonCallerGone, 0
	case outcome == caller.NotRun:
		ref.status, ref.reason = http.StatusServiceUnavailable, ReasonUnreachable
	}
	if ref.reason == ReasonTimeout && outcome == caller.NotRun {
		ref.status, ref.reason = http.StatusServiceUnavailable, policy.ReasonDeadlinePassed
	}
	return ref
}

// asUnsent marks a refusal as one of a submission that did not run, and returns it.
func asUnsent(ref *refusal) *refusal {
	ref.unsent = true
	return ref
}

func isTimeout(err error) bool {
	return errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded)
}
