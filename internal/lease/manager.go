// Package lease manages the leases of backend servers: the right of a server to a range of keys,
// with a fencing token. It renews leases and, on the leader, moves ranges from one server to another.
//
// Two servers must never hold the same key at the same time. Five rules ensure this:
//   - A move is a record of the shared store that is appended only directly behind the record that it
//     was decided from. Its fence is higher than all earlier ones.
//   - The new owner gets its first grant once the former owner has answered a release that carries
//     the new fence: from then on the former owner rejects older grants, however late they arrive. If it
//     does not answer, its lease must have expired. The manager waits until every instance has confirmed
//     that it acts on the new record, or has not read the store for MaxViewAge, and then for one lease.
//   - A grant is sent only on a connection that was opened before the time as of which its record is
//     known to be the newest. A restarted server may keep its name but loses the fences that it has
//     seen, and only the connection tells one incarnation from the next.
//   - An instance renews only the leases in its newest record, and only while that record is known to
//     have been the newest within the contact timeout of the roster, or within MaxViewAge while the
//     instance is in contact with a majority of the others. Both are checked just before sending.
//   - When the store comes back from an older copy, the owners in it are not acted on. Instances go on by what they know, as
//     while the store is away, until one of them has put the owners in force in the new era: it does so once no lease can
//     be left that is based on a lost record that it does not know. Fences of a later era are higher than all earlier ones.
//   - The register of instances is in the same log. An instance that appends a move has thus read every
//     registration before it, and an instance that reads its own registration reads every move before
//     it. An instance without heartbeats is first marked as removed; its record is deleted only when its
//     view is too old to act on.
//
// Renewals change no owner, so any instance may send them. That only one instance decides about owners
// saves work; the rules hold without it.
package lease

import (
	"context"
	"errors"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// The errors of a Client.
var (
	// ErrFenced means that the server has seen a higher fence on some of the keys.
	ErrFenced = errors.New("lease: server has seen a higher fence")
	// ErrNoAnswer means that no answer came: the server may still carry out the request, also later.
	ErrNoAnswer = errors.New("lease: no answer from server")
	// ErrServerGone means that another server, or another incarnation of the server, has the address.
	ErrServerGone = errors.New("lease: another server has the address")
	// ErrRefused means that the server refused the request for another reason.
	ErrRefused = errors.New("lease: server refused the request")
	// ErrUnverified means that a grant was not sent because its GrantCheck did not pass in time.
	ErrUnverified = errors.New("lease: grant not verified as current")
)

// The parameters of leases and moves.
const (
	// leaseDuration is the duration of a lease, counted from the arrival of the grant. When a server
	// stops answering, its keys have no owner for this long. Two renewals may fail within it.
	leaseDuration = 2200 * time.Millisecond
	// renewInterval is the time between renewals of a lease: three within leaseDuration, and a retry soon
	// after a failure. A thousand ranges cause 1,400 renewals per second, beside 2,900 requests.
	renewInterval = 700 * time.Millisecond
	// maxClockDrift is the factor by which the clock of a server may be slow.
	maxClockDrift = 1.02
	// maxTransitTime is how long a request that was sent before it was canceled may still take to
	// arrive. The longest link delay is 20 milliseconds.
	maxTransitTime = 150 * time.Millisecond
	// MaxViewAge is the age up to which a view of the owners may be acted on. It bridges an outage of the
	// store of that length. A takeover from a server that does not answer waits as long for
	// instances that do not confirm it.
	MaxViewAge = 12 * time.Second
	// grantTimeout bounds a grant. releaseTimeout bounds a release, which is answered once the work
	// in progress has ended.
	grantTimeout   = 350 * time.Millisecond
	releaseTimeout = 4 * time.Second
	// An instance receives heartbeats for minListenTime, and then until it has one from half of its failure
	// domain or maxListenTime is over, before it may lead. Otherwise all instances that start together
	// lead at first.
	minListenTime = 500 * time.Millisecond
	maxListenTime = 1500 * time.Millisecond
	// renewalSetInterval is the minimum time between two computations of the servers that the instance
	// renews, unless the owners have changed.
	renewalSetInterval = 200 * time.Millisecond
	// verifyInterval is the time between two checks whether a grant is verified. A read of the store, which
	// verifies it, takes 4 ms.
	verifyInterval = 5 * time.Millisecond
	// tickInterval is the time between two decisions about owners, and between two checks for due renewals.
	tickInterval = 50 * time.Millisecond
	// maxRenewalFailures is the number of consecutive failed renewals at which a server is reported as failing.
	maxRenewalFailures = 2
	// failingTimeout is how long a server counts as failing after its last renewal was due, when it gets no
	// more renewals. It then gets keys again, and loses them within a lease if it still does not answer.
	failingTimeout = 4 * time.Second
	// requiredReporters is the number of instances in charge that must report a server as failing before it loses its
	// keys, if no other instance reaches it either. If all in charge report it, nobody renews its leases any more.
	requiredReporters = 2
	// probeTimeout limits a check whether any instance reaches a server.
	probeTimeout = 1200 * time.Millisecond
	// balanceInterval is the minimum time between two plans that only balance load.
	balanceInterval = 700 * time.Millisecond
	// urgentLossShare is the share of the requests of a service that are expected to be lost from which on plans follow each
	// other after half of balanceInterval, with Deps.SpeedRanges.
	urgentLossShare = 0.03
	// maxCompletionDelay is how long the record of completed moves may wait for further ones, or for a
	// plan that goes into the same record. Meanwhile the other instances know the completion from a message,
	// and the leader renews the leases. If the leader is lost, the next one ends the old leases and grants
	// the ranges again.
	maxCompletionDelay = 2 * time.Second
	// firstDivisionDelay is how long the set of servers of a new service must stay the same before its keys are
	// divided for the first time. Servers that start together write their directory entries within
	// a heartbeat interval of 0.9 seconds.
	firstDivisionDelay = time.Second
	// cutOffHoldTime is how long servers that seem lost keep their keys while all instances of their
	// failure domain are unreachable as well. The domain is then probably cut off and not down: its servers
	// continue to serve callers of their own domain, and a move could not complete before the
	// cut ends or MaxViewAge is over. Without it each cut of six seconds moved a quarter of all keys
	// when it ended, and for four seconds half to four fifths of the requests at the servers of the other
	// domains were refused, while the servers of the domain were idle. After the permanent loss of a domain
	// its keys are without an owner for this much longer.
	cutOffHoldTime = 7500 * time.Millisecond
	// coldCapacityFactor is the capacity of a cold server as a fraction of its full capacity: for some
	// seconds it takes twice as long for a request. With a fraction above zero, the keys of servers that are
	// replaced go to the new servers at once, and not first to others that are busy.
	coldCapacityFactor = 0.5
	// boundedLoadFactor is the fraction of the request rate that a server can take, as it is cold or has stated a limit,
	// for which it gets keys: requests arrive unevenly.
	boundedLoadFactor = 0.8
	// removalTimeout is how long an instance may be without heartbeats before it is marked as removed. It is
	// longer than cutOffHoldTime, because cut-off domains are found by their registered instances.
	removalTimeout = 8 * time.Second
	// maxLeftServers bounds the number of servers that are remembered after they left. Beyond it all are forgotten.
	maxLeftServers = 4096
)

// Grant asks a server to hold or to release the keys From to To, both included. Lease and Handover are
// not used in a release.
type Grant struct {
	From  uint16
	To    uint16
	Fence uint64
	// Lease is the duration of the lease, counted from the arrival of the grant.
	Lease time.Duration
	// Handover is what the former owner returned on release, so that the new one starts with its state.
	Handover string
}

// GrantCheck returns nil if a grant was still current after its connection was opened, and an error
// otherwise. A Client calls it before it sends the grant; it may block until ctx is done.
type GrantCheck func(ctx context.Context, openedAt clock.Instant) error

// Reply is what a server answers to a grant or a release.
type Reply struct {
	// Handover is what a former owner returns on release, once the work in progress has ended.
	Handover string
	// Leaving says that the server is about to leave. It may be set beside an error.
	Leaving bool
}

// Client sends grants and releases to servers.
type Client interface {
	// Grant gives keys to a server, or renews its lease. It names the incarnation of the server that is
	// meant, and sends nothing on a connection for which check fails: a restarted server has lost the
	// fences that it had seen, and would accept an old grant.
	Grant(ctx context.Context, to shard.Owner, g Grant, check GrantCheck) (Reply, error)
	// Release ends a lease. It returns once the work in progress has ended.
	Release(ctx context.Context, to shard.Owner, g Grant) (Reply, error)
	// Connect opens a connection to a server, which the next grant uses. It sends nothing.
	Connect(ctx context.Context, to shard.Owner) error
	// KeepSpare opens a second connection to a server unless there is one. Grants take turns on both.
	KeepSpare(ctx context.Context, to shard.Owner) error
}

// View is what an instance believes about the owners of all services and the registered instances.
// It is immutable once published.
type View struct {
	// Maps holds the owners by service, Instances the register of instances by name.
	Maps      map[string]*shard.Map
	Instances map[string]roster.Entry
	// End is the position after the newest record.
	End logpos.Pos
	// Opened is the era of the store in which the owners are in force, zero if the store states no era or no record says so.
	Opened logpos.Era
	// shortKeys means that the records of owners have keys without an era, as releases that do not know eras write them.
	shortKeys bool
	// staged holds the owners of an era that is being opened, by service.
	staged map[string]*stagedOwners
	// parts holds the parts that are known of the owners of services of which not all are.
	parts map[string][]*shard.Map
	// supersededNames holds the names of the registered instances whose newest record is about an earlier incarnation.
	supersededNames map[string]struct{}
	// believesFormerEnds turns guards.ignoreFormerEnds off.
	believesFormerEnds bool
}

// Deps holds the settings and dependencies of a Manager.
type Deps struct {
	// Name, Domain and Incarnation identify this instance; Domain is its failure domain.
	Name        string
	Domain      string
	LeaseClient Client
	Store       follow.Store
	// Topic is the topic of the store that holds the owners and the register of instances.
	Topic       string
	Incarnation uint64
	Clock       clock.Clock
	Roster      *roster.Roster
	Events      *event.Log
	// Servers returns the servers of the directory. DirectoryVersion returns a number that changes
	// whenever they do. Services returns the services whose keys are divided among servers.
	Servers          func() *rules.ServerSet
	DirectoryVersion func() uint64
	// ServerLeaves is called when a server says in an answer to a grant or a release that it is about to leave.
	ServerLeaves func(server string)
	Services     func() []string
	// TargetLatency returns the time within which requests of a service should be answered.
	TargetLatency func(service string) time.Duration
	// ExcessSendDelay returns by how much what this instance sends to servers takes longer to arrive than rules.Server.LeaveBy
	// allows for.
	ExcessSendDelay func() time.Duration
	// DirectoryAge returns the age of the local copy of the directory. EntryDelay is how long after the start
	// of a server its directory entry may be missing. ReadDirectory asks for a copy of the directory that is complete up to
	// an instant.
	DirectoryAge  func() time.Duration
	EntryDelay    time.Duration
	ReadDirectory func(asOf clock.Instant)
	// QueryIncarnation asks the instances that have probably renewed the leases of a server whether its incarnation still
	// runs. Their answers are passed to IncarnationRuns.
	QueryIncarnation func(server rules.Server, serial uint64)
	// Load returns the requests per second by key. Capacities returns the requests per second that each
	// server can serve, by id.
	Load       func(service string) []float64
	Capacities func(service string) map[string]float64
	// SpeedRanges lets plans follow rejections and service times, and each other sooner while much is lost. With it,
	// RejectRates returns the shares of requests that servers reject, of some servers by id and of all others; Work
	// returns the distribution of service times, nil if it is not known; Planned is called for each plan.
	SpeedRanges bool
	RejectRates func(service string) (byServer map[string]float64, others float64)
	Work        func(service string) *shard.WorkTimes
	Planned     func(service string, r shard.Report)
	// LeadershipChanged is called when this instance starts or stops deciding about owners.
	LeadershipChanged func(leads bool)
	// BroadcastRegister sends records of the register to the other instances, BroadcastOwners a change of
	// owners that was appended. MoveCompleted is called when the new owner of a range, which starts
	// at key from, has its first grant.
	BroadcastRegister func([]follow.Record)
	BroadcastOwners   func(OwnerChange)
	MoveCompleted     func(service string, from uint16, fence uint64)
	// Probe connects to a server by way of any instance, and closes the connection. It returns an error if that fails.
	Probe func(ctx context.Context, server shard.Owner) error
	// RereadOwners asks for a read of Topic.
	RereadOwners func()
	// FetchView asks another instance for its view of the owners, which it passes to PeerViews. EraChanged is called when this
	// instance has read the first records of a new era of the store, and when it has put the owners in force there.
	FetchView  func(instance string)
	EraChanged func()
	// OwnersChanged is called when the view has changed. SendHeartbeat asks for a heartbeat at once, because
	// the confirmed offset, or another state that heartbeats carry, has changed.
	OwnersChanged func()
	SendHeartbeat func()
}
