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

// The reasons of refusals, besides those of packages policy and route.
const (
	ReasonNoRoute          policy.Reason = "no-route"
	ReasonNoKey            policy.Reason = "no-key"
	ReasonBadHeader        policy.Reason = "bad-header"
	ReasonBodyTooLarge     policy.Reason = "body-too-large"
	ReasonBodyCut          policy.Reason = "body-cut"
	ReasonTooManyHops      policy.Reason = "too-many-hops"
	ReasonUnreachable      policy.Reason = "unreachable"
	ReasonRightLost        policy.Reason = "right-lost"
	ReasonNotOwner         policy.Reason = "not-owner"
	ReasonServerBusy       policy.Reason = "server-busy"
	ReasonServerLost       policy.Reason = "server-lost"
	ReasonTimeout          policy.Reason = "timeout"
	ReasonCallerGone       policy.Reason = "caller-gone"
	ReasonAnswerCut        policy.Reason = "answer-cut"
	ReasonNoWitness        policy.Reason = "no-witness"
	ReasonMemoryIncomplete policy.Reason = "memory-incomplete"
	ReasonConnectionSilent policy.Reason = "connection-silent"
)

// statusCallerGone is the status of a response to a caller that has disconnected. It is not a
// registered status; nginx uses it too.
const statusCallerGone = 499

// refusal is an error response that this instance generates itself.
type refusal struct {
	status  int
	reason  policy.Reason
	outcome caller.Outcome
	detail  string
	service string
	server  string
	// unsent says that this submission did not run, even if the outcome is unknown because of an
	// earlier one. The outcome caller.NotRun implies it.
	unsent bool
	// retryAfter is how long the caller should wait before it sends the request again; zero omits
	// the header.
	retryAfter time.Duration
}

// didNotRun reports whether this submission did not run and will not run.
func (r *refusal) didNotRun() bool {
	return r.unsent || r.outcome == caller.NotRun
}

// problemTitles are the titles of problems, by reason. The default is the text of the HTTP status.
var problemTitles = map[policy.Reason]string{
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
	ReasonMemoryIncomplete:        "It cannot be found out whether the request ran before",
	ReasonServerLost:              "The server was lost while the request may have run",
	ReasonAnswerCut:               "The server's answer ended early",
	ReasonTimeout:                 "The server did not answer by the deadline",
	reasonOf(route.ReasonNoOwner): "Nobody owns the key at this moment",
}

// reasonOf converts a reason of package route.
func reasonOf(a route.Reason) policy.Reason { return policy.Reason(a) }

// writeRefusal writes a refusal as a problem document (RFC 9457).
func writeRefusal(w http.ResponseWriter, id string, r *refusal) {
	h := w.Header()
	setOutcomeHeaders(h, id, r.outcome)
	if r.didNotRun() {
		h.Set(caller.HeaderUnsent, "true")
	}
	h.Set("Content-Type", caller.ContentTypeProblem)
	h.Set("Cache-Control", "no-store")
	if r.unsent {
		h.Set(caller.HeaderUnsent, "true")
	}
	if r.retryAfter > 0 {
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	title, found := problemTitles[r.reason]
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
