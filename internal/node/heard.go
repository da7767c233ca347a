package node

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

const (
	// maxHeardPeers is the number of instances that are remembered from their heartbeats.
	maxHeardPeers = 16
	// maxHeardAge is how long an instance is remembered after its last heartbeat.
	maxHeardAge = 5 * time.Second
)

// heardPeers holds instances that have sent heartbeats to this one before it knew the register, which states their
// addresses. They know topics that this instance lacks. Its methods are safe for concurrent use.
type heardPeers struct {
	mu    sync.Mutex
	peers map[string]heardPeer
}

// heardPeer is an instance that was heard.
type heardPeer struct {
	address string
	// ends holds the ends of the topics that the instance knows, by topic.
	ends    map[string]logpos.Pos
	heardAt time.Time
}

func newHeardPeers() *heardPeers { return &heardPeers{peers: map[string]heardPeer{}} }

// record remembers an instance by its name, in place of the one that was heard longest ago if there are too many.
func (hp *heardPeers) record(name string, p heardPeer) {
	hp.mu.Lock()
	defer hp.mu.Unlock()
	if _, known := hp.peers[name]; !known && len(hp.peers) >= maxHeardPeers {
		oldest := ""
		for other, o := range hp.peers {
			if oldest == "" || o.heardAt.Before(hp.peers[oldest].heardAt) {
				oldest = other
			}
		}
		delete(hp.peers, oldest)
	}
	hp.peers[name] = p
}

// sources returns the addresses of the instances that know a topic up to an end, in random order: instances that start
// together hear the same ones.
func (hp *heardPeers) sources(topic string, minEnd logpos.Pos, now time.Time) []string {
	hp.mu.Lock()
	defer hp.mu.Unlock()
	var out []string
	for _, p := range hp.peers {
		if end := p.ends[topic]; end > 0 && end >= minEnd && now.Sub(p.heardAt) <= maxHeardAge {
			out = append(out, p.address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxSources)]
}

// noteHeard remembers the sender of a heartbeat while this instance does not know all topics yet.
func (n *Node) noteHeard(from netip.AddrPort, h roster.Heartbeat) {
	if n.knowsAllTopics() {
		return
	}
	n.heard.record(h.Name, heardPeer{address: from.String(), heardAt: time.Now(), ends: map[string]logpos.Pos{
		n.platform.OwnersTopic: h.Known, n.platform.ConfigTopic: h.ConfigEnd, n.platform.ServersTopic: h.ServersEnd,
	}})
}

// knowsAllTopics reports whether this instance has ever known each topic.
func (n *Node) knowsAllTopics() bool {
	if n.topicsKnown.Load() {
		return true
	}
	for topic := range n.watches {
		if _, known := n.topicEnd(topic); !known {
			return false
		}
	}
	n.topicsKnown.Store(true)
	return true
}
