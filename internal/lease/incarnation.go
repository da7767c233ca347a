package lease

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
)

const (
	// minQueryDelay is the delay after the first query about an incarnation of a server. It doubles with each query up to
	// maxQueryDelay.
	minQueryDelay = 100 * time.Millisecond
	maxQueryDelay = 1600 * time.Millisecond
	// maxAnswers limits the number of queries of other instances that are answered at the same time.
	maxAnswers = 32
)

// IncarnationQuery asks whether an incarnation of a server runs. Reply is called if it does, as of a time after the query was
// received; otherwise there is no answer.
type IncarnationQuery struct {
	Server string
	Reply  func()
}

// incarnationProof is what answers to this instance and to others have shown about the incarnation of a server.
type incarnationProof struct {
	// serial identifies the last query among those of all processes of the instance. It was sent at sentAt.
	serial uint64
	sentAt clock.Instant
	// nextAt is when the next query may be sent, delay the one after the last query.
	nextAt time.Time
	delay  time.Duration
	// runsAsOf is the last time at which the incarnation is known to have run: when a grant was sent that it answered on a
	// connection that is known to reach it, or a query to which another instance says so.
	runsAsOf clock.Instant
}

// queryIncarnation asks other instances whether the incarnation of the server runs, unless they have just been asked.
func (r *renewer) queryIncarnation(now time.Time) {
	r.mu.Lock()
	p := &r.proof
	if now.Before(p.nextAt) {
		r.mu.Unlock()
		return
	}
	if now.Sub(p.nextAt) > maxQueryDelay {
		p.delay = 0 // the last queries were about an earlier connection
	}
	p.delay = min(max(2*p.delay, minQueryDelay), maxQueryDelay)
	p.serial, p.sentAt, p.nextAt = r.manager.querySerial.Add(1), r.manager.Clock.Now(), now.Add(p.delay)
	serial := p.serial
	r.mu.Unlock()
	r.manager.QueryIncarnation(r.server, serial)
}

// runsSince reports whether the incarnation of the server is known to have run at an instant or later.
func (r *renewer) runsSince(at clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proof.runsAsOf >= at && r.proof.runsAsOf != 0
}

// recordRun records that the incarnation of the server ran at an instant.
func (r *renewer) recordRun(at clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proof.runsAsOf = max(r.proof.runsAsOf, at)
}

// IncarnationRuns takes the answer of another instance to a query. An answer to an earlier query than the last one is ignored.
func (lm *Manager) IncarnationRuns(server string, serial uint64) {
	lm.mu.Lock()
	r := lm.renewers[server]
	lm.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if serial != r.proof.serial || r.proof.sentAt <= r.proof.runsAsOf {
		return
	}
	r.proof.runsAsOf = r.proof.sentAt
	lm.Events.Record(event.StateChange, "incarnation-confirmed", "server", server, "took", lm.Clock.Now().Sub(r.proof.sentAt))
}

// IncarnationQueries takes the queries of other instances.
func (lm *Manager) IncarnationQueries() chan<- IncarnationQuery { return lm.queries }

// answerQuery answers the query of another instance in the background.
func (lm *Manager) answerQuery(ctx context.Context, q IncarnationQuery) {
	lm.mu.Lock()
	r := lm.renewers[q.Server]
	lm.mu.Unlock()
	if r == nil {
		return
	}
	select {
	case lm.answers <- struct{}{}:
	default:
		lm.Events.Record(event.StateChange, "incarnation-not-answered", "server", q.Server, "error", "too many queries")
		return
	}
	lm.jobs.Add(1)
	go func() {
		defer lm.jobs.Done()
		defer func() { <-lm.answers }()
		if err := r.renewVerified(ctx); err != nil {
			lm.Events.Record(event.StateChange, "incarnation-not-answered", "server", q.Server, "error", err)
			return
		}
		q.Reply()
	}()
}

// renewVerified renews one lease of the server on a connection that is verified already. The answer shows that the incarnation
// still runs. An instance that stops may renew for this, as long as it may act on its view.
func (r *renewer) renewVerified(ctx context.Context) error {
	service, keyRange, found := r.nextRange(nil)
	if !found {
		return ErrUnverified
	}
	g := Grant{From: keyRange.From, To: keyRange.To, Fence: keyRange.Fence, Lease: leaseDuration}
	verify := func(_ context.Context, openedAt clock.Instant) error { return r.verify(openedAt, false) }
	return r.sendVerified(ctx, g, verify, func() bool { return r.stillOwned(service, keyRange) })
}
