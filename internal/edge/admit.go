package edge

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/rules"
)

// The constants of admission.
const (
	// defaultPatience is assumed of a caller that does not state how long it waits.
	defaultPatience = 10 * time.Second
	// startRetry is when a caller should come back while the instance knows no configuration:
	// it takes some 20 milliseconds to read one.
	startRetry = 300 * time.Millisecond
	// answerTime is kept of the caller's time for the way of the answer.
	answerTime = 15 * time.Millisecond
)

// why says what decided a request's end.
type why string

// The ends of requests.
const (
	whyAnswered  why = "answered"
	whyNoConfig  why = "no-configuration"
	whyNoRoute   why = "no-route"
	whyOverload  why = "overload"
	whyNoServer  why = "no-server"
	whyNoOwner   why = "no-owner"
	whyFull      why = "server-full"
	whyUnsent    why = "unsent"
	whyInDoubt   why = "in-doubt"
	whyTimeout   why = "timeout"
	whyLeft      why = "caller-left"
	whyCrashes   why = "crashes-servers"
	whyNoService why = "no-service"
)

// request is a request in progress.
type request struct {
	*http.Request
	edge    *Edge
	call    RequestInfo
	route   *rules.Route
	version uint64
	service string
	divided bool
	body    []byte
	print   uint64

	arrivedAt time.Time
	targetAt  time.Time
	limitAt   time.Time
	returning bool

	// What follows is for the log.
	attempts int
	server   string
	fence    uint64
	// predicted is the wait that led to a refusal, pool who predicted it.
	predicted time.Duration
	pool      string
	waited    time.Duration
	// dispatched is the time from the permit to the first byte to a server, at the last attempt, and
	// leaving what the server then had left in which it takes requests, zero if it does not leave.
	dispatched time.Duration
	leaving    time.Duration
	why        why
	err        error
	// sent says that a server may have run the request.
	sent bool
	// avoid is a server that failed the request.
	avoid string
	// last is the answer of a server that reported a failure, for want of a better one.
	last *inlet.Reply
}

// admit finds the route of a request.
func (e *Edge) admit(r *http.Request, arrivedAt time.Time) (*request, *inlet.Reply) {
	q := &request{Request: r, edge: e, call: e.Codec.DecodeRequest(r.Header), arrivedAt: arrivedAt}
	c := e.Cluster.Config()
	if c == nil {
		return nil, e.turnAway(q, whyNoConfig, refusal(http.StatusServiceUnavailable, startRetry))
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path := r.URL.EscapedPath()
	q.version = c.Version
	q.route = c.Match(strings.ToLower(host), path)
	if q.route == nil {
		return nil, e.turnAway(q, whyNoRoute, refusal(http.StatusNotFound, 0))
	}
	q.service = q.route.Pick()
	service, found := c.Services[q.service]
	if !found {
		return nil, e.turnAway(q, whyNoService, refusal(http.StatusServiceUnavailable, startRetry))
	}
	q.divided = service.Divided && q.call.HasKey
	q.times(&e.patience)
	if r.Body != nil && r.Body != http.NoBody {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, e.turnAway(q, whyLeft, &inlet.Reply{Abort: true})
		}
		q.body = data
	}
	q.print = printOf(r, q.body)
	if e.Cluster.Quarantined(q.print) {
		return nil, e.turnAway(q, whyCrashes, refusal(http.StatusBadGateway, 0))
	}
	return q, nil
}

// turnAway logs a request that got no further.
func (e *Edge) turnAway(q *request, reason why, reply *inlet.Reply) *inlet.Reply {
	e.Meters.RecordRequest("", reason, time.Since(q.arrivedAt))
	e.Events.Note(event.Failure, "request", "id", q.call.ID, "status", reply.Status, "why", reason,
		"config", q.version, "host", q.Host, "path", q.URL.Path)
	return reply
}

// times sets the times of a request.
func (q *request) times(p *patience) {
	patient := defaultPatience
	if q.call.HasTimeout {
		patient = q.call.Timeout
	}
	var before time.Duration
	q.returning, before = p.returning(q.route.Name, patient, q.arrivedAt)
	// A request that was tried before has used a part of the time to its target.
	target := q.route.TargetLatency
	if target == 0 {
		target = patient / 2
	}
	target -= before
	q.targetAt = q.arrivedAt.Add(target - answerTime)
	limit := patient - answerTime
	if q.route.Timeout > 0 {
		limit = min(limit, q.route.Timeout)
	}
	q.limitAt = q.arrivedAt.Add(limit)
}

// printOf identifies a request by what it asks for, so that it is known when it comes again
// under another id.
func printOf(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = io.Copy(d, bytes.NewReader(body))
	return d.Sum64()
}

// refusal returns an answer of the edge's own.
func refusal(status int, retryIn time.Duration) *inlet.Reply {
	h := http.Header{}
	if retryIn > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	return &inlet.Reply{Status: status, Header: h}
}
