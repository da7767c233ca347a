package shard

// blind reports whether the plan has to do without measurements that plans with Input.SpeedRanges rest on: a leader that has
// just taken over knows neither the load nor the speeds. Such a plan only replaces lost servers.
func (p *planner) blind() bool {
	return p.in.SpeedRanges && len(p.in.Load) != NumKeys && len(p.in.Map.Ranges) > 0
}
