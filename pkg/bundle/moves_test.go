package bundle_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
)

// bundleByShares returns a bundle with one domain for each share and a service with two servers in
// each domain.
func bundleByShares(shares ...int) *bundle.Bundle {
	b := sample(1)
	b.Domains = nil
	s := &b.Services[0]
	s.Homes, s.Servers = nil, nil
	for i, share := range shares {
		domain := fmt.Sprintf("domain-%d", i)
		b.Domains = append(b.Domains, bundle.Domain{Name: domain})
		s.Homes = append(s.Homes, bundle.Home{Domain: domain, Share: share})
		for j := range 2 {
			name := fmt.Sprintf("server-%d-%d", i, j)
			s.Servers = append(s.Servers, bundle.Server{Name: name, Domain: domain, Address: fmt.Sprintf("10.0.%d.%d:80", i, j), Slots: 2})
		}
	}
	return b
}

func almostEqual(a, b float64) bool {
	return math.Abs(a-b) < 1e-9
}

func TestCompareMoves(t *testing.T) {
	tests := map[string]struct {
		before, after                *bundle.Bundle
		change                       func(b *bundle.Bundle)
		between, least, within, lost float64
	}{
		"nothing":          {before: bundleByShares(1, 1), after: bundleByShares(1, 1)},
		"last share grows": {before: bundleByShares(1, 1), after: bundleByShares(1, 3), between: 0.25, least: 0.25},
		"first share doubles": {
			before: bundleByShares(1, 1, 1, 1), after: bundleByShares(2, 1, 1, 1),
			between: 0.3, least: 0.15, // the boundaries behind it move as well
		},
		"server leaves": {
			before: bundleByShares(1, 1), after: bundleByShares(1, 1), within: 0.25,
			change: func(b *bundle.Bundle) { b.Services[0].Servers[0].Leaving = true },
		},
		"server lost": {
			before: bundleByShares(1, 1), after: bundleByShares(1, 1), within: 0.25, lost: 0.25,
			change: func(b *bundle.Bundle) { b.Services[0].Servers = b.Services[0].Servers[1:] },
		},
		"server added": {
			before: bundleByShares(1, 1), after: bundleByShares(1, 1), within: 0.5 / 3,
			change: func(b *bundle.Bundle) {
				v := b.Services[0].Servers[0]
				v.Name = "new"
				b.Services[0].Servers = append(b.Services[0].Servers, v)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if tt.change != nil {
				tt.change(tt.after)
			}
			m := bundle.CompareMoves(tt.before, tt.after)[0]
			is.True(almostEqual(m.Between, tt.between))
			is.True(almostEqual(m.LeastBetween, tt.least))
			is.True(almostEqual(m.Within, tt.within))
			is.True(almostEqual(m.Lost, tt.lost))
		})
	}
}

// Checks that SettleHomes gives each domain its share and moves no more keys than needed, over a
// sequence of changes of the shares.
func TestSettleHomesMovesTheLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 8)
		before := bundleByShares(shares.Draw(t, "before")...)
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			after := bundleByShares(shares.Draw(t, "after")...)
			homes := after.SettleHomes(before, "pregled")
			if homes == nil {
				return // no share above zero
			}
			wanted := after.HomeRanges("pregled")
			after.Services[0].Homes = homes
			if err := after.Validate(); err != nil {
				t.Fatal(err)
			}
			got := make(map[string]float64)
			for _, p := range after.HomeRanges("pregled") {
				got[p.Domain] += p.Range.Width()
			}
			for _, p := range wanted {
				if !almostEqual(got[p.Domain], p.Range.Width()) {
					t.Fatalf("domain %s has width %v, want %v", p.Domain, got[p.Domain], p.Range.Width())
				}
			}
			m := bundle.CompareMoves(before, after)[0]
			if !almostEqual(m.Between, m.LeastBetween) {
				t.Fatalf("%v moves between domains, want the least %v", m.Between, m.LeastBetween)
			}
			before = after
		}
	})
}

func TestDiff(t *testing.T) {
	tests := map[string]struct {
		change func(b *bundle.Bundle)
		want   []string
	}{
		"nothing":     {change: func(*bundle.Bundle) {}},
		"leaves":      {change: func(b *bundle.Bundle) { b.Services[0].Servers[0].Leaving = true }, want: []string{`server "pregled-1": leaves: it gets no new work`}},
		"unchecked":   {change: func(b *bundle.Bundle) { b.Services[0].Servers[0].ChecksGrants = true }, want: []string{`server "pregled-1": checks its grants from now on`}},
		"revoked":     {change: func(b *bundle.Bundle) { b.Signers[0].Revoked = true }, want: []string{`signer "ana": revoked`}},
		"other key":   {change: func(b *bundle.Bundle) { b.Signers[0].PublicKey = b.Signers[1].PublicKey }, want: []string{`signer "ana": gets another key`}},
		"roles":       {change: func(b *bundle.Bundle) { b.Signers[0].Roles = nil }, want: []string{`signer "ana": roles [publish] becomes []`}},
		"share":       {change: func(b *bundle.Bundle) { b.Services[0].Homes[0].Share = 4 }, want: []string{`service "pregled" home "klet": share 3 becomes 4`}},
		"hot key":     {change: func(b *bundle.Bundle) { b.Services[0].HotKeys = []string{"gauda"} }, want: []string{`service "pregled" hot keys: "gauda" added`}},
		"unstated":    {change: func(b *bundle.Bundle) { b.Services[0].Isolation = bundle.IsolationHold }},
		"isolation":   {change: func(b *bundle.Bundle) { b.Services[0].Isolation = bundle.IsolationMove }, want: []string{`service "pregled": isolation hold becomes move`}},
		"new service": {change: func(b *bundle.Bundle) { b.Services[0].Name = "oddaja" }, want: []string{`service "oddaja": added`, `service "pregled": removed`, `server "pregled-1": service pregled becomes oddaja`, `server "pregled-2": service pregled becomes oddaja`}},
		"replaced":    {change: func(b *bundle.Bundle) { b.Services[0].Servers[0].Name = "x" }, want: []string{`server "x": added`, `server "pregled-1": removed`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			after := sample(2)
			tt.change(after)
			var got []string
			for _, c := range bundle.Diff(sample(1), after) {
				got = append(got, c.String())
			}
			is.Equal(got, tt.want)
		})
	}
}
