package bundle_test

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// bundleBySlots returns a bundle with n[i] servers of equal slots in domain i. The service has no
// homes, so the slots divide the hash space.
func bundleBySlots(n ...int) *bundle.Bundle {
	b := bundleByShares(make([]int, len(n))...)
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

// BenchmarkMoves reports how many percent of the keys common changes move: by shares or slots
// (%rule), by the ranges of SettleHomes (%settled), and at least (%least).
func BenchmarkMoves(b *testing.B) {
	changes := []struct {
		name          string
		before, after *bundle.Bundle
	}{
		{name: "first-share-doubles", before: bundleByShares(1, 1, 1, 1), after: bundleByShares(2, 1, 1, 1)},
		{name: "last-share-doubles", before: bundleByShares(1, 1, 1, 1), after: bundleByShares(1, 1, 1, 2)},
		{name: "second-domain-goes", before: bundleByShares(1, 1, 1, 1), after: bundleByShares(1, 0, 1, 1)},
		{name: "server-added-by-slots", before: bundleBySlots(4, 4, 4, 3), after: bundleBySlots(5, 4, 4, 3)},
		{name: "server-gone-by-slots", before: bundleBySlots(4, 4, 4, 3), after: bundleBySlots(3, 4, 4, 3)},
	}
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			var byRule bundle.Moves
			for b.Loop() {
				byRule = bundle.CompareMoves(c.before, c.after)[0]
			}
			settled := *c.after
			settled.Services = append([]bundle.Service{}, c.after.Services...)
			settled.Services[0].Homes = settled.SettleHomes(c.before, "pregled")
			is.New(b).NoErr(settled.Validate())
			bySettling := bundle.CompareMoves(c.before, &settled)[0]
			b.ReportMetric(100*byRule.Total(), "%rule")
			b.ReportMetric(100*bySettling.Total(), "%settled")
			b.ReportMetric(100*bySettling.Least(), "%least")
			b.ReportMetric(0, "ns/op")
		})
	}
}
