package front

import (
	"net/http"
	"strings"

	"example.org/mustardring/pkg/caller"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalHeaders are the headers that only mustardring sets, on requests between its instances and
// on requests to servers.
var internalHeaders = []string{
	caller.HeaderHops, caller.HeaderRequest, caller.HeaderCaller, caller.HeaderWitness, caller.HeaderSending,
	caller.HeaderEpoch,
}

// copyHeader copies the end-to-end headers, but not hopByHopHeaders and those that the Connection
// header names. The slices of values are shared.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(dst, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(dst, name)
	}
}

// hideRequestID changes the name of the request id header to lower case, so that http.Transport
// does not recognize it. Header names are not case-sensitive, so the receiver sees no difference.
//
// Otherwise http.Transport may send a forwarded request again by itself: it takes an
// Idempotency-Key header as a promise that the receiver removes duplicates.
func hideRequestID(h http.Header) {
	if id, found := h[caller.HeaderRequestID]; found {
		delete(h, caller.HeaderRequestID)
		h[strings.ToLower(caller.HeaderRequestID)] = id
	}
}
