package entry

import (
	"context"
	"crypto/tls"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/internal/admin"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/meter"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
)

// peers are the other instances that this one knows of, with a client for each.
type peers struct {
	self   config.Run
	config *tls.Config
	meter  *meter.Control

	mu    sync.Mutex
	known map[string]*remote
}

// remote is another instance.
type remote struct {
	config.Peer
	client *peer.Client
	// answeredAt is when it last answered a heartbeat, which proves that the link works both
	// ways; the zero time if never.
	answeredAt  time.Time
	incarnation uint64
	version     uint64
	leading     bool
	term        grant.Term
	stopping    bool
	// busy is true while a heartbeat to it is under way.
	busy bool
	// nextAt is when the next heartbeat is due.
	nextAt time.Time
}

func newPeers(self config.Run, tlsConfig *tls.Config, m *meter.Control) *peers {
	p := &peers{self: self, config: tlsConfig, meter: m, known: make(map[string]*remote)}
	for _, seed := range self.Peers {
		p.learn(seed)
	}
	return p
}

// learn adds an instance, or moves it to another address. The process at the new address is
// another one, so nothing known of the old process stands.
func (p *peers) learn(found config.Peer) {
	if found.Name == "" || found.Name == p.self.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.known[found.Name]
	if known && old.Peer == found {
		return
	}
	if known {
		old.client.Close()
	}
	p.known[found.Name] = &remote{Peer: found, client: peer.NewClient(found.PeerAddress, p.config, p.count)}
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

// liveInDomain returns the clients of the other instances of this domain that answered
// lately, in the order of their names.
func (p *peers) liveInDomain(now time.Time) []*peer.Client {
	return p.selectClients(func(r *remote) bool { return r.live(now, p.self.Domain) })
}

// recentInDomain returns the clients of the other instances of this domain that answered
// within the time for which what they remember may matter, in the order of their names.
func (p *peers) recentInDomain(now time.Time) []*peer.Client {
	return p.selectClients(func(r *remote) bool {
		return !r.answeredAt.IsZero() && now.Before(r.answeredAt.Add(recallAfter))
	})
}

func (p *peers) selectClients(accept func(*remote) bool) []*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*remote
	for _, r := range p.known {
		if r.Domain == p.self.Domain && accept(r) {
			chosen = append(chosen, r)
		}
	}
	slices.SortFunc(chosen, func(a, b *remote) int { return strings.Compare(a.Name, b.Name) })
	clients := make([]*peer.Client, 0, len(chosen))
	for _, r := range chosen {
		clients = append(clients, r.client)
	}
	return clients
}

// leader returns the client of the instance of this domain that leads in the highest term, or
// nil.
func (p *peers) leader() *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found *remote
	for _, r := range p.known {
		if r.Domain != p.self.Domain || !r.leading {
			continue
		}
		if found == nil || found.term.Compare(r.term) < 0 {
			found = r
		}
	}
	if found == nil {
		return nil
	}
	return found.client
}

// members returns the instances that answered lately, this one included, sorted by name.
func (p *peers) members(now time.Time) []route.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []route.Member{{Name: p.self.Name, Domain: p.self.Domain, Address: p.self.ForwardAddress}}
	for _, r := range p.known {
		if r.live(now, p.self.Domain) {
			all = append(all, route.Member{Name: r.Name, Domain: r.Domain, Address: r.ForwardAddress})
		}
	}
	slices.SortFunc(all, func(a, b route.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// domains returns the other failure domains of which an instance answered lately.
func (p *peers) domains(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var heard []string
	for _, r := range p.known {
		if r.Domain != p.self.Domain && r.live(now, p.self.Domain) {
			heard = append(heard, r.Domain)
		}
	}
	slices.Sort(heard)
	return slices.Compact(heard)
}

func (r *remote) live(now time.Time, domain string) bool {
	limit := silentInDomain
	if r.Domain != domain {
		limit = silentElsewhere
	}
	return !r.stopping && !r.answeredAt.IsZero() && now.Before(r.answeredAt.Add(limit))
}

// due returns the instances to which a heartbeat is due and marks them busy.
func (p *peers) due(now time.Time) []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*remote
	for _, r := range p.known {
		if r.busy || now.Before(r.nextAt) {
			continue
		}
		r.busy = true
		r.nextAt = now.Add(periodFor(r.Domain == p.self.Domain))
		all = append(all, r)
	}
	return all
}

// answered notes the result of a heartbeat, nil if there was none.
func (p *peers) answered(r *remote, now time.Time, result *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.busy = false
	if result == nil {
		return
	}
	r.answeredAt = now
	r.incarnation = result.Incarnation
	r.stopping = result.Stopping
	r.version = result.BundleVersion
	r.leading, r.term = result.Leading, result.Term
}

// versions returns the bundle versions in force by domain, sorted by domain. Own is that of
// this instance.
func (p *peers) versions(now time.Time, own uint64) []admin.DomainVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []admin.DomainVersion{{Domain: p.self.Domain, Lowest: own, Highest: own}}
	for _, r := range p.known {
		if !r.live(now, p.self.Domain) {
			continue
		}
		i := slices.IndexFunc(all, func(v admin.DomainVersion) bool { return v.Domain == r.Domain })
		if i < 0 {
			all = append(all, admin.DomainVersion{Domain: r.Domain, Lowest: r.version, Highest: r.version})
			continue
		}
		all[i].Lowest = min(all[i].Lowest, r.version)
		all[i].Highest = max(all[i].Highest, r.version)
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
