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
	Version uint64       `json:"version"`
	Ranges  []keys.Range `json:"ranges"`
	// Offset is that of the record that last changed the entry.
	Offset uint64 `json:"offset"`
	// Evicted says that the ranges were last freed by HomesEvicted.
	Evicted bool `json:"evicted,omitempty"`
}

// TakenBy returns what a domain has taken of a service; nil if nothing.
func (s *State) TakenBy(service, domain string) *Taken {
	for i := range s.Homes {
		if t := &s.Homes[i]; t.Service == service && t.Domain == domain {
			return t
		}
	}
	return nil
}

// takeHomes gives a domain the ranges that no other has. The order of the log decides between
// two domains that state the same range, so that a range has one home at every instance.
func (s *State) takeHomes(offset uint64, r record.HomesTaken) Verdict {
	if r.Domain == "" || r.Service == "" {
		return refuse(offset, CauseMalformed, "homes name a domain and a service")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return refuse(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	if term := s.Terms[r.Domain]; r.Log < term.Log {
		return refuse(offset, CauseSuperseded, "log term %d of %q is over, %d is newest", r.Log, r.Domain, term.Log)
	}
	old := s.TakenBy(r.Service, r.Domain)
	if old != nil && r.Version < old.Version {
		return refuse(offset, CauseSuperseded, "%q has taken homes of version %d", r.Domain, old.Version)
	}
	given := keys.Subtract(r.Ranges, s.takenByOthers(r.Service, r.Domain))
	if old != nil && old.Version == r.Version && keys.Equal(old.Ranges, given) && !old.Evicted {
		return Repeated{}
	}
	s.putHomes(Taken{Service: r.Service, Domain: r.Domain, Version: r.Version, Ranges: given, Offset: offset})
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

// evictHomes frees what a domain has taken of a service that may move. The domain's leader
// renews such grants only within a bound of its last read of the log, so whoever takes the
// ranges waits for that bound after it has read this record.
func (s *State) evictHomes(offset uint64, r record.HomesEvicted) Verdict {
	old := s.TakenBy(r.Service, r.Domain)
	if old == nil || old.Offset != r.Taken {
		return refuse(offset, CauseSuperseded, "what %q has taken of %q has changed since", r.Domain, r.Service)
	}
	if s.InForce == nil || !mayMove(s.InForce, r.Service) || !hasDomain(s.InForce, r.By) || r.By == r.Domain {
		return refuse(offset, CauseInvalid, "%q may not free what %q has taken of %q", r.By, r.Domain, r.Service)
	}
	s.putHomes(Taken{Service: r.Service, Domain: r.Domain, Version: old.Version, Offset: offset, Evicted: true})
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
	s.Homes = slices.DeleteFunc(slices.Clone(s.Homes), func(t Taken) bool {
		return !hasDomain(s.InForce, t.Domain)
	})
}

// putHomes replaces an entry in a copy, since snapshots share the slice.
func (s *State) putHomes(t Taken) {
	homes := slices.Clone(s.Homes)
	i, found := slices.BinarySearchFunc(homes, t, compareTaken)
	if found {
		homes[i] = t
	} else {
		homes = slices.Insert(homes, i, t)
	}
	s.Homes = homes
}

func compareTaken(a, b Taken) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}
