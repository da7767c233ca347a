package bundle_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// sizes are the numbers of servers: of today, of a large site, and of the target.
var sizes = []int{50, 1000, 19000}

// change returns the proofs before and after one server in the middle is marked as leaving.
func change(b *testing.B, servers int) (before, after bundle.Proof) {
	before = prove(b, large(1, servers), bundle.Proof{})
	next := large(2, servers)
	s := next.Services[1].Servers
	s[len(s)/2].Leaving = true
	return before, prove(b, next, before)
}

func eachSize(b *testing.B, run func(b *testing.B, before, after bundle.Proof)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before, after := change(b, n)
			b.ReportAllocs()
			run(b, before, after)
		})
	}
}

func sizeOf(b *testing.B, v any) float64 {
	data, err := json.Marshal(v)
	is.New(b).NoErr(err)
	return float64(len(data))
}

// BenchmarkProof is the cost of taking over a whole bundle from a peer.
func BenchmarkProof(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		for b.Loop() {
			if _, err := after.Verify(crew()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(sizeOf(b, after), "bytes/change")
	})
}

// BenchmarkUpdate is the cost of taking over the change of one server.
func BenchmarkUpdate(b *testing.B) {
	eachSize(b, func(b *testing.B, before, after bundle.Proof) {
		held := hold(b, before)
		u, err := bundle.NewUpdate(held, hold(b, after))
		is.New(b).NoErr(err)
		for b.Loop() {
			if _, err := u.Apply(held, crew()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(sizeOf(b, u), "bytes/change")
	})
}

// BenchmarkNewUpdate is the cost at the instance that reads the log.
func BenchmarkNewUpdate(b *testing.B) {
	eachSize(b, func(b *testing.B, before, after bundle.Proof) {
		held, next := hold(b, before), hold(b, after)
		for b.Loop() {
			if _, err := bundle.NewUpdate(held, next); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkVerifyRelease is the cost of the three signatures alone.
func BenchmarkVerifyRelease(b *testing.B) {
	_, after := change(b, 50)
	for b.Loop() {
		if err := bundle.VerifyRelease(after.Signed.Statement, after.Approval, after.Roll, crew()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHash, BenchmarkParse, BenchmarkValidate and BenchmarkCanonical are the parts of
// the cost that grow with the bundle.
func BenchmarkHash(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		for b.Loop() {
			bundle.Hash(after.Signed.Canonical)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		for b.Loop() {
			if _, err := bundle.Parse(after.Signed.Canonical); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkValidate(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		parsed, err := bundle.Parse(after.Signed.Canonical)
		is.New(b).NoErr(err)
		for b.Loop() {
			if err := parsed.Validate(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkCanonical(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		parsed, err := bundle.Parse(after.Signed.Canonical)
		is.New(b).NoErr(err)
		for b.Loop() {
			if _, err := parsed.Canonical(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
