package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/stated"
	"example.org/mustardring/internal/upstr"
)

// Carrier sends requests over connections of the instances that admitted them.
type Carrier interface {
	// Carry sends a request, if the instance that admitted it can be asked to, and returns the response, which is complete,
	// and the name of that instance. Errors wrap upstr.ErrNotSent if nothing was sent to the server, else upstr.ErrInDoubt.
	// upstr.ErrLost accompanies the latter if the other instance has lost the server.
	Carry(c Carriage) (response *http.Response, instance string, err error)
}

// Carriage is a request to send through the instance that admitted it.
type Carriage struct {
	// Request is the request without what HeaderCodec.EncodeTarget sets. Its context cancels it at any time.
	Request   *http.Request
	Admission Admission
	Server    rules.Server
	// Deadline is when the response must have arrived.
	Deadline time.Time
	// BeforeWrite is called immediately before the first byte is written. If it returns an error, the request is not sent.
	BeforeWrite func() error
}

// errNoOwnPath is the error of a request that was not sent because only another instance could pass it on.
var errNoOwnPath = errors.New("edge: no path of its own to the server")

// errTarget is the error of a request whose target would be changed.
var errTarget = errors.New("edge: target can't be sent unchanged")

// dispatch sends the request, which was admitted at a time: over a connection of the instance that admitted it if that
// saves one, otherwise over one of this instance. If the other instance sends nothing, the same attempt goes directly.
func (q *request) dispatch(ctx context.Context, a Admission, s rules.Server, admittedAt time.Time) (*http.Response, error) {
	if q.mayCarry(s, admittedAt) {
		response, instance, err := q.edge.Carrier.Carry(Carriage{
			Request: q.outgoing(ctx), Admission: a, Server: s, Deadline: q.deadline,
			BeforeWrite: func() error { return q.checkServer(s.ID, time.Since(admittedAt)) },
		})
		unsent := errors.Is(err, upstr.ErrNotSent)
		if !unsent {
			q.carried, q.carryUsed = instance, true
		}
		if err == nil {
			err = q.verify(response)
		}
		if !unsent || ctx.Err() != nil {
			return response, err
		}
	}
	return q.send(ctx, s, admittedAt)
}

// mayCarry reports whether the request may go through another instance, and a connection is saved if it does. A server with
// a bounded rate gets its requests directly: the way through another instance delays them, see maxBoundedDispatchDelay.
func (q *request) mayCarry(s rules.Server, now time.Time) bool {
	return q.edge.Carrier != nil && q.divided && q.route.Kind.Idempotent() && len(q.body) == 0 && !q.carryUsed &&
		!s.Cold(now) && s.RateLimit == 0 && q.deadline.Sub(now) >= minAttemptTime && !q.edge.ConnPool.hasIdle(s.ID)
}

// SendFor sends a request of another instance to the server with an ID at an address, over a connection of this instance,
// and returns the complete response, which states the ID of the request. Errors wrap upstr.ErrNotSent or upstr.ErrInDoubt.
//
// What the response states about its server concerns this instance, from which the server got the request.
func (e *Edge) SendFor(r *http.Request, server, address string, deadline time.Time) (*inlet.Reply, error) {
	s, found := e.Cluster.Server(server)
	if !found || s.Address != address {
		return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, errServerClosed)
	}
	target, ok := targetOf(r)
	if !ok {
		return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, errTarget)
	}
	q := &request{
		Request: r, edge: e, info: e.Codec.DecodeRequest(r.Header), target: target, divided: true, ownPath: true, deadline: deadline,
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	response, err := q.send(ctx, s, time.Now())
	if err != nil {
		return nil, err
	}
	if !q.answer.Statement.Empty() {
		e.Cluster.ObserveStatement(server, q.answer.Statement, stated.Source{Request: q.info.ID, Status: response.StatusCode})
	}
	return e.readWhole(response)
}
