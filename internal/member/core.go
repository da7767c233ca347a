package member

import (
	"slices"
	"time"

	"example.org/mustardring/pkg/grant"
)

// Config identifies this instance and sets the intervals and limits of a Core.
type Config struct {
	Self Instance
	// HeartbeatInterval is the time between heartbeats within the failure domain,
	// CrossDomainInterval that between heartbeats to other domains.
	HeartbeatInterval   time.Duration
	CrossDomainInterval time.Duration
	// HeartbeatTimeout is the time without a newer heartbeat after which an instance of the
	// domain is no longer live, CrossDomainTimeout that for instances of other domains. Gossip
	// takes one HeartbeatInterval per hop.
	HeartbeatTimeout   time.Duration
	CrossDomainTimeout time.Duration
	// MaxFullMesh is the largest number of names in a group whose members all send heartbeats to
	// each other. Larger groups send to a few contacts each.
	MaxFullMesh int
	// ContactsPerDomain is the number of live instances of another domain to which this instance
	// sends heartbeats.
	ContactsPerDomain int
	// ReplaceDelay is how long a process that the platform's list showed, and that did not say
	// that it is leaving, keeps its name after its heartbeats have timed out. After that another
	// process may take the name although the list does not show it yet. Zero means that only a
	// change of the list frees the name.
	ReplaceDelay time.Duration
	// MaxGossip is the largest number of counters passed on in one heartbeat.
	MaxGossip int
}

// maxFormer is the number of former processes remembered per name.
const maxFormer = 8

// Core tracks the membership as seen by one instance. It is not safe for concurrent use.
type Core struct {
	config  Config
	count   uint64
	leaving bool
	known   map[string]*knownInstance
	// order holds the values of known sorted by name. gossipOffset is the index in it at which
	// the gossip of the next heartbeat starts.
	order        []*knownInstance
	gossipOffset int
	// probeTurn selects the next unreachable instance of another domain to probe.
	probeTurn int
	// domainPeers is the number of other instances of the domain as of the last heartbeat round.
	domainPeers int
	// round counts the heartbeat rounds within the domain.
	round               int
	leader              Process
	term                grant.Term
	nextDomainSend      Time
	nextCrossDomainSend Time
	view                View
	// stale reports whether the view may have changed since it was built.
	stale bool
	// listed reports whether the platform's list ever showed this process, removed whether it
	// then stopped doing so.
	listed  bool
	removed bool
}

// knownInstance is what is known about the instance with one name. The embedded Instance has
// the process that holds the name at present.
type knownInstance struct {
	Instance
	leaving bool
	// count is the newest known heartbeat counter of the present process.
	count uint64
	// Without newer heartbeats, the process counts as live until liveUntil, its heartbeats count
	// as arriving directly until inboundUntil, and those of this instance count as arriving at it
	// until outboundUntil.
	liveUntil     Time
	inboundUntil  Time
	outboundUntil Time
	// Until replyOnlyUntil, this instance only replies to the heartbeats of the process and sends
	// it none, provided that Core.isSender holds for the process.
	replyOnlyUntil Time
	// listed reports whether the platform's list has shown the present process.
	listed bool
	// removed is set when the list no longer shows the process, and is never reset.
	removed bool
	// former lists other processes with the name: those that held it before, and those that the
	// platform's list showed while this one held it.
	former []formerProcess
}

// formerProcess is a process that does not hold its name at present.
type formerProcess struct {
	Process
	// replaced reports whether it held the name and another process took it. Its heartbeats are
	// ignored when it returns from a pause.
	replaced bool
	listed   bool
	removed  bool
}

// New returns a Core that knows only its own instance.
func New(config Config) *Core {
	return &Core{config: config, known: make(map[string]*knownInstance), stale: true}
}

// Handle processes one event and returns the effects. The time must not go back.
func (c *Core) Handle(now Time, event Event) []Effect {
	var effects []Effect
	switch e := event.(type) {
	case Ticked:
		effects = c.tick(now)
		c.stale = true
	case Discovered:
		c.addInstance(e.Instance)
	case HeartbeatReceived:
		c.handleHeartbeat(now, e)
	case InstancesListed:
		effects = c.handleList(now, e)
	case LeaderReported:
		c.handleLeaderReport(e)
	case Stopping:
		c.leaving, c.stale = true, true
		c.nextDomainSend = 0
		effects = c.tick(now)
	}
	return c.reportView(now, effects)
}

// View returns the view as of the last event.
func (c *Core) View() View {
	return c.view
}

// addInstance returns the entry of an instance, which it adds if it is missing. It returns nil
// for this instance and for an empty name.
func (c *Core) addInstance(i Instance) *knownInstance {
	if i.Name == "" || i.Name == c.config.Self.Name {
		return nil
	}
	k := c.known[i.Name]
	if k == nil {
		k = &knownInstance{Instance: i}
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

// handleHeartbeat processes a heartbeat. It ignores one whose process was replaced or removed.
func (c *Core) handleHeartbeat(now Time, e HeartbeatReceived) {
	k := c.addInstance(e.Heartbeat.Instance)
	if k == nil || !c.acceptProcess(now, k, e.Heartbeat.Instance) {
		return
	}
	wasLive, link, leaving := now < k.liveUntil, k.link(now), k.leaving
	timeout := c.timeout(k)
	isNew := e.Heartbeat.Count > k.count
	if !e.IsReply {
		k.replyOnlyUntil = now + c.interval(k) + c.interval(k)/2
	}
	if isNew {
		k.count = e.Heartbeat.Count
		k.leaving = e.Heartbeat.Leaving
		k.liveUntil, k.inboundUntil = now+timeout, now+timeout
	}
	if e.IsReply || c.listsSelf(e.Heartbeat) {
		k.outboundUntil = now + timeout
	}
	if !wasLive || link != k.link(now) || leaving != k.leaving {
		c.stale = true
	}
	if k.Domain != c.config.Self.Domain || !isNew {
		return
	}
	for _, g := range e.Heartbeat.Gossip {
		c.handleGossip(now, g)
	}
	c.handleLeaderClaim(e.Heartbeat)
}

// handleLeaderClaim processes what a heartbeat states about the leader. Only the leader itself
// can state that it has stepped down.
func (c *Core) handleLeaderClaim(h Heartbeat) {
	if h.Leader.Name == "" && h.Process == c.leader {
		c.clearLeader()
		return
	}
	c.adoptLeader(h.Leader, h.Term)
}

// clearLeader records that the leader has stepped down. The term stays, so that late heartbeats
// that name it as leader of that term are ignored.
func (c *Core) clearLeader() {
	c.leader, c.stale = Process{}, true
}

// handleLeaderReport processes a report of the leader core of this instance.
func (c *Core) handleLeaderReport(e LeaderReported) {
	if e.Leader.Name == "" && c.leader == c.config.Self.Process {
		c.clearLeader()
		return
	}
	c.adoptLeader(e.Leader, e.Term)
}

// adoptLeader takes over a leader whose term is higher than the known one.
func (c *Core) adoptLeader(leader Process, term grant.Term) {
	if leader.Name == "" || term.Compare(c.term) <= 0 {
		return
	}
	c.leader, c.term, c.stale = leader, term, true
}

// acceptProcess reports whether a heartbeat comes from the process that holds the name, and
// makes another process the holder if the present one may be replaced.
//
// Two processes with different incarnations send under one name if an instance was replaced
// while its old process was paused. The present one keeps the name until the platform lists
// the other in its place. It loses the name after the heartbeat timeout if the list never
// showed it, if it said that it is leaving or if the list no longer shows it, and after the
// timeout and Config.ReplaceDelay in other cases. A replaced process does not get the name
// back by its heartbeats unless the list shows it.
func (c *Core) acceptProcess(now Time, k *knownInstance, i Instance) bool {
	switch {
	case i.Incarnation == k.Incarnation:
		k.Domain = i.Domain
		return !k.removed
	case k.isRejected(i.Process), now < k.liveUntil, k.listed && !k.removed && !k.leaving && !c.isReplaceable(now, k):
		return false
	}
	k.replace(i)
	return true
}

// isReplaceable reports whether a listed process has been unreachable for so long that another
// one may take its name although the list does not show that yet. Without this rule an instance
// that is replaced while the list is unavailable would stay unknown until the list returns.
func (c *Core) isReplaceable(now Time, k *knownInstance) bool {
	return c.config.ReplaceDelay > 0 && now >= k.liveUntil+Time(c.config.ReplaceDelay)
}

// IsCurrent reports whether a process holds its name and is not known to be removed.
func (c *Core) IsCurrent(p Process) bool {
	k := c.known[p.Name]
	return k != nil && k.Process == p && !k.removed
}

// isRejected reports whether p is a former process that was replaced or removed.
func (k *knownInstance) isRejected(p Process) bool {
	f := k.findFormer(p)
	return f != nil && (f.replaced || f.removed)
}

func (k *knownInstance) findFormer(p Process) *formerProcess {
	for n := range k.former {
		if k.former[n].Process == p {
			return &k.former[n]
		}
	}
	return nil
}

// replace makes the process of i the holder of the name, with what is known of it from the list.
func (k *knownInstance) replace(i Instance) {
	k.addFormer(formerProcess{Process: k.Process, replaced: true, listed: k.listed, removed: k.removed})
	next := knownInstance{Instance: i, former: k.former}
	if f := k.findFormer(i.Process); f != nil {
		next.listed, next.removed = f.listed, f.removed
		next.former = slices.DeleteFunc(next.former, func(f formerProcess) bool { return f.Process == i.Process })
	}
	*k = next
}

func (k *knownInstance) addFormer(f formerProcess) {
	k.former = append(k.former, f)
	k.former = k.former[max(0, len(k.former)-maxFormer):]
}

// listsSelf reports whether the sender of a heartbeat receives those of this process.
func (c *Core) listsSelf(h Heartbeat) bool {
	for _, p := range h.Direct {
		if p == c.config.Self.Process {
			return true
		}
	}
	return false
}

// handleGossip processes a counter that another instance passed on. A newer counter shows that
// the process is live although no heartbeats pass directly, because the link is cut or because
// a large group is not a full mesh.
func (c *Core) handleGossip(now Time, g HeartbeatCount) {
	k := c.known[g.Name]
	if k == nil || k.removed || k.Incarnation != g.Incarnation || g.Count <= k.count {
		return
	}
	c.stale = c.stale || now >= k.liveUntil
	k.count = g.Count
	k.liveUntil = now + c.timeout(k)
}

// interval returns the time between heartbeats to and from an instance.
func (c *Core) interval(k *knownInstance) Time {
	switch {
	case k.Domain != c.config.Self.Domain:
		return Time(c.config.CrossDomainInterval)
	case c.isSparse(k):
		return sparseFactor * Time(c.config.HeartbeatInterval)
	default:
		return Time(c.config.HeartbeatInterval)
	}
}

// timeout returns the time without a newer heartbeat after which an instance is no longer live.
func (c *Core) timeout(k *knownInstance) Time {
	if k.Domain == c.config.Self.Domain {
		return Time(c.config.HeartbeatTimeout)
	}
	return Time(c.config.CrossDomainTimeout)
}
