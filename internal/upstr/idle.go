package upstr

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// reuseShare is the part of the time after which a server closes idle connections in which they are reused. A request
	// that is sent while the server closes the connection is lost.
	reuseShare = 0.8
	// maxStatedIdle bounds the time that a server may state.
	maxStatedIdle = time.Hour
)

// observeKeepAlive takes in after which time the server closes idle connections, if a response states it: the header
// Keep-Alive with a parameter timeout, in seconds.
func (cl *Client) observeKeepAlive(h http.Header) {
	for _, value := range h.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(text))
			if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
				cl.statedIdle.Store(int64(min(time.Duration(min(seconds, int(maxStatedIdle/time.Second)))*time.Second, maxStatedIdle)))
			}
		}
	}
}

// idleTimeout returns how long a connection may be idle and still be reused.
func (cl *Client) idleTimeout() time.Duration {
	stated := cl.statedIdle.Load()
	if stated == 0 {
		return cl.settings.IdleTimeout
	}
	return min(cl.settings.IdleTimeout, time.Duration(reuseShare*float64(stated)))
}
