package fold

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Domains state homes by old bundles, late, twice, and evict each other. No hash may have two
// homes after any record, or two domains would serve it.
func TestNoRangeHasTwoHomes(t *testing.T) {
	domains := []string{"klet", "podstresje", "dvorana-a"}
	rapid.Check(t, func(t *rapid.T) {
		s := New(crew())
		b := sample(1, "a")
		b.Services[0].Isolation = bundle.IsolationMove
		b.Domains = append(b.Domains, bundle.Domain{Name: "podstresje"}, bundle.Domain{Name: "dvorana-a"})
		var j journal
		j.addAll(release(b, 0)...)
		var old []record.Record
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			j.fold(s)
			domain := rapid.SampledFrom(domains).Draw(t, "domain")
			r := record.Record(record.HomesTaken{
				Domain: domain, Version: 1, Base: HomesBase(s.Homes, domain),
				Services: []record.ServiceHomes{{Service: "pregled", Ranges: drawRanges(t)}},
			})
			if rapid.IntRange(0, 3).Draw(t, "evicts") == 0 {
				r = record.HomesEvicted{
					Domain: domain, Service: "pregled", By: rapid.SampledFrom(domains).Draw(t, "by"),
					Base: HomesBase(s.Homes, domain), Notice: FindHomes(s.Homes, "pregled", domain).Notice,
				}
			}
			old = append(old, r)
			j.addAll(rapid.SampledFrom(old).Draw(t, "lands"))
			j.fold(s)
			checkDisjoint(t, s.Homes)
			restored := must(Restore(must(s.Encode()), crew()))
			if !bytes.Equal(must(restored.Encode()), must(s.Encode())) {
				t.Fatal("other bytes after a checkpoint")
			}
		}
	})
}

// drawRanges returns sorted, disjoint ranges.
func drawRanges(t *rapid.T) []keys.Range {
	var list []keys.Range
	for _, r := range keys.Split(keys.Full, 8) {
		if rapid.Bool().Draw(t, "range") {
			list = append(list, r)
		}
	}
	return list
}

func checkDisjoint(t *rapid.T, homes []DomainHomes) {
	for i, a := range homes {
		for _, b := range homes[:i] {
			for _, r := range a.Ranges {
				for _, o := range b.Ranges {
					if a.Service == b.Service && r.Overlaps(o) {
						t.Fatalf("%v of %s is also at %s", r, a.Domain, b.Domain)
					}
				}
			}
		}
	}
}
