// Package holder keeps the rights of backend servers to their keys: it renews them, and moves
// keys from one server to another when it leads.
//
// What must hold is that two servers never have the same key. It rests on five rules.
//   - A move is a record of the shared store that is written only behind the record that it
//     was decided from. Its fence is higher than all before.
//   - The new owner gets its first grant when the old one has answered a release with the new
//     fence: from then on it takes no older grant, however late that comes. A server that does
//     not answer loses its right by time: when every instance has confirmed that it acts by
//     the new record, or has not read the store for knowledgeTime, and the lease has run out
//     after that.
//   - A grant goes on a connection that was opened before the time as of which its record is known
//     to be the newest. A server may start again under its name, without the fences that it had
//     seen: only a connection tells one life from the next.
//   - An instance renews only what its newest record says, only while that record is known to
//     be the newest as of a few seconds ago (roster.ContactTime), or knowledgeTime if it hears a
//     majority of the others, and checks both at the last moment.
//   - The register of instances stands in the same log. Who writes a move has read of every
//     instance that is registered before it, and who reads its own registration reads every
//     move before it. An instance that is silent is marked as removed first, and its record is
//     deleted only when what it knew is too old to act on.
//
// Renewals change no owner, so any instance may send them. Who leads is a matter of cost.
package holder

import (
	"context"
	"errors"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// The errors of an Orders.
var (
	// ErrFenced says that the server has seen a higher fence on some of the keys.
	ErrFenced = errors.New("holder: higher fence seen")
	// ErrNoAnswer says that no answer came: the order may be carried out, also later.
	ErrNoAnswer = errors.New("holder: no answer")
	// ErrServerGone says that another server, or another life of it, has the address.
	ErrServerGone = errors.New("holder: the server has ended")
	// ErrRefused says that the server refused the order for another reason.
	ErrRefused = errors.New("holder: refused")
	// ErrUnverified says that an order was not sent since it could not be proved to stand.
	ErrUnverified = errors.New("holder: not proved to stand")
)

// The times of rights.
const (
	// leaseTime is how long a grant is good for, from its arrival. A server that goes silent
	// leaves its keys without an owner for as long; a renewal may fail twice in it.
	leaseTime = 2200 * time.Millisecond
	// renewEvery is how often a grant is renewed: three times in a lease, and again at once if one
	// fails. A thousand ranges are 1,400 renewals a second, beside 2,900 requests (worked out).
	renewEvery = 700 * time.Millisecond
	// drift is the factor by which the clock of a server may be slow.
	drift = 1.02
	// flightTime is how long an order that was sent before it was given up may still take to
	// arrive: the delay of a link, of which the longest is 20 milliseconds.
	flightTime = 150 * time.Millisecond
	// knowledgeTime is how old the knowledge may be that an owner still is the owner. It
	// bridges that long an outage of the store. Takeovers from a server that is silent wait as
	// long for instances that are silent as well.
	knowledgeTime = 12 * time.Second
	// orderTimeout bounds a grant, releaseTimeout a release, which is answered when the work
	// in progress has ended.
	orderTimeout   = 350 * time.Millisecond
	releaseTimeout = 4 * time.Second
	// listenTime is how long an instance listens for others before it may lead, and until it has heard half of
	// its domain or listenMost is over: without it all instances that start together lead at first.
	listenTime = 500 * time.Millisecond
	listenMost = 1500 * time.Millisecond
	// chargeEvery is the least time between two looks which servers the instance renews, unless the owners
	// have changed.
	chargeEvery = 200 * time.Millisecond
	// proofPause is the pause between two looks whether a grant is proved to stand. A read of the
	// store, which proves it, takes 4 ms.
	proofPause = 5 * time.Millisecond
	// tickEvery is the pace of decisions.
	tickEvery = 50 * time.Millisecond
	// failuresMost is the number of renewals in a row without an answer after which a server
	// is reported as failing.
	failuresMost = 2
	// failingTime is how long a server that is not tried any more counts as failing. It then
	// gets keys again, and loses them within a lease if it still does not answer.
	failingTime = 4 * time.Second
	// witnesses is the number of instances that must find a server failing before it loses its
	// keys: the first alone may have lost its own way to it.
	witnesses = 2
	// balanceEvery is the least time between two plans that only even out the load.
	balanceEvery = 700 * time.Millisecond
	// settleTime is how long the record that moves are complete may wait for others, or for a
	// plan that goes into the same record: the instances know it by message, and the leader
	// renews until it stands in the store. Should the leader be lost, the next one ends and
	// grants these moves again.
	settleTime = 2 * time.Second
	// gatherTime is how long no new server may come before keys are divided for the first time.
	// Servers that start together write their entries within a heartbeat of 0.9 seconds.
	gatherTime = time.Second
	// holdTime is how long servers keep their keys that seem lost while all instances of their
	// failure domain are silent as well: the domain is cut off rather than dead. Its servers go
	// on serving callers of their own domain, and a move could not be completed before the cut
	// ends or knowledgeTime is over. Without it each cut of six seconds moved a quarter of all keys
	// when it ended, and for four seconds half to four fifths of the requests were refused at the
	// other domains' servers while those of the domain had nothing to do. A domain that is lost for good costs
	// as much longer until its keys are served elsewhere.
	holdTime = 7500 * time.Millisecond
	// coldPower is what a server that has just started can do, as a part of what it will: it takes
	// twice as long for some seconds. Where servers are replaced, the keys of those that leave go
	// to the new ones at once, not first to others that are busy and then on.
	coldPower = 0.5
	// coldShare is the part of the requests a second that a cold server bears for which it gets keys: requests come
	// unevenly.
	coldShare = 0.8
	// registerSilence is how long an instance may be silent before its record is removed: longer
	// than holdTime, which looks at registered instances.
	registerSilence = 8 * time.Second
	// leftMost bounds the memory of servers that left.
	leftMost = 4096
)

// Grant is an order about keys. Lease and Handover do not matter in a release.
type Grant struct {
	From  uint16
	To    uint16
	Fence uint64
	Lease time.Duration
	// Handover is what the last owner gave out, so that the new one starts with its state.
	Handover string
}

// GrantCheck returns nil if a grant still stands after a connection for it was opened, else an error.
type GrantCheck func(ctx context.Context, openedAt clock.Instant) error

// LeaseClient sends orders to servers.
type LeaseClient interface {
	// Grant gives keys to a server. It names the server that is meant, and sends nothing on a
	// connection that has no Proof: a server that started anew has forgotten the fences that it
	// saw, and would take an old grant.
	Grant(ctx context.Context, to shard.Owner, g Grant, proven GrantCheck) error
	// Release ends a right. It returns, when the work in progress has ended, the handover for
	// the next owner.
	Release(ctx context.Context, to shard.Owner, g Grant) (string, error)
}

// View is what the holder knows of the owners of all services.
type View struct {
	// Maps holds the owners by service, Instances the register.
	Maps      map[string]*shard.Map
	Instances map[string]roster.Entry
	// End is the offset behind the newest record.
	End int64
}

// Deps is what a Holder needs.
type Deps struct {
	Name        string
	Domain      string
	LeaseClient LeaseClient
	Store       follow.Store
	// Topic is the topic of owners, and of the register of instances.
	Topic       string
	Incarnation uint64
	Clock       clock.Clock
	Roster      *roster.Roster
	Events      *event.Log
	// Servers returns the servers of the directory, by id, and Directory a number that changes whenever
	// they do; Services returns the divided services.
	Servers          func() map[string]rules.Server
	DirectoryVersion func() uint64
	Services         func() []string
	// TargetLatency returns the time within which requests of a service should be answered.
	TargetLatency func(service string) time.Duration
	// DirectoryAge returns how old the knowledge is that no entry of a server is missing. EntryTime is
	// how long after its start a server's entry may be missing. ReadDirectory asks for a new read.
	DirectoryAge  func() time.Duration
	EntryDelay    time.Duration
	ReadDirectory func()
	// Load returns the requests in a second by key, Powers what servers can do in a second.
	Load       func(service string) []float64
	Capacities func(service string) map[string]float64
	// LeadershipChanged is called when this instance begins or ceases to decide about owners.
	LeadershipChanged func(leads bool)
	// Tell tells the other instances of a record that was written, TellRegister of records of the register,
	// Settled of a range that has come to its new owner.
	BroadcastRegister func([]follow.Record)
	BroadcastOwners   func(service string, offset int64, fence uint64, changes []shard.Range)
	MoveCompleted     func(service string, from uint16, fence uint64)
	// RereadOwners asks for a new read of the topic of owners.
	RereadOwners func()
	// OwnersChanged is called when the owners have changed, Announce when peers should hear of what
	// this instance confirms.
	OwnersChanged func()
	SendHeartbeat func()
}
