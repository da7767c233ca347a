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
	return p.take(p.member.Handle(now, member.Ticked{}))
}

// take returns whom the core wants to send to, but for those that have not answered yet.
func (p *peers) take(effects []member.Effect) []*remote {
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

// ended notes that a heartbeat has ended.
func (p *peers) ended(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.busy = false
}

// led tells the core of membership whether this instance leads.
func (p *peers) led(now member.Time, h Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ev := member.LeaderReported{Term: h.Term}
	if h.Leading {
		ev.Leader = p.own
	}
	p.member.Handle(now, ev)
}

// stop tells the core that this instance is leaving and returns the others of the domain.
func (p *peers) stop(now member.Time) []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member.Handle(now, member.Stopping{})
	var all []*remote
	for _, r := range p.known {
		if r.Domain == p.self.Domain {
			all = append(all, r)
		}
	}
	return all
}

// list takes what the platform's list shows. It reports whether this process was removed.
func (p *peers) list(now member.Time, listed []member.ListedInstance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := false
	for _, effect := range p.member.Handle(now, member.InstancesListed{Instances: listed}) {
		_, is := effect.(member.Removed)
		removed = removed || is
	}
	return removed
}

// pulse returns the next heartbeat for an instance. It carries own unless the instance has
// said that it has it.
func (p *peers) pulse(now member.Time, to string, own Heartbeat) Pulse {
	p.mu.Lock()
	defer p.mu.Unlock()
	pulse := p.fill(now, to, own)
	if r := p.known[to]; r != nil && r.knows == pulse.Stated {
		pulse.Heartbeat = nil
	}
	return pulse
}

// reply returns the answer to a pulse.
func (p *peers) reply(now member.Time, asked Pulse, own Heartbeat) Pulse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fill(now, asked.Name, own).shorten(asked)
}

// fill returns a whole pulse.
func (p *peers) fill(now member.Time, to string, own Heartbeat) Pulse {
	b := p.member.NextHeartbeat(now)
	pulse := Pulse{Name: own.Name, Count: b.Count, Stated: stated(own), Heartbeat: &own, Hearsay: b.Gossip, Deaf: true}
	r := p.known[to]
	if r == nil {
		return pulse
	}
	pulse.Knows = r.stated
	pulse.Deaf = !slices.Contains(b.Direct, r.heartbeat.instance().Process)
	return pulse
}

// hear takes a pulse. It returns what its sender says of itself and whether that was not known
// before. Held is false if that is not known yet, or if the sender is not the process that has
// its name: one that was replaced or is gone.
func (p *peers) hear(now member.Time, pulse Pulse, answer bool) (h Heartbeat, fresh, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pulse.Name == p.self.Name {
		return h, false, false
	}
	if r := p.known[pulse.Name]; r != nil {
		r.knows = pulse.Knows
	}
	h, found := p.resolve(pulse)
	if !found {
		return h, false, false
	}
	p.member.Handle(now, member.HeartbeatReceived{Heartbeat: pulse.beat(h, p.own), IsReply: answer})
	if !p.member.IsCurrent(h.instance().Process) {
		return h, false, false
	}
	if pulse.Heartbeat != nil {
		fresh = p.note(h, pulse)
	}
	r := p.known[h.Name]
	r.knows, r.heardAt = pulse.Knows, time.Now()
	return h, fresh, true
}

// resolve returns the Heartbeat that a pulse carries or stands for. One that stands for another
// than the last one known is of no use: its sender learns so by the number in the answer.
func (p *peers) resolve(pulse Pulse) (Heartbeat, bool) {
	if pulse.Heartbeat != nil {
		return *pulse.Heartbeat, pulse.Heartbeat.Name == pulse.Name
	}
	r := p.known[pulse.Name]
	if r == nil || r.stated != pulse.Stated {
		return Heartbeat{}, false
	}
	return r.heartbeat, true
}

// note keeps what an instance says of itself, unless it has said newer things: pulses may
// overtake each other.
func (p *peers) note(h Heartbeat, pulse Pulse) (fresh bool) {
	p.learnLocked(config.Peer{
		Name:           h.Name,
		Domain:         h.Domain,
		PeerAddress:    h.PeerAddress,
		ForwardAddress: h.ForwardAddress,
	})
	r := p.known[h.Name]
	if r.heartbeat.Incarnation == h.Incarnation && pulse.Count <= r.count {
		return false
	}
	fresh = r.stated != pulse.Stated
	r.heartbeat, r.stated, r.count = h, pulse.Stated, pulse.Count
	return fresh
}
