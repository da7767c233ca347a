package bundle_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// serverCounts are the numbers of servers of a small site, of a large site, and of the largest
// site that is to be supported.
var serverCounts = []int{50, 1000, 19000}

// changeOneServer returns the proofs before and after one server in the middle is marked as
// leaving.
func changeOneServer(b *testing.B, servers int) (before, after bundle.Proof) {
	before = prove(b, largeBundle(1, servers), bundle.Proof{})
	next := largeBundle(2, servers)
	s := next.Services[1].Servers
	s[len(s)/2].Leaving = true
	return before, prove(b, next, before)
}

// eachSize runs a benchmark for each number of servers.
func eachSize(b *testing.B, run func(b *testing.B, before, after bundle.Proof)) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before, after := changeOneServer(b, n)
			b.ReportAllocs()
			run(b, before, after)
		})
	}
}

// sizeOf returns the length of v as JSON.
func sizeOf(b *testing.B, v any) float64 {
	data, err := json.Marshal(v)
	is.New(b).NoErr(err)
	return float64(len(data))
}

// BenchmarkProof measures the verification of a whole bundle from a peer.
func BenchmarkProof(b *testing.B) {
	eachSize(b, func(b *testing.B, _, after bundle.Proof) {
		for b.Loop() {
			if _, err := after.Verify(sampleSigners()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(sizeOf(b, after), "bytes/change")
	})
}

// BenchmarkUpdate measures the verification of an update that changes one server.
func BenchmarkUpdate(b *testing.B) {
	eachSize(b, func(b *testing.B, before, after bundle.Proof) {
		held := openHeld(b, before)
		u, err := bundle.NewUpdate(held, openHeld(b, after))
		is.New(b).NoErr(err)
		for b.Loop() {
			if _, err := u.Apply(held, sampleSigners()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(sizeOf(b, u), "bytes/change")
	})
}

// BenchmarkNewUpdate measures the making of an update, which the instance that reads the log does.
func BenchmarkNewUpdate(b *testing.B) {
	eachSize(b, func(b *testing.B, before, after bundle.Proof) {
		held, next := openHeld(b, before), openHeld(b, after)
		for b.Loop() {
			if _, err := bundle.NewUpdate(held, next); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkVerifyRelease measures the verification of the three signatures alone.
func BenchmarkVerifyRelease(b *testing.B) {
	_, after := changeOneServer(b, 50)
	for b.Loop() {
		if err := bundle.VerifyRelease(after.Signed.Statement, after.Approval, after.Roll, sampleSigners()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHash, BenchmarkParse, BenchmarkValidate and BenchmarkCanonical measure the steps of
// the verification whose cost grows with the bundle.
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
