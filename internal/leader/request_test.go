package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
)

// startRequest starts a request for a random hash at its present owner, if there is one.
func (w *world) startRequest() {
	hash := w.hashes[w.random.IntN(len(w.hashes))]
	for _, m := range w.allMachines() {
		if m.down || m.pausedTo > w.now {
			continue
		}
		for _, name := range slices.Sorted(keySeq(m.holders)) {
			work, err := m.holders[name].real.Begin(hash)
			if err == nil {
				w.runRequest(m, name, hash, work)
				return
			}
		}
	}
}

// runRequest runs a request for a random time. A request at a checking server takes effect at
// its end. A request that a gate sent is kept in gateRequests while it runs.
func (w *world) runRequest(m *machine, server string, hash uint64, work *grant.Work) {
	takes := 1 + Time(w.random.Int64N(int64(longestRequest)))
	if m.name == server {
		process := m.incarnation
		w.after(takes, func() { w.takeEffect(m, process, hash, work) })
		return
	}
	if w.random.IntN(10) == 0 {
		takes += Time(w.random.Int64N(int64(550 * ms)))
	}
	w.gateRequests = slices.DeleteFunc(w.gateRequests, func(r gateRequest) bool { return r.endsAt <= w.now })
	w.gateRequests = append(w.gateRequests, gateRequest{gate: m.holders[server], server: server, hash: hash, endsAt: w.now + takes})
	w.after(takes, work.End)
}

// takeEffect ends a request at a checking server, which takes effect if the grant still allows
// it. It fails the world if another server then owns the hash.
func (w *world) takeEffect(m *machine, process uint64, hash uint64, work *grant.Work) {
	if m.down || m.incarnation != process {
		return
	}
	if m.pausedTo > w.now {
		w.at(m.pausedTo, func() { w.takeEffect(m, process, hash, work) })
		return
	}
	if work.Check() == nil || w.mutation == mutLateWork {
		for _, name := range w.owners(hash) {
			if name != m.name+"@"+m.name {
				w.fail("request at %s took effect on %016x of %s", m.name, hash, name)
			}
		}
	}
	work.End()
}
