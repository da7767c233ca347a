package replay

import "slices"

// leaderWindow is how near the loss of a server and of the leader must be for the successor
// not to know what the server held.
const leaderWindow = Time(1000)

// change counts what changes owner and for how long it cannot be served.
func (p *player) change(part *part, s *subject, t *tally, owners []int) {
	if owners == nil {
		owners = slices.Repeat([]int{unowned}, len(s.owners))
		if slices.Equal(owners, s.owners) {
			return
		}
		s.downSince = p.now
		s.ranges = nil
	}
	for k, o := range owners {
		was := s.owners[k]
		if was == o || p.now == 0 {
			continue
		}
		if o == unowned {
			t.forced++
			continue
		}
		p.move(part, s, t, k, was)
	}
	s.owners = owners
	s.stale = true
}

// move counts the change of owner of one key.
func (p *player) move(part *part, s *subject, t *tally, k, was int) {
	t.moved++
	millis := p.costs.planned()
	switch {
	case was == unowned:
		millis = float64(p.now-s.downSince) + p.costs.lost()
		t.lost += millis
		t.lapsed += millis
	case part.members[was].state == StateLost:
		t.forced++
		millis = p.lost(part)
		t.lost += millis
		t.lapsed += millis
	default:
		if part.members[was].state != StateUp {
			t.forced++
		}
		t.planned += millis
		t.lapsed += p.costs.lapse()
	}
	t.out(part.names[k], millis)
}

// lost returns for how long the ranges of a server lost now cannot be served.
func (p *player) lost(part *part) float64 {
	at, found := p.leaderAt[part.domain]
	if found && p.now-at <= leaderWindow {
		return p.costs.lostWithLeader(p.logDown)
	}
	return p.costs.lost()
}

// instance applies a change of an entry instance. The loss of a leader keeps ranges of live
// servers from being served only if it takes longer than their leases.
func (p *player) instance(ev Instance) {
	if ev.State != StateLost || !ev.Leading {
		return
	}
	p.leaderAt[ev.Domain] = p.now
	millis := p.costs.leaderLost(p.logDown)
	if millis == 0 {
		return
	}
	for i, part := range p.parts {
		if part.domain != ev.Domain {
			continue
		}
		for j, s := range p.subjects[i] {
			t := p.tallies[part.service][j]
			for k, o := range s.owners {
				if o != unowned {
					t.lost += millis
					t.lapsed += millis
					t.out(part.names[k], millis)
				}
			}
		}
	}
}
