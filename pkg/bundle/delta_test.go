package bundle_test

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/pkg/bundle"
)

// largeBundle returns a bundle with servers that are spread over ten domains and three services.
func largeBundle(version uint64, servers int) *bundle.Bundle {
	b := sample(version)
	b.Domains, b.Services = nil, nil
	for i := range 10 {
		b.Domains = append(b.Domains, bundle.Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	for i := range 3 {
		s := sample(version).Services[0]
		s.Name, s.Homes, s.Servers = fmt.Sprintf("service-%d", i), nil, nil
		b.Services = append(b.Services, s)
	}
	for i := range servers {
		s := &b.Services[i%3]
		s.Servers = append(s.Servers, bundle.Server{
			Name: fmt.Sprintf("server-%d", i), Domain: fmt.Sprintf("domain-%d", i%10),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), ChecksGrants: true, Slots: 2, Connections: 110,
		})
	}
	return b
}

// prove publishes, approves and rolls a bundle in place of the held one and returns its proof.
func prove(t testing.TB, b *bundle.Bundle, held bundle.Proof) bundle.Proof {
	t.Helper()
	is := is.New(t)
	signed, err := bundle.Publish(b, "ana", keyOf("ana"))
	is.NoErr(err)
	approval, err := bundle.Approve(signed.Statement, "cene", keyOf("cene"))
	is.NoErr(err)
	roll, err := bundle.Roll(signed.Statement, held.Version(), "dora", keyOf("dora"))
	is.NoErr(err)
	next, err := held.Next(signed, approval, roll, sampleSigners(), sampleSigners())
	is.NoErr(err)
	return next
}

// openHeld returns a proof together with its bundle.
func openHeld(t testing.TB, p bundle.Proof) bundle.Held {
	t.Helper()
	b, err := p.Signed.Open()
	is.New(t).NoErr(err)
	return bundle.Held{Proof: p, Bundle: b}
}

func TestApplyReturnsTheNextBundle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawBundle(t, "base"), drawBundle(t, "next")
		canonical, err := next.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		d, err := bundle.NewDelta(base, []byte("base"), next, bundle.Hash(canonical))
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		d = bundle.Delta{}
		if err := json.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		_, got, err := d.Apply(base, []byte("base"))
		if err != nil || string(got) != string(canonical) {
			t.Fatalf("got %s, error %v, want %s from delta %s", got, err, canonical, data)
		}
	})
}

// drawBundle draws a bundle, valid or not, with random services and servers in random order. Two
// drawn bundles often have some of them in common.
func drawBundle(t *rapid.T, label string) *bundle.Bundle {
	b := sample(rapid.Uint64Range(1, 3).Draw(t, label+"-version"))
	b.Services = nil
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"pregled", "oddaja", "arhiv"}), 0, 3, rapid.ID).Draw(t, label+"-services") {
		s := bundle.Service{Name: name, HotKeys: rapid.SliceOf(rapid.SampledFrom([]string{"}", "č", "{}"})).Draw(t, label+"-hot")}
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID).Draw(t, label+"-servers") {
			s.Servers = append(s.Servers, bundle.Server{Name: fmt.Sprint(i), Slots: rapid.IntRange(1, 2).Draw(t, label+"-slots")})
		}
		b.Services = append(b.Services, s)
	}
	return b
}

func TestApplyRefusesWrongDeltas(t *testing.T) {
	one := openHeld(t, prove(t, largeBundle(1, 50), bundle.Proof{}))
	two := openHeld(t, prove(t, largeBundle(2, 51), one.Proof))
	tests := map[string]struct {
		change func(d *bundle.Delta)
		want   error
	}{
		"unchanged":            {change: func(*bundle.Delta) {}},
		"other base":           {change: func(d *bundle.Delta) { d.BaseHash = d.Hash }, want: bundle.ErrBase},
		"other hash":           {change: func(d *bundle.Delta) { d.Hash = d.BaseHash }, want: bundle.ErrDelta},
		"no server edits":      {change: func(d *bundle.Delta) { d.Servers = nil }, want: bundle.ErrDelta},
		"more services":        {change: func(d *bundle.Delta) { d.Servers = make([]bundle.ServerEdits, 9) }, want: bundle.ErrDelta},
		"text past end":        {change: func(d *bundle.Delta) { d.Frame[0].Count = 1 << 30 }, want: bundle.ErrDelta},
		"text before start":    {change: func(d *bundle.Delta) { d.Frame[0].From = -1 }, want: bundle.ErrDelta},
		"text overflow":        {change: func(d *bundle.Delta) { d.Frame[0].From, d.Frame[0].Count = 1, 1<<63-1 }, want: bundle.ErrDelta},
		"text too long":        {change: func(d *bundle.Delta) { d.Frame = slices.Repeat([]bundle.TextEdit{{Count: 1000}}, 20_000) }, want: bundle.ErrDelta},
		"servers past end":     {change: func(d *bundle.Delta) { d.Servers[2].Edits[0].Count = 1 << 30 }, want: bundle.ErrDelta},
		"servers before start": {change: func(d *bundle.Delta) { d.Servers[2].Edits[0].From = -1 }, want: bundle.ErrDelta},
		"too many servers": {change: func(d *bundle.Delta) {
			d.Servers[2].Edits = slices.Repeat([]bundle.ServerEdit{{Count: 16}}, 1<<16+1)
		}, want: bundle.ErrDelta},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, err := bundle.NewUpdate(one, two)
			is.NoErr(err)
			tt.change(&u.Delta)
			_, err = u.Apply(one, sampleSigners())
			is.True(errors.Is(err, tt.want))
		})
	}
}

func TestUpdate(t *testing.T) {
	is := is.New(t)
	one := openHeld(t, prove(t, largeBundle(1, 50), bundle.Proof{}))
	two := openHeld(t, prove(t, largeBundle(2, 51), one.Proof))
	three := openHeld(t, prove(t, largeBundle(3, 52), two.Proof))
	u, err := bundle.NewUpdate(one, two)
	is.NoErr(err)
	got, err := u.Apply(one, sampleSigners())
	is.NoErr(err)
	is.Equal(got, two)
	_, err = u.Apply(two, sampleSigners())
	is.True(errors.Is(err, bundle.ErrStep))
	_, err = bundle.NewUpdate(one, three)
	is.True(errors.Is(err, bundle.ErrStep))
	u.Roller = u.Approver
	_, err = u.Apply(one, sampleSigners())
	is.True(errors.Is(err, bundle.ErrSignature))
	u.Roller.Signer = "ana"
	_, err = u.Apply(one, sampleSigners())
	is.True(errors.Is(err, bundle.ErrSigner))
}

// All three signers have signed a release with an older version, or one that is not valid.
// Instances must refuse it nevertheless.
func TestApplyRefusesWrongReleases(t *testing.T) {
	tests := map[string]struct {
		next *bundle.Bundle
		want error
	}{
		"older version": {next: sample(1), want: bundle.ErrStep},
		"not valid":     {next: &bundle.Bundle{Format: 1, Version: 3, Follows: 2}, want: bundle.ErrInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			held := openHeld(t, prove(t, sample(2), bundle.Proof{}))
			signed := publishUnchecked(t, tt.next)
			approval, err := bundle.Approve(signed.Statement, "cene", keyOf("cene"))
			is.NoErr(err)
			roll, err := bundle.Roll(signed.Statement, 2, "dora", keyOf("dora"))
			is.NoErr(err)
			u, err := bundle.NewUpdate(held, bundle.Held{Proof: bundle.Proof{Signed: signed, Approval: approval, Roll: roll}, Bundle: tt.next})
			is.NoErr(err)
			_, err = u.Apply(held, sampleSigners())
			is.True(errors.Is(err, tt.want))
		})
	}
}

// publishUnchecked signs a bundle as its publisher without validating it.
func publishUnchecked(t *testing.T, b *bundle.Bundle) bundle.Signed {
	t.Helper()
	is := is.New(t)
	canonical, err := b.Canonical()
	is.NoErr(err)
	signers, err := bundle.HashSigners(b.Signers)
	is.NoErr(err)
	st := bundle.Statement{
		Role: bundle.RolePublish, Version: b.Version, Follows: b.Follows,
		Hash: bundle.Hash(canonical), Signers: signers, Signer: "ana",
	}
	st.Signature = ed25519.Sign(keyOf("ana"), st.Text())
	return bundle.Signed{Canonical: canonical, Statement: st}
}

// Updates have no chain of signers. The receiver must extend the chain itself if the signers change.
func TestUpdateAcrossRotations(t *testing.T) {
	is := is.New(t)
	proofs := rotatedProofs(t, 4)
	held := openHeld(t, proofs[1])
	for _, next := range proofs[2:] {
		u, err := bundle.NewUpdate(held, openHeld(t, next))
		is.NoErr(err)
		held, err = u.Apply(held, signersOf(0))
		is.NoErr(err)
		is.Equal(held.Proof, next)
	}
	is.Equal(held.Bundle.Version, uint64(4))
}
