package member

// list takes what the platform shows. A process that it showed and shows no more is gone for
// certain, and so is one in whose place it shows another. The list may lag but must not go
// back to what it showed before.
func (c *Core) list(now Time, e InstancesListed) []Effect {
	c.stale = true
	shown := make(map[string]Process, len(e.Instances))
	for _, i := range e.Instances {
		shown[i.Name] = i.Process
		if k := c.learn(i.Instance); k != nil {
			k.show(i)
		}
	}
	for name, k := range c.known {
		p, isShown := shown[name]
		k.judge(now, p, isShown)
	}
	p, isShown := shown[c.config.Self.Name]
	return c.judgeSelf(p, isShown)
}

// show takes what the list says of the name. The list lags: the process that it shows may be
// the one before the process which is heard now. So it takes the place only of one that the
// list showed before, or that was never heard; otherwise it may come back by its heartbeats.
func (k *known) show(i ListedInstance) {
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
		k.addFormer(former{Process: i.Process, listed: true})
	}
}

// judge marks the processes of the name that the list showed and shows no more. The mark
// stays: others may have acted on it.
func (k *known) judge(now Time, shown Process, isShown bool) {
	if isShown && shown.Incarnation == 0 {
		return
	}
	for n := range k.former {
		f := &k.former[n]
		f.gone = f.gone || f.listed && f.Process != shown
	}
	if k.listed && k.Process != shown && !k.gone {
		k.gone = true
		k.liveUntil, k.heardUntil, k.hearsUntil = now, now, now
	}
}

// judgeSelf tells this process once that the others take it for gone. It happens to one that
// was paused for long: it returns and finds that its place was given away.
func (c *Core) judgeSelf(shown Process, isShown bool) []Effect {
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
