package front

import (
	"net/http"
	"time"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// retrySoon is when callers are told to come back after a fault that is likely to be short.
const retrySoon = time.Second

// serve sees one request to its answer.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, from origin) {
	q, err := f.parse(r, from)
	if err != nil {
		refuse(w, q.id, refusal{
			status: http.StatusBadRequest, reason: ReasonBadHeader, outcome: caller.NotRun,
			detail: err.Error(), service: q.service,
		})
		return
	}
	if no, refused := f.route(w, q); refused {
		no.service = q.service
		refuse(w, q.id, no)
	}
}

// route sends a request to where it goes next. A refusal is returned if nothing was written.
func (f *Front) route(w http.ResponseWriter, q *request) (refusal, bool) {
	switch d := f.deps.Finder.Find(q.service, q.hash).(type) {
	case route.Here:
		if no, refused := f.admit(q, d.Service); refused {
			return no, true
		}
		return f.run(w, q, d)
	case route.Forward:
		if no, refused := f.admit(q, d.Service); refused {
			return no, true
		}
		return f.forward(w, q, d)
	case route.Absent:
		return absent(d), true
	default:
		return refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: caller.NotRun}, true
	}
}

// admit checks what the service asks of each request.
func (f *Front) admit(q *request, s *bundle.Service) (refusal, bool) {
	if s.Divided && q.key == "" {
		return refusal{
			status: http.StatusBadRequest, reason: ReasonNoKey, outcome: caller.NotRun,
			detail: "the header " + caller.HeaderKey + " is required",
		}, true
	}
	if limit := s.Limits.BodyBytes; limit > 0 && q.ContentLength > limit {
		return refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig, outcome: caller.NotRun}, true
	}
	f.bound(q, s)
	return refusal{}, false
}

// absent returns the refusal for a request without a destination.
func absent(a route.Absent) refusal {
	no := refusal{
		status: http.StatusServiceUnavailable, reason: reasonOf(a.Reason), outcome: caller.NotRun, retry: retrySoon,
	}
	if a.Reason == route.AbsentService {
		no.status, no.retry = http.StatusNotFound, 0
	}
	return no
}
