package bundle_test

import (
	"fmt"

	"example.org/mustardring/pkg/bundle"
)

// A bundle comes into force by three signed statements: of its publisher, of another signer who
// approves it, and of a signer who rolls it. Together they form a proof, which an instance
// verifies with nothing but its trust anchors.
func Example() {
	b := sample(1)
	signed, err := bundle.Publish(b, "ana", keyOf("ana"))
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = bundle.Approve(signed.Statement, "ana", keyOf("ana"))
	fmt.Println(err)
	approval, err := bundle.Approve(signed.Statement, "cene", keyOf("cene"))
	if err != nil {
		fmt.Println(err)
		return
	}
	roll, err := bundle.Roll(signed.Statement, 0, "dora", keyOf("dora"))
	if err != nil {
		fmt.Println(err)
		return
	}
	anchors := sampleSigners()
	proof, err := bundle.Proof{}.Next(signed, approval, roll, nil, anchors)
	if err != nil {
		fmt.Println(err)
		return
	}
	inForce, err := proof.Verify(anchors)
	fmt.Println(inForce.Version, err)
	// Output:
	// bundle: publisher and approver are the same: ana
	// 1 <nil>
}

func ExampleBundle_HomeRanges() {
	for _, h := range sample(1).HomeRanges("pregled") {
		fmt.Println(h.Range, h.Domain)
	}
	// Output:
	// 0000000000000000-bfffffffffffffff klet
	// c000000000000000-ffffffffffffffff podstresje
}

func ExampleDiff() {
	before, after := sample(1), sample(2)
	after.Services[0].Servers[0].Leaving = true
	after.Services[0].Homes[1].Share = 2
	for _, c := range bundle.Diff(before, after) {
		fmt.Println(c)
	}
	// Output:
	// service "pregled" home "podstresje": share 1 becomes 2
	// server "pregled-1": leaves: it gets no new work
}

// Four domains have equal shares, and the share of the first one is doubled. If the shares divide
// the hash space in order, the boundaries behind the first domain move as well. The ranges of
// SettleHomes move only the keys that have to move.
func ExampleCompareMoves() {
	before, after := bundleByShares(1, 1, 1, 1), bundleByShares(2, 1, 1, 1)
	m := bundle.CompareMoves(before, after)[0]
	fmt.Printf("%.2f moves, %.2f must\n", m.Between, m.LeastBetween)
	after.Services[0].Homes = after.SettleHomes(before, "pregled")
	m = bundle.CompareMoves(before, after)[0]
	fmt.Printf("%.2f moves\n", m.Between)
	// Output:
	// 0.30 moves, 0.15 must
	// 0.15 moves
}

// An instance that holds version 1 gets to version 2 by an update, which contains only the changes.
func ExampleUpdate_Apply() {
	one, two := sample(1), sample(2)
	two.Services[0].HotKeys = []string{"gauda"}
	held, next := release(one, bundle.Held{}), release(two, release(one, bundle.Held{}))
	u, err := bundle.NewUpdate(held, next)
	if err != nil {
		fmt.Println(err)
		return
	}
	got, err := u.Apply(held, sampleSigners())
	fmt.Println(got.Bundle.Version, got.Bundle.Services[0].HotKeys, err)
	// Output:
	// 2 [gauda] <nil>
}

// release puts a bundle in force in place of the held one.
func release(b *bundle.Bundle, held bundle.Held) bundle.Held {
	signed, _ := bundle.Publish(b, "ana", keyOf("ana"))
	approval, _ := bundle.Approve(signed.Statement, "cene", keyOf("cene"))
	roll, _ := bundle.Roll(signed.Statement, held.Proof.Version(), "dora", keyOf("dora"))
	proof, _ := held.Proof.Next(signed, approval, roll, sampleSigners(), sampleSigners())
	return bundle.Held{Proof: proof, Bundle: b}
}
