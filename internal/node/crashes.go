package node

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/internal/worker"
)

// Quarantined implements edge.Cluster.
func (n *Node) Quarantined(print uint64) bool {
	return n.suspects.Quarantined(print, time.Now())
}

// crashProbeTimeout limits the check whether a server that lost a connection still accepts new ones.
const crashProbeTimeout = time.Second

// ReportCrash implements edge.Cluster. Servers also break off single responses, and this instance may have lost its path,
// so a lost connection counts as a crash only if no instance that is asked can open a new one.
func (n *Node) ReportCrash(print uint64, s rules.Server) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		c, err := n.dialer.DialServer(ctx, s.ID, s.Address)
		if err == nil {
			_ = c.Close()
			return
		}
		if !errors.Is(err, upstr.ErrUnreachable) {
			return
		}
		n.events.Record(event.StateChange, "server-lost-in-request", "print", print, "server", s.ID, "error", err)
		n.suspects.RecordCrash(print, s.ID, time.Now())
		n.broadcast(dgram.CrashReport{Fingerprint: print, Server: s.ID})
	}()
}

// ClearSuspicion implements edge.Cluster.
func (n *Node) ClearSuspicion(print uint64) {
	if n.suspects.Clear(print, time.Now()) {
		n.broadcast(dgram.CrashReport{Fingerprint: print, Cleared: true})
	}
}

// handleCrashReport records what another instance has seen of a request that may crash servers.
func (n *Node) handleCrashReport(m dgram.CrashReport) {
	now := time.Now()
	n.suspects.Merge([]edge.Crash{{Fingerprint: m.Fingerprint, Server: m.Server, Cleared: m.Cleared, At: now}}, now)
}

// Crashes are reported once, which misses an instance that starts later or is cut off. Each instance therefore asks one other
// at a time for what it does not know, the sooner the shorter it runs.
const (
	firstCrashQueryDelay = 50 * time.Millisecond
	crashQueryInterval   = time.Second
)

// queryCrashesLoop asks other instances, chosen at random, for the crashes that they know, until the context ends.
func (n *Node) queryCrashesLoop(ctx context.Context) error {
	delay := firstCrashQueryDelay
	for worker.Sleep(ctx, delay) {
		if n.queryCrashes() {
			delay = min(2*delay, crashQueryInterval)
		}
	}
	return ctx.Err()
}

// queryCrashes asks one other instance, and returns false if none is known to be alive.
func (n *Node) queryCrashes() bool {
	now := time.Now()
	alive := n.roster.Alive(now)
	for _, i := range rand.Perm(len(alive)) {
		if to, ok := peerAddress(alive[i]); ok && alive[i].Name != n.settings.Name {
			n.port.Send(to, dgram.CrashQuery{Known: digestOf(n.suspects.Recent(now))})
			return true
		}
	}
	return false
}

// digestOf returns a number that is the same at instances that know the same crashes, in whatever order.
func digestOf(crashes []edge.Crash) uint64 {
	sum := uint64(0)
	for _, c := range crashes {
		h := fnv.New64a()
		var print [8]byte
		binary.LittleEndian.PutUint64(print[:], c.Fingerprint)
		_, _ = h.Write(print[:])
		if !c.Cleared {
			_, _ = h.Write([]byte(c.Server))
		}
		sum += h.Sum64()
	}
	return sum
}

// handleCrashQuery tells another instance the crashes that this one knows, if they differ.
func (n *Node) handleCrashQuery(from netip.AddrPort, m dgram.CrashQuery) {
	now := time.Now()
	crashes := n.suspects.Recent(now)
	if len(crashes) == 0 || digestOf(crashes) == m.Known {
		return
	}
	history := dgram.CrashHistory{}
	for _, c := range crashes {
		history.Reports = append(history.Reports, dgram.CrashReport{Fingerprint: c.Fingerprint, Server: c.Server, Cleared: c.Cleared})
		history.AgesMs = append(history.AgesMs, int(now.Sub(c.At).Milliseconds()))
	}
	n.port.Send(from, history)
}

// handleCrashHistory adds the crashes that another instance knows.
func (n *Node) handleCrashHistory(from netip.AddrPort, m dgram.CrashHistory) {
	if len(m.Reports) != len(m.AgesMs) {
		n.events.Record(event.StateChange, "message-malformed", "from", from, "error", "crashes without their ages")
		return
	}
	now := time.Now()
	crashes := make([]edge.Crash, 0, len(m.Reports))
	for i, r := range m.Reports {
		age := time.Duration(min(max(m.AgesMs[i], 0), math.MaxInt32)) * time.Millisecond
		crashes = append(crashes, edge.Crash{Fingerprint: r.Fingerprint, Server: r.Server, Cleared: r.Cleared, At: now.Add(-age)})
	}
	if learned := n.suspects.Merge(crashes, now); learned > 0 {
		n.events.Record(event.StateChange, "crashes-learned", "from", from, "told", len(crashes), "new", learned)
	}
}
