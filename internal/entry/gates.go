package entry

import (
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/route"
)

// setTable takes a routing table and lets go of the servers whose gate this instance is no
// longer. It reports whether the table is newer.
func (e *Entry) setTable(t *route.Table) bool {
	old, newer := e.state.setTable(t)
	if !newer {
		return false
	}
	e.meter.TablesTaken.Add(1)
	e.gained.update(old, t, e.deps.Settings.Name, time.Now())
	for _, g := range lostGates(old, t, e.deps.Settings.Name) {
		e.front.GateMoved(g.Service, g.Server)
	}
	return true
}

// lostGates returns the gates that an instance had in one table and has no longer in the next.
func lostGates(old, next *route.Table, instance string) []route.Gate {
	if old == nil {
		return nil
	}
	var lost []route.Gate
	for _, g := range old.Gates {
		if g.Instance == instance && !slices.Contains(next.Gates, g) {
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
		e.front.LeaseLost(name.service, name.server)
	}
}

// gain is a gate that this instance got from another one.
type gain struct {
	// from is the former gate, empty if unknown.
	from string
	// until is when the former gate cannot act any more, whether it knows or not.
	until time.Time
}

// gains keeps, by service, the gates that this instance got lately.
type gains struct {
	mu       sync.Mutex
	services map[string][]gain
}

func newGains() *gains {
	return &gains{services: make(map[string][]gain)}
}

// update notes the gates that an instance has in a table and did not have in the one before.
func (g *gains) update(old, next *route.Table, instance string, now time.Time) {
	former := make(map[string]string)
	if old != nil {
		for _, o := range old.Gates {
			former[o.Service+"/"+o.Server] = o.Instance
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range next.Gates {
		from := former[n.Service+"/"+n.Server]
		if n.Instance != instance || from == instance {
			continue
		}
		g.services[n.Service] = append(g.services[n.Service], gain{from: from, until: now.Add(gateWait)})
	}
}

// open returns the gains of a service whose former gate may still act, but for those whose
// former gate is in told: it has said that it knows the present table.
func (g *gains) open(service string, told []string, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.services[service][:0]
	for _, n := range g.services[service] {
		if now.Before(n.until) && !slices.Contains(told, n.from) {
			kept = append(kept, n)
		}
	}
	g.services[service] = kept
	return len(kept)
}
