package bundle_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// step returns the signers of a version in a history where every version has new ones.
func step(version uint64) []bundle.Signer {
	return []bundle.Signer{
		signer(fmt.Sprintf("publisher-%d", version), bundle.RolePublish),
		signer(fmt.Sprintf("approver-%d", version), bundle.RoleApprove, bundle.RoleRoll),
	}
}

// rotate returns the proofs of versions 1 to n, each of which replaces all signers. The
// anchors are step(0).
func rotate(t *testing.T, n uint64) []bundle.Proof {
	t.Helper()
	is := is.New(t)
	proofs := make([]bundle.Proof, 1, n+1)
	for v := uint64(1); v <= n; v++ {
		judges := step(v - 1)
		b := sample(v)
		b.Signers = step(v)
		signed, err := bundle.Publish(b, judges[0].Name, keyOf(judges[0].Name))
		is.NoErr(err)
		approval, err := bundle.Approve(signed.Statement, judges[1].Name, keyOf(judges[1].Name))
		is.NoErr(err)
		roll, err := bundle.Roll(signed.Statement, v-1, judges[1].Name, keyOf(judges[1].Name))
		is.NoErr(err)
		next, err := proofs[v-1].Next(signed, approval, roll, judges, step(0))
		is.NoErr(err)
		proofs = append(proofs, next)
	}
	return proofs
}

// An instance that was made from an old image knows only the first signers. Since then all of
// them were replaced, several times.
func TestProofVerifiesAfterRotations(t *testing.T) {
	is := is.New(t)
	proofs := rotate(t, 5)
	for v := 1; v <= 5; v++ {
		b, err := proofs[v].Verify(step(0))
		is.NoErr(err)
		is.Equal(b.Version, uint64(v))
		is.Equal(len(proofs[v].Chain), v-1)
		is.NoErr(proofs[v].Extends(proofs[max(v-2, 0)], step(0)))
	}
	_, err := proofs[5].Verify(step(3))
	is.NoErr(err) // anchors may be the signers of a later version
	_, err = proofs[5].Verify(step(9))
	is.True(err != nil)
}

func TestProofWithoutALinkFails(t *testing.T) {
	for drop := range 4 {
		t.Run(fmt.Sprint(drop), func(t *testing.T) {
			is := is.New(t)
			p := rotate(t, 5)[5]
			p.Chain = append(p.Chain[:drop:drop], p.Chain[drop+1:]...)
			_, err := p.Verify(step(0))
			is.True(err != nil)
		})
	}
}

func TestProofWithOtherSignersInALinkFails(t *testing.T) {
	is := is.New(t)
	p := rotate(t, 3)[3]
	p.Chain[1].Signers = step(9)
	_, err := p.Verify(step(0))
	is.True(errors.Is(err, bundle.ErrHash))
}

func TestChainIsBounded(t *testing.T) {
	is := is.New(t)
	proofs := rotate(t, bundle.MaxChain+3)
	last := proofs[len(proofs)-1]
	is.Equal(len(last.Chain), bundle.MaxChain)
	_, err := last.Verify(step(0))
	is.True(err != nil) // the anchors are too old
	_, err = last.Verify(step(2))
	is.NoErr(err)
	last.Chain = append([]bundle.Link{proofs[3].Chain[1]}, last.Chain...)
	_, err = last.Verify(step(1))
	is.True(errors.Is(err, bundle.ErrChain)) // it would hold, but is too long
}

// Keys of two generations are stolen. A chain that goes from the newer back to the older one
// must not verify, nor one whose versions do not grow.
func TestChainInAnotherOrderFails(t *testing.T) {
	is := is.New(t)
	p := rotate(t, 2)[2]
	judges := step(1)
	roll, err := bundle.Roll(p.Signed.Statement, 0, judges[1].Name, keyOf(judges[1].Name))
	is.NoErr(err)
	p.Roll = roll
	_, err = p.Verify(step(0))
	is.True(errors.Is(err, bundle.ErrChain))
}
