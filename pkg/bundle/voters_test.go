package bundle

import (
	"testing"

	"github.com/matryer/is"
)

func voting(names ...string) *Bundle {
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
		"same":     {before: voting("a", "b", "c"), after: voting("a", "b", "c")},
		"one more": {before: voting("a", "b", "c"), after: voting("a", "b", "c", "d")},
		"one less": {before: voting("a", "b", "c", "d"), after: voting("a", "b", "c")},
		"one for another": {
			before: voting("a", "b", "c"), after: voting("a", "b", "d"),
			want: []VoterChange{{Domain: "klet", Added: []string{"d"}, Removed: []string{"c"}}},
		},
		"too few, so instances vote": {
			before: voting("a", "b", "c"), after: voting("a", "b"),
			want: []VoterChange{{Domain: "klet", Added: []string{"klet-1"}, Removed: []string{"c"}}},
		},
		"domain new": {before: &Bundle{}, after: voting("a", "b", "c")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CompareVoters(tt.before, tt.after), tt.want)
		})
	}
}
