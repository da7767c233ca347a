package bundle

import (
	"cmp"
	"math/bits"
	"slices"

	"example.org/mustardring/pkg/keys"
)

// maxShare is the largest share of a home and the largest number of slots of a server. It keeps
// their sums from overflowing.
const maxShare = 1 << 20

// HomeRange is a range of the hash space of a service and the failure domain that is its home.
type HomeRange struct {
	Domain string
	Range  keys.Range
}

// HomeRanges returns how the hash space of a service is divided between failure domains: by the
// ranges that its homes state, else by the shares of the homes in the order of the list. If the
// service has no homes, the shares are the slots of the servers that are not leaving, by domain
// in the order of Domains.
//
// The ranges of a valid bundle are sorted, disjoint and cover the space. HomeRanges returns nil
// for an unknown service and if all shares are zero.
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

// Service returns the service with the given name, or nil.
func (b *Bundle) Service(name string) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// shares returns the homes of a service or, if it has none, homes with the slots of each domain
// as shares.
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

// divide divides the hash space in the order of the homes, in proportion to their shares.
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

// boundary returns the first hash behind sum/total of the hash space, rounded down. At the end
// of the space that is 2^64, which wraps to 0.
func boundary(sum, total uint64) uint64 {
	if sum >= total {
		return 0
	}
	quotient, _ := bits.Div64(sum, 0, total)
	return quotient
}
