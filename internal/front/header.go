package front

import (
	"net/http"
	"strings"

	"example.org/mustardring/pkg/caller"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ours are the headers that only mustardring sets, on requests between its instances and to
// servers.
var ours = []string{
	caller.HeaderHops, caller.HeaderRequest, caller.HeaderCaller, caller.HeaderWitness, caller.HeaderSending,
	caller.HeaderEpoch,
}

// copyHeader copies the end-to-end headers.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
}

// hideID moves the request id to a name that net/http does not recognise. On the wire header
// names have no case, so the receiver sees no difference.
//
// It guards against http.Transport sending a forwarded request again by itself: it takes an
// Idempotency-Key for the promise that the receiver removes duplicates.
func hideID(h http.Header) {
	if id, found := h[caller.HeaderRequestID]; found {
		delete(h, caller.HeaderRequestID)
		h[strings.ToLower(caller.HeaderRequestID)] = id
	}
}
