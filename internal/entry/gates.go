package entry

import (
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/route"
)

// setTable installs a routing table if it is newer, and stops sending to the servers whose gate
// this instance no longer is. It reports whether the table is newer.
func (e *Entry) setTable(t *route.Table) bool {
	old, newer := e.state.setTable(t)
	if !newer {
		return false
	}
	e.meter.TablesTaken.Add(1)
	e.gateGains.update(old, t, e.deps.Settings.Name, time.Now())
	for _, g := range lostGates(old, t, e.deps.Settings.Name) {
		e.front.GateMoved(g.Service, g.Server)
	}
	return true
}

// lostGates returns the gates that an instance has in the old table and not in the next one.
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

// closeExpiredGrants closes the connections to servers that do not check grants when the grant that
// this instance held for them has expired. Data written later could reach the server when another
// instance is already its gate.
func (e *Entry) closeExpiredGrants() {
	for _, name := range e.holders.newlyExpired() {
		e.front.LeaseLost(name.service, name.server)
	}
}

// gateGain is a server whose gate this instance has become. The gate of a server is the one entry
// instance through which all requests to the server pass.
type gateGain struct {
	// formerGate is the instance that was the gate before, empty if unknown.
	formerGate string
	// mayActUntil is when the former gate can certainly no longer send requests, even if it has not
	// seen the new table.
	mayActUntil time.Time
}

// gateGains keeps, by service, the recent gateGains of this instance.
type gateGains struct {
	mu       sync.Mutex
	services map[string][]gateGain
}

func newGateGains() *gateGains {
	return &gateGains{services: make(map[string][]gateGain)}
}

// update records the gates that an instance has in the next table and not in the old one.
func (g *gateGains) update(old, next *route.Table, instance string, now time.Time) {
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
		g.services[n.Service] = append(g.services[n.Service], gateGain{formerGate: from, mayActUntil: now.Add(formerGateTimeout)})
	}
}

// unconfirmed drops the gains of a service that are confirmed or expired and returns the number of
// the others, whose former gate may still send requests. A gain is confirmed if its former gate is
// in confirmed, the names of the instances that have reported the current table.
func (g *gateGains) unconfirmed(service string, confirmed []string, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.services[service][:0]
	for _, n := range g.services[service] {
		if now.Before(n.mayActUntil) && !slices.Contains(confirmed, n.formerGate) {
			kept = append(kept, n)
		}
	}
	g.services[service] = kept
	return len(kept)
}
