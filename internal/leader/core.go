package leader

import (
	"time"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
)

// Core is the state of one instance in the leadership of its failure domain: it follows the
// leader and succeeds it when it is lost, or is itself a candidate or the leader, which
// assigns ranges to servers. It is not safe for concurrent use.
type Core struct {
	config  Config
	placer  place.Placer
	now     Time
	started bool
	effects []Effect

	bundleVersion   uint64
	services        []*service
	voterSets       []voterSet
	peers           map[string]peer
	listedInstances map[string]bool
	log             logView
	// highestTerm is the highest term that this instance has seen.
	highestTerm grant.Term
	// formerTable is the newest routing table of another leader of the domain.
	formerTable route.Table
	// gates has the instance that is the gate of each server, by the server's name.
	gates map[string]string

	// leaderHeardAt is when the last heartbeat of the leader arrived, or when this instance
	// last began to wait for a leader: at its start, when it stepped down, or when the log had
	// a new term.
	leaderHeardAt Time
	leader        string
	// resigned says that the last leader announced that it no longer leads.
	resigned  bool
	preVote   *preVote
	termClaim *termClaim
	lead      *leadership
	stopping  bool
	// homesFence is the highest value of the homes fence that this instance knows.
	homesFence uint64
}

// logView is what this instance knows of the log.
type logView struct {
	// readAt is when the newest successful read began.
	readAt   Time
	everRead bool
	// unavailable says that a call of the log has failed since it was last read.
	unavailable bool
	term        fold.Term
	assigned    map[string]fold.RecordedAssignment
}

// peer is another instance of the domain.
type peer struct {
	// heardAt is when its last heartbeat arrived.
	heardAt Time
	leaving bool
}

// New returns the core of an instance that follows. The placer computes the wanted owners of
// ranges when the instance leads.
func New(config Config, placer place.Placer) *Core {
	return &Core{
		config:          config,
		placer:          placer,
		peers:           make(map[string]peer),
		listedInstances: make(map[string]bool),
		gates:           make(map[string]string),
	}
}

// Handle processes an event that happened at the time now, and returns the effects that the
// driver must carry out, in order. The caller owns the returned slice. Times must not
// decrease: an earlier time counts as the latest one so far.
func (c *Core) Handle(now Time, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = nil
	if !c.started {
		c.started = true
		c.leaderHeardAt = c.now
	}
	c.checkQuorum()
	switch ev := ev.(type) {
	case Ticked:
		c.tick()
	case Configured:
		c.configure(ev)
	case Answered:
		c.handleAnswer(ev)
	case LogRead:
		c.handleLogRead(ev)
	case LogFailed:
		c.log.unavailable = true
	case Appended:
		c.handleAppended(ev)
	case Heartbeat:
		c.handleHeartbeat(ev)
	case TableReceived:
		c.handleTable(ev)
	case Listed:
		c.handleListed(ev)
	case Measured:
		c.handleMeasured(ev)
	case Stopping:
		c.stop()
	}
	c.runDueWork()
	return c.effects
}

// Table returns the routing table that this instance last published in its present term, or
// nil if it does not lead or has published none.
func (c *Core) Table() *route.Table {
	if c.lead == nil || c.lead.published == nil {
		return nil
	}
	return c.lead.published
}

// Heartbeat returns the heartbeat that this instance sends to its peers.
func (c *Core) Heartbeat() Heartbeat {
	return Heartbeat{
		Name:        c.config.Name,
		Incarnation: c.config.Incarnation,
		Leading:     c.lead != nil && c.lead.won(),
		Term:        c.highestTerm,
		Leaving:     c.stopping,
	}
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) tick() {
	if c.lead == nil {
		c.tickFollower()
		return
	}
	c.tickLeader()
}

// runDueWork runs the work of a leader that has become due by the event just handled or by
// the time that has passed.
func (c *Core) runDueWork() {
	l := c.lead
	if l == nil || !l.won() {
		return
	}
	c.place()
	if l.rangesDirty && c.now >= l.reconcileAt {
		l.rangesDirty = false
		l.reconcileAt = c.now + l.minPassInterval()
		c.reconcile()
	}
	c.exchangeDue()
	c.exchangeUrgent()
	if l.tableDirty && c.now >= l.publishAt {
		l.publishAt = c.now + l.minPassInterval()
		c.publish()
	}
}

// passIntervalPerRange times the number of ranges is the minimum interval between two passes
// over all ranges. It bounds the processor time that passes take when many servers answer at
// once. With few ranges the interval is shorter than a round trip.
const passIntervalPerRange = Time(2 * time.Microsecond)

// minPassInterval returns the minimum interval between two passes over all ranges.
func (l *leadership) minPassInterval() Time {
	if l.published == nil {
		return 0
	}
	return passIntervalPerRange * Time(len(l.published.Owners))
}

func (c *Core) handleTable(ev TableReceived) {
	if c.formerTable.Term.Compare(ev.Table.Term) <= 0 {
		c.formerTable = ev.Table
	}
}

func (c *Core) stop() {
	c.stopping = true
	c.termClaim, c.preVote = nil, nil
	c.stepDown(reasonStopping)
}
