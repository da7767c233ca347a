package member

// handleList processes the platform's list. A process that it showed earlier is removed if the
// list no longer shows it or shows another process under its name. The list may lag, but must
// not return to an earlier state.
func (c *Core) handleList(now Time, e InstancesListed) []Effect {
	c.stale = true
	shown := make(map[string]Process, len(e.Instances))
	for _, i := range e.Instances {
		shown[i.Name] = i.Process
		if k := c.addInstance(i.Instance); k != nil {
			k.applyListing(i)
		}
	}
	for name, k := range c.known {
		p, isShown := shown[name]
		k.markRemoved(now, p, isShown)
	}
	p, isShown := shown[c.config.Self.Name]
	return c.checkSelfRemoved(p, isShown)
}

// applyListing processes the list's entry for the name. As the list lags, the process on it may
// be the predecessor of the one that sends heartbeats now. It therefore replaces the present
// process only if the list showed that one before, or if no heartbeat of it ever arrived.
// Otherwise it is kept as a former process that may take the name by its heartbeats.
func (k *knownInstance) applyListing(i ListedInstance) {
	switch {
	case i.Incarnation == 0 || i.Incarnation == k.Incarnation:
		k.listed = true
		k.leaving = k.leaving || i.Leaving
	case k.listed || k.count == 0:
		k.replace(i.Instance)
		k.listed, k.leaving = true, i.Leaving
	case k.findFormer(i.Process) != nil:
		f := k.findFormer(i.Process)
		f.listed, f.replaced = true, false
	default:
		k.addFormer(formerProcess{Process: i.Process, listed: true})
	}
}

// markRemoved marks the processes of the name that the list showed and no longer shows. The
// mark is final, because others may have acted on it.
func (k *knownInstance) markRemoved(now Time, shown Process, isShown bool) {
	if isShown && shown.Incarnation == 0 {
		return
	}
	for n := range k.former {
		f := &k.former[n]
		f.removed = f.removed || f.listed && f.Process != shown
	}
	if k.listed && k.Process != shown && !k.removed {
		k.removed = true
		k.liveUntil, k.inboundUntil, k.outboundUntil = now, now, now
	}
}

// checkSelfRemoved returns Removed once if the list no longer shows this process. That happens
// to a process that was paused for so long that the platform replaced it.
func (c *Core) checkSelfRemoved(shown Process, isShown bool) []Effect {
	self := c.config.Self.Process
	if isShown && (shown.Incarnation == 0 || shown == self) {
		c.listed = true
		return nil
	}
	if !c.listed || c.removed {
		return nil
	}
	c.removed = true
	return []Effect{Removed{}}
}
