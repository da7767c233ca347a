package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// errNoRight is wrapped by errors of a Right.
var errNoRight = errors.New("front: no right to the server")

// job is a request at its gate.
type job struct {
	*request
	front   *Front
	service *service
	dest    route.Local
	policy  *policy.Request
	// told says that another instance remembers the request on behalf of this gate.
	told bool
	// fresh asks for a new connection in the next try.
	fresh bool
}

// run is the way of a request through the gate.
func (f *Front) run(w http.ResponseWriter, q *request, d route.Local) *refusal {
	j := &job{request: q, front: f, service: f.service(d.Service.Name), dest: d}
	if err := j.body.hold(w, q.ContentLength, f.at(q.deadline)); err != nil {
		return unsent(failed(q, unreached(q), err))
	}
	j.policy = &policy.Request{
		Ticket: policy.Ticket(f.tickets.Add(1)), Pool: poolOf(d), Hash: q.hash, Caller: q.caller,
		Deadline: q.deadline, Idempotent: q.idempotent, Replayable: j.body.whole,
	}
	if q.once() {
		if no, ended := j.remember(w); ended {
			return no
		}
	} else if j.service.suspicious() {
		j.print()
	}
	no := j.tries(w)
	if no != nil && no.ranNot() {
		j.tellEnd(caller.NotRun, 0)
	}
	return no
}

// remember asks the memory about a request that must not run twice, and makes sure that the
// loss of this instance does not lose that it was sent. It returns true when the request has
// its answer, with the refusal if that is not yet written.
func (j *job) remember(w http.ResponseWriter) (*refusal, bool) {
	scope := ""
	if j.dest.Service.Divided {
		scope = j.key
	}
	j.policy.RequestID = policy.HashRequestID(j.request.service, scope, j.id)
	j.policy.SubmissionID = j.sending
	j.print()
	server, epoch := j.owner()
	if err := j.service.recall(j.Context(), j.hash, server, epoch); err != nil && j.attempt != 1 {
		j.front.deps.Log.Warn("recall-failed", "request", j.id, "service", j.service.name, "error", err)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonNoMemory, outcome: unreached(j.request), unsent: true,
			retry: retrySoon,
		}, true
	}
	known := j.service.recollect(j.policy)
	if _, fresh := known.(policy.Fresh); !fresh {
		return j.answerKnown(w, known), true
	}
	if j.witness != "" && j.witness != j.front.deps.Instance || j.front.deps.Replicator == nil {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(j.Context(), j.front.at(j.deadline))
	defer cancel()
	if err := j.front.deps.Replicator.Replicate(ctx, j.mark(caller.Unknown, 0)); err != nil {
		j.service.forget(j.policy)
		j.front.deps.Log.Warn("no-witness", "request", j.id, "service", j.service.name, "error", err)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonNoWitness, outcome: caller.NotRun, retry: retrySoon,
		}, true
	}
	j.told = true
	return nil, false
}

// owner returns the server and epoch for which the memory must be complete.
func (j *job) owner() (string, grant.Epoch) {
	if j.policy.Pool == "" {
		return "", grant.Epoch{}
	}
	return j.policy.Pool, j.dest.Servers[0].Epoch
}

func (j *job) mark(o caller.Outcome, status int) policy.IdempotencyRecord {
	m := j.service.core.RecordOf(j.policy, o)
	m.Status = status
	return m
}

// tellEnd tells the witness what became of the request.
func (j *job) tellEnd(o caller.Outcome, status int) {
	if j.told {
		j.front.deps.Replicator.ReplicateOutcome(j.mark(o, status))
	}
}

// print computes what the request asks, as suspects are known by it.
func (j *job) print() {
	j.policy.Fingerprint = policy.FingerprintOf(policy.Content{
		Service: j.request.service, Method: j.Method, Path: j.URL.RequestURI(), Key: j.key,
		Body: j.body.prefix, Length: j.ContentLength,
	})
}

// answerKnown answers a resend from memory.
func (j *job) answerKnown(w http.ResponseWriter, known policy.CheckResult) *refusal {
	no := &refusal{
		status: http.StatusConflict, outcome: caller.Unknown, unsent: true, reason: policy.ReasonInProgress, retry: retrySoon,
	}
	switch k := known.(type) {
	case policy.AlreadyRan:
		if k.Response != nil {
			j.replay(w, k.Response)
			return nil
		}
		no.reason, no.outcome, no.retry = policy.ReasonAlreadyRan, caller.Ran, 0
	case policy.IDReused:
		no.status, no.reason, no.outcome, no.retry = http.StatusUnprocessableEntity, policy.ReasonIDReused, caller.NotRun, 0
	case policy.TableFull:
		no.status, no.reason, no.outcome = http.StatusServiceUnavailable, policy.ReasonMemoryFull, caller.NotRun
	case policy.MayHaveRun, policy.Fresh:
	}
	j.front.meters.resent.Add(1)
	return no
}

// tries asks for a slot and sends the request, as often as the policy lets it.
func (j *job) tries(w http.ResponseWriter) *refusal {
	for first := true; ; first = false {
		verdict, waited, err := j.service.acquire(j.Context(), j.policy, j.dest)
		if err != nil {
			return failed(j.request, caller.NotRun, err)
		}
		start, started := verdict.(policy.Admitted)
		if !started {
			return j.shed(w, verdict)
		}
		if (waited || !first) && !j.stillHere(start.Server) {
			j.service.withdraw(j.policy, start.Server)
			return j.front.route(w, j.request)
		}
		target, found := j.target(start.Server)
		if !found {
			j.service.withdraw(j.policy, start.Server)
			return &refusal{
				status: http.StatusServiceUnavailable, reason: policy.ReasonNoServer, outcome: caller.NotRun, retry: retrySoon,
			}
		}
		no, again := j.try(w, target)
		if !again {
			return no
		}
		j.front.meters.retried.Add(1)
		j.body.rewind()
	}
}

// stillHere looks up once more where the request belongs: while it waited the key may have
// got another owner, or the server another gate.
func (j *job) stillHere(server string) bool {
	d, here := j.front.find(j.request).(route.Local)
	if !here || poolOf(d) != j.policy.Pool {
		return false
	}
	j.dest = d
	_, found := j.target(server)
	return found
}

// target returns the server of a try.
func (j *job) target(server string) (route.Target, bool) {
	for _, t := range j.dest.Servers {
		if t.Server.Name == server {
			return t, true
		}
	}
	return route.Target{}, false
}

// shed returns the refusal for a request that did not get a slot.
func (j *job) shed(w http.ResponseWriter, verdict policy.Decision) *refusal {
	switch v := verdict.(type) {
	case policy.Rejected:
		no := &refusal{
			status: http.StatusServiceUnavailable, reason: v.Reason, outcome: caller.NotRun,
			retry: v.RetryAt.Until(j.front.now()),
		}
		if v.Reason == policy.ReasonCallerOverShare {
			no.status = http.StatusTooManyRequests
		}
		if v.Reason == policy.ReasonBlocked {
			no.detail = "block " + j.policy.Fingerprint.String()
		}
		return no
	case policy.CheckFailed:
		return j.answerKnown(w, v.Result)
	case policy.Moved:
		return j.front.route(w, j.request)
	default:
		return &refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: caller.NotRun}
	}
}

// try writes the request to a server whose slot it holds, and streams the answer. It returns
// true when the request is to be tried once more.
func (j *job) try(w http.ResponseWriter, t route.Target) (*refusal, bool) {
	f, server := j.front, t.Server.Name
	slot := j.service.held(j.policy, server)
	began := f.now()
	out := j.outgoing(t)
	defer f.nextSpan(j.Context(), spanSend, server, out.Header)()
	var work Work
	response, err := j.service.connections(t.Server).Send(out, upstr.SendOptions{
		Deadline: f.at(j.deadline), InMemory: j.body.whole, NewConn: j.fresh, BeforeWrite: j.permit(t, &work),
		Done: func(sent bool) {
			if work != nil {
				work.End()
			}
			ran := time.Duration(f.now() - began)
			if !sent {
				ran = 0
			}
			j.service.freed(slot, ran)
		},
	})
	if err != nil {
		return j.unanswered(slot, t, err)
	}
	defer response.Body.Close()
	if refusedBefore(response) {
		return j.refused(slot, response)
	}
	no, again := j.answer(w, slot, t, response)
	if f.deps.ObserveRun != nil {
		f.deps.ObserveRun(j.request.service, server, j.hash, time.Duration(f.now()-began))
	}
	return no, again
}

// permit returns the check of this instance's right as the gate of a server, which keeps the
// work that begins.
//
// It guards against sending after the right was lost, which the server may not notice: two
// gates would then send to two servers for one key, or run one request twice. It is called
// when the connection is there, as opening one may take long.
func (j *job) permit(t route.Target, work *Work) func() error {
	if j.front.deps.Authorizer == nil {
		return nil
	}
	return func() error {
		begun, err := j.front.deps.Authorizer.Begin(Attempt{
			Service:      j.request.service,
			Server:       t.Server.Name,
			Hash:         j.hash,
			Divided:      j.dest.Service.Divided,
			ChecksGrants: t.Server.ChecksGrants,
			Idempotent:   j.idempotent,
		})
		if err != nil {
			return fmt.Errorf("%w: %w", errNoRight, err)
		}
		*work = begun
		return nil
	}
}

// outgoing returns the request as the server gets it.
func (j *job) outgoing(t route.Target) *http.Request {
	out := j.front.outgoing(j.Context(), j.request)
	setPath(out.URL, j.rest)
	if !t.Epoch.IsZero() {
		out.Header[caller.HeaderEpoch] = j.service.epochOf(t)
	}
	return out
}
