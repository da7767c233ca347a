package member

import (
	"maps"
	"slices"
)

// tick sends the heartbeats that are due.
func (c *Core) tick(now Time) []Effect {
	var targets []string
	if now >= c.nextAt {
		c.nextAt = now + Time(c.config.Period)
		targets = c.inside()
	}
	if now >= c.nextOut {
		c.nextOut = now + Time(c.config.PeriodOutside)
		targets = append(targets, c.outside(now)...)
	}
	var effects []Effect
	for _, name := range targets {
		effects = append(effects, Send{To: c.known[name].Instance, Beat: c.Beat(now)})
	}
	return effects
}

// Beat returns the next heartbeat, to be sent or to answer one.
func (c *Core) Beat(now Time) Beat {
	c.count++
	b := Beat{
		Instance: c.config.Self,
		Count:    c.count,
		Leaving:  c.leaving,
		Leader:   c.leader,
		Term:     c.term,
	}
	for _, k := range c.sorted() {
		if now < k.heardUntil {
			b.Direct = append(b.Direct, k.Process)
		}
	}
	b.Hearsay = c.hearsayFor(now)
	return b
}

// hearsayFor goes on in the circle of names where the heartbeat before ended, so that a
// bounded heartbeat passes on everybody's counter in turn.
func (c *Core) hearsayFor(now Time) []Count {
	order := c.sorted()
	var counts []Count
	for n := range order {
		k := order[(c.told+n)%len(order)]
		if k.Domain != c.config.Self.Domain || now >= k.liveUntil {
			continue
		}
		if len(counts) == c.config.Hearsay {
			c.told = (c.told + n) % len(order)
			break
		}
		counts = append(counts, Count{Process: k.Process, Count: k.count})
	}
	return counts
}

// sorted returns what is known in the order of names.
func (c *Core) sorted() []*known {
	if len(c.order) != len(c.known) {
		c.order = c.order[:0]
		for _, name := range slices.Sorted(maps.Keys(c.known)) {
			c.order = append(c.order, c.known[name])
		}
	}
	return c.order
}

// inside returns the contacts in the own domain, dead ones included: only a heartbeat to
// them finds out that they have returned. What is gone for certain is left out.
func (c *Core) inside() []string {
	return contacts(c.namesOf(c.config.Self.Domain), c.config.Self.Name, c.config.All)
}

// outside returns contacts in other domains. Only the first few live instances of a domain
// have any, each with the first few known in each contacted domain.
func (c *Core) outside(now Time) []string {
	if !c.isDelegate(now) {
		return nil
	}
	domains := []string{c.config.Self.Domain}
	for _, k := range c.known {
		if !slices.Contains(domains, k.Domain) {
			domains = append(domains, k.Domain)
		}
	}
	slices.Sort(domains)
	var targets []string
	for _, domain := range contacts(domains, c.config.Self.Domain, c.config.All) {
		targets = append(targets, c.delegatesOf(now, domain)...)
	}
	return targets
}

// namesOf returns the sorted names known in a domain, with the own one if it is there.
func (c *Core) namesOf(domain string) []string {
	var names []string
	if domain == c.config.Self.Domain {
		names = append(names, c.config.Self.Name)
	}
	for _, k := range c.sorted() {
		if k.Domain == domain && !k.gone {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) isDelegate(now Time) bool {
	before := 0
	for name, k := range c.known {
		if name < c.config.Self.Name && k.Domain == c.config.Self.Domain && now < k.liveUntil && !k.leaving {
			before++
		}
	}
	return before < c.config.Delegates
}

// delegatesOf returns those to contact in another domain: the first live ones, and one that
// is not known to live, a different one each time, so that a domain whose known instances
// were all replaced is found again.
func (c *Core) delegatesOf(now Time, domain string) []string {
	var live, silent []string
	for _, name := range c.namesOf(domain) {
		if now < c.known[name].liveUntil {
			live = append(live, name)
		} else {
			silent = append(silent, name)
		}
	}
	chosen := live[:min(len(live), c.config.Delegates)]
	if len(silent) > 0 {
		chosen = append(slices.Clone(chosen), silent[int(c.count)%len(silent)])
	}
	return chosen
}
