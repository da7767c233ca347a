package entry

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/member"
	"example.org/mustardring/internal/policy"
)

// statedBits keeps the number that stands for a Heartbeat short on the wire. Two in sequence
// are taken for the same once in 2^48 changes.
const statedBits = 48

// stated returns the number that stands for a Heartbeat. It differs after a restart, because
// the incarnation is part of the Heartbeat, and is never zero.
func stated(h Heartbeat) uint64 {
	data, err := json.Marshal(h)
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data)>>(64-statedBits) | 1
}

// heartbeat returns what this instance says of itself now.
func (e *Entry) heartbeat() Heartbeat {
	view, stopping := e.state.snapshot()
	settings := e.deps.Settings
	h := Heartbeat{
		Name:           settings.Name,
		Domain:         settings.Domain,
		Incarnation:    e.deps.Incarnation,
		PeerAddress:    settings.PeerAddress,
		ForwardAddress: settings.ForwardAddress,
		Stopping:       stopping,
	}
	if view.Bundle != nil {
		h.BundleVersion = view.Bundle.Version
	}
	if view.Table != nil {
		h.TableTerm, h.TableSerial = view.Table.Term, view.Table.Serial
	}
	h.Blocks = e.front.CrashRecords()
	slices.SortFunc(h.Blocks, compareBlocks)
	if core := e.coreView.heartbeat.Load(); core != nil {
		h.Leading, h.Term = core.Leading, core.Term
	}
	return h
}

func compareBlocks(a, b policy.CrashRecord) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

func (h Heartbeat) instance() member.Instance {
	return member.Instance{
		Process: member.Process{Name: h.Name, Incarnation: h.Incarnation},
		Domain:  h.Domain,
		Address: h.PeerAddress,
	}
}

// shorten leaves out of a result what its caller can tell.
func (p Pulse) shorten(asked Pulse) Pulse {
	if p.Stated == asked.Knows {
		p.Name, p.Stated, p.Heartbeat = "", 0, nil
	}
	p.Lacks = p.Knows == 0
	if p.Knows == asked.Stated {
		p.Knows = 0
	}
	return p
}

// restore adds to a result what was left out of it.
func (p Pulse) restore(asked Pulse, name string) Pulse {
	if p.Stated == 0 {
		p.Name, p.Stated = name, asked.Knows
	}
	if p.Knows == 0 && !p.Lacks {
		p.Knows = asked.Stated
	}
	return p
}

// beat returns the heartbeat of the core of membership that a pulse with h stands for.
func (p Pulse) beat(h Heartbeat, self member.Process) member.Heartbeat {
	b := member.Heartbeat{
		Instance: h.instance(),
		Count:    p.Count,
		Leaving:  h.Stopping,
		Term:     h.Term,
		Gossip:   p.Hearsay,
	}
	if h.Leading {
		b.Leader = b.Process
	}
	if !p.Deaf {
		b.Direct = []member.Process{self}
	}
	return b
}

func peerHeard(h Heartbeat) leader.Heartbeat {
	return leader.Heartbeat{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		Leading:     h.Leading,
		Term:        h.Term,
		Leaving:     h.Stopping,
	}
}
