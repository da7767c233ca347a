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

// stateIDBits is the size of a state ID, which keeps heartbeats short. Two successive states have
// the same ID once in 2^48 changes.
const stateIDBits = 48

// stateID returns the ID of a state, a hash that is never zero. It changes with a restart, because
// the incarnation is part of the state.
func stateID(s InstanceState) uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data)>>(64-stateIDBits) | 1
}

// instanceState returns the current state of this instance for heartbeats.
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
	s.Blocks = e.front.CrashRecords()
	slices.SortFunc(s.Blocks, compareBlocks)
	if core := e.leadership.heartbeat.Load(); core != nil {
		s.Leading, s.Term = core.Leading, core.Term
	}
	return s
}

func compareBlocks(a, b policy.CrashRecord) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

func (s InstanceState) memberInstance() member.Instance {
	return member.Instance{
		Process: member.Process{Name: s.Name, Incarnation: s.Incarnation},
		Domain:  s.Domain,
		Address: s.PeerAddress,
	}
}

// shorten removes from a result what the caller can infer from its request.
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

// restore adds what shorten has removed from a result. name is the instance that was called.
func (h Heartbeat) restore(request Heartbeat, name string) Heartbeat {
	if h.StateID == 0 {
		h.Name, h.StateID = name, request.KnownStateID
	}
	if h.KnownStateID == 0 && !h.StateMissing {
		h.KnownStateID = request.StateID
	}
	return h
}

// memberHeartbeat returns the heartbeat of a sender with state s as an input of the membership core.
// self is the process of the receiver.
func (h Heartbeat) memberHeartbeat(s InstanceState, self member.Process) member.Heartbeat {
	b := member.Heartbeat{
		Instance: s.memberInstance(),
		Count:    h.Count,
		Leaving:  s.Stopping,
		Term:     s.Term,
		Gossip:   h.Hearsay,
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
