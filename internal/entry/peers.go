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

// peers are the other instances that this one knows of, with a client for each. The core of
// membership decides which of them live and whom to send heartbeats to.
type peers struct {
	self   config.Run
	config *tls.Config
	meter  *meter.Control

	mu     sync.Mutex
	member *member.Core
	own    member.Process
	known  map[string]*remote
}

// remote is another instance.
type remote struct {
	config.Peer
	client *peer.Client
	// heartbeat is what it last said of itself, stated the number of that, and count that of the
	// pulse which said so.
	heartbeat Heartbeat
	stated    uint64
	count     uint64
	// knows is the number of this instance's Heartbeat that it last had.
	knows uint64
	// heardAt is when it was last heard; the zero time if never.
	heardAt time.Time
	// busy is true while a heartbeat to it is under way.
	busy     bool
	fetching atomic.Bool
}

func newPeers(self config.Run, incarnation uint64, tlsConfig *tls.Config, m *meter.Control) *peers {
	own := member.Process{Name: self.Name, Incarnation: incarnation}
	p := &peers{self: self, config: tlsConfig, meter: m, own: own, known: make(map[string]*remote)}
	p.member = member.New(member.Config{
		Self:                member.Instance{Process: own, Domain: self.Domain, Address: self.PeerAddress},
		HeartbeatInterval:   beatInDomain,
		CrossDomainInterval: beatElsewhere,
		HeartbeatTimeout:    silentInDomain,
		CrossDomainTimeout:  silentElsewhere,
		MaxFullMesh:         beatAll,
		ContactsPerDomain:   beatDelegates,
		ReplaceDelay:        beatPatience,
		MaxGossip:           beatHearsay,
	})
	for _, seed := range self.Peers {
		p.learn(seed)
	}
	return p
}

// learn adds an instance, or moves it to another address. The process at the new address is
// another one, so nothing known of the old process stands.
func (p *peers) learn(found config.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnLocked(found)
}

func (p *peers) learnLocked(found config.Peer) {
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
	p.known[found.Name] = &remote{Peer: found, client: peer.NewClient(found.PeerAddress, p.config, p.count)}
	p.member.Handle(0, member.Discovered{Instance: member.Instance{
		Process: member.Process{Name: found.Name},
		Domain:  found.Domain,
		Address: found.PeerAddress,
	}})
}

// count adds the bytes of a connection to another instance.
func (p *peers) count(in, out int) {
	p.meter.PeerBytesIn.Add(int64(in))
	p.meter.PeerBytesOut.Add(int64(out))
}

// client returns the client of an instance, or nil.
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

// liveInDomain returns the clients of the other live instances of this domain, in the order of
// their names.
func (p *peers) liveInDomain() []*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var clients []*peer.Client
	for _, l := range p.member.View().Live {
		if r := p.known[l.Name]; r != nil && accepts(l) {
			clients = append(clients, r.client)
		}
	}
	return clients
}

// accepts reports whether work may be sent to an instance. One that is known by hearsay only
// is beyond the direct contacts of a large domain.
func accepts(l member.LiveInstance) bool {
	return !l.Leaving && (l.Link == member.LinkBoth || l.Link == member.LinkNone)
}

// recentInDomain returns the clients of the other instances of this domain that were heard
// within the time for which what they remember may matter, in the order of their names.
func (p *peers) recentInDomain(now time.Time) []*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var clients []*peer.Client
	for _, name := range slices.Sorted(maps.Keys(p.known)) {
		r := p.known[name]
		if r.Domain == p.self.Domain && !r.heardAt.IsZero() && now.Before(r.heardAt.Add(recallAfter)) {
			clients = append(clients, r.client)
		}
	}
	return clients
}

// heardInDomain returns the processes of the other instances of this domain that were heard within the time
// for which what they remember may matter.
func (p *peers) heardInDomain(now time.Time) []Remembering {
	p.mu.Lock()
	defer p.mu.Unlock()
	var processes []Remembering
	for _, r := range p.known {
		if r.Domain == p.self.Domain && !r.heardAt.IsZero() && now.Before(r.heardAt.Add(recallAfter)) {
			processes = append(processes, r.heartbeat.remembering())
		}
	}
	return processes
}

// leader returns the client of the instance that leads this domain, or nil.
func (p *peers) leader() *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.known[p.member.View().Leader.Name]; r != nil {
		return r.client
	}
	return nil
}

func (p *peers) remote(name string) *remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// members returns the live instances, this one included, sorted by name.
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

// liveLocked returns the live instances of all domains but this one.
func (p *peers) liveLocked() []*remote {
	var all []*remote
	view := p.member.View()
	for _, l := range view.Live {
		if r := p.known[l.Name]; r != nil && accepts(l) {
			all = append(all, r)
		}
	}
	for _, d := range view.Domains {
		for _, i := range d.Reachable {
			if r := p.known[i.Name]; r != nil && !r.heartbeat.Stopping {
				all = append(all, r)
			}
		}
	}
	return all
}

// domains returns the other failure domains of which an instance was heard lately.
func (p *peers) domains() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var heard []string
	for _, d := range p.member.View().Domains {
		if len(d.Reachable) > 0 {
			heard = append(heard, d.Name)
		}
	}
	return heard
}

// versions returns the bundle versions in force by domain, sorted by domain. Own is that of
// this instance.
func (p *peers) versions(own uint64) []admin.DomainVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []admin.DomainVersion{{Domain: p.self.Domain, Lowest: own, Highest: own}}
	for _, r := range p.liveLocked() {
		version := r.heartbeat.BundleVersion
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

// call runs a method at an instance within a limit.
func call[P, R any](ctx context.Context, c *peer.Client, limit time.Duration, method peer.Method, params P) (R, error) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return peer.Call[P, R](bounded, c, method, params)
}
