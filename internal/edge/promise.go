package edge

import (
	"net/http"
	"slices"

	"example.org/mustardring/internal/inlet"
)

// evidence is what is known of one sending of a request.
type evidence int

// The kinds of evidence.
const (
	// mayRun means that the server may have run the request or may run it later.
	mayRun evidence = iota
	// unwritten means that no byte of the request has reached the server, and none will.
	unwritten
	// declined means that the server has stated in its response that it has not run the request.
	declined
)

// ledger holds the evidence of all sendings of a request in their order. It is not used by several goroutines at a time.
type ledger []evidence

// begin adds a sending. It is called before the first byte is written.
func (l *ledger) begin() { *l = append(*l, mayRun) }

// settle records the evidence of the sendings from an index on that is not known yet.
func (l ledger) settle(first int, e evidence) {
	for i := first; i < len(l); i++ {
		if l[i] == mayRun {
			l[i] = e
		}
	}
}

// proof says on what the promise of a reply rests.
type proof string

// The proofs.
const (
	// notPromised means that the reply promises nothing.
	notPromised proof = ""
	// nothingSent means that nothing was sent to a server, allDeclined that the server of each sending has declined the request.
	nothingSent proof = "nothing-sent"
	allDeclined proof = "declined"
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

// proofOf returns the proof of what a reply promises. The reply may be nil.
func (l ledger) proofOf(reply *inlet.Reply) proof {
	switch {
	case reply == nil || reply.Abort || !promises(reply.Status):
		return notPromised
	case slices.Contains(l, mayRun):
		return noProof
	case slices.Contains(l, declined):
		return allDeclined
	default:
		return nothingSent
	}
}
