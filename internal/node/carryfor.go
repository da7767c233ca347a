package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
)

// A request that is sent for another instance is the body of a POST to pathRequests, as it is to reach the server but for
// what edge.HeaderCodec.EncodeTarget sets, and the response is the body of the answer (RFC 9112, application/http). In this
// way neither their headers nor their statuses mix with those of the exchange between the instances.
const (
	pathRequests      = "/requests"
	contentTypeHTTP   = "application/http"
	headerServer      = "Mustardring-Server"
	headerAddress     = "Mustardring-Address"
	headerInstance    = "Mustardring-Instance"
	headerIncarnation = "Mustardring-Incarnation"
	// headerLeft is the time left for the request in milliseconds.
	headerLeft = "Mustardring-Left-Ms"
	// headerOutcome is the outcome, headerReason says why there is no response.
	headerOutcome = "Mustardring-Outcome"
	headerReason  = "Mustardring-Reason"
)

// The outcomes: the server has responded, nothing was sent to it, or it may have run the request.
const (
	outcomeSent    = "sent"
	outcomeNotSent = "not-sent"
	outcomeInDoubt = "in-doubt"
)

// reasonStopping says that the peer is stopping.
const reasonStopping = "stopping"

// inDoubtReasons holds the causes of outcomeInDoubt that matter to the sender, by the reason that states them.
var inDoubtReasons = map[string]error{"deadline": upstr.ErrDeadline, "lost": upstr.ErrLost}

const (
	// maxCarriedSize is the maximum size in bytes of a request that is sent for another instance.
	maxCarriedSize = 64 << 10
	// minCarryTime is the time that must be left for a request of another instance.
	minCarryTime = 10 * time.Millisecond
)

var (
	errMalformedCarriage = errors.New("node: malformed request of a peer")
	errUnregisteredPeer  = errors.New("node: sender is not registered")
	errLateCarriage      = errors.New("node: deadline too near")
	errPathLost          = errors.New("node: no path of its own to the server")
)

// handleCarry sends a request of another instance to a server, and answers with the response.
func (n *Node) handleCarry(w http.ResponseWriter, outer *http.Request) {
	n.carried.Add(1)
	defer n.carried.Add(-1)
	h := w.Header()
	h["Date"] = nil
	// The server flushes an answer only after its handler, when it would no longer count.
	defer func() { _ = http.NewResponseController(w).Flush() }()
	reply, err := n.sendFor(w, outer)
	if err == nil {
		data := encodeReply(reply)
		h.Set(headerOutcome, outcomeSent)
		h.Set("Content-Type", contentTypeHTTP)
		h.Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
		return
	}
	outcome, reason := outcomeInDoubt, err.Error()
	for name, cause := range inDoubtReasons {
		if errors.Is(err, cause) {
			reason = name
		}
	}
	switch {
	case errors.Is(err, errPeerStops):
		outcome, reason = outcomeNotSent, reasonStopping
	case errors.Is(err, upstr.ErrNotSent):
		outcome = outcomeNotSent
	}
	h.Set(headerOutcome, outcome)
	h.Set(headerReason, reason)
}

// sendFor sends a request of another instance to a server over a connection of this one. Errors wrap upstr.ErrNotSent only
// if nothing was sent.
func (n *Node) sendFor(w http.ResponseWriter, outer *http.Request) (*inlet.Reply, error) {
	h, arrivedAt := outer.Header, time.Now()
	left, errLeft := strconv.ParseInt(h.Get(headerLeft), 10, 64)
	incarnation, errIncarnation := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	data, errBody := io.ReadAll(http.MaxBytesReader(w, outer.Body, maxCarriedSize))
	inner, errInner := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	sender := tunnel.Request{Server: h.Get(headerServer), Instance: h.Get(headerInstance), Incarnation: incarnation}
	deadline := arrivedAt.Add(time.Duration(left) * time.Millisecond)
	var refusal error
	switch err := errors.Join(errLeft, errIncarnation, errBody, errInner); {
	case err != nil:
		refusal = fmt.Errorf("%w: %w", errMalformedCarriage, err)
	case n.isStopping():
		refusal = errPeerStops
	case !n.registeredSender(sender, outer.RemoteAddr):
		refusal = errUnregisteredPeer
	case time.Until(deadline) < minCarryTime:
		refusal = errLateCarriage
	case !n.dialer.Table.HasOwnPath(sender.Server):
		refusal = errPathLost
	}
	if refusal != nil {
		return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, refusal)
	}
	return n.edge.SendFor(inner.WithContext(outer.Context()), sender.Server, h.Get(headerAddress), deadline)
}

// encodeReply returns a response in the format of HTTP/1.1.
func encodeReply(r *inlet.Reply) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, http.StatusText(r.Status), len(r.Body))
	_ = r.Header.Write(&out)
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
}
