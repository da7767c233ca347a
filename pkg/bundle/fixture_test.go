package bundle_test

import (
	"crypto/ed25519"
	"crypto/sha256"

	"example.org/mustardring/pkg/bundle"
)

// keyOf returns the key of a signer, which is derived from its name.
func keyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func signer(name string, roles ...bundle.Role) bundle.Signer {
	return bundle.Signer{Name: name, PublicKey: keyOf(name).Public().(ed25519.PublicKey), Roles: roles}
}

// sampleSigners returns two publishers and two signers who may approve and roll.
func sampleSigners() []bundle.Signer {
	return []bundle.Signer{
		signer("ana", bundle.RolePublish),
		signer("boris", bundle.RolePublish),
		signer("cene", bundle.RoleApprove, bundle.RoleRoll),
		signer("dora", bundle.RoleApprove, bundle.RoleRoll),
	}
}

// sample returns a valid bundle with one divided service of two servers in two domains.
func sample(version uint64) *bundle.Bundle {
	return &bundle.Bundle{
		Format:  bundle.FormatVersion,
		Version: version,
		Follows: version - 1,
		Signers: sampleSigners(),
		Domains: []bundle.Domain{{Name: "klet"}, {Name: "podstresje"}},
		Services: []bundle.Service{{
			Name:    "pregled",
			Divided: true,
			Homes:   []bundle.Home{{Domain: "klet", Share: 3}, {Domain: "podstresje", Share: 1}},
			Servers: []bundle.Server{
				{Name: "pregled-1", Domain: "klet", Address: "10.0.0.1:80", Slots: 2, Connections: 110},
				{Name: "pregled-2", Domain: "podstresje", Address: "10.0.1.1:80", Slots: 2, Connections: 110},
			},
			Weights: bundle.Weights{Imbalance: 1, Churn: 3, Unavailable: 1},
			Limits:  bundle.Limits{Queue: 8, BodyBytes: 1 << 20, RequestMillis: 5000, CrashServers: 2, BlockMillis: 60000},
		}},
	}
}
