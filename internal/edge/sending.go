package edge

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/upstr"
)

// statedID says whose ID a response states. It is empty if no head of a response was received.
type statedID string

// The stated IDs.
const (
	// ownID means that the response states the ID of the request, otherID that of another one.
	ownID   statedID = "own"
	otherID statedID = "other"
	// noID means that it states none.
	noID statedID = "none"
	// unsignedID means that it states the ID of the request and success, without the signature of a server.
	unsignedID statedID = "own-unsigned"
	// contraryID means that it states the ID of the request and success, and also that the request did not run.
	contraryID statedID = "own-not-run"
)

// identityErrors holds the errors of responses that are not believed to belong to their request, by the ID that they state.
var identityErrors = map[statedID]error{
	otherID:    errors.New("edge: response belongs to another request"),
	noID:       errors.New("edge: response states no request"),
	unsignedID: errors.New("edge: success without a signature"),
	contraryID: errors.New("edge: success that states that the request did not run"),
}

// sending tells one sending of a request from the others, and holds what came back.
type sending struct {
	// conn is the number of the connection, zero if nothing was sent on a connection of this instance. use is the number of
	// the request among those on the connection, from 1.
	conn uint64
	use  int
	// sameConn says that the request was sent on the connection before.
	sameConn bool
	status   int
	statedID statedID
	// notRun says that the response states that the server did not run the request, whatever its status says.
	notRun bool
}

// beginSending is called before the first byte of a sending is written.
func (q *request) beginSending(s upstr.Sending) {
	q.sending = sending{conn: s.ConnNumber, use: s.Use, sameConn: slices.Contains(q.usedConns, s.ConnNumber)}
	q.usedConns = append(q.usedConns, s.ConnNumber)
}

// verify takes in the head of the response to the last sending, and returns an error unless it states the ID of the request
// and, if it is a success, is signed and does not state that the request did not run. Beside another status by which the request
// may have run, that statement counts for nothing.
func (q *request) verify(r *http.Response) error {
	q.answer = q.edge.Codec.DecodeResponse(r, time.Now())
	q.sending.status, q.sending.notRun, q.sending.statedID = r.StatusCode, q.answer.NotRun, q.statedID(r.StatusCode)
	q.answer.NotRun = q.answer.NotRun && mayReject(r.StatusCode)
	q.edge.Meters.recordAnswer(q.sending.statedID)
	return identityErrors[q.sending.statedID]
}

// statedID returns whose ID the response to the last sending states.
func (q *request) statedID(status int) statedID {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case q.answer.ID == "" && q.info.ID != "":
		return noID
	case q.answer.ID != q.info.ID:
		return otherID
	case success && !q.answer.Signed:
		return unsignedID
	case success && q.answer.NotRun:
		return contraryID
	default:
		return ownID
	}
}

// recordSending logs a sending, what came back and what was concluded. The line of the request says the same of its only
// sending if that was answered by a status that promises nothing.
func (q *request) recordSending(c admit.Completion) {
	if q.attempts <= 1 && c.Outcome == admit.Answered && !promises(q.sending.status) {
		return
	}
	q.edge.Events.Record(event.Failure, "sending", "id", q.info.ID, "attempt", q.attempts, "server", q.server,
		"conn", q.sending.conn, "use", q.sending.use, "same-conn", q.sending.sameConn, "through", q.through, "carried", q.carried,
		"status", q.sending.status, "stated-id", q.sending.statedID, "not-run", q.sending.notRun,
		"outcome", c.Outcome, "why", q.reason, "may-have-run", q.sendings.mayHaveRun(), "took", c.Took, "error", q.err)
}
