package bundle_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

func TestHomeRangesBySlots(t *testing.T) {
	is := is.New(t)
	b := sample(1)
	b.Services[0].Homes = nil
	b.Services[0].Servers[0].Leaving = true
	is.Equal(b.HomeRanges("pregled"), []bundle.HomeRange{{Domain: "podstresje", Range: keys.Full}})
	b.Services[0].Servers[0].Leaving = false
	is.Equal(b.HomeRanges("pregled"), []bundle.HomeRange{
		{Domain: "klet", Range: keys.Range{First: 0, Last: 1<<63 - 1}},
		{Domain: "podstresje", Range: keys.Range{First: 1 << 63, Last: keys.Full.Last}},
	})
	is.Equal(b.HomeRanges("absent"), nil)
}

func TestHomeRangesByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := sample(1)
		shares := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 12).Draw(t, "shares")
		total := 0
		var homes []bundle.Home
		for i, s := range shares {
			homes = append(homes, bundle.Home{Domain: string(rune('a' + i)), Share: s})
			total += s
		}
		b.Services[0].Homes = homes
		parts := b.HomeRanges("pregled")
		if total == 0 {
			if parts != nil {
				t.Fatalf("got %v for shares that are all zero", parts)
			}
			return
		}
		next := uint64(0)
		for _, p := range parts {
			if p.Range.First != next || p.Range.Last < p.Range.First {
				t.Fatalf("part %v, want first %016x", p, next)
			}
			share := homes[p.Domain[0]-'a'].Share
			if got, want := p.Range.Width(), float64(share)/float64(total); got < want-1e-9 || got > want+1e-9 {
				t.Fatalf("width %v for share %d of %d", got, share, total)
			}
			next = p.Range.Last + 1
		}
		if next != 0 {
			t.Fatalf("hash space is covered up to %016x only", next)
		}
	})
}
