package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// The bounds of what callers send.
const (
	maxKey = 1024
	maxID  = 128
	// maxHops is the number of entry instances that a request may pass: one in the caller's
	// domain, one in the owner's, its gate, and one more when the gate moves meanwhile.
	maxHops = 4
	// defaultDeadline bounds requests to services that state no bound.
	defaultDeadline = 30 * time.Second
	// maxDeadline keeps a far deadline from overflowing the policy's clock.
	maxDeadline = 24 * time.Hour
	// hopTime is what is taken off the deadline at each hop, for the answer's way back.
	hopTime = 2 * time.Millisecond
)

// errHeader is wrapped by errors that say which header is malformed.
var errHeader = errors.New("front: malformed header")

// request is a request as this instance sees it.
type request struct {
	*http.Request
	from    origin
	service string
	rest    string
	key     string
	hash    uint64
	// id is the request id; named says that the caller chose it.
	id         string
	named      bool
	idempotent bool
	// sending identifies this sending of a named request, over all hops.
	sending policy.ID
	// attempt is which sending of the request the caller says this is, zero if it does not.
	attempt int
	caller  string
	hops    int
	// deadline is when the caller needs the answer; zero until bound sets it if none is stated.
	deadline policy.Time
	// body is set when the request's service is known.
	body *body
	// doubt says that an earlier sending or try of the request by this instance may have run.
	doubt bool
	// moves counts how often the request was looked up anew at this instance.
	moves int
	// witness names the instance that remembers the request beside the gate, empty if none.
	witness string
}

// once reports whether the request must not run twice, and can be recognised.
func (q *request) once() bool { return q.named && !q.idempotent }

// parse reads what the headers say.
func (f *Front) parse(r *http.Request, from origin) (*request, error) {
	q := &request{Request: r, from: from}
	q.service, q.rest = splitPath(r.URL.EscapedPath())
	if err := q.parseID(); err != nil {
		return q, err
	}
	q.key = r.Header.Get(caller.HeaderKey)
	if len(q.key) > maxKey {
		return q, fmt.Errorf("%w: %s is longer than %d bytes", errHeader, caller.HeaderKey, maxKey)
	}
	q.hash = keys.Hash(q.service, q.key)
	q.idempotent = idempotent(r.Method) || r.Header.Get(caller.HeaderIdempotent) == "true"
	var err error
	if q.attempt, err = parseAttempt(r.Header.Get(caller.HeaderAttempt)); err != nil {
		return q, err
	}
	if from == fromInstance {
		if err := q.parseHop(); err != nil {
			return q, err
		}
	} else {
		q.caller = f.identify(r)
		if q.once() {
			q.sending = policy.ID(uuid.New())
		}
	}
	stated := r.Header.Get(caller.HeaderDeadline)
	if stated == "" {
		return q, nil
	}
	deadline, err := parseDeadline(stated)
	if err != nil {
		return q, err
	}
	q.deadline = f.now().Add(min(time.Until(deadline), maxDeadline))
	return q, nil
}

// parseHop reads what another instance says.
func (q *request) parseHop() error {
	hops, err := parseHops(q.Header.Get(caller.HeaderHops))
	if err != nil {
		return err
	}
	q.hops = hops
	q.witness = q.Header.Get(caller.HeaderWitness)
	q.caller = q.Header.Get(caller.HeaderCaller)
	if !q.once() {
		return nil
	}
	if err := q.sending.UnmarshalText([]byte(q.Header.Get(caller.HeaderSending))); err != nil {
		return fmt.Errorf("%w: %s: %w", errHeader, caller.HeaderSending, err)
	}
	return nil
}

func (q *request) parseID() error {
	q.id = q.Header.Get(caller.HeaderRequestID)
	q.named = q.id != ""
	if len(q.id) > maxID {
		q.id = newID()
		return fmt.Errorf("%w: %s is longer than %d bytes", errHeader, caller.HeaderRequestID, maxID)
	}
	if !q.named && q.from == fromInstance {
		q.id = q.Header.Get(caller.HeaderRequest)
	}
	if q.id == "" {
		q.id = newID()
	}
	return nil
}

// bound sets or shortens the deadline to the limit of the service.
func (f *Front) bound(q *request, service *bundle.Service) {
	limit := defaultDeadline
	if service.Limits.RequestMillis > 0 {
		limit = time.Duration(service.Limits.RequestMillis) * time.Millisecond
	}
	latest := f.now().Add(limit)
	if q.deadline == 0 || q.deadline > latest {
		q.deadline = latest
	}
}

// identify returns the identity of a caller.
func (f *Front) identify(r *http.Request) string {
	if f.deps.CallerHeader != "" {
		if name := r.Header.Get(f.deps.CallerHeader); name != "" && len(name) <= maxID {
			return name
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// parseDeadline reads a time in Unix milliseconds.
func parseDeadline(text string) (time.Time, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}, fmt.Errorf("%w: %s is not a time in Unix milliseconds", errHeader, caller.HeaderDeadline)
	}
	return time.UnixMilli(millis), nil
}

// parseHops reads the number of instances that a request has passed.
func parseHops(text string) (int, error) {
	hops, err := strconv.ParseUint(text, 10, 8)
	if err != nil || hops == 0 {
		return 0, fmt.Errorf("%w: %s is not a count from 1", errHeader, caller.HeaderHops)
	}
	return int(hops), nil
}

// parseAttempt reads which sending of a request this is, zero if that is not stated.
func parseAttempt(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	attempt, err := strconv.ParseUint(text, 10, 16)
	if err != nil || attempt == 0 {
		return 0, fmt.Errorf("%w: %s is not a count from 1", errHeader, caller.HeaderAttempt)
	}
	return int(attempt), nil
}

// splitPath splits an escaped path into the service and the path that the server sees.
func splitPath(path string) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service, "/" + rest
}

// idempotent reports whether HTTP defines a method as idempotent (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func newID() string {
	return uuid.NewString()
}
