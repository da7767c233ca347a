package front

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// run is the way of a request through the gate.
func (f *Front) run(w http.ResponseWriter, q *request, d route.Here) (refusal, bool) {
	ctx, cancel := context.WithCancelCause(q.Context())
	defer cancel(nil)
	timer := time.AfterFunc(q.deadline.Until(f.now()), func() { cancel(errDeadline) })
	defer timer.Stop()
	b := newBody(q.Body, limitOf(d.Service))
	g := f.gateOf(d)
	ask := policy.Ask{Ticket: policy.Ticket(f.tickets.Add(1)), Caller: q.caller, Deadline: q.deadline}
	verdict, err := g.acquire(ctx, ask, d, f.deps.Hint)
	if err != nil {
		return failed(ctx, b, caller.NotRun), true
	}
	switch v := verdict.(type) {
	case policy.Start:
		return f.send(ctx, w, q, attempt{gate: g, dest: d, server: v.Server, body: b, timer: timer})
	case policy.Shed:
		return f.shed(v), true
	default:
		return refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: caller.NotRun}, true
	}
}

// shed returns the refusal for a request that the queue did not take.
func (f *Front) shed(v policy.Shed) refusal {
	no := refusal{
		status: http.StatusServiceUnavailable, reason: v.Reason, outcome: caller.NotRun,
		retry: v.RetryAt.Until(f.now()),
	}
	if v.Reason == policy.ReasonOutOfShare {
		no.status = http.StatusTooManyRequests
	}
	return no
}

// attempt is one try of a request at a server whose slot it holds.
type attempt struct {
	gate   *gate
	dest   route.Here
	server string
	body   *body
	timer  *time.Timer
}

// target returns the server of the attempt.
func (a *attempt) target() (route.Target, bool) {
	for _, t := range a.dest.Servers {
		if t.Server.Name == a.server {
			return t, true
		}
	}
	return route.Target{}, false
}

// send writes a request to the server whose slot it holds, and streams the answer.
func (f *Front) send(ctx context.Context, w http.ResponseWriter, q *request, a attempt) (refusal, bool) {
	t, found := a.target()
	if !found {
		a.gate.release(a.server, 0)
		return refusal{status: http.StatusServiceUnavailable, reason: policy.ReasonNoServer, outcome: caller.NotRun, retry: retrySoon}, true
	}
	if !t.Server.ChecksGrants && f.deps.Right != nil {
		if err := f.deps.Right.Check(q.service, a.server, q.hash); err != nil {
			a.gate.release(a.server, 0)
			return refusal{
				status: http.StatusServiceUnavailable, reason: ReasonNoRight, outcome: caller.NotRun,
				detail: err.Error(), server: a.server, retry: retrySoon,
			}, true
		}
	}
	began := f.now()
	answer, err := a.gate.connections(t.Server).Send(f.outgoingTo(ctx, q, t, a.body), f.at(q.deadline))
	defer f.releaseWhenDone(a, answer, began)
	if err != nil {
		return f.unanswered(ctx, q, a, err), true
	}
	defer answer.Body.Close()
	if refusedBefore(answer.Response) {
		return refusedBy(answer.Response, a.server), true
	}
	if q.idempotent {
		a.timer.Stop()
	}
	copyHeader(w.Header(), answer.Header)
	outcomeHeader(w.Header(), q.id, outcomeOf(answer.Response))
	w.Header().Set(caller.HeaderServer, a.server)
	f.stream(w, q, answer.Response)
	return refusal{}, false
}

// releaseWhenDone gives the slot back when the server is done with the request.
func (f *Front) releaseWhenDone(a attempt, answer upstr.Answer, began policy.Time) {
	select {
	case <-answer.Done:
		a.gate.release(a.server, time.Duration(f.now()-began))
		return
	default:
	}
	go func() {
		<-answer.Done
		a.gate.release(a.server, time.Duration(f.now()-began))
	}()
}

// outgoingTo returns the request as the server gets it.
func (f *Front) outgoingTo(ctx context.Context, q *request, t route.Target, b *body) *http.Request {
	out := f.outgoing(ctx, q, b)
	out.URL = &url.URL{RawQuery: q.URL.RawQuery}
	setPath(out.URL, q.rest)
	out.Header.Set(caller.HeaderRequest, q.id)
	if !t.Epoch.IsZero() {
		out.Header.Set(caller.HeaderEpoch, epochText(t.Epoch))
	}
	return out
}

// epochText returns the header form of an epoch: log.sub.incarnation.sequence.
func epochText(e grant.Epoch) string {
	buffer := make([]byte, 0, 64)
	for i, n := range []uint64{e.Term.Log, e.Term.Sub, e.Term.Incarnation, e.Sequence} {
		if i > 0 {
			buffer = append(buffer, '.')
		}
		buffer = strconv.AppendUint(buffer, n, 10)
	}
	return string(buffer)
}

// unanswered returns the refusal for a request to which the server gave no answer.
func (f *Front) unanswered(ctx context.Context, q *request, a attempt, err error) refusal {
	f.deps.Log.Warn("no answer", "request", q.id, "service", q.service, "server", a.server, "error", err)
	outcome := caller.Unknown
	if errors.Is(err, upstr.ErrNotSent) {
		outcome = caller.NotRun
	}
	no := failed(ctx, a.body, outcome)
	if no.reason == ReasonServerLost && outcome == caller.NotRun {
		no.status, no.reason = http.StatusServiceUnavailable, ReasonUnreachable
	}
	no.server = a.server
	return no
}

// refusedBefore reports whether a server says that it refused a request before running it.
func refusedBefore(r *http.Response) bool {
	refusing := r.StatusCode == http.StatusMisdirectedRequest || r.StatusCode == http.StatusServiceUnavailable ||
		r.StatusCode == http.StatusTooManyRequests
	return refusing && r.Header.Get(caller.HeaderOutcome) == string(caller.NotRun)
}

// refusedBy returns the refusal for a request that the server refused before running it.
func refusedBy(r *http.Response, server string) refusal {
	no := refusal{
		status: http.StatusServiceUnavailable, reason: ReasonServerBusy, outcome: caller.NotRun, server: server,
		retry: retrySoon,
	}
	if r.StatusCode == http.StatusMisdirectedRequest {
		no.reason = ReasonNotOwner
	}
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && seconds > 0 {
		no.retry = time.Duration(seconds) * time.Second
	}
	return no
}

// outcomeOf returns what an answer says of its request. A server that sheds load without
// saying so may or may not have begun the work.
func outcomeOf(r *http.Response) caller.Outcome {
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return caller.Unknown
	default:
		return caller.Ran
	}
}
