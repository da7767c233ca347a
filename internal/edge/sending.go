package edge

import (
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/upstr"
)

// statedID says whose ID a response states.
type statedID string

// The stated IDs.
const (
	// noResponse means that no head of a response was received.
	noResponse statedID = ""
	// ownID means that the response states the ID of the request, otherID that of another one.
	ownID   statedID = "own"
	otherID statedID = "other"
	// noID means that it states none.
	noID statedID = "none"
)

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
	notRun   bool
}

// beginSending is called before the first byte of a sending is written.
func (q *request) beginSending(s upstr.Sending) {
	q.sending = sending{conn: s.ConnNumber, use: s.Use, sameConn: slices.Contains(q.usedConns, s.ConnNumber)}
	q.usedConns = append(q.usedConns, s.ConnNumber)
}

// verify takes in the head of the response to the last sending, and returns an error unless it states the ID of the request.
func (q *request) verify(r *http.Response) error {
	q.answer = q.edge.Codec.DecodeResponse(r, time.Now())
	q.sending.status, q.sending.notRun, q.sending.statedID = r.StatusCode, q.answer.NotRun, statedIDOf(q.info.ID, q.answer)
	q.edge.Meters.recordAnswer(q.sending.statedID)
	switch q.sending.statedID {
	case noID:
		return errUnidentifiedResponse
	case otherID:
		return errMismatchedResponse
	default:
		return nil
	}
}

// statedIDOf returns whose ID a response states, given the ID of the request.
func statedIDOf(id string, info ResponseInfo) statedID {
	switch info.ID {
	case id:
		return ownID
	case "":
		return noID
	default:
		return otherID
	}
}

// recordSending logs a sending, what came back and what was concluded. The line of the request says the same of its only
// sending if that was answered.
func (q *request) recordSending(c admit.Completion) {
	if q.attempts <= 1 && c.Outcome == admit.Answered {
		return
	}
	q.edge.Events.Record(event.Failure, "sending", "id", q.info.ID, "attempt", q.attempts, "server", q.server,
		"conn", q.sending.conn, "use", q.sending.use, "same-conn", q.sending.sameConn, "through", q.through, "carried", q.carried,
		"status", q.sending.status, "stated-id", q.sending.statedID, "not-run", q.sending.notRun,
		"outcome", c.Outcome, "why", q.reason, "may-have-run", q.mayHaveRun, "took", c.Took, "error", q.err)
}
