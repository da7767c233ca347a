package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/internal/worker"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

// deadlineGrace is how long the sender waits beyond the deadline of a request, so that the response
// that reports a passed deadline can still arrive.
const deadlineGrace = 250 * time.Millisecond

// spinTime is how long before the start of a request the sender begins to poll the clock instead of
// waiting for a timer, if the profile is precise.
const spinTime = 300 * time.Microsecond

// maxHeadBytes limits how much of a response is kept in memory. The JSON of a stand-in server fits.
const maxHeadBytes = 4096

// sender sends the requests of a profile and keeps connections open between them.
type sender struct {
	profile *Profile
	runID   string
	started time.Time
	client  *http.Client
	bodies  [][]byte
	// late is the distribution of the delays between the due time of a submission and its dispatch
	// to a worker.
	late *hdrhistogram.Histogram
}

func newSender(p *Profile, runID string) *sender {
	s := &sender{profile: p, runID: runID, late: newHistogram()}
	s.client = &http.Client{Transport: newTransport(time.Duration(p.DeadlineMillis) * time.Millisecond)}
	for _, service := range p.Services {
		s.bodies = append(s.bodies, bytes.Repeat([]byte{'x'}, service.BodyBytes))
	}
	return s
}

// requestID returns the request ID for the number of a request. It is unique among load runs.
func (s *sender) requestID(n int) string {
	return s.runID + "-" + strconv.Itoa(n)
}

// send makes a planned submission and its resends, and appends a record of each to the slice to.
func (s *sender) send(ctx context.Context, p planned, to []record) []record {
	start := p.at
	for attempt := 1; ; attempt++ {
		r := record{planned: p, attempt: attempt, start: start}
		s.sendOnce(ctx, &r)
		r.end = time.Since(s.started)
		to = append(to, r)
		if r.result == ResultRan || attempt > s.profile.Resend.Tries || p.direct || ctx.Err() != nil {
			return to
		}
		worker.Sleep(ctx, time.Duration(s.profile.Resend.WaitMillis)*time.Millisecond)
		p.target = (p.target + 1) % len(s.profile.Entries)
		start = time.Since(s.started)
	}
}

// sendOnce makes one submission and sets its result.
func (s *sender) sendOnce(ctx context.Context, r *record) {
	deadline := s.started.Add(r.start + time.Duration(s.profile.DeadlineMillis)*time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineGrace))
	defer cancel()
	req, err := s.request(ctx, r, deadline)
	if err != nil {
		r.result = ResultUnreached
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		r.result = resultOfError(err)
		return
	}
	defer resp.Body.Close()
	s.readResponse(resp, r)
}

// request returns the HTTP request of a submission.
func (s *sender) request(ctx context.Context, r *record, deadline time.Time) (*http.Request, error) {
	service := s.profile.Services[r.service]
	address := ""
	if r.direct {
		address = s.profile.Servers[r.target]
	} else {
		address = s.profile.Entries[r.target]
	}
	url := "http://" + address + "/" + service.Name + "/load"
	if service.AnswerBytes > 0 {
		url += "?" + stubs.QueryBytes + "=" + strconv.Itoa(service.AnswerBytes)
	}
	body := s.bodies[r.service]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(caller.HeaderRequestID, s.requestID(r.id))
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	if r.attempt > 1 {
		req.Header.Set(caller.HeaderAttempt, strconv.Itoa(r.attempt))
	}
	if r.key != "" {
		req.Header.Set(caller.HeaderKey, r.key)
	}
	if !r.nonIdempotent {
		req.Header.Set(caller.HeaderIdempotent, "true")
	}
	return req, nil
}

// resultOfError distinguishes a connection that could not be made from one that broke.
func resultOfError(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ResultUnreached
	}
	return ResultNoAnswer
}

// readResponse reads the whole response, sets the result and checks that the response is complete
// and belongs to the request.
func (s *sender) readResponse(resp *http.Response, r *record) {
	switch caller.Outcome(resp.Header.Get(caller.HeaderOutcome)) {
	case caller.Ran:
		r.result = ResultRan
	case caller.NotRun:
		r.result = ResultNotRun
	case caller.Unknown:
		r.result = ResultUnknown
	default:
		r.result = ResultNoAnswer
	}
	var head bytes.Buffer
	_, err := io.CopyN(&head, resp.Body, maxHeadBytes)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.cut = err != nil && !errors.Is(err, io.EOF)
	if r.result != ResultRan || r.cut {
		return
	}
	id, found, whole := replyID(head.Bytes())
	r.crossed = found && whole && id != s.requestID(r.id)
	r.cut = found && !whole
}

// replyID returns the request ID in the JSON of a stubs.Reply. The result whole is false if the
// JSON ends within the ID: a response with a wrong Content-Length is truncated without a read error.
func replyID(head []byte) (id string, found, whole bool) {
	_, rest, found := bytes.Cut(head, []byte(`"request-id":"`))
	before, _, whole := bytes.Cut(rest, []byte(`"`))
	return string(before), found, whole
}

// runAll makes all submissions of the plan and returns their records. It ends early if ctx ends.
func (s *sender) runAll(ctx context.Context) []record {
	work := make(chan planned, s.profile.InFlight)
	recordsOf := make([][]record, s.profile.InFlight)
	var workers sync.WaitGroup
	s.started = time.Now()
	for i := range recordsOf {
		workers.Go(func() {
			for p := range work {
				recordsOf[i] = s.send(ctx, p, recordsOf[i])
			}
		})
	}
	s.dispatch(ctx, work)
	close(work)
	workers.Wait()
	s.client.CloseIdleConnections()
	var all []record
	for _, part := range recordsOf {
		all = append(all, part...)
	}
	return all
}

// waitUntil waits until a time relative to the start. A timer alone wakes up to a millisecond late on
// a busy machine, which would count as latency. If the profile is precise, the last part of the wait
// is a busy loop, which takes a CPU core.
func (s *sender) waitUntil(at time.Duration) {
	early := time.Duration(0)
	if s.profile.Precise {
		early = spinTime
	}
	if wait := at - time.Since(s.started) - early; wait > 0 {
		time.Sleep(wait)
	}
	for s.profile.Precise && time.Since(s.started) < at {
		runtime.Gosched()
	}
}

// dispatch sends each planned submission to the workers when it is due. If all workers are busy it
// falls behind, but the submissions keep their intended starts, so that the wait counts as latency.
func (s *sender) dispatch(ctx context.Context, work chan<- planned) {
	plan := newPlan(s.profile)
	for {
		p, ok := plan.next()
		if !ok {
			return
		}
		s.waitUntil(p.at)
		recordLatency(s.late, time.Since(s.started)-p.at)
		select {
		case work <- p:
		case <-ctx.Done():
			return
		}
	}
}
