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
func stateID(s InstanceState) uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data)>>(64-stateIDBits) | 1
}

// instanceState returns what this instance says of itself now.
func (e *Entry) instanceState() InstanceState {
	view, stopping := e.state.snapshot()
	settings := e.deps.Settings
	s := InstanceState{
		Name:           settings.Name,
		Domain:         settings.Domain,
		Incarnation:    e.deps.Incarnation,
		PeerAddress:    settings.PeerAddress,
		ForwardAddress: settings.ForwardAddress,
		Stopping:       stopping,
	}
	if view.Bundle != nil {
		s.BundleVersion = view.Bundle.Version
	}
	if view.Table != nil {
		s.TableTerm, s.TableSerial = view.Table.Term, view.Table.Serial
	}
	s.Blocks = e.front.Blocks()
	slices.SortFunc(s.Blocks, compareBlocks)
	if core := e.leadership.heartbeat.Load(); core != nil {
		s.Leading, s.Term = core.Leading, core.Term
	}
	return s
}

func compareBlocks(a, b policy.Block) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Print, b.Print))
}

func (s InstanceState) memberInstance() member.Instance {
	return member.Instance{
		Process: member.Process{Name: s.Name, Incarnation: s.Incarnation},
		Domain:  s.Domain,
		Address: s.PeerAddress,
	}
}

// shorten leaves out of a result what its caller can tell.
func (h Heartbeat) shorten(request Heartbeat) Heartbeat {
	if h.StateID == request.KnownStateID {
		h.Name, h.StateID, h.State = "", 0, nil
	}
	h.StateMissing = h.KnownStateID == 0
	if h.KnownStateID == request.StateID {
		h.KnownStateID = 0
	}
	return h
}

// restore adds to a result what was left out of it.
func (h Heartbeat) restore(request Heartbeat, name string) Heartbeat {
	if h.StateID == 0 {
		h.Name, h.StateID = name, request.KnownStateID
	}
	if h.KnownStateID == 0 && !h.StateMissing {
		h.KnownStateID = request.StateID
	}
	return h
}

// memberBeat returns the heartbeat of the core of membership that a pulse with s stands for.
func (h Heartbeat) memberBeat(s InstanceState, self member.Process) member.Beat {
	b := member.Beat{
		Instance: s.memberInstance(),
		Count:    h.Count,
		Leaving:  s.Stopping,
		Term:     s.Term,
		Hearsay:  h.Hearsay,
	}
	if s.Leading {
		b.Leader = b.Process
	}
	if !h.NotHearing {
		b.Direct = []member.Process{self}
	}
	return b
}

func leaderHeartbeat(s InstanceState) leader.Heartbeat {
	return leader.Heartbeat{
		Name:        s.Name,
		Incarnation: s.Incarnation,
		Leading:     s.Leading,
		Term:        s.Term,
		Leaving:     s.Stopping,
	}
}
