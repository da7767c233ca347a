package bundle

import (
	"testing"

	"github.com/matryer/is"
)

// bundleWithVoters returns a bundle with one domain, an instance in it, and servers of the given
// names that check grants.
func bundleWithVoters(names ...string) *Bundle {
	b := &Bundle{Domains: []Domain{{Name: "klet"}}, Services: []Service{{Name: "pregled"}}}
	for _, name := range names {
		b.Services[0].Servers = append(b.Services[0].Servers, Server{Name: name, Domain: "klet", ChecksGrants: true})
	}
	b.Instances = []Instance{{Name: "klet-1", Domain: "klet"}, {Name: "podstresje-1", Domain: "podstresje"}}
	return b
}

func TestCompareVoters(t *testing.T) {
	tests := map[string]struct {
		before, after *Bundle
		want          []VoterChange
	}{
		"same":     {before: bundleWithVoters("a", "b", "c"), after: bundleWithVoters("a", "b", "c")},
		"one more": {before: bundleWithVoters("a", "b", "c"), after: bundleWithVoters("a", "b", "c", "d")},
		"one less": {before: bundleWithVoters("a", "b", "c", "d"), after: bundleWithVoters("a", "b", "c")},
		"one replaced": {
			before: bundleWithVoters("a", "b", "c"), after: bundleWithVoters("a", "b", "d"),
			want: []VoterChange{{Domain: "klet", Added: []string{"d"}, Removed: []string{"c"}}},
		},
		"too few servers, so instances vote": {
			before: bundleWithVoters("a", "b", "c"), after: bundleWithVoters("a", "b"),
			want: []VoterChange{{Domain: "klet", Added: []string{"klet-1"}, Removed: []string{"c"}}},
		},
		"new domain": {before: &Bundle{}, after: bundleWithVoters("a", "b", "c")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CompareVoters(tt.before, tt.after), tt.want)
		})
	}
}
