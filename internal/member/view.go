package member

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// reportView rebuilds the view if it may have changed, and adds Changed to the effects if it
// did.
func (c *Core) reportView(now Time, effects []Effect) []Effect {
	if !c.stale {
		return effects
	}
	c.stale = false
	view := c.buildView(now)
	if reflect.DeepEqual(view, c.view) {
		return effects
	}
	c.view = view
	return append(effects, Changed{View: view})
}

// buildView returns the view as of now.
func (c *Core) buildView(now Time) View {
	self := LiveInstance{Instance: c.config.Self, Link: LinkBoth, Leaving: c.leaving}
	v := View{Live: []LiveInstance{self}, Term: c.term}
	domains := make(map[string][]Instance)
	for _, k := range c.sorted() {
		switch {
		case k.Domain != c.config.Self.Domain:
			reachable := domains[k.Domain]
			if k.link(now) == LinkBoth && now < k.liveUntil {
				reachable = append(reachable, k.Instance)
			}
			domains[k.Domain] = reachable
		case now < k.liveUntil:
			v.Live = append(v.Live, LiveInstance{Instance: k.Instance, Link: k.link(now), Leaving: k.leaving})
		}
		if k.Domain == c.config.Self.Domain {
			for _, f := range k.former {
				if f.removed {
					v.Removed = append(v.Removed, f.Process)
				}
			}
			if k.removed {
				v.Removed = append(v.Removed, k.Process)
			}
		}
	}
	slices.SortFunc(v.Live, func(x, y LiveInstance) int { return strings.Compare(x.Name, y.Name) })
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		v.Domains = append(v.Domains, Domain{Name: domain, Reachable: domains[domain]})
	}
	if v.isLive(c.leader) {
		v.Leader = c.leader
	}
	return v
}

func (v View) isLive(p Process) bool {
	return slices.ContainsFunc(v.Live, func(l LiveInstance) bool { return l.Process == p })
}

// link returns the directions in which heartbeats passed within the timeout.
func (k *knownInstance) link(now Time) Link {
	inbound, outbound := now < k.inboundUntil, now < k.outboundUntil
	switch {
	case inbound && outbound:
		return LinkBoth
	case inbound:
		return LinkIn
	case outbound:
		return LinkOut
	default:
		return LinkNone
	}
}
