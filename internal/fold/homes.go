package fold

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Taken is what one failure domain has taken of one divided service.
type Taken struct {
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

// TakenBy returns what a domain has taken of a service; the zero value but for the names if
// nothing.
func TakenBy(homes []Taken, service, domain string) Taken {
	for _, t := range homes {
		if t.Service == service && t.Domain == domain {
			return t
		}
	}
	return Taken{Service: service, Domain: domain}
}

// HomesBase returns the offset plus one of the record that last changed what a domain has
// taken, zero if none did. It is what the next statement of the domain is based on.
func HomesBase(homes []Taken, domain string) uint64 {
	var base uint64
	for _, t := range homes {
		if t.Domain == domain {
			base = max(base, t.Offset+1)
		}
	}
	return base
}

// applyHomesTaken gives a domain the ranges that no other has. The order of the log decides between
// two domains that state the same range, so that a range has one home at every instance.
//
// A statement is void unless it is based on the newest change of its domain. A leader that
// was succeeded may have left a range out in a statement that arrives late; its successor,
// which serves the range again, has stated its homes since.
func (s *State) applyHomesTaken(offset uint64, r record.HomesTaken) Verdict {
	if r.Domain == "" {
		return reject(offset, CauseMalformed, "homes name no domain")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return reject(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	if term := s.Terms[r.Domain]; r.Log < term.Log {
		return reject(offset, CauseSuperseded, "log term %d of %q is over, %d is newest", r.Log, r.Domain, term.Log)
	}
	if base := HomesBase(s.Homes, r.Domain); r.Base != base {
		return reject(offset, CauseSuperseded, "homes of %q were stated after %d, at %d", r.Domain, r.Base, base)
	}
	for _, v := range r.Services {
		given := keys.Subtract(v.Ranges, s.rangesOfOthers(v.Service, r.Domain))
		s.putHomes(Taken{Service: v.Service, Domain: r.Domain, Ranges: given, Offset: offset})
	}
	return Accepted{}
}

func (s *State) rangesOfOthers(service, domain string) []keys.Range {
	var all []keys.Range
	for _, t := range s.Homes {
		if t.Service == service && t.Domain != domain {
			all = append(all, t.Ranges...)
		}
	}
	return all
}

// applyHomesEvicted gives notice, or frees what a domain has taken of a service that may move. The
// domain's leader renews such grants only within a bound of its last read of the log, so
// whoever takes the ranges waits for that bound after it has read the second record.
func (s *State) applyHomesEvicted(offset uint64, r record.HomesEvicted) Verdict {
	old := TakenBy(s.Homes, r.Service, r.Domain)
	if len(old.Ranges) == 0 || HomesBase(s.Homes, r.Domain) != r.Base {
		return reject(offset, CauseSuperseded, "what %q has taken of %q has changed since", r.Domain, r.Service)
	}
	if s.InForce == nil || !isMovable(s.InForce, r.Service) || !hasDomain(s.InForce, r.By) || r.By == r.Domain {
		return reject(offset, CauseInvalid, "%q may not free what %q has taken of %q", r.By, r.Domain, r.Service)
	}
	next := old
	next.Offset = offset
	switch {
	case r.Notice == 0:
		next.Notice = offset + 1
	case r.Notice != old.Notice:
		return reject(offset, CauseOutOfOrder, "there is another notice for %q of %q", r.Domain, r.Service)
	default:
		next = Taken{Service: r.Service, Domain: r.Domain, Offset: offset, Evicted: true}
	}
	s.putHomes(next)
	return Accepted{}
}

func isMovable(b *bundle.Bundle, service string) bool {
	v := b.Service(service)
	return v != nil && v.Isolation == bundle.IsolationMove
}

// pruneHomes frees the homes of domains that the bundle in force names no longer. By leaving
// a domain out, operators state that it is lost for good. A service that is left out keeps its
// entries: a domain that has not seen the bundle yet still serves it.
func (s *State) pruneHomes() {
	s.Homes = slices.DeleteFunc(slices.Clone(s.Homes), func(t Taken) bool {
		return !hasDomain(s.InForce, t.Domain)
	})
}

// putHomes replaces an entry in a copy, since snapshots share the slice.
func (s *State) putHomes(t Taken) {
	homes := slices.Clone(s.Homes)
	i, found := slices.BinarySearchFunc(homes, t, compareHomes)
	if found {
		homes[i] = t
	} else {
		homes = slices.Insert(homes, i, t)
	}
	s.Homes = homes
}

func compareHomes(a, b Taken) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}
