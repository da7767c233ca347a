package entry

import (
	"context"
	"crypto/tls"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/admin"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/member"
	"example.org/mustardring/internal/meter"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/route"
)

// peers are the other instances that this one knows of, with a client for each. The membership core
// decides which of them are live and which ones get heartbeats.
type peers struct {
	// self are the settings of this instance, and process its current process.
	self      config.Run
	tlsConfig *tls.Config
	meter     *meter.Counters

	mu         sync.Mutex
	membership *member.Core
	process    member.Process
	// known has the other instances by name.
	known map[string]*remote
}

// remote is another instance and what is known of it.
type remote struct {
	config.Peer
	client *peer.Client
	// state is the last known state, stateID its ID, and heartbeatCount the count of the heartbeat
	// that carried it.
	state          InstanceState
	stateID        uint64
	heartbeatCount uint64
	// knownStateID is the ID of this instance's state that the remote instance has, zero for none.
	knownStateID uint64
	// lastHeardAt is when its last heartbeat or answer arrived, zero if none did.
	lastHeardAt time.Time
	// busy is true while a heartbeat to it is under way.
	busy bool
	// fetching is true while a bundle or routing table is being fetched from it.
	fetching atomic.Bool
}

func newPeers(self config.Run, incarnation uint64, tlsConfig *tls.Config, m *meter.Counters) *peers {
	own := member.Process{Name: self.Name, Incarnation: incarnation}
	p := &peers{self: self, tlsConfig: tlsConfig, meter: m, process: own, known: make(map[string]*remote)}
	p.membership = member.New(member.Config{
		Self:                member.Instance{Process: own, Domain: self.Domain, Address: self.PeerAddress},
		HeartbeatInterval:   heartbeatInterval,
		CrossDomainInterval: heartbeatIntervalOutside,
		HeartbeatTimeout:    unreachableAfter,
		CrossDomainTimeout:  unreachableAfterOutside,
		MaxFullMesh:         maxFullMesh,
		ContactsPerDomain:   maxDelegates,
		ReplaceDelay:        listedNameTimeout,
		MaxGossip:           maxGossip,
	})
	for _, seed := range self.Peers {
		p.add(seed)
	}
	return p
}

// add adds an instance or changes its address. The process at the new address is a different one,
// so everything known of the old process is dropped.
func (p *peers) add(found config.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLocked(found)
}

// addLocked is add for callers that hold p.mu.
func (p *peers) addLocked(found config.Peer) {
	if found.Name == "" || found.Name == p.self.Name {
		return
	}
	old, known := p.known[found.Name]
	if known && old.Peer == found {
		return
	}
	if known {
		go old.client.Close()
	}
	p.known[found.Name] = &remote{Peer: found, client: peer.NewClient(found.PeerAddress, p.tlsConfig, p.countBytes)}
	p.membership.Handle(0, member.Discovered{Instance: member.Instance{
		Process: member.Process{Name: found.Name},
		Domain:  found.Domain,
		Address: found.PeerAddress,
	}})
}

// countBytes counts bytes received from and sent to other instances.
func (p *peers) countBytes(in, out int) {
	p.meter.PeerBytesIn.Add(int64(in))
	p.meter.PeerBytesOut.Add(int64(out))
}

// client returns the client of an instance, or nil if the instance is not known.
func (p *peers) client(name string) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, known := p.known[name]; known {
		return r.client
	}
	return nil
}

// inDomain returns the clients of the other instances of this domain by name.
func (p *peers) inDomain() map[string]*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	clients := make(map[string]*peer.Client)
	for name, r := range p.known {
		if r.Domain == p.self.Domain {
			clients[name] = r.client
		}
	}
	return clients
}

// liveInDomain returns the clients of the other instances of this domain that are live and accept
// work, in the order of their names.
func (p *peers) liveInDomain() []*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var clients []*peer.Client
	for _, l := range p.membership.View().Live {
		if r := p.known[l.Name]; r != nil && acceptsWork(l) {
			clients = append(clients, r.client)
		}
	}
	return clients
}

// acceptsWork reports whether work may be sent to an instance: it is not leaving, and heartbeats with
// it succeed in both directions. LinkNone is accepted as well: in a large domain most instances are
// not in direct contact and are known to be live only from the heartbeats of others.
func acceptsWork(l member.LiveInstance) bool {
	return !l.Leaving && (l.Link == member.LinkBoth || l.Link == member.LinkNone)
}

// recentInDomain returns the clients of the other instances of this domain, in the order of their
// names, whose last heartbeat or answer arrived within recoveryWindow: their records may still be
// needed.
func (p *peers) recentInDomain(now time.Time) []*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var clients []*peer.Client
	for _, name := range slices.Sorted(maps.Keys(p.known)) {
		r := p.known[name]
		if r.Domain == p.self.Domain && !r.lastHeardAt.IsZero() && now.Before(r.lastHeardAt.Add(recoveryWindow)) {
			clients = append(clients, r.client)
		}
	}
	return clients
}

// recordHolders returns the processes of the instances that recentInDomain returns.
func (p *peers) recordHolders(now time.Time) []RecordHolder {
	p.mu.Lock()
	defer p.mu.Unlock()
	var processes []RecordHolder
	for _, r := range p.known {
		if r.Domain == p.self.Domain && !r.lastHeardAt.IsZero() && now.Before(r.lastHeardAt.Add(recoveryWindow)) {
			processes = append(processes, r.state.recordHolder())
		}
	}
	return processes
}

// leader returns the client of the instance that leads this domain, or nil if it is not known.
func (p *peers) leader() *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.known[p.membership.View().Leader.Name]; r != nil {
		return r.client
	}
	return nil
}

func (p *peers) remote(name string) *remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// members returns the live instances of all domains, including this instance, sorted by name.
func (p *peers) members() []route.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []route.Member{{Name: p.self.Name, Domain: p.self.Domain, Address: p.self.ForwardAddress}}
	for _, r := range p.liveLocked() {
		all = append(all, route.Member{Name: r.Name, Domain: r.Domain, Address: r.ForwardAddress})
	}
	slices.SortFunc(all, func(a, b route.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// liveLocked returns the other live instances of all domains. The caller holds p.mu.
func (p *peers) liveLocked() []*remote {
	var all []*remote
	view := p.membership.View()
	for _, l := range view.Live {
		if r := p.known[l.Name]; r != nil && acceptsWork(l) {
			all = append(all, r)
		}
	}
	for _, d := range view.Domains {
		for _, i := range d.Reachable {
			if r := p.known[i.Name]; r != nil && !r.state.Stopping {
				all = append(all, r)
			}
		}
	}
	return all
}

// reachableDomains returns the other failure domains with a reachable instance.
func (p *peers) reachableDomains() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reachable []string
	for _, d := range p.membership.View().Domains {
		if len(d.Reachable) > 0 {
			reachable = append(reachable, d.Name)
		}
	}
	return reachable
}

// bundleVersions returns the lowest and highest bundle version in force in each domain, sorted by
// domain. own is the version of this instance.
func (p *peers) bundleVersions(own uint64) []admin.DomainVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []admin.DomainVersion{{Domain: p.self.Domain, Lowest: own, Highest: own}}
	for _, r := range p.liveLocked() {
		version := r.state.BundleVersion
		i := slices.IndexFunc(all, func(v admin.DomainVersion) bool { return v.Domain == r.Domain })
		if i < 0 {
			all = append(all, admin.DomainVersion{Domain: r.Domain, Lowest: version, Highest: version})
			continue
		}
		all[i].Lowest = min(all[i].Lowest, version)
		all[i].Highest = max(all[i].Highest, version)
	}
	slices.SortFunc(all, func(a, b admin.DomainVersion) int { return strings.Compare(a.Domain, b.Domain) })
	return all
}

// call calls a method of another instance with a timeout.
func call[P, R any](ctx context.Context, c *peer.Client, timeout time.Duration, method peer.Method, params P) (R, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[P, R](bounded, c, method, params)
}
