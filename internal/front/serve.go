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

// retrySoon is when callers are told to come back after a fault that is likely to be short.
const retrySoon = time.Second

// serve sees one request to its answer.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, from origin) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := f.parse(r, from)
	if err != nil {
		refuse(w, q.id, &refusal{
			status: http.StatusBadRequest, reason: ReasonBadHeader, outcome: caller.NotRun,
			detail: err.Error(), service: q.service,
		})
		return
	}
	defer q.free()
	defer f.serveSpan(w, q)()
	if no := f.route(w, q); no != nil {
		if q.doubt && no.ranNot() {
			// The last try did not run, but one before it may have.
			no.outcome, no.unsent = caller.Unknown, false
		}
		no.service = q.service
		f.meters.refusals.Add(string(no.reason), 1)
		refuse(w, q.id, no)
	}
	f.meters.count(w.Header())
}

// route sends a request to where it goes next. A refusal is returned if nothing was written.
func (f *Front) route(w http.ResponseWriter, q *request) *refusal {
	switch d := f.find(q).(type) {
	case route.Local:
		if no := f.admit(q, d.Service); no != nil {
			return no
		}
		return f.run(w, q, d)
	case route.Forward:
		if no := f.admit(q, d.Service); no != nil {
			return no
		}
		return f.forward(w, q, d)
	case route.Unavailable:
		return absent(q, d)
	default:
		return &refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: unreached(q), unsent: true}
	}
}

// find returns the next destination of a request. In a service that is not divided, the place
// of a request that must not run twice depends on its id, so that its resends go there too.
func (f *Front) find(q *request) route.Destination {
	d := f.deps.Finder.Find(q.service, q.hash)
	if !q.once() || divided(d) {
		return d
	}
	q.hash = keys.Hash(q.service, q.id)
	if f.deps.FindHome == nil {
		return d
	}
	return f.deps.FindHome(q.service, q.hash)
}

// divided reports whether a destination is in a divided service, or none at all.
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

// admit checks what the service asks of each request.
func (f *Front) admit(q *request, s *bundle.Service) *refusal {
	if s.Divided && q.key == "" {
		return &refusal{
			status: http.StatusBadRequest, reason: ReasonNoKey, outcome: caller.NotRun,
			detail: "the header " + caller.HeaderKey + " is required",
		}
	}
	if limit := s.Limits.BodyBytes; limit > 0 && q.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig, outcome: caller.NotRun}
	}
	if q.moves++; q.moves > maxHops {
		return moving(q)
	}
	if q.body == nil {
		q.body = f.newBody(q, s.Limits.BodyBytes)
	}
	f.bound(q, s)
	return nil
}

// moving returns the refusal for a request whose owner moves faster than it follows.
func moving(q *request) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonHops, outcome: unreached(q), unsent: true, retry: retrySoon,
		detail: "the owner of the key moved while the request was on its way",
	}
}

// unreached returns the outcome of a request that did not reach its gate. This sending did not
// run, but an earlier one of the same id may have: only the gate remembers. So "not run" is
// said only of a request that has no id, or that the caller says it sends for the first time.
func unreached(q *request) caller.Outcome {
	if q.once() && q.attempt != 1 {
		return caller.Unknown
	}
	return caller.NotRun
}

// absent returns the refusal for a request without a destination.
func absent(q *request, a route.Unavailable) *refusal {
	if a.Reason == route.ReasonUnknownService {
		return &refusal{status: http.StatusNotFound, reason: reasonOf(a.Reason), outcome: caller.NotRun}
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reasonOf(a.Reason), outcome: unreached(q), unsent: true, retry: retrySoon,
	}
}

// failed returns the refusal for a request that ended with an error.
func failed(q *request, outcome caller.Outcome, err error) *refusal {
	no := &refusal{status: http.StatusBadGateway, reason: ReasonServerLost, outcome: outcome, retry: retrySoon}
	switch cause := q.body.cause(); {
	case errors.Is(cause, errBodySize):
		no.status, no.reason, no.retry = http.StatusRequestEntityTooLarge, ReasonBodyTooBig, 0
	case errors.Is(cause, errBodyCut):
		no.status, no.reason, no.retry = http.StatusBadRequest, ReasonBodyCut, 0
	case isTimeout(err):
		no.status, no.reason = http.StatusGatewayTimeout, ReasonTimeout
	case q.Context().Err() != nil:
		no.status, no.reason, no.retry = statusCallerGone, ReasonCanceled, 0
	case outcome == caller.NotRun:
		no.status, no.reason = http.StatusServiceUnavailable, ReasonUnreachable
	}
	if no.reason == ReasonTimeout && outcome == caller.NotRun {
		no.status, no.reason = http.StatusServiceUnavailable, policy.ReasonDeadlinePassed
	}
	return no
}

// unsent says of a refusal that this sending did not run.
func unsent(no *refusal) *refusal {
	no.unsent = true
	return no
}

func isTimeout(err error) bool {
	return errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded)
}
