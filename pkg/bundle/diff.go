package bundle

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two versions, described for people.
type Change struct {
	// Subject is what changes, such as `server "pregled-1"`.
	Subject string `json:"subject"`
	// Words is how it changes, such as "slots 2 becomes 4".
	Words string `json:"words"`
}

// String returns the change as one line.
func (c Change) String() string {
	return c.Subject + ": " + c.Words
}

// Diff returns the changes from one version to another: those of signers, domains, instances,
// services, servers and lifted blocks, in this order. Within each kind, they follow the order of
// the later version, and removals come last. Differences in Format, Version and Follows are left
// out.
func Diff(before, after *Bundle) []Change {
	var d differ
	diffNamed(&d, "signer", before.Signers, after.Signers, func(s Signer) string { return s.Name }, d.signer)
	diffNamed(&d, "domain", before.Domains, after.Domains, func(n Domain) string { return n.Name }, d.domain)
	diffNamed(&d, "instance", before.Instances, after.Instances, func(n Instance) string { return n.Name }, d.instance)
	diffNamed(&d, "service", before.Services, after.Services, func(s Service) string { return s.Name }, d.service)
	d.servers(before, after)
	d.list("lifted blocks", before.Lifted, after.Lifted)
	return d.changes
}

// differ collects the changes between two versions.
type differ struct {
	changes []Change
}

func (d *differ) add(subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Subject: subject, Words: fmt.Sprintf(format, args...)})
}

// diffValue adds a change if two values of a member differ.
func diffValue[T comparable](d *differ, subject, member string, before, after T) {
	if before != after {
		d.add(subject, "%s %v becomes %v", member, before, after)
	}
}

// diffNamed compares two lists whose elements have unique names. It calls compare for the
// elements that both lists have.
func diffNamed[T any](d *differ, kind string, before, after []T, name func(T) string, compare func(subject string, a, b T)) {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[name(v)] = v
	}
	remains := make(map[string]bool, len(after))
	for _, v := range after {
		n := name(v)
		remains[n] = true
		subject := fmt.Sprintf("%s %q", kind, n)
		if o, known := old[n]; known {
			compare(subject, o, v)
			continue
		}
		d.add(subject, "added")
	}
	for _, v := range before {
		if n := name(v); !remains[n] {
			d.add(fmt.Sprintf("%s %q", kind, n), "removed")
		}
	}
}

func (d *differ) signer(subject string, a, b Signer) {
	if !bytes.Equal(a.PublicKey, b.PublicKey) {
		d.add(subject, "gets another key")
	}
	diffValue(d, subject, "roles", roleNames(a.Roles), roleNames(b.Roles))
	switch {
	case b.Revoked && !a.Revoked:
		d.add(subject, "revoked")
	case a.Revoked && !b.Revoked:
		d.add(subject, "no longer revoked")
	}
}

func roleNames(roles []Role) string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return "[" + strings.Join(names, " ") + "]"
}

func (d *differ) domain(subject string, a, b Domain) {
	diffValue(d, subject, "region", fmt.Sprintf("%q", a.Region), fmt.Sprintf("%q", b.Region))
}

func (d *differ) instance(subject string, a, b Instance) {
	diffValue(d, subject, "domain", a.Domain, b.Domain)
	diffValue(d, subject, "address", a.Address, b.Address)
}

func (d *differ) service(subject string, a, b Service) {
	diffValue(d, subject, "divided", a.Divided, b.Divided)
	diffValue(d, subject, "isolation", isolation(a), isolation(b))
	d.list(subject+" hot keys", a.HotKeys, b.HotKeys)
	d.homes(subject, a.Homes, b.Homes)
	diffValue(d, subject, "weight of imbalance", a.Weights.Imbalance, b.Weights.Imbalance)
	diffValue(d, subject, "weight of churn", a.Weights.Churn, b.Weights.Churn)
	diffValue(d, subject, "weight of unavailable time", a.Weights.Unavailable, b.Weights.Unavailable)
	diffValue(d, subject, "queue", a.Limits.Queue, b.Limits.Queue)
	diffValue(d, subject, "largest body in bytes", a.Limits.BodyBytes, b.Limits.BodyBytes)
	diffValue(d, subject, "longest request in ms", a.Limits.RequestMillis, b.Limits.RequestMillis)
	diffValue(d, subject, "lost servers before a block", a.Limits.CrashServers, b.Limits.CrashServers)
	diffValue(d, subject, "block in ms", a.Limits.BlockMillis, b.Limits.BlockMillis)
	diffValue(d, subject, "stated load in slots", a.Load.Slots(), b.Load.Slots())
	diffValue(d, subject, "share of keys that may move", a.MoveShare, b.MoveShare)
}

// isolation returns the isolation rule of a service, the default if it has none.
func isolation(s Service) Isolation {
	if s.Isolation == "" {
		return IsolationHold
	}
	return s.Isolation
}

func (d *differ) homes(subject string, before, after []Home) {
	diffNamed(d, subject+" home", before, after, func(h Home) string { return h.Domain }, func(subject string, a, b Home) {
		diffValue(d, subject, "share", a.Share, b.Share)
		if !slices.Equal(a.Ranges, b.Ranges) {
			d.add(subject, "%d stated ranges become %d others", len(a.Ranges), len(b.Ranges))
		}
	})
}

// servers compares the servers of all services together, so that a server that moves to another
// service is reported as a change of its service.
func (d *differ) servers(before, after *Bundle) {
	diffNamed(d, "server", placedServers(before), placedServers(after),
		func(p placedServer) string { return p.server.Name }, d.server)
}

// placedServer is a server with the name of its service.
type placedServer struct {
	service string
	server  Server
}

func placedServers(b *Bundle) []placedServer {
	var list []placedServer
	for _, s := range b.Services {
		for _, v := range s.Servers {
			list = append(list, placedServer{service: s.Name, server: v})
		}
	}
	return list
}

func (d *differ) server(subject string, a, b placedServer) {
	diffValue(d, subject, "service", a.service, b.service)
	diffValue(d, subject, "domain", a.server.Domain, b.server.Domain)
	diffValue(d, subject, "address", a.server.Address, b.server.Address)
	diffValue(d, subject, "slots", a.server.Slots, b.server.Slots)
	diffValue(d, subject, "connections", a.server.Connections, b.server.Connections)
	switch {
	case b.server.ChecksGrants && !a.server.ChecksGrants:
		d.add(subject, "checks its grants from now on")
	case a.server.ChecksGrants && !b.server.ChecksGrants:
		d.add(subject, "no longer checks its grants: only its gate guards it")
	}
	switch {
	case b.server.Leaving && !a.server.Leaving:
		d.add(subject, "leaves: it gets no new work")
	case a.server.Leaving && !b.server.Leaving:
		d.add(subject, "no longer leaves")
	}
}

// list compares two sets of strings.
func (d *differ) list(subject string, before, after []string) {
	for _, w := range after {
		if !slices.Contains(before, w) {
			d.add(subject, "%q added", w)
		}
	}
	for _, w := range before {
		if !slices.Contains(after, w) {
			d.add(subject, "%q removed", w)
		}
	}
}
