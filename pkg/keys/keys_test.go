package keys

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseRange(t *testing.T) {
	tests := map[string]struct {
		text string
		want Range
		bad  bool
	}{
		"full":     {text: "0000000000000000-ffffffffffffffff", want: Full},
		"one hash": {text: "00000000000000aa-00000000000000aa", want: Range{First: 0xaa, Last: 0xaa}},
		"reversed": {text: "00000000000000ab-00000000000000aa", bad: true},
		"short":    {text: "00-ff", bad: true},
		"empty":    {text: "", bad: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseRange(tt.text)
			is.Equal(err != nil, tt.bad)
			is.Equal(got, tt.want)
		})
	}
}

func TestSplitCoversEachHashOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		r := Range{First: min(a, b), Last: max(a, b)}
		parts := Split(r, rapid.IntRange(1, 50).Draw(t, "n"))
		next := r.First
		for i, p := range parts {
			if p.First != next || p.Last < p.First {
				t.Fatalf("part %d is %v, want first %016x", i, p, next)
			}
			next = p.Last + 1
		}
		if parts[len(parts)-1].Last != r.Last {
			t.Fatalf("last part ends at %016x", parts[len(parts)-1].Last)
		}
		hash := rapid.Uint64Range(r.First, r.Last).Draw(t, "hash")
		if i := Find(parts, hash); i < 0 || !parts[i].Contains(hash) {
			t.Fatalf("hash %016x found at %d", hash, i)
		}
	})
}

func TestHashSeparatesServices(t *testing.T) {
	is := is.New(t)
	is.True(Hash("a", "bc") != Hash("ab", "c"))
	is.Equal(Hash("pregled", "k"), Hash("pregled", "k"))
}
