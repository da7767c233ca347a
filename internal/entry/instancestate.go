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

// stateIDBits keeps the number that stands for a Heartbeat short on the wire. Two in sequence
// are taken for the same once in 2^48 changes.
const stateIDBits = 48

// stateID returns the number that stands for a Heartbeat. It differs after a restart, because
// the incarnation is part of the Heartbeat, and is never zero.
func stateID(h InstanceState) uint64 {
	data, err := json.Marshal(h)
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data)>>(64-stateIDBits) | 1
}

// instanceState returns what this instance says of itself now.
func (e *Entry) instanceState() InstanceState {
	view, stopping := e.state.snapshot()
	settings := e.deps.Settings
	h := InstanceState{
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
	h.Blocks = e.front.Blocks()
	slices.SortFunc(h.Blocks, compareBlocks)
	if core := e.leadership.heartbeat.Load(); core != nil {
		h.Leading, h.Term = core.Leading, core.Term
	}
	return h
}

func compareBlocks(a, b policy.Block) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Print, b.Print))
}

func (h InstanceState) instance() member.Instance {
	return member.Instance{
		Process: member.Process{Name: h.Name, Incarnation: h.Incarnation},
		Domain:  h.Domain,
		Address: h.PeerAddress,
	}
}

// shorten leaves out of a result what its caller can tell.
func (p Heartbeat) shorten(asked Heartbeat) Heartbeat {
	if p.StateID == asked.KnownStateID {
		p.Name, p.StateID, p.State = "", 0, nil
	}
	p.StateMissing = p.KnownStateID == 0
	if p.KnownStateID == asked.StateID {
		p.KnownStateID = 0
	}
	return p
}

// restore adds to a result what was left out of it.
func (p Heartbeat) restore(asked Heartbeat, name string) Heartbeat {
	if p.StateID == 0 {
		p.Name, p.StateID = name, asked.KnownStateID
	}
	if p.KnownStateID == 0 && !p.StateMissing {
		p.KnownStateID = asked.StateID
	}
	return p
}

// memberBeat returns the heartbeat of the core of membership that a pulse with h stands for.
func (p Heartbeat) memberBeat(h InstanceState, self member.Process) member.Beat {
	b := member.Beat{
		Instance: h.instance(),
		Count:    p.Count,
		Leaving:  h.Stopping,
		Term:     h.Term,
		Hearsay:  p.Hearsay,
	}
	if h.Leading {
		b.Leader = b.Process
	}
	if !p.NotHearing {
		b.Direct = []member.Process{self}
	}
	return b
}

func leaderHeartbeat(h InstanceState) leader.Heartbeat {
	return leader.Heartbeat{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		Leading:     h.Leading,
		Term:        h.Term,
		Leaving:     h.Stopping,
	}
}
