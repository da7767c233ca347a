package bundle

import (
	"cmp"
	"math/bits"
	"slices"

	"example.org/mustardring/pkg/keys"
)

// maxShare bounds shares and slots, so that their sums cannot overflow.
const maxShare = 1 << 20

// HomeRange is the part of the hash space of a service whose home is one failure domain.
type HomeRange struct {
	Domain string
	Range  keys.Range
}

// HomeRanges divides the hash space of a service between failure domains: by the ranges that
// its homes state, or else by their shares in the order in which they stand, or, without homes, by the slots of the servers
// of each domain that do not leave, in the order of Domains. The parts are sorted, disjoint
// and cover the space. It returns nil for an unknown service and when all shares are zero.
func (b *Bundle) HomeRanges(service string) []HomeRange {
	s := b.Service(service)
	if s == nil {
		return nil
	}
	if stated := statedRanges(s); len(stated) > 0 {
		return stated
	}
	return divide(b.shares(s))
}

// statedRanges returns the ranges that the homes of a service state, sorted.
func statedRanges(s *Service) []HomeRange {
	var stated []HomeRange
	for _, h := range s.Homes {
		for _, r := range h.Ranges {
			stated = append(stated, HomeRange{Domain: h.Domain, Range: r})
		}
	}
	slices.SortFunc(stated, func(a, b HomeRange) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return stated
}

// covers reports whether sorted ranges cover the hash space exactly once.
func covers(parts []HomeRange) bool {
	next := uint64(0)
	for i, p := range parts {
		if p.Range.First != next || p.Range.Last < p.Range.First || i > 0 && next == 0 {
			return false
		}
		next = p.Range.Last + 1
	}
	return next == 0 && len(parts) > 0
}

// Service returns the service of a name, or nil.
func (b *Bundle) Service(name string) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

func (b *Bundle) shares(s *Service) []Home {
	if len(s.Homes) > 0 {
		return s.Homes
	}
	slots := make(map[string]int)
	for _, v := range s.Servers {
		if !v.Leaving {
			slots[v.Domain] += v.Slots
		}
	}
	homes := make([]Home, 0, len(b.Domains))
	for _, d := range b.Domains {
		homes = append(homes, Home{Domain: d.Name, Share: slots[d.Name]})
	}
	return homes
}

func divide(homes []Home) []HomeRange {
	var total uint64
	for _, h := range homes {
		total += uint64(max(h.Share, 0))
	}
	var parts []HomeRange
	var sum, first uint64
	for _, h := range homes {
		if h.Share <= 0 {
			continue
		}
		sum += uint64(h.Share)
		last := boundary(sum, total) - 1
		parts = append(parts, HomeRange{Domain: h.Domain, Range: keys.Range{First: first, Last: last}})
		first = last + 1
	}
	return parts
}

// boundary returns sum/total of the hash space, rounded down; zero, which is the end of the
// space modulo its size, when they are equal.
func boundary(sum, total uint64) uint64 {
	if sum >= total {
		return 0
	}
	quotient, _ := bits.Div64(sum, 0, total)
	return quotient
}
