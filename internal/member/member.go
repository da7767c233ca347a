// Package member implements membership: which instances of a failure domain are live, which
// were removed by the platform, who leads the domain, and which instances to send heartbeats
// to, in this domain and in others. It performs no I/O: Core.Handle takes an event and the
// time and returns effects.
//
// Three kinds of evidence are kept apart. A heartbeat proves that a process ran. Missing
// heartbeats prove nothing: the process may be paused or partitioned, and may return. Only
// the platform's list of instances proves that a process has ended, by no longer showing a
// process that it showed before. The list lags: a process on it may be dead, and a live one
// may not be on it yet.
package member

import (
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// Process identifies one process of an instance. A replacement has the same name and another
// incarnation.
type Process struct {
	Name string `json:"name"`
	// Incarnation differs between all processes that ever ran under the name. Incarnations
	// have no order.
	Incarnation uint64 `json:"incarnation"`
}

// Instance is a process with its failure domain and the address that its peers call.
type Instance struct {
	Process
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// HeartbeatCount is the heartbeat counter of a process.
type HeartbeatCount struct {
	Process
	Count uint64 `json:"count"`
}

// Heartbeat is what an instance states about itself, and what it passes on about others.
type Heartbeat struct {
	Instance
	// Count increases with each heartbeat of the process.
	Count   uint64 `json:"count"`
	Leaving bool   `json:"leaving,omitempty"`
	// Leader is the leader of the domain in Term, as far as the sender knows.
	Leader Process    `json:"leader"`
	Term   grant.Term `json:"term"`
	// Direct lists the processes from which the sender itself received a heartbeat within the
	// timeout.
	Direct []Process `json:"direct,omitempty"`
	// Gossip lists the newest counters that the sender knows of live instances of its domain.
	Gossip []HeartbeatCount `json:"hearsay,omitempty"`
}

// Event is an input of the Core. Only types of this package implement it.
type Event interface {
	isEvent()
}

// Ticked reports that time has passed. The caller passes it at least once per
// Config.HeartbeatInterval.
type Ticked struct{}

// Discovered names an instance known from settings, a bundle or another instance. It does not
// prove that the instance is live.
type Discovered struct {
	Instance Instance
}

// HeartbeatReceived is a heartbeat that arrived, either as a call or as the reply to one.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	// IsReply reports whether it is the reply to a heartbeat of this process, which proves that
	// the other instance received that one.
	IsReply bool
}

// InstancesListed is the content of the platform's list of instances.
type InstancesListed struct {
	Instances []ListedInstance
}

// ListedInstance is an instance on the platform's list. Its Incarnation is zero if the platform
// does not know it.
type ListedInstance struct {
	Instance
	Leaving bool
}

// LeaderReported names the leader of this instance's domain as its own leader core (package
// leader) sees it. The name is empty if there is no leader.
type LeaderReported struct {
	Leader Process
	Term   grant.Term
}

// Stopping reports that this instance is leaving.
type Stopping struct{}

func (Ticked) isEvent()            {}
func (Discovered) isEvent()        {}
func (HeartbeatReceived) isEvent() {}
func (InstancesListed) isEvent()   {}
func (LeaderReported) isEvent()    {}
func (Stopping) isEvent()          {}

// Effect is an output of the Core. Only types of this package implement it.
type Effect interface {
	isEffect()
}

// SendHeartbeat asks the caller to send a heartbeat. The reply, if any, comes back as
// HeartbeatReceived.
type SendHeartbeat struct {
	To        Instance
	Heartbeat Heartbeat
}

// Changed reports that the view differs from the one before.
type Changed struct {
	View View
}

// Removed reports that the platform's list no longer shows this process, after having shown
// it. The other instances treat the process as ended, so it must give up all its work.
type Removed struct{}

func (Removed) isEffect()       {}
func (SendHeartbeat) isEffect() {}
func (Changed) isEffect()       {}

// Link states in which directions heartbeats pass between this instance and another one.
type Link string

// Values of Link.
const (
	// LinkBoth means that each instance receives heartbeats of the other. An instance of another
	// domain is reachable only by such a link.
	LinkBoth Link = "both"
	// LinkIn means that this instance receives heartbeats of the other one, but not the reverse.
	// Work sent to the other one would be lost.
	LinkIn Link = "in"
	// LinkOut means that the other instance receives heartbeats of this one, but not the reverse.
	LinkOut Link = "out"
	// LinkNone means that the instance is known to be live by gossip only.
	LinkNone Link = "none"
)

// LiveInstance is an instance whose newest heartbeat, received directly or known by gossip, is
// not older than the timeout.
type LiveInstance struct {
	Instance
	Link    Link
	Leaving bool
}

// View is the membership as this instance knows it.
type View struct {
	// Live lists the live instances of the domain, this one included, sorted by name.
	Live []LiveInstance
	// Removed lists the processes of the domain that the platform's list showed and no longer
	// shows, which proves that they have ended, sorted by name.
	Removed []Process
	// Leader is the leader of the domain with the highest known term. Its name is empty if that
	// leader has stepped down or is not live.
	Leader Process
	Term   grant.Term
	// Domains lists the other failure domains, sorted by name.
	Domains []Domain
}

// Domain is another failure domain as seen from this instance.
type Domain struct {
	Name string
	// Reachable lists its live instances with a LinkBoth, sorted by name.
	Reachable []Instance
}

// Rank returns the number of live instances of the domain that are not leaving and whose names
// sort before the given one.
func (v View) Rank(name string) int {
	rank := 0
	for _, l := range v.Live {
		if l.Name < name && !l.Leaving {
			rank++
		}
	}
	return rank
}
