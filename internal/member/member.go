// Package member is the core of membership: which instances of a failure domain live, which
// are gone for certain, who leads, and whom to contact, here and in other domains. It has no
// input or output: Handle takes an event with the time and returns effects.
//
// Three kinds of evidence are kept apart. A heartbeat proves that a process ran. Silence
// proves nothing: the process may be paused or cut off, and return. Only the platform's list
// proves that a process is gone, when it showed it before and does so no more; the list lags,
// so what it shows may be dead and what it does not show yet may live.
package member

import (
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// Process identifies one process that runs as an instance.
type Process struct {
	Name string `json:"name"`
	// Incarnation differs between all processes that ever ran under the name. It has no order.
	Incarnation uint64 `json:"incarnation"`
}

// Instance is a process and where it is.
type Instance struct {
	Process
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// HeartbeatCount says how far the heartbeat counter of a process has come.
type HeartbeatCount struct {
	Process
	Count uint64 `json:"count"`
}

// Heartbeat is a heartbeat: what an instance says of itself, and of others by hearsay.
type Heartbeat struct {
	Instance
	// Count grows with each heartbeat of the process.
	Count   uint64 `json:"count"`
	Leaving bool   `json:"leaving,omitempty"`
	// Leader is who leads the domain in Term, as far as the sender knows.
	Leader Process    `json:"leader"`
	Term   grant.Term `json:"term"`
	// Direct are the processes that the sender has heard itself lately.
	Direct []Process `json:"direct,omitempty"`
	// Gossip are the newest counters that the sender knows of others in its domain.
	Gossip []HeartbeatCount `json:"hearsay,omitempty"`
}

// Event is an input of the core. The set is sealed.
type Event interface {
	isEvent()
}

// Ticked says that time has passed. It comes at least every Config.Period.
type Ticked struct{}

// Discovered names an instance that settings, a bundle or another instance knows of. It proves
// nothing about whether it lives.
type Discovered struct {
	Instance Instance
}

// HeartbeatReceived is a heartbeat that arrived, either as a call or as the answer to one.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	// IsReply says that it answers a heartbeat of this process, which thus arrived.
	IsReply bool
}

// InstancesListed is what the platform's list shows.
type InstancesListed struct {
	Instances []ListedInstance
}

// ListedInstance is an instance on the platform's list. Incarnation may be zero if the
// platform does not know it.
type ListedInstance struct {
	Instance
	Leaving bool
}

// LeaderReported says who leads this instance's domain as its own leader core sees it. An empty name
// means nobody.
type LeaderReported struct {
	Leader Process
	Term   grant.Term
}

// Stopping says that this instance is leaving.
type Stopping struct{}

func (Ticked) isEvent()            {}
func (Discovered) isEvent()        {}
func (HeartbeatReceived) isEvent() {}
func (InstancesListed) isEvent()   {}
func (LeaderReported) isEvent()    {}
func (Stopping) isEvent()          {}

// Effect is an output of the core. The set is sealed.
type Effect interface {
	isEffect()
}

// SendHeartbeat asks for a heartbeat to be sent. Its answer, if any, comes back as Heard.
type SendHeartbeat struct {
	To        Instance
	Heartbeat Heartbeat
}

// Changed says that the view is another one than before.
type Changed struct {
	View View
}

// Removed says that the platform's list showed this process and does so no more. The others
// take it for gone for certain, so it must give up all its duties.
type Removed struct{}

func (Removed) isEffect()       {}
func (SendHeartbeat) isEffect() {}
func (Changed) isEffect()       {}

// Link says in which directions heartbeats between this instance and another pass.
type Link string

// The links.
const (
	// LinkBoth is needed to send work to the instance.
	LinkBoth Link = "both"
	// LinkIn says that this instance hears the other, but not the reverse.
	LinkIn Link = "in"
	// LinkOut says that the other hears this instance, but not the reverse.
	LinkOut Link = "out"
	// LinkNone says that the instance is known to live by hearsay only.
	LinkNone Link = "none"
)

// LiveInstance is an instance that gave a sign of life lately.
type LiveInstance struct {
	Instance
	Link    Link
	Leaving bool
}

// View is what this instance believes.
type View struct {
	// Live are the live instances of the domain, this one included, sorted by name.
	Live []LiveInstance
	// Gone are the processes of the domain that are gone for certain, sorted by name.
	Gone []Process
	// Leader is the leader of the domain with the highest term, if it lives. Its name is empty
	// otherwise.
	Leader Process
	Term   grant.Term
	// Domains are the other domains, sorted by name.
	Domains []Domain
}

// Domain is another failure domain as seen from here.
type Domain struct {
	Name string
	// Reachable are its instances with which heartbeats pass both ways, sorted by name.
	Reachable []Instance
}

// Rank returns the number of live instances of the domain whose name comes before one's own.
func (v View) Rank(name string) int {
	rank := 0
	for _, l := range v.Live {
		if l.Name < name && !l.Leaving {
			rank++
		}
	}
	return rank
}
