package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalid is returned for a bundle that breaks a rule of the format, such as unique names.
// The error text has the JSON pointer to the fault.
var ErrInvalid = errors.New("bundle: invalid")

// Validate checks the rules that a bundle must satisfy to come into force. It returns
// ErrInvalid if one is broken.
//
// All instances must get the same result, so the rules are a part of the format. A change of a
// rule needs a new FormatVersion; otherwise two releases could disagree about the same record.
// Rules that may change from release to release belong in package check.
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

// validateSigners checks each signer, and that the signers together can put a further bundle in
// force.
func validateSigners(signers []Signer) error {
	names, keys := make(map[string]bool), make(map[string]bool)
	for i, s := range signers {
		at := fmt.Sprintf("/signers/%d", i)
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("%w: %s/name is %q, want a unique, non-empty name", ErrInvalid, at, s.Name)
		}
		if len(s.PublicKey) != ed25519.PublicKeySize || keys[string(s.PublicKey)] {
			return fmt.Errorf("%w: %s/public-key has %d bytes, want a key of %d bytes that no other signer has",
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
		return fmt.Errorf("%w: /signers has no publisher with another approver and a signer who may roll", ErrInvalid)
	}
	return nil
}

// canRelease reports whether there are a publisher, another signer who may approve, and a signer
// who may roll, none of them revoked.
func canRelease(signers []Signer) bool {
	hasRole := func(role Role, except string) bool {
		return slices.ContainsFunc(signers, func(s Signer) bool {
			return s.Name != except && !s.Revoked && slices.Contains(s.Roles, role)
		})
	}
	if !hasRole(RoleRoll, "") {
		return false
	}
	return slices.ContainsFunc(signers, func(s Signer) bool {
		return !s.Revoked && slices.Contains(s.Roles, RolePublish) && hasRole(RoleApprove, s.Name)
	})
}

// validateDomains checks the domains and instances and returns the names of the domains.
func (b *Bundle) validateDomains() (map[string]bool, error) {
	domains := make(map[string]bool)
	for i, d := range b.Domains {
		if d.Name == "" || domains[d.Name] {
			return nil, fmt.Errorf("%w: /domains/%d/name is %q, want a unique, non-empty name", ErrInvalid, i, d.Name)
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
			return fmt.Errorf("%w: %s/name is %q, want a unique, non-empty name", ErrInvalid, at, s.Name)
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

// validateServer returns an error whose text begins with the JSON pointer relative to the
// server. It adds the name to servers, which holds the names of all services.
func validateServer(v *Server, servers, domains map[string]bool) error {
	switch {
	case v.Name == "" || servers[v.Name]:
		return fmt.Errorf("/name is %q, want a non-empty name that no other server of any service has", v.Name)
	case !domains[v.Domain]:
		return fmt.Errorf("/domain is %q, want a name in /domains", v.Domain)
	case v.Slots < 0 || v.Slots > maxShare:
		return fmt.Errorf("/slots is %d, want 0 to %d", v.Slots, maxShare)
	default:
		servers[v.Name] = true
		return nil
	}
}

// validateHomes checks the homes of the service at the JSON pointer at.
func validateHomes(at string, s *Service, domains map[string]bool) error {
	seen := make(map[string]bool)
	for j, h := range s.Homes {
		if !domains[h.Domain] || seen[h.Domain] {
			return fmt.Errorf("%w: %s/homes/%d/domain is %q, want a name in /domains that no other home has", ErrInvalid, at, j, h.Domain)
		}
		seen[h.Domain] = true
		if h.Share < 0 || h.Share > maxShare {
			return fmt.Errorf("%w: %s/homes/%d/share is %d, want 0 to %d", ErrInvalid, at, j, h.Share, maxShare)
		}
	}
	if stated := statedRanges(s); len(stated) > 0 && !covers(stated) {
		return fmt.Errorf("%w: %s/homes have ranges that overlap or leave gaps, want each hash exactly once", ErrInvalid, at)
	}
	return nil
}
