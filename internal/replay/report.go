package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Report is the result of a replay.
type Report struct {
	Deployment string            `json:"deployment"`
	Recipe     string            `json:"recipe,omitempty"`
	Seed       uint64            `json:"seed,omitempty"`
	Costs      Costs             `json:"costs-ms"`
	Services   []ServiceReport   `json:"services"`
	Undivided  []UndividedReport `json:"undivided"`
	// Samples are the measures over time, for the plot.
	Samples []Sample `json:"-"`
}

// ServiceReport has the measures of one divided service.
type ServiceReport struct {
	Service string `json:"service"`
	// Keys is the number of different keys in the trace.
	Keys int `json:"keys"`
	// MinKeysMoved is the least number of keys that must change owner if the keys of each server
	// are to stay proportional to its slots after every change of servers.
	MinKeysMoved float64        `json:"smallest-keys-moved"`
	Methods      []MethodReport `json:"methods"`
}

// MethodReport has the measures of one method. Loads and numbers of keys are compared among the
// servers of one failure domain, relative to their slots; a cold server counts with a reduced
// number of slots.
type MethodReport struct {
	Method string `json:"method"`
	// LoadMaxOverMean and KeysMaxOverMean are the maximum over the mean, by load and by number of
	// keys.
	LoadMaxOverMean TimeStats `json:"load-max-over-mean"`
	KeysMaxOverMean TimeStats `json:"keys-max-over-mean"`
	// LoadVariation and KeysVariation are the coefficients of variation, averaged over time.
	LoadVariation float64 `json:"load-variation"`
	KeysVariation float64 `json:"keys-variation"`
	// KeysMoved counts changes of owner, KeysForced those whose owner was lost or leaving.
	KeysMoved  int `json:"keys-moved"`
	KeysForced int `json:"keys-forced"`
	// MinKeysMoved is the least number of keys whose moves would have reached the same balance as
	// each change of owners by the method.
	MinKeysMoved int `json:"least-keys-moved"`
	// ShareMoved is KeysMoved over the number of keys. MovedOverMin is KeysMoved over the least
	// number possible, which is the larger of MinKeysMoved of the service and of the method. It is
	// zero if both are zero.
	ShareMoved   float64 `json:"share-moved"`
	MovedOverMin float64 `json:"moved-over-smallest"`
	// UnavailableKeySeconds is the sum over all keys of the time in seconds for which the key
	// could not be served: UnavailablePlanned, for moves between live servers, and
	// UnavailableLost, for lost servers and leaders. UnavailableWithoutRevocation is what the sum
	// would be if moves waited until leases expire instead of revoking them.
	UnavailableKeySeconds        float64 `json:"unavailable-key-seconds"`
	UnavailablePlanned           float64 `json:"unavailable-planned"`
	UnavailableLost              float64 `json:"unavailable-lost"`
	UnavailableWithoutRevocation float64 `json:"unavailable-without-revocation"`
	// WorstKeyMillis is the longest single period for which a key could not be served,
	// WorstKeySumMillis the largest sum of such periods of one key.
	WorstKeyMillis    float64 `json:"worst-key-ms"`
	WorstKeySumMillis float64 `json:"worst-key-sum-ms"`
}

// TimeStats summarizes the values of a measure, weighted by time. Worst is the maximum.
type TimeStats struct {
	Mean  float64 `json:"mean"`
	P95   float64 `json:"p95"`
	Worst float64 `json:"worst"`
}

// UndividedReport has the measures of one undivided service.
type UndividedReport struct {
	Service string         `json:"service"`
	Choices []ChoiceReport `json:"choices"`
}

// ChoiceReport has the measures of one load balancing policy. The wait of a request is the time
// that it is queued for a slot.
type ChoiceReport struct {
	Choice   Choice `json:"choice"`
	Requests int    `json:"requests"`
	// LoadMaxOverMean is the busy time per slot of the busiest server over the mean of all
	// servers.
	LoadMaxOverMean float64 `json:"load-max-over-mean"`
	MeanWaitMillis  float64 `json:"mean-wait-ms"`
	P99WaitMillis   float64 `json:"p99-wait-ms"`
}

// Sample has measures of one service at one time, indexed by method.
type Sample struct {
	At      Time
	Service string
	// LoadMaxOverMean is the largest maximum over the mean of any failure domain. KeysMoved is
	// the number of moves so far.
	LoadMaxOverMean []float64
	KeysMoved       []int
}

// sampleInterval is the minimum time between samples.
const sampleInterval = Time(60_000)

// addSample adds a sample of each service if the last one is old enough.
func (p *player) addSample() {
	if last := len(p.samples) - 1; last >= 0 && p.now < p.samples[last].At+sampleInterval {
		return
	}
	for _, service := range p.services {
		s := Sample{At: p.now, Service: service, LoadMaxOverMean: make([]float64, len(p.methods)), KeysMoved: make([]int, len(p.methods))}
		for j, t := range p.totals[service] {
			s.KeysMoved[j] = t.keysMoved
		}
		for i, part := range p.parts {
			if part.service != service {
				continue
			}
			for j, state := range p.methodStates[i] {
				s.LoadMaxOverMean[j] = max(s.LoadMaxOverMean[j], state.imbalance.loadMaxOverMean)
			}
		}
		p.samples = append(p.samples, s)
	}
}

// report returns the report of the whole trace.
func (p *player) report() Report {
	r := Report{
		Deployment: p.header.Deployment,
		Recipe:     p.header.Recipe,
		Seed:       p.header.Seed,
		Costs:      p.costs,
		Services:   []ServiceReport{},
		Undivided:  []UndividedReport{},
		Samples:    p.samples,
	}
	for _, service := range p.services {
		s := ServiceReport{Service: service, Keys: p.keyCount[service], MinKeysMoved: round(p.minKeysMoved[service])}
		for j, t := range p.totals[service] {
			s.Methods = append(s.Methods, t.report(p.methods[j].Name(), s))
		}
		r.Services = append(r.Services, s)
	}
	for _, u := range p.undivided {
		r.Undivided = append(r.Undivided, u.report())
	}
	slices.SortFunc(r.Undivided, func(a, b UndividedReport) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return r
}

// report returns the report of the method with the given name. The parameter s has the number of
// keys of the service and the least number of moves.
func (t *totals) report(name string, s ServiceReport) MethodReport {
	const second = 1000
	m := MethodReport{
		Method:                       name,
		LoadMaxOverMean:              timeStatsOf(t.loadMaxOverMean),
		KeysMaxOverMean:              timeStatsOf(t.keysMaxOverMean),
		LoadVariation:                round(mean(t.loadCV)),
		KeysVariation:                round(mean(t.keysCV)),
		KeysMoved:                    t.keysMoved,
		KeysForced:                   t.keysForced,
		MinKeysMoved:                 t.minKeysMoved,
		ShareMoved:                   round(float64(t.keysMoved) / float64(max(s.Keys, 1))),
		UnavailableKeySeconds:        round((t.plannedMillis + t.lostMillis) / second),
		UnavailablePlanned:           round(t.plannedMillis / second),
		UnavailableLost:              round(t.lostMillis / second),
		UnavailableWithoutRevocation: round(t.withoutRevocationMillis / second),
		WorstKeyMillis:               round(t.worstMillis),
	}
	if least := max(s.MinKeysMoved, float64(t.minKeysMoved)); least > 0 {
		m.MovedOverMin = round(float64(t.keysMoved) / least)
	}
	for _, millis := range t.millisByKey {
		m.WorstKeySumMillis = max(m.WorstKeySumMillis, round(millis))
	}
	return m
}

// timeStatsOf summarizes the values in list.
func timeStatsOf(list []timedValue) TimeStats {
	return TimeStats{Mean: round(mean(list)), P95: round(quantile(list, 0.95)), Worst: round(quantile(list, 1))}
}

// report returns the report of an undivided service.
func (u *undividedService) report() UndividedReport {
	r := UndividedReport{Service: u.name}
	for _, s := range u.simulations {
		r.Choices = append(r.Choices, s.report())
	}
	return r
}

// report returns the report of one policy. It sorts s.waitMillis.
func (s *simulation) report() ChoiceReport {
	r := ChoiceReport{Choice: s.choice, Requests: len(s.waitMillis)}
	if len(s.waitMillis) == 0 {
		return r
	}
	slices.Sort(s.waitMillis)
	total, slots, highest := 0.0, 0, 0.0
	for i, b := range s.busyMillis {
		total += b
		slots += s.servers[i].Slots
		highest = max(highest, b/float64(s.servers[i].Slots))
	}
	wait := 0.0
	for _, w := range s.waitMillis {
		wait += w
	}
	r.LoadMaxOverMean = round(highest * float64(slots) / total)
	r.MeanWaitMillis = round(wait / float64(len(s.waitMillis)))
	r.P99WaitMillis = round(s.waitMillis[len(s.waitMillis)*99/100])
	return r
}

// round rounds to four decimals, so that reports can be compared as text.
func round(x float64) float64 {
	return math.Round(x*10_000) / 10_000
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text tables.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s, recipe %s, seed %d\n", r.Deployment, r.Recipe, r.Seed)
	for _, s := range r.Services {
		_, _ = fmt.Fprintf(t, "\n%s: %d keys, smallest possible %.0f moved\n", s.Service, s.Keys, s.MinKeysMoved)
		_, _ = fmt.Fprintln(t, "method\tload max/mean: mean\tp95\tworst\tCV\tkeys max/mean\tCV\tmoved\tshare\tleast\tover smallest\tunavailable key-s\tplanned\tlost\twithout revocation\tworst key ms")
		for _, m := range s.Methods {
			_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n",
				m.Method, m.LoadMaxOverMean.Mean, m.LoadMaxOverMean.P95, m.LoadMaxOverMean.Worst, m.LoadVariation, m.KeysMaxOverMean.Mean, m.KeysVariation,
				m.KeysMoved, m.ShareMoved, m.MinKeysMoved, m.MovedOverMin, m.UnavailableKeySeconds, m.UnavailablePlanned, m.UnavailableLost, m.UnavailableWithoutRevocation, m.WorstKeyMillis)
		}
	}
	for _, u := range r.Undivided {
		_, _ = fmt.Fprintf(t, "\n%s, not divided\nchoice\trequests\tload max/mean\tmean wait ms\tp99 wait ms\n", u.Service)
		for _, c := range u.Choices {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%.2f\t%.2f\n", c.Choice, c.Requests, c.LoadMaxOverMean, c.MeanWaitMillis, c.P99WaitMillis)
		}
	}
	return t.Flush()
}
