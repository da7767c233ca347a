package upstr

import (
	"context"
	"net"
	"net/http"
	"time"

	"example.org/mustardring/pkg/grant"
)

// A middlebox, such as a NAT or a firewall, may lose the state of a connection. Packets on it are
// then dropped without an error: the connection has gone silent. Four mechanisms detect that, from
// the quickest to the most reliable:
//   - A connection that was idle for Settings.IdleTimeout is not reused.
//   - TCP keep-alive and TCP_USER_TIMEOUT end a connection whose packets are lost.
//   - A request on a reused connection that waits several times longer than the slowest recent
//     response is given up if the server responds on a new connection. If it does not, the server
//     is slow, frozen or down, and the request keeps waiting.
//   - The deadline of the request.

// The parameters of detecting a silent connection.
const (
	// silenceFactor is how many times longer than the slowest recent response a request waits
	// before the server is probed.
	silenceFactor = 8
	// maxSilence bounds the time before the server is probed.
	maxSilence = time.Minute
	// probeTimeout bounds an attempt to open a new connection to the server.
	probeTimeout = 500 * time.Millisecond
	// slowestDecay is the decay of the slowest response time: each response reduces it by
	// 1/slowestDecay.
	slowestDecay = 4096
)

// keepAlive ends a connection about five seconds after the last packet from the other end's kernel.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// observeLatency updates the slowest recent response time with that of a new response.
func (cl *Client) observeLatency(d time.Duration) {
	slowest := cl.slowestResponse.Load()
	next := max(int64(d), slowest-slowest/slowestDecay)
	cl.slowestResponse.CompareAndSwap(slowest, next)
}

// silenceLimit returns how long a request waits for a response before the server is probed.
func (cl *Client) silenceLimit() time.Duration {
	return min(max(silenceFactor*time.Duration(cl.slowestResponse.Load()), cl.settings.SilenceTimeout), maxSilence)
}

// Probe returns nil if the server sends any HTTP response on a new connection.
func (cl *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: cl.dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	url := "http://" + cl.settings.Address + grant.LoadPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Quiet reports whether a connection is open and has nothing to read, as one must be before a request is sent on it.
func Quiet(c net.Conn) bool { return newPeeker(c).usable() }

// Configure sets the options of a connection that a DialFunc has opened. It sends no keep-alive probes: with a user timeout
// the first one that stays unanswered would end the connection, while a server may be at work on a request.
func Configure(c net.Conn, userTimeout time.Duration) error {
	if tcp, ok := c.(interface{ SetKeepAlive(keepAlive bool) error }); ok {
		if err := tcp.SetKeepAlive(false); err != nil {
			return err
		}
	}
	return SetUserTimeout(c, userTimeout)
}
