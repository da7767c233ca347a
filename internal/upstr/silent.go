package upstr

import (
	"context"
	"net"
	"net/http"
	"time"

	"example.org/mustardring/pkg/grant"
)

// Something between the two ends may lose track of a connection: what is sent on it vanishes,
// and nothing says so. Four guards find that out, from the quickest to the surest.
//   - A connection is not used again after idleTimeout.
//   - The kernel's keep-alive and user timeout end a connection whose packets vanish.
//   - A request that waits far longer than the slowest of late, on a connection that was used
//     before, is given up if the server answers on a new connection meanwhile. Where it
//     does not, the server is slow, frozen or down, and the request waits on.
//   - The request's deadline.

// The patience with a silent connection.
const (
	patienceTimes = 8
	patienceMost  = time.Minute
	probeTimeout  = 500 * time.Millisecond
	// slowestDecay lets the slowest time fall by this share, as a divisor, with each answer.
	slowestDecay = 4096
)

// keepAlive ends a connection after about five seconds without a sign of life from the
// other end's kernel.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// observe takes in a time to an answer.
func (s *Client) observe(d time.Duration) {
	slowest := s.slowest.Load()
	next := max(int64(d), slowest-slowest/slowestDecay)
	s.slowest.CompareAndSwap(slowest, next)
}

// patience returns how long a request may be silent before its connection is doubted.
func (s *Client) patience() time.Duration {
	return min(max(patienceTimes*time.Duration(s.slowest.Load()), s.settings.SilenceTimeout), patienceMost)
}

// Probe returns nil if the server answers anything on a new connection.
func (s *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: s.dialer.DialContext, DisableKeepAlives: true}
	url := "http://" + s.settings.Address + grant.LoadPath
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
