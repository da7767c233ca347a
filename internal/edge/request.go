package edge

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/rules"
)

// The timeouts and delays that apply before a request is sent.
const (
	// defaultCallerTimeout is assumed if a caller does not state how long it waits.
	defaultCallerTimeout = 10 * time.Second
	// retryAfterNoConfig is the Retry-After of a request that arrives before a configuration has
	// been read, whose service is missing from it, or while newer records are known to exist. Reading them takes about 20 milliseconds.
	retryAfterNoConfig = 300 * time.Millisecond
	// replyReserve is the part of the caller's timeout that is reserved for returning the reply.
	replyReserve = 15 * time.Millisecond
)

// endReason says why a request ended as it did. It is logged and counted.
type endReason string

// The reasons.
const (
	endAnswered          endReason = "answered"
	endNoConfig          endReason = "no-configuration"
	endNoRoute           endReason = "no-route"
	endOutdatedConfig    endReason = "outdated-configuration"
	endOutdatedDirectory endReason = "outdated-directory"
	endOverload          endReason = "overload"
	endNoServer          endReason = "no-server"
	endNoOwner           endReason = "no-owner"
	endServerFull        endReason = "server-full"
	endUnsent            endReason = "unsent"
	endInDoubt           endReason = "in-doubt"
	endTimeout           endReason = "timeout"
	endCallerLeft        endReason = "caller-left"
	endCrashesServers    endReason = "crashes-servers"
	endNoService         endReason = "no-service"
	endServerRests       endReason = "server-rests"
	endMalformed         endReason = "malformed"
)

// rejection says whether and how a server has rejected a request without running it.
type rejection int

// The rejections.
const (
	notRejected rejection = iota
	// misdirected means that the server does not own the key.
	misdirected
	// full means that the server has no room, or does not say.
	full
	// withRoom means that it has room by its own figures.
	withRoom
)

// request is a request of a caller in progress.
type request struct {
	*http.Request
	edge          *Edge
	info          RequestInfo
	route         *rules.Route
	configVersion uint64
	service       string
	// divided says that only the server that owns the key may run the request.
	divided bool
	// undivided says that the service is not divided by key, so that its servers cannot be told that their time is over.
	undivided bool
	// target is the URL as it is sent on, see targetOf.
	target *url.URL
	body   []byte
	// print is the fingerprint of the request, see fingerprintOf.
	print uint64

	arrivedAt time.Time
	// targetAt is when the reply should be ready, and deadline when it must be ready.
	targetAt time.Time
	deadline time.Time
	// returning says that the caller was probably rejected before and tries again.
	returning bool

	// caller and origin are digests of the caller, and of the caller and its request, zero if they are not known. earlier is
	// what the controller knows of earlier tries.
	caller  uint32
	origin  uint64
	earlier admit.Earlier

	// attempts is the number of attempts so far, and server the server of the last one. sentTo holds all of them. repeats is
	// the number of attempts that repeated one which the owner of the key had rejected.
	attempts int
	server   string
	sentTo   []string
	repeats  int
	// retryOpen says that a retry was taken from the budget and has not been sent.
	retryOpen bool
	// rejection says how the server has rejected the last attempt.
	rejection rejection
	// sending is the last sending, and answer what the response to it states.
	sending sending
	answer  ResponseInfo
	// sendings holds what is known of all attempts to send the request.
	sendings ledger
	// usedConns holds the numbers of the connections that were used so far. A server may send a response once more at any
	// later time on its connection, where it could not be told from the response to a second sending.
	usedConns []uint64
	// carried is the instance over whose connection the last attempt was sent, empty if it was one of this instance.
	// carryUsed says that an attempt was sent that way. The rest go directly, as usedConns lacks that connection.
	carried   string
	carryUsed bool
	// ownPath says that the request must not go through another instance.
	ownPath bool

	// The fields from here to writeDelay are only logged, apart from checkedAt.

	fence uint64
	// through is the instance that the last request went through, empty if it was sent to the server directly.
	through string
	// predictedWait is the predicted time in the queue that led to a rejection, and pool the pool
	// that it was predicted for.
	predictedWait time.Duration
	pool          string
	// reserved says that capacity is reserved for the caller when it comes back.
	reserved bool
	// waited is the total time spent waiting for admissions.
	waited time.Duration
	// dispatchDelay is the time that the last attempt took, once admitted, to get a connection.
	// leavesIn is how much longer the server accepted requests then; zero if it was not leaving.
	dispatchDelay time.Duration
	leavesIn      time.Duration
	// checkedAt is when the server of the last attempt was checked before the write, writeDelay the time from then to the end
	// of the write.
	checkedAt  time.Time
	writeDelay time.Duration

	// reason is why the request ended or the last attempt failed, err the error of that attempt.
	reason endReason
	err    error
	// avoid is the server of the last failed attempt; retries should go to another one.
	avoid string
	// fallback is the reply of the last failed attempt. It is returned if no retry does better.
	fallback *inlet.Reply
}

// prepare finds the route and service of a request, sets its deadlines and reads its body. If the
// request cannot be sent it also returns the reply.
func (e *Edge) prepare(r *http.Request, arrivedAt time.Time) (*request, *inlet.Reply) {
	q := &request{Request: r, edge: e, info: e.Codec.DecodeRequest(r.Header), arrivedAt: arrivedAt}
	c := e.Cluster.Config()
	if c == nil {
		return q, e.reject(q, endNoConfig, errorReply(http.StatusServiceUnavailable, retryAfterNoConfig))
	}
	target, ok := targetOf(r)
	if !ok {
		return q, e.reject(q, endMalformed, errorReply(http.StatusBadRequest, 0))
	}
	q.target = target
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path := r.URL.EscapedPath()
	q.configVersion = c.Version
	q.route = c.Match(strings.ToLower(host), path)
	if q.route == nil && e.Cluster.ConfigOutdated() {
		// A newer configuration may have the route.
		return q, e.reject(q, endOutdatedConfig, errorReply(http.StatusServiceUnavailable, retryAfterNoConfig))
	}
	if q.route == nil {
		return q, e.reject(q, endNoRoute, errorReply(http.StatusNotFound, 0))
	}
	q.service = q.route.Pick()
	service, found := c.Services[q.service]
	if !found {
		return q, e.reject(q, endNoService, errorReply(http.StatusServiceUnavailable, retryAfterNoConfig))
	}
	q.divided = service.Divided && q.info.HasKey
	q.undivided = !service.Divided
	if q.undivided && e.Cluster.DirectoryOutdated() {
		return q, e.reject(q, endOutdatedDirectory, errorReply(http.StatusServiceUnavailable, retryAfterNoConfig))
	}
	q.setDeadlines(&e.returns)
	if r.Body != nil && r.Body != http.NoBody {
		data, err := inlet.ReadBody(r)
		if err != nil {
			return q, e.reject(q, endCallerLeft, &inlet.Reply{Abort: true})
		}
		q.body = data
	}
	q.print = fingerprintOf(r, q.body)
	q.caller = callerOf(e.Identity, r)
	q.origin = originOf(q.caller, q.info.Key, q.print)
	if e.Cluster.Quarantined(q.print) {
		return q, e.reject(q, endCrashesServers, errorReply(http.StatusBadGateway, 0))
	}
	return q, nil
}

// reject logs and counts a request that ends before its first attempt, and returns its reply.
func (e *Edge) reject(q *request, reason endReason, reply *inlet.Reply) *inlet.Reply {
	e.Meters.RecordRequest("", reason, time.Since(q.arrivedAt))
	e.Events.Record(event.Failure, "request", "id", q.info.ID, "status", reply.Status, "why", reason,
		"config", q.configVersion, "host", q.Host, "path", q.URL.Path)
	return reply
}

// setDeadlines sets the target and the deadline of a request. The target is that of the route, or
// half of the caller's timeout if the route has none.
func (q *request) setDeadlines(d *returnDetector) {
	timeout := defaultCallerTimeout
	if q.info.HasTimeout {
		timeout = q.info.Timeout
	}
	var elapsed time.Duration
	q.returning, elapsed = d.observe(q.route.Name, timeout, q.arrivedAt)
	// A returning request has used up a part of the time to its target already.
	target := q.route.TargetLatency
	if target == 0 {
		target = timeout / 2
	}
	target -= elapsed
	q.targetAt = q.arrivedAt.Add(target - replyReserve)
	limit := timeout - replyReserve
	if q.route.Timeout > 0 {
		limit = min(limit, q.route.Timeout)
	}
	q.deadline = q.arrivedAt.Add(limit)
}

// fingerprintOf returns a hash of the method, host, URI and body of a request. It recognizes a
// request that is sent again under another ID.
func fingerprintOf(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = io.Copy(d, bytes.NewReader(body))
	return d.Sum64()
}

// errorReply returns a reply without a body. If retryAfter is positive the caller should retry
// after that time.
func errorReply(status int, retryAfter time.Duration) *inlet.Reply {
	h := http.Header{}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return &inlet.Reply{Status: status, Header: h}
}
