package fold

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// DomainHomes is the set of ranges of one divided service whose home is one failure domain.
type DomainHomes struct {
	Service string       `json:"service"`
	Domain  string       `json:"domain"`
	Ranges  []keys.Range `json:"ranges"`
	// Offset is the offset of the record that last changed the entry.
	Offset uint64 `json:"offset"`
	// Evicted says that the last change freed the ranges by record.HomesEvicted.
	Evicted bool `json:"evicted,omitempty"`
	// Notice is the offset plus one of a notice of eviction. It is zero if there is none, or if
	// the domain has stated its homes since.
	Notice uint64 `json:"notice,omitempty"`
}

// FindHomes returns the entry of a domain and a service in homes. If there is none, it returns
// an entry without ranges.
func FindHomes(homes []DomainHomes, service, domain string) DomainHomes {
	for _, t := range homes {
		if t.Service == service && t.Domain == domain {
			return t
		}
	}
	return DomainHomes{Service: service, Domain: domain}
}

// HomesBase returns the offset plus one of the record that last changed the homes of a
// domain, or zero if there is none. The next record about them must have it as its Base.
func HomesBase(homes []DomainHomes, domain string) uint64 {
	var base uint64
	for _, t := range homes {
		if t.Domain == domain {
			base = max(base, t.Offset+1)
		}
	}
	return base
}

// applyHomesTaken gives a domain those of the stated ranges that no other domain has. If two
// domains state the same range, the first in the log gets it, so that every instance knows
// the same home of a range.
//
// A statement is rejected unless its Base is the newest change of the domain's homes. A
// former leader may have released a range in a statement that arrives late, after its
// successor has stated the range again and serves it.
func (s *State) applyHomesTaken(offset uint64, r record.HomesTaken) Result {
	if r.Domain == "" {
		return reject(offset, CauseMalformed, "statement of homes has no domain")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return reject(offset, CauseInvalidBundle, "domain %q is not in the bundle in force", r.Domain)
	}
	if term := s.Terms[r.Domain]; r.Log < term.Log {
		return reject(offset, CauseSuperseded, "log term %d of domain %q is superseded by %d", r.Log, r.Domain, term.Log)
	}
	if base := HomesBase(s.Homes, r.Domain); r.Base != base {
		return reject(offset, CauseSuperseded, "statement of homes of domain %q has base %d, want %d", r.Domain, r.Base, base)
	}
	for _, h := range r.Services {
		free := keys.Subtract(h.Ranges, s.rangesOfOthers(h.Service, r.Domain))
		s.putHomes(DomainHomes{Service: h.Service, Domain: r.Domain, Ranges: free, Offset: offset})
	}
	return Accepted{}
}

// rangesOfOthers returns the ranges of a service whose home is another domain.
func (s *State) rangesOfOthers(service, domain string) []keys.Range {
	var all []keys.Range
	for _, t := range s.Homes {
		if t.Service == service && t.Domain != domain {
			all = append(all, t.Ranges...)
		}
	}
	return all
}

// applyHomesEvicted records a notice of eviction or, in the second step, frees the ranges.
// In a service whose ranges may move, the leader of the evicted domain renews grants only for
// a bounded time after its last read of the log. A domain that takes the ranges must therefore
// wait for that time after it has read the second record.
func (s *State) applyHomesEvicted(offset uint64, r record.HomesEvicted) Result {
	current := FindHomes(s.Homes, r.Service, r.Domain)
	if len(current.Ranges) == 0 || HomesBase(s.Homes, r.Domain) != r.Base {
		return reject(offset, CauseSuperseded, "homes of domain %q in service %q have changed since", r.Domain, r.Service)
	}
	if s.InForce == nil || !isMovable(s.InForce, r.Service) || !hasDomain(s.InForce, r.By) || r.By == r.Domain {
		return reject(offset, CauseInvalidBundle, "domain %q may not evict domain %q from service %q", r.By, r.Domain, r.Service)
	}
	updated := current
	updated.Offset = offset
	switch {
	case r.Notice == 0:
		updated.Notice = offset + 1
	case r.Notice != current.Notice:
		return reject(offset, CauseOutOfOrder, "eviction of domain %q from service %q names a notice that is not pending", r.Domain, r.Service)
	default:
		updated = DomainHomes{Service: r.Service, Domain: r.Domain, Offset: offset, Evicted: true}
	}
	s.putHomes(updated)
	return Accepted{}
}

// isMovable reports whether the ranges of a service may move away from a domain that is cut
// off.
func isMovable(b *bundle.Bundle, service string) bool {
	v := b.Service(service)
	return v != nil && v.Isolation == bundle.IsolationMove
}

// pruneHomes frees the homes of domains that are not in the bundle in force: operators remove
// a domain to state that it is lost for good. Homes of a service that was removed stay,
// because a domain that has not received the bundle yet still serves it.
func (s *State) pruneHomes() {
	s.Homes = slices.DeleteFunc(slices.Clone(s.Homes), func(t DomainHomes) bool {
		return !hasDomain(s.InForce, t.Domain)
	})
}

// putHomes inserts or replaces an entry. It does so in a copy, because snapshots share the
// slice.
func (s *State) putHomes(t DomainHomes) {
	homes := slices.Clone(s.Homes)
	i, found := slices.BinarySearchFunc(homes, t, compareHomes)
	if found {
		homes[i] = t
	} else {
		homes = slices.Insert(homes, i, t)
	}
	s.Homes = homes
}

func compareHomes(a, b DomainHomes) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}
