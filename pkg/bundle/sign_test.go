package bundle_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
)

func TestVerifyRefusesChangedStatements(t *testing.T) {
	signed, err := bundle.Publish(sample(3), "ana", keyOf("ana"))
	if err != nil {
		t.Fatal(err)
	}
	approval, err := bundle.Approve(signed.Statement, "cene", keyOf("cene"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		change func(s *bundle.Statement)
		want   error
	}{
		"unchanged":      {change: func(*bundle.Statement) {}},
		"role":           {change: func(s *bundle.Statement) { s.Role = bundle.RoleRoll }, want: bundle.ErrSignature},
		"version":        {change: func(s *bundle.Statement) { s.Version = 4 }, want: bundle.ErrSignature},
		"follows":        {change: func(s *bundle.Statement) { s.Follows = 3 }, want: bundle.ErrSignature},
		"hash":           {change: func(s *bundle.Statement) { s.Hash = bundle.Hash(nil) }, want: bundle.ErrSignature},
		"signers":        {change: func(s *bundle.Statement) { s.Signers = nil }, want: bundle.ErrSignature},
		"other signer":   {change: func(s *bundle.Statement) { s.Signer = "dora" }, want: bundle.ErrSignature},
		"unknown signer": {change: func(s *bundle.Statement) { s.Signer = "eva" }, want: bundle.ErrSigner},
		"without role":   {change: func(s *bundle.Statement) { s.Signer = "ana" }, want: bundle.ErrSigner},
		"signature":      {change: func(s *bundle.Statement) { s.Signature = signed.Statement.Signature }, want: bundle.ErrSignature},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := approval
			tt.change(&s)
			_, err := s.Verify(sampleSigners())
			is.True(errors.Is(err, tt.want))
		})
	}
}

func TestVerifyRefusesRevokedSigner(t *testing.T) {
	is := is.New(t)
	signed, err := bundle.Publish(sample(1), "ana", keyOf("ana"))
	is.NoErr(err)
	signers := sampleSigners()
	_, err = signed.Statement.Verify(signers)
	is.NoErr(err)
	signers[0].Revoked = true
	_, err = signed.Statement.Verify(signers)
	is.True(errors.Is(err, bundle.ErrSigner))
}

func TestApproveRefusesPublisher(t *testing.T) {
	is := is.New(t)
	signed, err := bundle.Publish(sample(1), "ana", keyOf("ana"))
	is.NoErr(err)
	_, err = bundle.Approve(signed.Statement, "ana", keyOf("ana"))
	is.True(errors.Is(err, bundle.ErrSameSigner))
}

func TestOpen(t *testing.T) {
	signed, err := bundle.Publish(sample(1), "ana", keyOf("ana"))
	if err != nil {
		t.Fatal(err)
	}
	other, err := bundle.Publish(sample(2), "ana", keyOf("ana"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		signed bundle.Signed
		want   error
	}{
		"published":      {signed: signed},
		"other bundle":   {signed: bundle.Signed{Canonical: other.Canonical, Statement: signed.Statement}, want: bundle.ErrHash},
		"white space":    {signed: bundle.Signed{Canonical: append([]byte(" "), signed.Canonical...), Statement: signed.Statement}, want: bundle.ErrCanonical},
		"trailing text":  {signed: bundle.Signed{Canonical: append(signed.Canonical[:len(signed.Canonical):len(signed.Canonical)], '1'), Statement: signed.Statement}, want: bundle.ErrParse},
		"newer format":   {signed: bundle.Signed{Canonical: []byte(`{"format":2}`), Statement: signed.Statement}, want: bundle.ErrNewerFormat},
		"unknown member": {signed: bundle.Signed{Canonical: []byte(`{"format":1,"colour":2}`), Statement: signed.Statement}, want: bundle.ErrParse},
		"empty bundle":   {signed: bundle.Signed{Canonical: []byte(`{"format":1}`), Statement: signed.Statement}, want: bundle.ErrInvalid},
		"approval":       {signed: bundle.Signed{Canonical: signed.Canonical, Statement: bundle.Statement{Role: bundle.RoleApprove}}, want: bundle.ErrHash},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := tt.signed.Open()
			is.True(errors.Is(err, tt.want))
			is.Equal(b != nil, tt.want == nil)
		})
	}
}
