package bound

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// formula says in words how the bounds of a cause are computed.
func formula(c cause) string {
	switch c.(type) {
	case *HotKey:
		return "a key has one owner: at most slots x speed of the fastest server / work, until the patience of the last caller ends"
	case *Rejection:
		return "a caller asks 1 + returns times: share^(1+returns) are left; each retry of the budget serves 1 - share more, other servers " +
			"what they have capacity for; callers whose patience outlasts the disruption are served after it"
	case *Cut:
		return "keyed: callers x servers of one side + callers x servers of the other, after a takeover the larger side of callers, and more " +
			"if callers return on either side; not keyed: the capacity of each side; callers whose patience outlasts the cut are served after it"
	case whole:
		return "the larger of: losses of disruptions that do not overlap, and work that exceeds all servers over the whole time"
	default:
		return "all servers together do slots x speed of work a second, until the patience of the last caller ends, the lightest kind first"
	}
}

// affected returns the kinds of a service that a cause may make lose requests.
func affected(c cause, v *Service) []Kind {
	switch t := c.(type) {
	case *HotKey:
		i := slices.IndexFunc(v.Kinds, func(k Kind) bool { return t.Service == v.Name && t.Kind == k.Name && k.Keyed })
		if i < 0 {
			return nil
		}
		return v.Kinds[i : i+1]
	case *Rejection:
		if t.Service != v.Name {
			return nil
		}
	case *Burst:
		if t.Service != "" && t.Service != v.Name {
			return nil
		}
	}
	return v.Kinds
}

// period is a part of the time of a sheet, in seconds.
type period struct {
	sheet      *Sheet
	start, end float64
}

// period returns the time of a disruption.
func (s *Sheet) period(d *Disruption) period {
	return period{s, d.StartSeconds, d.StartSeconds + d.DurationSeconds}
}

// lost returns the least number of requests of some kinds of a service that are lost in the period, if
// the router serves no other kinds, and the figures that went into it.
func (p period) lost(c cause, v *Service, kinds []Kind) (float64, string) {
	switch t := c.(type) {
	case *HotKey:
		return p.lostToHotKey(t, v, kinds[0])
	case *Rejection:
		return p.lostToRejection(t, v, kinds)
	case *Cut:
		return p.lostToCut(t, v, kinds)
	case whole:
		return p.lostInAll(v, kinds)
	default:
		return p.lostToCapacity(v, kinds)
	}
}

func (p period) lostToHotKey(h *HotKey, v *Service, k Kind) (float64, string) {
	asked := h.Share * p.arrivals(v, k, p.start, p.end)
	fastest := 0.0
	for _, g := range v.Servers {
		fastest = max(fastest, g.Speed)
	}
	seconds := p.end - p.start + k.patience()
	served := float64(v.Slots) * fastest / k.work() * seconds
	return max(0, asked-served), fmt.Sprintf("%.1f for the key; %d x %g / %g s x %g s = %.1f served",
		asked, v.Slots, fastest, k.work(), seconds, served)
}

func (p period) lostToRejection(r *Rejection, v *Service, kinds []Kind) (float64, string) {
	arrived := p.outlasted(v, kinds)
	left := math.Pow(r.Share, 1+v.Returns) * sum(arrived)
	retries := p.retries(v, r.Share)
	elsewhere := 0.0
	if r.Servers > 0 {
		elsewhere = served(arrived, kinds, v.fastest(v.count()-r.Servers)*(p.end-p.start))
	}
	return max(0, left-retries*(1-r.Share)-elsewhere), fmt.Sprintf("%.3g^(1+%.3g) x %.1f = %.1f left; %.1f retries x %.3g; %.1f elsewhere",
		r.Share, v.Returns, sum(arrived), left, retries, 1-r.Share, elsewhere)
}

// retries returns the largest number of retries in the period. Windows that cover the period may begin
// before it. Returns are requests too and earn retries.
func (p period) retries(v *Service, rejected float64) float64 {
	if v.RetryWindowSeconds == 0 {
		return 0
	}
	windows := math.Ceil((p.end - p.start) / v.RetryWindowSeconds)
	requests := 0.0
	for _, k := range v.Kinds {
		requests += p.arrivals(v, k, p.end-windows*v.RetryWindowSeconds, p.start) + p.arrivals(v, k, p.start, p.end)*asks(rejected, v.Returns)
	}
	return windows*v.RetrySlack + v.RetryRatio*requests
}

// asks returns how often a caller asks that returns up to a number of times while it is rejected.
func asks(rejected, returns float64) float64 {
	if rejected == 1 {
		return 1 + returns
	}
	return (1 - math.Pow(rejected, 1+returns)) / (1 - rejected)
}

func (p period) lostToCut(c *Cut, v *Service, kinds []Kind) (float64, string) {
	tries := 1.0
	if !c.CallersStay {
		tries += v.Returns
	}
	// A key on one side is missed by the callers whose tries are all on the other side.
	inside, outside := math.Pow(1-c.CallerShare, tries), math.Pow(c.CallerShare, tries)
	missed := c.ServerShare*inside + (1-c.ServerShare)*outside
	after := min(missed, inside, outside)
	lost := 0.0
	var free []Kind
	for _, k := range kinds {
		if !k.Keyed {
			free = append(free, k)
			continue
		}
		end := max(p.start, p.end-k.patience())
		takeover := min(end, max(p.start, p.start+c.TakeoverSeconds-k.patience()))
		lost += missed*p.arrivals(v, k, p.start, takeover) + after*p.arrivals(v, k, takeover, end)
	}
	if c.CallersStay {
		lost += p.lostOnSide(v, free, c.CallerShare, c.ServerShare) + p.lostOnSide(v, free, 1-c.CallerShare, 1-c.ServerShare)
	}
	return lost, fmt.Sprintf("%.1f arrive a patience before the end; keyed: %.3f served, %.3f after a takeover",
		sum(p.outlasted(v, kinds)), 1-missed, 1-after)
}

// lostOnSide returns the number of requests without a key that exceed the capacity of one side of a cut.
func (p period) lostOnSide(v *Service, kinds []Kind, callers, servers float64) float64 {
	asked := p.outlasted(v, kinds)
	for i := range asked {
		asked[i] *= callers
	}
	capacity := v.fastest(int(math.Ceil(float64(v.count()) * servers)))
	return sum(asked) - served(asked, kinds, capacity*(p.end-p.start))
}

func (p period) lostToCapacity(v *Service, kinds []Kind) (float64, string) {
	asked := make([]float64, len(kinds))
	seconds := 0.0
	for i, k := range kinds {
		asked[i] = p.arrivals(v, k, p.start, p.end)
		seconds = max(seconds, p.end-p.start+k.patience())
	}
	capacity := v.fastest(v.count())
	n := served(asked, kinds, capacity*seconds)
	return sum(asked) - n, fmt.Sprintf("slots x speed %.1f x %g s = %.1f s of work, for %.1f requests", capacity, seconds, capacity*seconds, n)
}

// outlasted returns by kind the number of requests that arrive so early in the period that the patience
// of their callers ends before it.
func (p period) outlasted(v *Service, kinds []Kind) []float64 {
	out := make([]float64, len(kinds))
	for i, k := range kinds {
		out[i] = p.arrivals(v, k, p.start, max(p.start, p.end-k.patience()))
	}
	return out
}

// arrivals returns the number of requests of a kind that arrive in an interval.
func (p period) arrivals(v *Service, k Kind, from, to float64) float64 {
	times := []float64{from, to}
	for _, d := range p.sheet.Disruptions {
		times = append(times, min(max(d.StartSeconds, from), to), min(max(d.StartSeconds+d.DurationSeconds, from), to))
	}
	slices.Sort(times)
	n := 0.0
	for i, t := range times[1:] {
		n += k.Rate * p.sheet.burst(v, (times[i]+t)/2) * (t - times[i])
	}
	return n
}

// burst returns the factor on the rates of a service at a time.
func (s *Sheet) burst(v *Service, at float64) float64 {
	factor := 1.0
	for _, d := range s.Disruptions {
		if d.Burst != nil && len(affected(d.Burst, v)) > 0 && at >= d.StartSeconds && at < d.StartSeconds+d.DurationSeconds {
			factor *= d.Burst.Factor
		}
	}
	return factor
}

// served returns how many requests fit into an amount of work, in seconds at speed 1, the lightest kind
// first.
func served(asked []float64, kinds []Kind, work float64) float64 {
	order := make([]int, len(kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(kinds[i].WorkMillis, kinds[j].WorkMillis) })
	n := 0.0
	for _, i := range order {
		fit := min(asked[i], work/kinds[i].work())
		n += fit
		work -= fit * kinds[i].work()
	}
	return n
}

// fastest returns the capacity of the fastest n servers, in seconds of work at speed 1 a second.
func (v *Service) fastest(n int) float64 {
	groups := slices.SortedFunc(slices.Values(v.Servers), func(x, y Servers) int { return cmp.Compare(y.Speed, x.Speed) })
	capacity := 0.0
	for _, g := range groups {
		used := min(n, g.Count)
		n -= used
		capacity += float64(used*v.Slots) * g.Speed
	}
	return capacity
}

// work returns the mean service time at speed 1, and patience how long callers wait, in seconds.
func (k Kind) work() float64     { return k.WorkMillis / 1000 }
func (k Kind) patience() float64 { return k.PatienceMillis / 1000 }

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}
