package entry

import (
	"cmp"
	"fmt"
	"slices"

	"example.org/mustardring/internal/admin"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/keys"
)

// Status implements admin.Source.
func (e *Entry) Status() admin.Status {
	view, stopping := e.state.snapshot()
	s := admin.Status{
		Instance:    e.deps.Settings.Name,
		Domain:      e.deps.Settings.Domain,
		Incarnation: e.deps.Incarnation,
		Members:     view.Members,
		Stopping:    stopping,
		Services:    e.front.Status(),
	}
	if h := e.coreView.heartbeat.Load(); h != nil {
		s.Leading, s.Term = h.Leading, h.Term
	}
	if view.Bundle != nil {
		s.BundleVersion = view.Bundle.Version
	}
	if state := e.folded.Load(); state != nil {
		s.NextLogOffset = state.Next
	}
	if t := view.Table; t != nil {
		s.TableTerm, s.TableSerial = t.Term, t.Serial
		s.Ranges = len(t.Owners)
		s.Provisional = countProvisional(t)
		s.OwnedShare = ownedShare(view)
	}
	s.Domains = e.peers.versions(s.BundleVersion)
	return s
}

// ownedShare returns the least share, over the divided services, of the domain's homes by the
// bundle that has an owner.
func ownedShare(view route.View) float64 {
	least := 1.0
	for service := range view.Homes {
		var want, have []keys.Range
		for _, h := range view.Bundle.HomeRanges(service) {
			if h.Domain == view.Domain {
				want = append(want, h.Range)
			}
		}
		for _, o := range view.Table.Owners {
			if o.Service == service {
				have = append(have, o.Range)
			}
		}
		if total := width(want); total > 0 {
			least = min(least, width(keys.Intersect(want, have))/total)
		}
	}
	return least
}

func width(ranges []keys.Range) float64 {
	sum := 0.0
	for _, r := range ranges {
		sum += r.Width()
	}
	return sum
}

func countProvisional(t *route.Table) int {
	count := 0
	for _, o := range t.Owners {
		if o.Offset == 0 {
			count++
		}
	}
	return count
}

// Owner implements admin.Source.
func (e *Entry) Owner(service, key string) (admin.Ownership, bool) {
	view, _ := e.state.snapshot()
	if view.Bundle == nil || view.Bundle.Service(service) == nil {
		return admin.Ownership{}, false
	}
	hash := keys.Hash(service, key)
	o := admin.Ownership{Service: service, Key: key, Hash: fmt.Sprintf("%016x", hash)}
	for _, h := range view.Homes[service] {
		if h.Range.Contains(hash) {
			o.Home = h.Domain
		}
	}
	if view.Table == nil {
		return o, true
	}
	for _, w := range view.Table.Owners {
		if w.Service == service && w.Range.Contains(hash) {
			o.Range, o.Server, o.Offset, o.Epoch = w.Range, w.Server, w.Offset, w.Epoch
		}
	}
	for _, g := range view.Table.Gates {
		if g.Service == service && g.Server == o.Server {
			o.Gate = g.Instance
		}
	}
	return o, true
}

// Assignments implements admin.Source.
func (e *Entry) Assignments() []admin.Assignment {
	state := e.folded.Load()
	if state == nil {
		return nil
	}
	var all []admin.Assignment
	for domain, servers := range state.Assignments {
		for server, a := range servers {
			all = append(all, admin.Assignment{
				Domain:      domain,
				Service:     a.Service,
				Server:      server,
				Epoch:       a.Assignment.Epoch,
				Offset:      a.Offset,
				Provisional: a.Provisional,
				Ranges:      a.Assignment.Ranges,
			})
		}
	}
	slices.SortFunc(all, func(a, b admin.Assignment) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Server, b.Server))
	})
	return all
}

// Ready implements admin.Source.
func (e *Entry) Ready() bool {
	return e.front.Ready() && e.state.bundle() != nil
}
