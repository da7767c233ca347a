package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// The reasons of refusals that do not come from package policy or route.
const (
	ReasonNoRoute     policy.Reason = "no-route"
	ReasonNoKey       policy.Reason = "no-key"
	ReasonBadHeader   policy.Reason = "bad-header"
	ReasonBodyTooBig  policy.Reason = "body-too-large"
	ReasonBodyCut     policy.Reason = "body-cut"
	ReasonHops        policy.Reason = "too-many-hops"
	ReasonUnreachable policy.Reason = "unreachable"
	ReasonNoRight     policy.Reason = "right-lost"
	ReasonNotOwner    policy.Reason = "not-owner"
	ReasonServerBusy  policy.Reason = "server-busy"
	ReasonServerLost  policy.Reason = "server-lost"
	ReasonTimeout     policy.Reason = "timeout"
	ReasonCanceled    policy.Reason = "caller-gone"
	ReasonAnswerCut   policy.Reason = "answer-cut"
	ReasonNoWitness   policy.Reason = "no-witness"
	ReasonNoMemory    policy.Reason = "memory-incomplete"
	ReasonSilent      policy.Reason = "connection-silent"
)

// statusCallerGone is the status of an answer that nobody waits for.
const statusCallerGone = 499

// refusal is an answer that this instance itself gives.
type refusal struct {
	status  int
	reason  policy.Reason
	outcome caller.Outcome
	detail  string
	service string
	server  string
	// unsent says that this sending did not run, whatever the outcome says of earlier ones. It
	// is implied by NotRun.
	unsent bool
	// retry is how long the caller should wait before the next sending; zero states nothing.
	retry time.Duration
}

// ranNot reports whether this sending did not run, nor will.
func (r *refusal) ranNot() bool {
	return r.unsent || r.outcome == caller.NotRun
}

// titles are the titles of problems where the reason says less than it could.
var titles = map[policy.Reason]string{
	ReasonNoKey:                   "The service is divided by key and the request names none",
	policy.ReasonQueueFull:        "Too many requests wait for the server",
	policy.ReasonDeadlineTooNear:  "The request would wait beyond its deadline",
	policy.ReasonDeadlinePassed:   "The deadline of the request passed before it ran",
	policy.ReasonCallerOverShare:  "The caller has more requests waiting than others",
	policy.ReasonBlocked:          "The request is suspected to crash servers",
	policy.ReasonInProgress:       "An earlier sending of the request runs or may have run",
	policy.ReasonAlreadyRan:       "An earlier sending of the request ran",
	policy.ReasonIDReused:         "The request id was used for another request",
	policy.ReasonMemoryFull:       "Too many request ids to remember",
	ReasonNoMemory:                "It cannot be found out whether the request ran before",
	ReasonServerLost:              "The server was lost while the request may have run",
	ReasonAnswerCut:               "The server's answer ended early",
	ReasonTimeout:                 "The server did not answer by the deadline",
	reasonOf(route.ReasonNoOwner): "Nobody owns the key at this moment",
}

func reasonOf(a route.Reason) policy.Reason { return policy.Reason(a) }

// refuse writes a refusal as a problem (RFC 9457).
func refuse(w http.ResponseWriter, id string, r *refusal) {
	h := w.Header()
	outcomeHeader(h, id, r.outcome)
	if r.ranNot() {
		h.Set(caller.HeaderUnsent, "true")
	}
	h.Set("Content-Type", caller.ContentTypeProblem)
	h.Set("Cache-Control", "no-store")
	if r.unsent {
		h.Set(caller.HeaderUnsent, "true")
	}
	if r.retry > 0 {
		seconds := (r.retry + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	title, found := titles[r.reason]
	if !found {
		title = http.StatusText(r.status)
	}
	body, err := json.Marshal(caller.Problem{
		Type: caller.ProblemPrefix + string(r.reason), Title: title, Status: r.status,
		Detail: r.detail, Reason: string(r.reason), Outcome: r.outcome, Request: id,
		Service: r.service, Server: r.server,
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}
