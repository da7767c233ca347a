package fold

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// DomainHomes is what one failure domain has taken of one divided service.
type DomainHomes struct {
	Service string       `json:"service"`
	Domain  string       `json:"domain"`
	Ranges  []keys.Range `json:"ranges"`
	// Offset is that of the record that last changed the entry.
	Offset uint64 `json:"offset"`
	// Evicted says that the ranges were last freed by HomesEvicted.
	Evicted bool `json:"evicted,omitempty"`
	// Notice is the offset plus one of a notice that the ranges are going to be freed; zero if
	// there is none, or the domain has stated its homes since.
	Notice uint64 `json:"notice,omitempty"`
}

// FindHomes returns what a domain has taken of a service; the zero value but for the names if
// nothing.
func FindHomes(homes []DomainHomes, service, domain string) DomainHomes {
	for _, t := range homes {
		if t.Service == service && t.Domain == domain {
			return t
		}
	}
	return DomainHomes{Service: service, Domain: domain}
}

// HomesBase returns the offset plus one of the record that last changed what a domain has
// taken, zero if none did. It is what the next statement of the domain is based on.
func HomesBase(homes []DomainHomes, domain string) uint64 {
	var base uint64
	for _, t := range homes {
		if t.Domain == domain {
			base = max(base, t.Offset+1)
		}
	}
	return base
}

// takeHomes gives a domain the ranges that no other has. The order of the log decides between
// two domains that state the same range, so that a range has one home at every instance.
//
// A statement is void unless it is based on the newest change of its domain. A leader that
// was succeeded may have left a range out in a statement that arrives late; its successor,
// which serves the range again, has stated its homes since.
func (s *State) takeHomes(offset uint64, r record.HomesTaken) Result {
	if r.Domain == "" {
		return refuse(offset, CauseMalformed, "homes name no domain")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return refuse(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	if term := s.Terms[r.Domain]; r.Log < term.Log {
		return refuse(offset, CauseSuperseded, "log term %d of %q is over, %d is newest", r.Log, r.Domain, term.Log)
	}
	if base := HomesBase(s.Homes, r.Domain); r.Base != base {
		return refuse(offset, CauseSuperseded, "homes of %q were stated after %d, at %d", r.Domain, r.Base, base)
	}
	for _, v := range r.Services {
		given := keys.Subtract(v.Ranges, s.takenByOthers(v.Service, r.Domain))
		s.putHomes(DomainHomes{Service: v.Service, Domain: r.Domain, Ranges: given, Offset: offset})
	}
	return Accepted{}
}

func (s *State) takenByOthers(service, domain string) []keys.Range {
	var all []keys.Range
	for _, t := range s.Homes {
		if t.Service == service && t.Domain != domain {
			all = append(all, t.Ranges...)
		}
	}
	return all
}

// evictHomes gives notice, or frees what a domain has taken of a service that may move. The
// domain's leader renews such grants only within a bound of its last read of the log, so
// whoever takes the ranges waits for that bound after it has read the second record.
func (s *State) evictHomes(offset uint64, r record.HomesEvicted) Result {
	old := FindHomes(s.Homes, r.Service, r.Domain)
	if len(old.Ranges) == 0 || HomesBase(s.Homes, r.Domain) != r.Base {
		return refuse(offset, CauseSuperseded, "what %q has taken of %q has changed since", r.Domain, r.Service)
	}
	if s.InForce == nil || !mayMove(s.InForce, r.Service) || !hasDomain(s.InForce, r.By) || r.By == r.Domain {
		return refuse(offset, CauseInvalid, "%q may not free what %q has taken of %q", r.By, r.Domain, r.Service)
	}
	next := old
	next.Offset = offset
	switch {
	case r.Notice == 0:
		next.Notice = offset + 1
	case r.Notice != old.Notice:
		return refuse(offset, CauseOrder, "there is another notice for %q of %q", r.Domain, r.Service)
	default:
		next = DomainHomes{Service: r.Service, Domain: r.Domain, Offset: offset, Evicted: true}
	}
	s.putHomes(next)
	return Accepted{}
}

func mayMove(b *bundle.Bundle, service string) bool {
	v := b.Service(service)
	return v != nil && v.Isolation == bundle.IsolationMove
}

// pruneHomes frees the homes of domains that the bundle in force names no longer. By leaving
// a domain out, operators state that it is lost for good. A service that is left out keeps its
// entries: a domain that has not seen the bundle yet still serves it.
func (s *State) pruneHomes() {
	s.Homes = slices.DeleteFunc(slices.Clone(s.Homes), func(t DomainHomes) bool {
		return !hasDomain(s.InForce, t.Domain)
	})
}

// putHomes replaces an entry in a copy, since snapshots share the slice.
func (s *State) putHomes(t DomainHomes) {
	homes := slices.Clone(s.Homes)
	i, found := slices.BinarySearchFunc(homes, t, compareTaken)
	if found {
		homes[i] = t
	} else {
		homes = slices.Insert(homes, i, t)
	}
	s.Homes = homes
}

func compareTaken(a, b DomainHomes) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}
