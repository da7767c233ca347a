package entry

import "example.org/mustardring/internal/route"

// setTable takes a routing table and lets go of the servers whose gate this instance is no
// longer. It reports whether the table is newer.
func (e *Entry) setTable(t *route.Table) bool {
	old, newer := e.state.setTable(t)
	if !newer {
		return false
	}
	e.meter.TablesTaken.Add(1)
	for _, g := range lostGates(old, t, e.deps.Settings.Name) {
		e.front.RightLost(g.Service, g.Server)
	}
	return true
}

// lostGates returns the gates that an instance had in one table and has no longer in the next.
func lostGates(old, next *route.Table, instance string) []route.Gate {
	if old == nil {
		return nil
	}
	kept := make(map[route.Gate]bool, len(next.Gates))
	for _, g := range next.Gates {
		kept[g] = true
	}
	var lost []route.Gate
	for _, g := range old.Gates {
		if g.Instance == instance && !kept[g] {
			lost = append(lost, g)
		}
	}
	return lost
}

// closeLapsed closes the connections to servers that check nothing when the grant that this
// instance held for them has ended. What is written to such a server afterwards may reach it
// when another instance has become its gate.
func (e *Entry) closeLapsed() {
	for _, name := range e.holders.lapsed() {
		e.front.RightLost(name.service, name.server)
	}
}
