package member

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// report adds Changed when the view is another one.
func (c *Core) report(now Time, effects []Effect) []Effect {
	if !c.stale {
		return effects
	}
	c.stale = false
	view := c.look(now)
	if reflect.DeepEqual(view, c.view) {
		return effects
	}
	c.view = view
	return append(effects, Changed{View: view})
}

func (c *Core) look(now Time) View {
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
				if f.gone {
					v.Gone = append(v.Gone, f.Process)
				}
			}
			if k.gone {
				v.Gone = append(v.Gone, k.Process)
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

func (k *known) link(now Time) Link {
	heard, hears := now < k.heardUntil, now < k.hearsUntil
	switch {
	case heard && hears:
		return LinkBoth
	case heard:
		return LinkIn
	case hears:
		return LinkOut
	default:
		return LinkNone
	}
}
