package bundle_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

// signersOf returns the signers of a version in a history where each version replaces them.
func signersOf(version uint64) []bundle.Signer {
	return []bundle.Signer{
		signer(fmt.Sprintf("publisher-%d", version), bundle.RolePublish),
		signer(fmt.Sprintf("approver-%d", version), bundle.RoleApprove, bundle.RoleRoll),
	}
}

// rotatedProofs returns the proofs of versions 1 to n, with that of version v at index v. Each
// version replaces all signers. The anchors are signersOf(0).
func rotatedProofs(t *testing.T, n uint64) []bundle.Proof {
	t.Helper()
	is := is.New(t)
	proofs := make([]bundle.Proof, 1, n+1)
	for v := uint64(1); v <= n; v++ {
		signers := signersOf(v - 1)
		b := sample(v)
		b.Signers = signersOf(v)
		signed, err := bundle.Publish(b, signers[0].Name, keyOf(signers[0].Name))
		is.NoErr(err)
		approval, err := bundle.Approve(signed.Statement, signers[1].Name, keyOf(signers[1].Name))
		is.NoErr(err)
		roll, err := bundle.Roll(signed.Statement, v-1, signers[1].Name, keyOf(signers[1].Name))
		is.NoErr(err)
		next, err := proofs[v-1].Next(signed, approval, roll, signers, signersOf(0))
		is.NoErr(err)
		proofs = append(proofs, next)
	}
	return proofs
}

// An instance that starts from an old image knows only the first signers, all of which have been
// replaced several times since then.
func TestProofVerifiesAfterRotations(t *testing.T) {
	is := is.New(t)
	proofs := rotatedProofs(t, 5)
	for v := 1; v <= 5; v++ {
		b, err := proofs[v].Verify(signersOf(0))
		is.NoErr(err)
		is.Equal(b.Version, uint64(v))
		is.Equal(len(proofs[v].Chain), v-1)
		is.NoErr(proofs[v].Extends(proofs[max(v-2, 0)], signersOf(0)))
	}
	_, err := proofs[5].Verify(signersOf(3))
	is.NoErr(err) // anchors may be the signers of a later version
	_, err = proofs[5].Verify(signersOf(9))
	is.True(err != nil)
}

func TestProofWithMissingLinkFails(t *testing.T) {
	for drop := range 4 {
		t.Run(fmt.Sprint(drop), func(t *testing.T) {
			is := is.New(t)
			p := rotatedProofs(t, 5)[5]
			p.Chain = append(p.Chain[:drop:drop], p.Chain[drop+1:]...)
			_, err := p.Verify(signersOf(0))
			is.True(err != nil)
		})
	}
}

func TestProofWithOtherSignersInLinkFails(t *testing.T) {
	is := is.New(t)
	p := rotatedProofs(t, 3)[3]
	p.Chain[1].Signers = signersOf(9)
	_, err := p.Verify(signersOf(0))
	is.True(errors.Is(err, bundle.ErrHash))
}

func TestChainIsBounded(t *testing.T) {
	is := is.New(t)
	proofs := rotatedProofs(t, bundle.MaxChain+3)
	last := proofs[len(proofs)-1]
	is.Equal(len(last.Chain), bundle.MaxChain)
	_, err := last.Verify(signersOf(0))
	is.True(err != nil) // the anchors are older than the chain
	_, err = last.Verify(signersOf(2))
	is.NoErr(err)
	last.Chain = append([]bundle.Link{proofs[3].Chain[1]}, last.Chain...)
	_, err = last.Verify(signersOf(1))
	is.True(errors.Is(err, bundle.ErrChain)) // the chain is correct but too long
}

// With stolen keys a release is signed that replaces version 0, although version 1 precedes it in the
// chain. Its proof must not verify: each release has to replace the one before it or a later one.
func TestRollOfOlderVersionFails(t *testing.T) {
	is := is.New(t)
	p := rotatedProofs(t, 2)[2]
	signers := signersOf(1)
	roll, err := bundle.Roll(p.Signed.Statement, 0, signers[1].Name, keyOf(signers[1].Name))
	is.NoErr(err)
	p.Roll = roll
	_, err = p.Verify(signersOf(0))
	is.True(errors.Is(err, bundle.ErrChain))
}
