// Package paths opens connections to backend servers. It tracks to which servers this instance has a network path of
// its own, and goes through another instance to the rest.
//
// A failed connection shows either that the server is down or that the path to it is lost. One instance cannot tell the
// two apart; another instance that reaches the server at the same time can. So a path counts as lost, and a server as
// unreachable, only after another instance has been asked.
package paths

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Route says how to connect to a server: Direct, Through, Probe or None.
type Route interface{ isRoute() }

// Direct means that the instance connects to the server itself, and through another instance if that fails.
type Direct struct{}

// Through means that the instance has lost its own path and connects through another one.
type Through struct{}

// Probe means that the instance connects in both ways, to find out whether its own path is back.
type Probe struct{}

// None means that the instance has reached no server in any way for some time, so that it is no use to try now.
type None struct{}

func (Direct) isRoute()  {}
func (Through) isRoute() {}
func (Probe) isRoute()   {}
func (None) isRoute()    {}

const (
	// minLostServers is the number of servers that an instance does not reach in a row, without any sign of life of a
	// server on a path of its own in between, from which on it takes all its paths for lost.
	minLostServers = 3
	// minProbeDelay and maxProbeDelay bound the time between two probes of a lost path, which doubles each time. An
	// instance that has lost all paths sends one probe in each minProbeDelay to all servers together.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
	// nothingTime is how long an instance has reached no server in any way before it gives up until the next probe.
	nothingTime = time.Second
)

// path is what is known of the path to a server. There is none for a server that was always reached.
type path struct {
	// lost says that the path does not work, or that it was slower than the one through another instance. Confirmed says
	// that it does not work.
	lost      bool
	confirmed bool
	probeAt   time.Time
	// probeCount is the number of probes since the path was lost.
	probeCount int
	// choice numbers the instances that the server may be reached through.
	choice int
}

// Table tracks the paths of an instance. It does no I/O. Its methods are safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	paths map[string]*path
	// lostInRow holds the servers that this instance did not reach itself since the last sign of life of any server on a
	// path of its own, and failedInRow those that it did not reach in any way since the last one on any path.
	lostInRow   map[string]struct{}
	failedInRow map[string]struct{}
	// failingSince is when the first of failedInRow failed.
	failingSince time.Time
	// probeAt is when an instance that has lost all paths may send the next probe.
	probeAt time.Time
}

// NewTable returns a Table in which all paths work.
func NewTable() *Table {
	return &Table{paths: map[string]*path{}, lostInRow: map[string]struct{}{}, failedInRow: map[string]struct{}{}}
}

// Route returns how to connect to a server now.
func (t *Table) Route(server string, now time.Time) Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	if t.reachesNone() {
		if now.Before(t.probeAt) {
			if t.reachesNothing(now) {
				return None{}
			}
			return Through{}
		}
		t.probeAt = now.Add(minProbeDelay)
		return Probe{}
	}
	if p == nil || !p.lost {
		return Direct{}
	}
	if now.Before(p.probeAt) {
		return Through{}
	}
	p.scheduleProbe(now)
	return Probe{}
}

// scheduleProbe sets the time of the next probe. It varies, so that many instances do not probe at once.
func (p *path) scheduleProbe(now time.Time) {
	delay := min(minProbeDelay<<min(p.probeCount, 8), maxProbeDelay)
	p.probeCount++
	p.probeAt = now.Add(delay/2 + rand.N(delay))
}

// Connected records that a server accepted a connection of this instance. It reports whether the path had been lost.
func (t *Table) Connected(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachesNone() {
		// What ended one loss has probably ended the others.
		for _, p := range t.paths {
			p.probeAt, p.probeCount = time.Time{}, 0
		}
	}
	clear(t.lostInRow)
	clear(t.failedInRow)
	p := t.paths[server]
	if p == nil || !p.lost {
		return false
	}
	confirmed := p.confirmed
	delete(t.paths, server)
	return confirmed
}

// Answered records that a server sent a response on a connection that this instance opened itself. New connections may
// fail all the same, so that a lost path stays lost.
func (t *Table) Answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.lostInRow)
	clear(t.failedInRow)
}

// Reached records that a server was reached through another instance.
func (t *Table) Reached() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failedInRow)
}

// Suspect records that the path to a server was slower than the one through another instance.
func (t *Table) Suspect(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLost(server, now)
}

// setLost marks the path to a server as lost and returns it. The lock is held.
func (t *Table) setLost(server string, now time.Time) *path {
	p := t.pathOf(server)
	if !p.lost {
		p.lost, p.probeCount = true, 0
		p.scheduleProbe(now)
	}
	return p
}

// pathOf returns the path to a server, a new one if there is none. The lock is held.
func (t *Table) pathOf(server string) *path {
	p := t.paths[server]
	if p == nil {
		p = &path{}
		t.paths[server] = p
	}
	return p
}

// Lost records that this instance could not connect to a server which another instance reaches. It reports whether that
// is news.
func (t *Table) Lost(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.setLost(server, now)
	t.lostInRow[server] = struct{}{}
	news := !p.confirmed
	p.confirmed = true
	return news
}

// Unreachable records that a server could not be reached in any way.
func (t *Table) Unreachable(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failedInRow) == 0 {
		t.failingSince = now
	}
	t.lostInRow[server] = struct{}{}
	t.failedInRow[server] = struct{}{}
}

// IsLost reports whether this instance has lost its path to a server.
func (t *Table) IsLost(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	return p != nil && p.confirmed || t.reachesNone()
}

// HasOwnPath reports whether this instance connects to a server itself now, as far as it knows.
func (t *Table) HasOwnPath(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	return (p == nil || !p.lost) && !t.reachesNone()
}

// ReachesNone reports whether this instance seems to have lost its paths to all servers.
func (t *Table) ReachesNone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachesNone()
}

func (t *Table) reachesNone() bool { return len(t.lostInRow) >= minLostServers }

// ReachesNothing reports whether this instance has reached no server in any way for some time. It also returns one of the
// servers, to try whether that has ended.
func (t *Table) ReachesNothing(now time.Time) (server string, nothing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server = range t.failedInRow {
		break
	}
	return server, t.reachesNothing(now)
}

func (t *Table) reachesNothing(now time.Time) bool {
	return len(t.failedInRow) >= minLostServers && now.Sub(t.failingSince) >= nothingTime
}

// LostCount returns the number of servers to which the path is lost.
func (t *Table) LostCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.paths {
		if p.confirmed {
			n++
		}
	}
	return n
}

// Choice returns the number of the instance that a server should be reached through.
func (t *Table) Choice(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[server]; p != nil {
		return p.choice
	}
	return 0
}

// SetChoice sets the number of the instance that a server should be reached through next.
func (t *Table) SetChoice(server string, choice int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pathOf(server).choice = choice
}

// maxChoices is the number of choices for a server, after which the first one is tried again.
const maxChoices = 32

// Retain forgets the servers for which exists returns false.
func (t *Table) Retain(exists func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.paths {
		if !exists(server) {
			delete(t.paths, server)
		}
	}
	for _, row := range []map[string]struct{}{t.lostInRow, t.failedInRow} {
		for server := range row {
			if !exists(server) {
				delete(row, server)
			}
		}
	}
}
