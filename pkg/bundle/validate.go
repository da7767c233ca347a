package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalid is returned for a bundle whose parts contradict each other.
var ErrInvalid = errors.New("bundle: invalid")

// Validate checks what every instance must agree on before a bundle may come into force.
// The rules belong to the format: changing one needs a new FormatVersion, or two releases
// would judge the same record differently. What may change freely belongs to Check.
func (b *Bundle) Validate() error {
	if b.Format != FormatVersion {
		return fmt.Errorf("%w: /format is %d, want %d", ErrInvalid, b.Format, FormatVersion)
	}
	if b.Version == 0 || b.Version != b.Follows+1 {
		return fmt.Errorf("%w: /version is %d, want one more than /follows, which is %d", ErrInvalid, b.Version, b.Follows)
	}
	if err := validateSigners(b.Signers); err != nil {
		return err
	}
	domains, err := b.validateDomains()
	if err != nil {
		return err
	}
	return b.validateServices(domains)
}

// validateSigners also refuses a set with which no further bundle could come into force.
func validateSigners(signers []Signer) error {
	names, keys := make(map[string]bool), make(map[string]bool)
	for i, s := range signers {
		at := fmt.Sprintf("/signers/%d", i)
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("%w: %s/name is %q, want a name of its own", ErrInvalid, at, s.Name)
		}
		if len(s.PublicKey) != ed25519.PublicKeySize || keys[string(s.PublicKey)] {
			return fmt.Errorf("%w: %s/public-key has %d bytes, want %d that no other signer has",
				ErrInvalid, at, len(s.PublicKey), ed25519.PublicKeySize)
		}
		names[s.Name], keys[string(s.PublicKey)] = true, true
		for _, r := range s.Roles {
			if r != RolePublish && r != RoleApprove && r != RoleRoll {
				return fmt.Errorf("%w: %s/roles has %q, want publish, approve or roll", ErrInvalid, at, r)
			}
		}
	}
	if !canRelease(signers) {
		return fmt.Errorf("%w: /signers has no publisher with another approver and somebody who rolls", ErrInvalid)
	}
	return nil
}

func canRelease(signers []Signer) bool {
	able := func(role Role, other string) bool {
		return slices.ContainsFunc(signers, func(s Signer) bool {
			return s.Name != other && !s.Revoked && slices.Contains(s.Roles, role)
		})
	}
	if !able(RoleRoll, "") {
		return false
	}
	return slices.ContainsFunc(signers, func(s Signer) bool {
		return !s.Revoked && slices.Contains(s.Roles, RolePublish) && able(RoleApprove, s.Name)
	})
}

func (b *Bundle) validateDomains() (map[string]bool, error) {
	domains := make(map[string]bool)
	for i, d := range b.Domains {
		if d.Name == "" || domains[d.Name] {
			return nil, fmt.Errorf("%w: /domains/%d/name is %q, want a name of its own", ErrInvalid, i, d.Name)
		}
		domains[d.Name] = true
	}
	for i, n := range b.Instances {
		if !domains[n.Domain] {
			return nil, fmt.Errorf("%w: /instances/%d/domain is %q, want a name in /domains", ErrInvalid, i, n.Domain)
		}
	}
	return domains, nil
}

func (b *Bundle) validateServices(domains map[string]bool) error {
	services, servers := make(map[string]bool), make(map[string]bool, b.countServers())
	for i := range b.Services {
		s := &b.Services[i]
		at := fmt.Sprintf("/services/%d", i)
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("%w: %s/name is %q, want a name of its own", ErrInvalid, at, s.Name)
		}
		services[s.Name] = true
		if s.Isolation != "" && s.Isolation != IsolationHold && s.Isolation != IsolationMove {
			return fmt.Errorf("%w: %s/isolation is %q, want hold or move", ErrInvalid, at, s.Isolation)
		}
		if err := validateHomes(at, s, domains); err != nil {
			return err
		}
		for j := range s.Servers {
			if err := validateServer(&s.Servers[j], servers, domains); err != nil {
				return fmt.Errorf("%w: %s/servers/%d%w", ErrInvalid, at, j, err)
			}
		}
	}
	return nil
}

func (b *Bundle) countServers() int {
	n := 0
	for i := range b.Services {
		n += len(b.Services[i].Servers)
	}
	return n
}

// validateServer returns an error whose text goes on with the JSON pointer.
func validateServer(v *Server, servers, domains map[string]bool) error {
	switch {
	case v.Name == "" || servers[v.Name]:
		return fmt.Errorf("/name is %q, want a name that no server of any service has", v.Name)
	case !domains[v.Domain]:
		return fmt.Errorf("/domain is %q, want a name in /domains", v.Domain)
	case v.Slots < 0 || v.Slots > maxShare:
		return fmt.Errorf("/slots is %d, want 0 to %d", v.Slots, maxShare)
	default:
		servers[v.Name] = true
		return nil
	}
}

func validateHomes(at string, s *Service, domains map[string]bool) error {
	seen := make(map[string]bool)
	for j, h := range s.Homes {
		if !domains[h.Domain] || seen[h.Domain] {
			return fmt.Errorf("%w: %s/homes/%d/domain is %q, want a name in /domains, once", ErrInvalid, at, j, h.Domain)
		}
		seen[h.Domain] = true
		if h.Share < 0 || h.Share > maxShare {
			return fmt.Errorf("%w: %s/homes/%d/share is %d, want 0 to %d", ErrInvalid, at, j, h.Share, maxShare)
		}
	}
	if stated := statedRanges(s); len(stated) > 0 && !covers(stated) {
		return fmt.Errorf("%w: %s/homes state ranges that overlap or leave gaps, want each hash once", ErrInvalid, at)
	}
	return nil
}
