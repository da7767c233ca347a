package leader

import (
	"time"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
)

// Core is one instance's part in leading its failure domain: a follower that watches the
// leader, or the leader that places ranges. It is not safe for concurrent use.
type Core struct {
	config  Config
	placer  place.Placer
	now     Time
	started bool
	effects []Effect

	version     uint64
	services    []*service
	electorates []electorate
	peers       map[string]peer
	listed      map[string]bool
	log         logView
	// known is the highest term heard of.
	known grant.Term
	// hint is the newest routing table of another leader of the domain.
	hint route.Table
	// gates names the gate of each server by the server's name.
	gates map[string]string

	// leaderAt is when a leader of the domain was last heard, or may be hoped for since.
	leaderAt Time
	leader   string
	// resigned says that the last leader said itself that it leads no more.
	resigned bool
	survey   *survey
	claim    *claim
	lead     *leadership
	stopping bool
	// homesFence is the highest value of the homes fence that this instance knows.
	homesFence uint64
}

// logView is what this instance knows of the log.
type logView struct {
	readAt   Time
	read     bool
	away     bool
	term     fold.Term
	assigned map[string]fold.RecordedAssignment
}

// peer is another instance of the domain.
type peer struct {
	heardAt Time
	leaving bool
}

// New returns a core that follows.
func New(config Config, placer place.Placer) *Core {
	return &Core{
		config: config,
		placer: placer,
		peers:  make(map[string]peer),
		listed: make(map[string]bool),
		gates:  make(map[string]string),
	}
}

// Handle takes an event that happened at a time and returns what is to be done about it, in
// order. The effects belong to the caller. Times must not decrease.
func (c *Core) Handle(now Time, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = nil
	if !c.started {
		c.started = true
		c.leaderAt = c.now
	}
	c.checkAuthority()
	switch ev := ev.(type) {
	case Ticked:
		c.tick()
	case Configured:
		c.configure(ev)
	case Answered:
		c.answered(ev)
	case LogRead:
		c.folded(ev)
	case LogFailed:
		c.log.away = true
	case Appended:
		c.appended(ev)
	case Heartbeat:
		c.peerHeard(ev)
	case TableReceived:
		c.routed(ev)
	case Listed:
		c.list(ev)
	case Measured:
		c.measured(ev)
	case Stopping:
		c.stop()
	}
	c.settle()
	return c.effects
}

// Table returns the routing table that this instance published last as leader, or nil.
func (c *Core) Table() *route.Table {
	if c.lead == nil || c.lead.published == nil {
		return nil
	}
	return c.lead.published
}

// Heartbeat returns what this instance tells its peers about itself.
func (c *Core) Heartbeat() Heartbeat {
	return Heartbeat{
		Name:        c.config.Name,
		Incarnation: c.config.Incarnation,
		Leading:     c.lead != nil && c.lead.won(),
		Term:        c.known,
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

// settle does what the changes of one event make due.
func (c *Core) settle() {
	l := c.lead
	if l == nil || !l.won() {
		return
	}
	c.place()
	if l.dirty && c.now >= l.reconcileAt {
		l.dirty = false
		l.reconcileAt = c.now + l.spacing()
		c.reconcile()
	}
	c.exchangeDue()
	c.exchangePrompted()
	if l.tableDirty && c.now >= l.publishAt {
		l.publishAt = c.now + l.spacing()
		c.publish()
	}
}

// costPerRange bounds the processor time that work over all ranges takes when many servers
// answer at once. With few ranges it is shorter than a round trip.
const costPerRange = Time(2 * time.Microsecond)

// spacing returns the least time between two passes over all ranges.
func (l *leadership) spacing() Time {
	if l.published == nil {
		return 0
	}
	return costPerRange * Time(len(l.published.Owners))
}

func (c *Core) routed(ev TableReceived) {
	if c.hint.Term.Compare(ev.Table.Term) <= 0 {
		c.hint = ev.Table
	}
}

func (c *Core) stop() {
	c.stopping = true
	c.claim, c.survey = nil, nil
	c.stepDown(reasonStopping)
}
