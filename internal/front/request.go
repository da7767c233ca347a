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

// The limits of what callers send, and the defaults.
const (
	maxKeyBytes = 1024
	maxIDBytes  = 128
	// maxHops is the number of entry instances that a request may pass: one in the domain of the
	// caller, one in the domain of the owner, the gate, and one more if the gate moves meanwhile.
	maxHops = 4
	// defaultDeadline is the time limit of requests to services without a configured limit.
	defaultDeadline = 30 * time.Second
	// maxDeadline prevents a deadline far in the future from overflowing policy.Time.
	maxDeadline = 24 * time.Hour
	// hopAllowance is subtracted from the deadline at each hop, so that there is time to pass the
	// response back.
	hopAllowance = 2 * time.Millisecond
)

// errHeader is wrapped by errors about malformed headers.
var errHeader = errors.New("front: malformed header")

// request is an HTTP request with the parsed values of its path and headers.
//
// A submission is one sending of a request by the caller, or by an instance that lost the
// connection over which it forwarded the request. Submissions with the same id after the first are
// resends. An attempt is one try of the gate to send a submission to a server.
type request struct {
	*http.Request
	sender  senderKind
	service string
	// serverPath is the escaped path that the server gets.
	serverPath string
	key        string
	// hash is the hash of the key, or of the id if findDestination routes the request by its id.
	hash uint64
	// id is the request id; named says that the caller chose it. Otherwise it is generated.
	id         string
	named      bool
	idempotent bool
	// submissionID identifies one submission of a deduplicated request, at all hops.
	submissionID policy.ID
	// submissionNumber counts the submissions of the request as the caller states it, from 1; zero
	// if it is not stated.
	submissionNumber int
	caller           string
	// hops is the number of instances that the request has passed.
	hops int
	// deadline is when the caller needs the response. If the caller states none, it is zero until
	// limitDeadline sets it.
	deadline policy.Time
	// body is set by prepare, when the limits of the service are known.
	body *body
	// mayHaveRun says that an earlier attempt or submission by this instance may have run.
	mayHaveRun bool
	// lookups counts how often the request was routed at this instance.
	lookups int
	// replica is the instance that holds a copy of the idempotency record for the gate, empty if
	// there is none yet.
	replica string
}

// deduplicated reports whether the request must not run twice and has an id by which resends are
// recognized.
func (q *request) deduplicated() bool { return q.named && !q.idempotent }

// parseRequest parses path and headers. The request is not nil and has an id even if it returns an
// error.
func (f *Front) parseRequest(r *http.Request, sender senderKind) (*request, error) {
	q := &request{Request: r, sender: sender}
	q.service, q.serverPath = splitPath(r.URL.EscapedPath())
	if err := q.parseID(); err != nil {
		return q, err
	}
	q.key = r.Header.Get(caller.HeaderKey)
	if len(q.key) > maxKeyBytes {
		return q, fmt.Errorf("%w: %s is longer than %d bytes", errHeader, caller.HeaderKey, maxKeyBytes)
	}
	q.hash = keys.Hash(q.service, q.key)
	q.idempotent = idempotent(r.Method) || r.Header.Get(caller.HeaderIdempotent) == "true"
	var err error
	if q.submissionNumber, err = parseSubmissionNumber(r.Header.Get(caller.HeaderAttempt)); err != nil {
		return q, err
	}
	if sender == fromInstance {
		if err := q.parseForwarded(); err != nil {
			return q, err
		}
	} else {
		q.caller = f.identify(r)
		if q.deduplicated() {
			q.submissionID = policy.ID(uuid.New())
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

// parseForwarded parses the headers that the forwarding instance sets.
func (q *request) parseForwarded() error {
	hops, err := parseHops(q.Header.Get(caller.HeaderHops))
	if err != nil {
		return err
	}
	q.hops = hops
	q.replica = q.Header.Get(caller.HeaderWitness)
	q.caller = q.Header.Get(caller.HeaderCaller)
	if !q.deduplicated() {
		return nil
	}
	if err := q.submissionID.UnmarshalText([]byte(q.Header.Get(caller.HeaderSending))); err != nil {
		return fmt.Errorf("%w: %s: %w", errHeader, caller.HeaderSending, err)
	}
	return nil
}

func (q *request) parseID() error {
	q.id = q.Header.Get(caller.HeaderRequestID)
	q.named = q.id != ""
	if len(q.id) > maxIDBytes {
		q.id = newID()
		return fmt.Errorf("%w: %s is longer than %d bytes", errHeader, caller.HeaderRequestID, maxIDBytes)
	}
	if !q.named && q.sender == fromInstance {
		q.id = q.Header.Get(caller.HeaderRequest)
	}
	if q.id == "" {
		q.id = newID()
	}
	return nil
}

// limitDeadline sets the deadline to the limit of the service, unless it is earlier.
func (f *Front) limitDeadline(q *request, service *bundle.Service) {
	limit := defaultDeadline
	if service.Limits.RequestMillis > 0 {
		limit = time.Duration(service.Limits.RequestMillis) * time.Millisecond
	}
	latest := f.now().Add(limit)
	if q.deadline == 0 || q.deadline > latest {
		q.deadline = latest
	}
}

// identify returns the identity of a caller, for the fair use of queues: the configured header, or
// the remote address without the port.
func (f *Front) identify(r *http.Request) string {
	if f.deps.CallerHeader != "" {
		if name := r.Header.Get(f.deps.CallerHeader); name != "" && len(name) <= maxIDBytes {
			return name
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// parseDeadline parses a time in Unix milliseconds.
func parseDeadline(text string) (time.Time, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return time.Time{}, fmt.Errorf("%w: %s is not a time in Unix milliseconds", errHeader, caller.HeaderDeadline)
	}
	return time.UnixMilli(millis), nil
}

// parseHops parses the number of instances that a request has passed.
func parseHops(text string) (int, error) {
	hops, err := strconv.ParseUint(text, 10, 8)
	if err != nil || hops == 0 {
		return 0, fmt.Errorf("%w: %s is not a number from 1 to 255", errHeader, caller.HeaderHops)
	}
	return int(hops), nil
}

// parseSubmissionNumber parses the value of caller.HeaderAttempt. It returns zero if it is not
// stated.
func parseSubmissionNumber(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil || number == 0 {
		return 0, fmt.Errorf("%w: %s is not a number from 1 to 65535", errHeader, caller.HeaderAttempt)
	}
	return int(number), nil
}

// splitPath splits an escaped path into the service and the path that the server sees.
func splitPath(path string) (service, serverPath string) {
	service, serverPath, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service, "/" + serverPath
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
