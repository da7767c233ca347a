package member

import (
	"slices"
	"time"

	"example.org/mustardring/pkg/grant"
)

// Config says who this instance is and how often it sends.
type Config struct {
	Self Instance
	// HeartbeatInterval is the time between heartbeats within the domain, and PeriodOutside to other
	// domains.
	HeartbeatInterval   time.Duration
	CrossDomainInterval time.Duration
	// HeartbeatTimeout is the time without a sign of life after which an instance of the domain counts
	// as dead, and SilenceOutside that for others. Hearsay takes a Period for each hop.
	HeartbeatTimeout   time.Duration
	CrossDomainTimeout time.Duration
	// MaxFullMesh is the size up to which everybody in a group sends to everybody.
	MaxFullMesh int
	// ContactsPerDomain is the number of instances of another domain that are contacted.
	ContactsPerDomain int
	// ReplaceDelay is for how long after its silence began a process that the platform's list shows
	// keeps its name against another one. Zero means as long as the list shows it.
	ReplaceDelay time.Duration
	// MaxGossip bounds the counters passed on in one heartbeat.
	MaxGossip int
}

// maxFormer bounds the processes that are remembered as replaced, for each name.
const maxFormer = 8

// Core is the membership of one instance.
type Core struct {
	config  Config
	count   uint64
	leaving bool
	known   map[string]*known
	// order is known by name, and told the place in it where the last heartbeat ended.
	order []*known
	told  int
	// turn chooses among silent instances of other domains.
	turn int
	// mates is the number of other instances of the domain at the last tick.
	mates int
	// round counts periods.
	round   int
	leader  Process
	term    grant.Term
	nextAt  Time
	nextOut Time
	view    View
	// stale says that the view may have changed.
	stale bool
	// listed and removed say whether the platform's list ever showed this process, and
	// afterwards did so no more.
	listed  bool
	removed bool
}

// known is what is known of the instance of one name.
type known struct {
	Instance
	leaving bool
	// count is the newest heartbeat counter of the present process.
	count uint64
	// liveUntil, heardUntil and hearsUntil are when the process counts as dead, as not heard
	// directly, and as not hearing this instance, unless there is news before.
	liveUntil  Time
	heardUntil Time
	hearsUntil Time
	// calledUntil is until when its heartbeats, answered here, stand for own ones to it.
	calledUntil Time
	// listed says that the platform's list has shown the present process.
	listed bool
	// gone is set for good when the list shows the process no more.
	gone bool
	// former are other processes of the name: those that this one replaced, and those that
	// the platform's list showed beside it.
	former []former
}

// former is another process of a name than the present one.
type former struct {
	Process
	// replaced says that it had the name once. It is not believed again: one that was paused
	// and returns finds its place taken.
	replaced bool
	listed   bool
	gone     bool
}

// New returns a Core that knows only its own instance.
func New(config Config) *Core {
	return &Core{config: config, known: make(map[string]*known), stale: true}
}

// Handle takes one event. The time never goes back.
func (c *Core) Handle(now Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Ticked:
		effects = c.tick(now)
		c.stale = true
	case Discovered:
		c.learn(e.Instance)
	case HeartbeatReceived:
		c.hear(now, e)
	case InstancesListed:
		effects = c.list(now, e)
	case LeaderReported:
		c.ledBy(e)
	case Stopping:
		c.leaving, c.stale = true, true
		c.nextAt = 0
		effects = c.tick(now)
	}
	return c.report(now, effects)
}

// View returns the view as of the last event.
func (c *Core) View() View {
	return c.view
}

func (c *Core) learn(i Instance) *known {
	if i.Name == "" || i.Name == c.config.Self.Name {
		return nil
	}
	k := c.known[i.Name]
	if k == nil {
		k = &known{Instance: i}
		c.known[i.Name] = k
	}
	if k.Incarnation == 0 {
		k.Incarnation = i.Incarnation
	}
	if k.Address == "" {
		k.Address = i.Address
	}
	return k
}

// hear takes a heartbeat, unless its process was replaced or is gone for certain.
func (c *Core) hear(now Time, e HeartbeatReceived) {
	k := c.learn(e.Heartbeat.Instance)
	if k == nil || !c.admit(now, k, e.Heartbeat.Instance) {
		return
	}
	wasLive, link, leaving := now < k.liveUntil, k.link(now), k.leaving
	silence := c.silence(k)
	isNew := e.Heartbeat.Count > k.count
	if !e.IsReply {
		k.calledUntil = now + c.period(k) + c.period(k)/2
	}
	if isNew {
		k.count = e.Heartbeat.Count
		k.leaving = e.Heartbeat.Leaving
		k.liveUntil, k.heardUntil = now+silence, now+silence
	}
	if e.IsReply || c.hearsMe(e.Heartbeat) {
		k.hearsUntil = now + silence
	}
	if !wasLive || link != k.link(now) || leaving != k.leaving {
		c.stale = true
	}
	if k.Domain != c.config.Self.Domain || !isNew {
		return
	}
	for _, h := range e.Heartbeat.Gossip {
		c.hearsay(now, h)
	}
	c.hearLeader(e.Heartbeat)
}

func (c *Core) hearLeader(b Heartbeat) {
	if b.Leader.Name == "" && b.Process == c.leader {
		c.end()
		return
	}
	c.follow(b.Leader, b.Term)
}

// end notes that the leader leads no more. Its term stays, so late news of it is not believed.
func (c *Core) end() {
	c.leader, c.stale = Process{}, true
}

// ledBy takes what the own leader core says.
func (c *Core) ledBy(e LeaderReported) {
	if e.Leader.Name == "" && c.leader == c.config.Self.Process {
		c.end()
		return
	}
	c.follow(e.Leader, e.Term)
}

// follow believes the claim of the highest term.
func (c *Core) follow(leader Process, term grant.Term) {
	if leader.Name == "" || term.Compare(c.term) <= 0 {
		return
	}
	c.leader, c.term, c.stale = leader, term, true
}

// admit decides whether a heartbeat comes from the process that has the name now.
//
// The failure it guards against is an instance that was replaced at its address, and whose
// old process was only paused: both then send under one name. It shows as two incarnations.
// The present one stays until the platform lists the other in its place or, if it was never
// listed itself or said that it leaves, until it has been silent for its time. One that was replaced stays so unless
// the list shows it.
func (c *Core) admit(now Time, k *known, i Instance) bool {
	switch {
	case i.Incarnation == k.Incarnation:
		k.Domain = i.Domain
		return !k.gone
	case k.isRefused(i.Process), now < k.liveUntil, k.listed && !k.gone && !k.leaving && !c.isOverdue(now, k):
		return false
	}
	k.replace(i)
	return true
}

// isOverdue reports whether a listed process has been silent for so long that another may take
// its name though the list does not say so yet. Without it an instance that is replaced while
// the list can't be read would stay unknown for as long.
func (c *Core) isOverdue(now Time, k *known) bool {
	return c.config.ReplaceDelay > 0 && now >= k.liveUntil+Time(c.config.ReplaceDelay)
}

// IsCurrent reports whether a process has its name now and is not known to be gone.
func (c *Core) IsCurrent(p Process) bool {
	k := c.known[p.Name]
	return k != nil && k.Process == p && !k.gone
}

func (k *known) isRefused(p Process) bool {
	f := k.findFormer(p)
	return f != nil && (f.replaced || f.gone)
}

func (k *known) findFormer(p Process) *former {
	for n := range k.former {
		if k.former[n].Process == p {
			return &k.former[n]
		}
	}
	return nil
}

// replace makes a new process the one that has the name.
func (k *known) replace(i Instance) {
	k.addFormer(former{Process: k.Process, replaced: true, listed: k.listed, gone: k.gone})
	next := known{Instance: i, former: k.former}
	if f := k.findFormer(i.Process); f != nil {
		next.listed, next.gone = f.listed, f.gone
		next.former = slices.DeleteFunc(next.former, func(f former) bool { return f.Process == i.Process })
	}
	*k = next
}

func (k *known) addFormer(f former) {
	k.former = append(k.former, f)
	k.former = k.former[max(0, len(k.former)-maxFormer):]
}

func (c *Core) hearsMe(b Heartbeat) bool {
	for _, p := range b.Direct {
		if p == c.config.Self.Process {
			return true
		}
	}
	return false
}

// hearsay takes a counter that came over another instance. It shows that the process lives
// though the link to it is cut, and passes a large group in steps.
func (c *Core) hearsay(now Time, h HeartbeatCount) {
	k := c.known[h.Name]
	if k == nil || k.gone || k.Incarnation != h.Incarnation || h.Count <= k.count {
		return
	}
	c.stale = c.stale || now >= k.liveUntil
	k.count = h.Count
	k.liveUntil = now + c.silence(k)
}

func (c *Core) period(k *known) Time {
	switch {
	case k.Domain != c.config.Self.Domain:
		return Time(c.config.CrossDomainInterval)
	case c.isSparse(k):
		return sparsePeriods * Time(c.config.HeartbeatInterval)
	default:
		return Time(c.config.HeartbeatInterval)
	}
}

func (c *Core) silence(k *known) Time {
	if k.Domain == c.config.Self.Domain {
		return Time(c.config.HeartbeatTimeout)
	}
	return Time(c.config.CrossDomainTimeout)
}
