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

	"example.org/mustardring/internal/duty"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/mustardring/internal/stand"
	"example.org/mustardring/pkg/caller"
)

// grace is how long after its deadline a request is given up. An honest answer that the
// deadline has passed comes within it.
const grace = 250 * time.Millisecond

// spin is how long before its time a request is waited for without a timer.
const spin = 300 * time.Microsecond

// headBytes bounds what is kept of an answer, enough for the JSON of a stand-in server.
const headBytes = 4096

// sender sends requests over kept connections.
type sender struct {
	profile *Profile
	run     string
	started time.Time
	client  *http.Client
	bodies  [][]byte
	// late has how late requests were handed over.
	late *hdrhistogram.Histogram
}

func newSender(p *Profile, run string) *sender {
	s := &sender{profile: p, run: run, late: newHistogram()}
	s.client = &http.Client{Transport: newWire(time.Duration(p.DeadlineMillis) * time.Millisecond)}
	for _, service := range p.Services {
		s.bodies = append(s.bodies, bytes.Repeat([]byte{'x'}, service.BodyBytes))
	}
	return s
}

func (s *sender) id(n int) string {
	return s.run + "-" + strconv.Itoa(n)
}

// send sends a planned request and its resends, and appends a record for each.
func (s *sender) send(ctx context.Context, p planned, to []record) []record {
	start := p.at
	for attempt := 1; ; attempt++ {
		r := record{planned: p, attempt: attempt, start: start}
		s.once(ctx, &r)
		r.end = time.Since(s.started)
		to = append(to, r)
		if r.result == ResultRan || attempt > s.profile.Resend.Tries || p.direct || ctx.Err() != nil {
			return to
		}
		duty.Sleep(ctx, time.Duration(s.profile.Resend.WaitMillis)*time.Millisecond)
		p.target = (p.target + 1) % len(s.profile.Entries)
		start = time.Since(s.started)
	}
}

// once sends one request and fills in its result.
func (s *sender) once(ctx context.Context, r *record) {
	deadline := s.started.Add(r.start + time.Duration(s.profile.DeadlineMillis)*time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(grace))
	defer cancel()
	req, err := s.request(ctx, r, deadline)
	if err != nil {
		r.result = ResultUnreached
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		r.result = resultOf(err)
		return
	}
	defer resp.Body.Close()
	s.judge(resp, r)
}

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
		url += "?" + stand.QueryBytes + "=" + strconv.Itoa(service.AnswerBytes)
	}
	body := s.bodies[r.service]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(caller.HeaderRequestID, s.id(r.id))
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	if r.attempt > 1 {
		req.Header.Set(caller.HeaderAttempt, strconv.Itoa(r.attempt))
	}
	if r.key != "" {
		req.Header.Set(caller.HeaderKey, r.key)
	}
	if !r.once {
		req.Header.Set(caller.HeaderIdempotent, "true")
	}
	return req, nil
}

// resultOf tells a connection that was never made from one that broke.
func resultOf(err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ResultUnreached
	}
	return ResultNoAnswer
}

// judge reads the whole answer and compares it with the request.
func (s *sender) judge(resp *http.Response, r *record) {
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
	_, err := io.CopyN(&head, resp.Body, headBytes)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.cut = err != nil && !errors.Is(err, io.EOF)
	if r.result != ResultRan || r.cut {
		return
	}
	id, found, whole := replyID(head.Bytes())
	r.crossed = found && whole && id != s.id(r.id)
	r.cut = found && !whole
}

// replyID returns the request ID in the JSON of a stand.Reply, and whether it is whole: a
// server that states a length below that of its answer cuts it without a sign.
func replyID(head []byte) (id string, found, whole bool) {
	_, rest, found := bytes.Cut(head, []byte(`"request-id":"`))
	before, _, whole := bytes.Cut(rest, []byte(`"`))
	return string(before), found, whole
}

// runAll sends all requests of the plan and returns the records. It ends with the plan, or
// early with ctx.
func (s *sender) runAll(ctx context.Context) []record {
	todo := make(chan planned, s.profile.InFlight)
	kept := make([][]record, s.profile.InFlight)
	var workers sync.WaitGroup
	s.started = time.Now()
	for i := range kept {
		workers.Go(func() {
			for p := range todo {
				kept[i] = s.send(ctx, p, kept[i])
			}
		})
	}
	s.dispatch(ctx, todo)
	close(todo)
	workers.Wait()
	s.client.CloseIdleConnections()
	var all []record
	for _, part := range kept {
		all = append(all, part...)
	}
	return all
}

// await waits until a time after the start. A timer alone wakes up to a millisecond late on a
// busy machine, which would count as latency; Precise spends a core on the last part of the wait.
func (s *sender) await(at time.Duration) {
	early := time.Duration(0)
	if s.profile.Precise {
		early = spin
	}
	if wait := at - time.Since(s.started) - early; wait > 0 {
		time.Sleep(wait)
	}
	for s.profile.Precise && time.Since(s.started) < at {
		runtime.Gosched()
	}
}

// dispatch hands each request over when it is due. When all workers are busy it falls behind,
// and the requests keep the times at which they were to start, so that the wait counts.
func (s *sender) dispatch(ctx context.Context, todo chan<- planned) {
	plan := newPlan(s.profile)
	for {
		p, ok := plan.next()
		if !ok {
			return
		}
		s.await(p.at)
		observe(s.late, time.Since(s.started)-p.at)
		select {
		case todo <- p:
		case <-ctx.Done():
			return
		}
	}
}
