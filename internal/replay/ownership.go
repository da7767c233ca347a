package replay

import "slices"

// leaderLossWindow is the maximum time from the loss of a leader to the loss of a server for
// which the next leader does not know which ranges the server owned.
const leaderLossWindow = Time(1000)

// applyOwners makes owners the owners of the keys of a part under one method, and adds each
// change of owner to the totals. If owners is nil, no server accepts keys and all keys become
// unowned. The first placement, at time zero, is not counted.
func (p *player) applyOwners(part *domainPart, s *methodState, t *totals, owners []int) {
	if owners == nil {
		owners = slices.Repeat([]int{unowned}, len(s.owners))
		if slices.Equal(owners, s.owners) {
			return
		}
		s.unownedSince = p.now
		s.ranges = nil
	}
	for k, o := range owners {
		previous := s.owners[k]
		if previous == o || p.now == 0 {
			continue
		}
		if o == unowned {
			t.keysForced++
			continue
		}
		p.addMove(part, s, t, k, previous)
	}
	s.owners = owners
	s.imbalanceStale = true
}

// addMove adds the move of key k away from its previous owner to the totals, with the time for
// which the key cannot be served. The move is forced if that owner is lost or leaving. If the key
// was unowned, the move was already counted as forced when the key lost its owner.
func (p *player) addMove(part *domainPart, s *methodState, t *totals, k, previous int) {
	t.keysMoved++
	millis := p.costs.plannedMove()
	switch {
	case previous == unowned:
		millis = float64(p.now-s.unownedSince) + p.costs.serverLost()
		t.lostMillis += millis
		t.withoutRevocationMillis += millis
	case part.servers[previous].state == StateLost:
		t.keysForced++
		millis = p.serverLostMillis(part)
		t.lostMillis += millis
		t.withoutRevocationMillis += millis
	default:
		if part.servers[previous].state != StateUp {
			t.keysForced++
		}
		t.plannedMillis += millis
		t.withoutRevocationMillis += p.costs.moveWithoutRevocation()
	}
	t.addUnavailable(part.keyNames[k], millis)
}

// serverLostMillis returns the time for which the ranges of a server that is lost now cannot be
// served.
func (p *player) serverLostMillis(part *domainPart) float64 {
	at, found := p.leaderLostAt[part.domain]
	if found && p.now-at <= leaderLossWindow {
		return p.costs.serverLostWithLeader(p.logDown)
	}
	return p.costs.serverLost()
}

// applyInstanceChange applies a change of an entry instance. The loss of a leader makes the
// ranges of live servers unavailable only if its successor takes longer than their leases last.
func (p *player) applyInstanceChange(ev InstanceChange) {
	if ev.State != StateLost || !ev.Leading {
		return
	}
	p.leaderLostAt[ev.Domain] = p.now
	millis := p.costs.leaderLost(p.logDown)
	if millis == 0 {
		return
	}
	for i, part := range p.parts {
		if part.domain != ev.Domain {
			continue
		}
		for j, s := range p.methodStates[i] {
			t := p.totals[part.service][j]
			for k, o := range s.owners {
				if o != unowned {
					t.lostMillis += millis
					t.withoutRevocationMillis += millis
					t.addUnavailable(part.keyNames[k], millis)
				}
			}
		}
	}
}
