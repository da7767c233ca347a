package leader

// settledAt returns until when the leaders before this one may have grants or requests
// running that nobody told of. Before that, sets are adopted and renewed as they stand and
// nothing else: a server that restarts in this time forgets the fence, and an older leader
// may grant it again what it held, until its authority ends.
//
// Requests to a server that does not check run on after the lease of its gate, for as long
// as their deadline and a pause of the gate allow.
func (c *Core) settledAt(s *service) Time {
	l := c.lead
	if !l.won() {
		return forever
	}
	if c.config.without(mutWait) {
		return l.wonAt
	}
	at := l.wonAt + c.config.stretch(Time(c.config.Lease))
	if s.unchecked {
		at += lingering(s, &c.config)
	}
	return at
}

// forever is later than every time.
const forever = Time(1 << 62)

// lingering returns how long requests at an unchecked server may run after their gate's lease.
func lingering(s *service, config *Config) Time {
	return Time(s.RequestMillis)*1e6 + Time(config.Pause)
}

// settledNow reports whether a service settled since the last call.
func (c *Core) settledNow() bool {
	l := c.lead
	if !l.won() {
		return false
	}
	any := false
	for _, s := range c.services {
		if !l.settled[s.Name] && c.now > c.settledAt(s) {
			l.settled[s.Name] = true
			any = true
		}
	}
	return any
}
