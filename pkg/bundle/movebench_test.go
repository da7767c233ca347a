package bundle_test

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// bySlots returns a bundle with n servers of equal slots in each of four domains, without
// homes, so that the slots divide the space.
func bySlots(n ...int) *bundle.Bundle {
	b := places(make([]int, len(n))...)
	s := &b.Services[0]
	s.Homes = nil
	var servers []bundle.Server
	for i, domain := range b.Domains {
		for j := range n[i] {
			v := s.Servers[2*i]
			v.Name = domain.Name + "-" + string(rune('a'+j))
			servers = append(servers, v)
		}
	}
	s.Servers = servers
	return b
}

// BenchmarkMoves reports, in percent of the keys, what usual changes move: by the rule, by
// ranges that are settled, and at least.
func BenchmarkMoves(b *testing.B) {
	changes := []struct {
		name          string
		before, after *bundle.Bundle
	}{
		{name: "first-share-doubles", before: places(1, 1, 1, 1), after: places(2, 1, 1, 1)},
		{name: "last-share-doubles", before: places(1, 1, 1, 1), after: places(1, 1, 1, 2)},
		{name: "second-domain-goes", before: places(1, 1, 1, 1), after: places(1, 0, 1, 1)},
		{name: "server-added-by-slots", before: bySlots(4, 4, 4, 3), after: bySlots(5, 4, 4, 3)},
		{name: "server-gone-by-slots", before: bySlots(4, 4, 4, 3), after: bySlots(3, 4, 4, 3)},
	}
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			var rule bundle.Moves
			for b.Loop() {
				rule = bundle.CompareMoves(c.before, c.after)[0]
			}
			settled := *c.after
			settled.Services = append([]bundle.Service{}, c.after.Services...)
			settled.Services[0].Homes = settled.SettleHomes(c.before, "pregled")
			is.New(b).NoErr(settled.Validate())
			after := bundle.CompareMoves(c.before, &settled)[0]
			b.ReportMetric(100*rule.Total(), "%rule")
			b.ReportMetric(100*after.Total(), "%settled")
			b.ReportMetric(100*after.Least(), "%least")
			b.ReportMetric(0, "ns/op")
		})
	}
}
