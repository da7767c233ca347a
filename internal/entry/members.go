package entry

import (
	"slices"
	"time"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/member"
)

// due returns the instances to which a heartbeat is due, and marks them busy.
func (p *peers) due(now member.Time) []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.markBusy(p.membership.Handle(now, member.Ticked{}))
}

// markBusy marks busy and returns the instances to which the membership core sends, except those
// with a heartbeat still under way.
func (p *peers) markBusy(effects []member.Effect) []*remote {
	var all []*remote
	for _, effect := range effects {
		send, is := effect.(member.SendHeartbeat)
		if !is {
			continue
		}
		if r := p.known[send.To.Name]; r != nil && !r.busy {
			r.busy = true
			all = append(all, r)
		}
	}
	return all
}

// clearBusy notes that the heartbeat to an instance has ended.
func (p *peers) clearBusy(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.busy = false
}

// setLeading tells the membership core whether this instance leads, from its state s.
func (p *peers) setLeading(now member.Time, s InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ev := member.LeaderReported{Term: s.Term}
	if s.Leading {
		ev.Leader = p.process
	}
	p.membership.Handle(now, ev)
}

// leave tells the membership core that this instance is leaving and returns the other instances
// of the domain.
func (p *peers) leave(now member.Time) []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.membership.Handle(now, member.Stopping{})
	var all []*remote
	for _, r := range p.known {
		if r.Domain == p.self.Domain {
			all = append(all, r)
		}
	}
	return all
}

// applyList passes the platform's list to the membership core. It reports whether this process was
// removed from the list.
func (p *peers) applyList(now member.Time, listed []member.ListedInstance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := false
	for _, effect := range p.membership.Handle(now, member.InstancesListed{Instances: listed}) {
		_, is := effect.(member.Removed)
		removed = removed || is
	}
	return removed
}

// nextHeartbeat returns the next heartbeat for an instance. It carries own, the state of this
// instance, unless the receiver has reported that it has it.
func (p *peers) nextHeartbeat(now member.Time, to string, own InstanceState) Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.newHeartbeat(now, to, own)
	if r := p.known[to]; r != nil && r.knownStateID == h.StateID {
		h.State = nil
	}
	return h
}

// reply returns the answer to a heartbeat.
func (p *peers) reply(now member.Time, request Heartbeat, own InstanceState) Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newHeartbeat(now, request.Name, own).shorten(request)
}

// newHeartbeat returns a heartbeat with all its fields.
func (p *peers) newHeartbeat(now member.Time, to string, own InstanceState) Heartbeat {
	b := p.membership.NextHeartbeat(now)
	h := Heartbeat{Name: own.Name, Count: b.Count, StateID: stateID(own), State: &own, Hearsay: b.Gossip, NotHearing: true}
	r := p.known[to]
	if r == nil {
		return h
	}
	h.KnownStateID = r.stateID
	h.NotHearing = !slices.Contains(b.Direct, r.state.memberInstance().Process)
	return h
}

// receive handles a heartbeat or the answer to one. It returns the state of the sender and whether
// that state is new. accepted is false if the state is not known yet, or if the sender is not the
// current process of its name because it was replaced or is gone.
func (p *peers) receive(now member.Time, h Heartbeat, isAnswer bool) (s InstanceState, isNew, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.Name == p.self.Name {
		return s, false, false
	}
	if r := p.known[h.Name]; r != nil {
		r.knownStateID = h.KnownStateID
	}
	s, found := p.resolveState(h)
	if !found {
		return s, false, false
	}
	p.membership.Handle(now, member.HeartbeatReceived{Heartbeat: h.memberHeartbeat(s, p.process), IsReply: isAnswer})
	if !p.membership.IsCurrent(s.memberInstance().Process) {
		return s, false, false
	}
	if h.State != nil {
		isNew = p.storeState(s, h)
	}
	r := p.known[s.Name]
	r.knownStateID, r.lastHeardAt = h.KnownStateID, time.Now()
	return s, isNew, true
}

// resolveState returns the state that a heartbeat carries, or that its StateID refers to. It returns
// false if the StateID is not that of the last known state. The sender learns this from the
// KnownStateID in the answer and sends its whole state.
func (p *peers) resolveState(h Heartbeat) (InstanceState, bool) {
	if h.State != nil {
		return *h.State, h.State.Name == h.Name
	}
	r := p.known[h.Name]
	if r == nil || r.stateID != h.StateID {
		return InstanceState{}, false
	}
	return r.state, true
}

// storeState stores the state of an instance unless a newer one is known, since heartbeats may
// overtake each other. It reports whether the state differs from the last known one.
func (p *peers) storeState(s InstanceState, h Heartbeat) (isNew bool) {
	p.addLocked(config.Peer{
		Name:           s.Name,
		Domain:         s.Domain,
		PeerAddress:    s.PeerAddress,
		ForwardAddress: s.ForwardAddress,
	})
	r := p.known[s.Name]
	if r.state.Incarnation == s.Incarnation && h.Count <= r.heartbeatCount {
		return false
	}
	isNew = r.stateID != h.StateID
	r.state, r.stateID, r.heartbeatCount = s, h.StateID, h.Count
	return isNew
}
