package entry

import (
	"slices"
	"time"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/member"
)

// due returns the instances to which a heartbeat is due and marks them busy.
func (p *peers) due(now member.Time) []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.markBusy(p.membership.Handle(now, member.Ticked{}))
}

// markBusy returns whom the core wants to send to, but for those that have not answered yet.
func (p *peers) markBusy(effects []member.Effect) []*remote {
	var all []*remote
	for _, effect := range effects {
		send, is := effect.(member.Send)
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

// clearBusy notes that a heartbeat has ended.
func (p *peers) clearBusy(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.busy = false
}

// setLeading tells the core of membership whether this instance leads.
func (p *peers) setLeading(now member.Time, h InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ev := member.LedBy{Term: h.Term}
	if h.Leading {
		ev.Leader = p.process
	}
	p.membership.Handle(now, ev)
}

// leave tells the core that this instance is leaving and returns the others of the domain.
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

// applyList takes what the platform's list shows. It reports whether this process was removed.
func (p *peers) applyList(now member.Time, listed []member.ListedInstance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := false
	for _, effect := range p.membership.Handle(now, member.Listed{Instances: listed}) {
		_, is := effect.(member.Removed)
		removed = removed || is
	}
	return removed
}

// nextHeartbeat returns the next heartbeat for an instance. It carries own unless the instance has
// said that it has it.
func (p *peers) nextHeartbeat(now member.Time, to string, own InstanceState) Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	pulse := p.newHeartbeat(now, to, own)
	if r := p.known[to]; r != nil && r.knownStateID == pulse.StateID {
		pulse.State = nil
	}
	return pulse
}

// reply returns the answer to a pulse.
func (p *peers) reply(now member.Time, asked Heartbeat, own InstanceState) Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newHeartbeat(now, asked.Name, own).shorten(asked)
}

// newHeartbeat returns a whole pulse.
func (p *peers) newHeartbeat(now member.Time, to string, own InstanceState) Heartbeat {
	b := p.membership.Beat(now)
	pulse := Heartbeat{Name: own.Name, Count: b.Count, StateID: stateID(own), State: &own, Hearsay: b.Hearsay, NotHearing: true}
	r := p.known[to]
	if r == nil {
		return pulse
	}
	pulse.KnownStateID = r.stateID
	pulse.NotHearing = !slices.Contains(b.Direct, r.state.instance().Process)
	return pulse
}

// receive takes a pulse. It returns what its sender says of itself and whether that was not known
// before. Held is false if that is not known yet, or if the sender is not the process that has
// its name: one that was replaced or is gone.
func (p *peers) receive(now member.Time, pulse Heartbeat, answer bool) (h InstanceState, fresh, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pulse.Name == p.self.Name {
		return h, false, false
	}
	if r := p.known[pulse.Name]; r != nil {
		r.knownStateID = pulse.KnownStateID
	}
	h, found := p.resolveState(pulse)
	if !found {
		return h, false, false
	}
	p.membership.Handle(now, member.Heard{Beat: pulse.memberBeat(h, p.process), Answered: answer})
	if !p.membership.Holds(h.instance().Process) {
		return h, false, false
	}
	if pulse.State != nil {
		fresh = p.storeState(h, pulse)
	}
	r := p.known[h.Name]
	r.knownStateID, r.lastHeardAt = pulse.KnownStateID, time.Now()
	return h, fresh, true
}

// resolveState returns the Heartbeat that a pulse carries or stands for. One that stands for another
// than the last one known is of no use: its sender learns so by the number in the answer.
func (p *peers) resolveState(pulse Heartbeat) (InstanceState, bool) {
	if pulse.State != nil {
		return *pulse.State, pulse.State.Name == pulse.Name
	}
	r := p.known[pulse.Name]
	if r == nil || r.stateID != pulse.StateID {
		return InstanceState{}, false
	}
	return r.state, true
}

// storeState keeps what an instance says of itself, unless it has said newer things: pulses may
// overtake each other.
func (p *peers) storeState(h InstanceState, pulse Heartbeat) (fresh bool) {
	p.addLocked(config.Peer{
		Name:           h.Name,
		Domain:         h.Domain,
		PeerAddress:    h.PeerAddress,
		ForwardAddress: h.ForwardAddress,
	})
	r := p.known[h.Name]
	if r.state.Incarnation == h.Incarnation && pulse.Count <= r.heartbeatCount {
		return false
	}
	fresh = r.stateID != pulse.StateID
	r.state, r.stateID, r.heartbeatCount = h, pulse.StateID, pulse.Count
	return fresh
}
