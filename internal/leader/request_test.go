package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
)

// request starts a request for a random hash at its present owner, if there is one.
func (w *world) request() {
	hash := w.hashes[w.random.IntN(len(w.hashes))]
	for _, m := range w.ordered() {
		if m.down || m.pausedTo > w.now {
			continue
		}
		for _, name := range slices.Sorted(mapKeys(m.holders)) {
			work, err := m.holders[name].real.Begin(hash)
			if err == nil {
				w.work(m, name, hash, work)
				return
			}
		}
	}
}

func (w *world) work(m *machine, server string, hash uint64, work *grant.Work) {
	takes := 1 + Time(w.random.Int64N(int64(longestRequest)))
	if m.name == server {
		process := m.incarnation
		w.after(takes, func() { w.effect(m, process, hash, work) })
		return
	}
	if w.random.IntN(10) == 0 {
		takes += Time(w.random.Int64N(int64(550 * ms)))
	}
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return r.until <= w.now })
	w.runs = append(w.runs, run{gate: m.holders[server], server: server, hash: hash, until: w.now + takes})
	w.after(takes, work.End)
}

// effect lets a request that ran at a checking server take effect, if the check allows it.
func (w *world) effect(m *machine, process uint64, hash uint64, work *grant.Work) {
	if m.down || m.incarnation != process {
		return
	}
	if m.pausedTo > w.now {
		w.at(m.pausedTo, func() { w.effect(m, process, hash, work) })
		return
	}
	if work.Check() == nil || w.guard == mutLateWork {
		for _, name := range w.owners(hash) {
			if name != m.name+"@"+m.name {
				w.fail("request at %s took effect on %016x of %s", m.name, hash, name)
			}
		}
	}
	work.End()
}
