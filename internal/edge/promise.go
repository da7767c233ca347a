package edge

import (
	"context"
	"net/http"
	"slices"

	"example.org/mustardring/internal/inlet"
)

// evidence is what is known of one attempt to send a request.
type evidence int

// The kinds of evidence.
const (
	// mayRun means that the server may have run the request or may run it later.
	mayRun evidence = iota
	// unwritten means that no byte of the request has reached the server, and none will.
	unwritten
	// rejectedByServer means that the server has stated in its response that it has not run the request.
	rejectedByServer
)

// ledger holds the evidence of all attempts to send a request in their order. It is not used by several goroutines at a time.
type ledger []evidence

// begin adds an attempt. It is called before anything is done that may write a byte.
func (l *ledger) begin() { *l = append(*l, mayRun) }

// settle records the evidence of the last attempt.
func (l ledger) settle(e evidence) { l[len(l)-1] = e }

// sent returns the number of attempts that may have written a byte.
func (l ledger) sent() int {
	n := 0
	for _, e := range l {
		if e != unwritten {
			n++
		}
	}
	return n
}

// mayHaveRun reports whether a server may have run the request or may run it later.
func (l ledger) mayHaveRun() bool { return slices.Contains(l, mayRun) }

// proof says on what the promise of a reply rests.
type proof string

// The proofs.
const (
	// notPromised means that the reply promises nothing.
	notPromised proof = ""
	// nothingSent means that nothing was sent to a server, allRejected that the server of each attempt that may have
	// written a byte has rejected the request.
	nothingSent proof = "nothing-sent"
	allRejected proof = "rejected"
	// noProof means that a server may have run the request or may run it later.
	noProof proof = "none"
)

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// mayReject reports whether a server may reject a request with a status without running it. Any other status says that it has run the request,
// or leaves that open.
func mayReject(status int) bool { return status == http.StatusBadRequest || promises(status) }

// proofOf returns the proof of what a reply promises. The reply may be nil.
func (l ledger) proofOf(reply *inlet.Reply) proof {
	switch {
	case reply == nil || reply.Abort || !promises(reply.Status):
		return notPromised
	case l.mayHaveRun():
		return noProof
	case slices.Contains(l, rejectedByServer):
		return allRejected
	default:
		return nothingSent
	}
}

// deliver returns the reply for the caller, given the one that was decided on. Each reply passes here on its way: one that
// promises what is not proved is replaced by one that promises nothing and has no header of a server.
func (q *request) deliver(ctx context.Context, reply *inlet.Reply) *inlet.Reply {
	p := q.sendings.proofOf(reply)
	if p == noProof {
		status := http.StatusBadGateway
		if q.reason = endInDoubt; ctx.Err() != nil {
			q.reason, status = endTimeout, http.StatusGatewayTimeout
		}
		reply = errorReply(status, 0)
	}
	q.edge.Meters.recordPromise(p)
	if reply != nil {
		reply.ID = q.info.ID
	}
	return reply
}
