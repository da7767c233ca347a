package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Report is what a replay measured.
type Report struct {
	Deployment string            `json:"deployment"`
	Recipe     string            `json:"recipe,omitempty"`
	Seed       uint64            `json:"seed,omitempty"`
	Costs      Costs             `json:"costs-ms"`
	Services   []ServiceReport   `json:"services"`
	Undivided  []UndividedReport `json:"undivided"`
	// Samples are the course of the measures, for the plot.
	Samples []Sample `json:"-"`
}

// ServiceReport is the measures of one divided service.
type ServiceReport struct {
	Service string `json:"service"`
	Keys    int    `json:"keys"`
	// Smallest is the least number of keys that must change owner for shares to stay equal
	// to slots through each change of servers.
	Smallest float64        `json:"smallest-keys-moved"`
	Methods  []MethodReport `json:"methods"`
}

// MethodReport is the measures of one method. Imbalance is within failure domains, over
// time; a cold server counts with its reduced share.
type MethodReport struct {
	Method string `json:"method"`
	// Load and Keys are the largest level over the mean.
	Load Course `json:"load-max-over-mean"`
	Keys Course `json:"keys-max-over-mean"`
	// LoadVariation and KeysVariation are coefficients of variation, the mean over time.
	LoadVariation float64 `json:"load-variation"`
	KeysVariation float64 `json:"keys-variation"`
	// Moved counts changes of owner, Forced those of them whose owner was lost or leaving.
	Moved  int `json:"keys-moved"`
	Forced int `json:"keys-forced"`
	// Least is the fewest keys whose move would have given the balance that the method
	// reached with each of its changes.
	Least int `json:"least-keys-moved"`
	// Share is Moved over the number of keys, OverSmallest over the smallest possible: the
	// larger of Smallest of the service and Least. Zero if both are.
	Share        float64 `json:"share-moved"`
	OverSmallest float64 `json:"moved-over-smallest"`
	// Unavailable is in key-seconds: the sum of Planned, for moves between live servers,
	// and Lost. Lapsed is the sum if moves waited for leases instead of revoking.
	Unavailable float64 `json:"unavailable-key-seconds"`
	Planned     float64 `json:"unavailable-planned"`
	Lost        float64 `json:"unavailable-lost"`
	Lapsed      float64 `json:"unavailable-without-revocation"`
	// WorstKey is the longest time that a key could not be served at once, WorstSum the
	// largest sum for one key, in milliseconds.
	WorstKey float64 `json:"worst-key-ms"`
	WorstSum float64 `json:"worst-key-sum-ms"`
}

// Course is how a measure went over time.
type Course struct {
	Mean  float64 `json:"mean"`
	P95   float64 `json:"p95"`
	Worst float64 `json:"worst"`
}

// UndividedReport is the measures of one service that is not divided.
type UndividedReport struct {
	Service string         `json:"service"`
	Choices []ChoiceReport `json:"choices"`
}

// ChoiceReport is the measures of one choice. Waits are for a slot, in milliseconds.
type ChoiceReport struct {
	Choice   Choice  `json:"choice"`
	Requests int     `json:"requests"`
	Load     float64 `json:"load-max-over-mean"`
	MeanWait float64 `json:"mean-wait-ms"`
	P99Wait  float64 `json:"p99-wait-ms"`
}

// Sample is the measures of all methods at one moment.
type Sample struct {
	At      Time
	Service string
	// Load is the largest level over the mean in any domain, Moved the keys moved until
	// now, by method.
	Load  []float64
	Moved []int
}

// sampleEvery is the least time between samples.
const sampleEvery = Time(60_000)

// sample notes the course of the measures.
func (p *player) sample() {
	if last := len(p.samples) - 1; last >= 0 && p.now < p.samples[last].At+sampleEvery {
		return
	}
	for _, service := range p.services {
		s := Sample{At: p.now, Service: service, Load: make([]float64, len(p.methods)), Moved: make([]int, len(p.methods))}
		for j, t := range p.tallies[service] {
			s.Moved[j] = t.moved
		}
		for i, part := range p.parts {
			if part.service != service {
				continue
			}
			for j, subject := range p.subjects[i] {
				s.Load[j] = max(s.Load[j], subject.now.loadMax)
			}
		}
		p.samples = append(p.samples, s)
	}
}

// report sums up.
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
		s := ServiceReport{Service: service, Keys: p.keyCount[service], Smallest: round(p.smallest[service])}
		for j, t := range p.tallies[service] {
			s.Methods = append(s.Methods, t.report(p.methods[j].Name(), s))
		}
		r.Services = append(r.Services, s)
	}
	for _, c := range p.undivided {
		r.Undivided = append(r.Undivided, c.report())
	}
	slices.SortFunc(r.Undivided, func(a, b UndividedReport) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return r
}

// report sums up one method.
func (t *tally) report(name string, s ServiceReport) MethodReport {
	const second = 1000
	m := MethodReport{
		Method:        name,
		Load:          courseOf(t.loadMax),
		Keys:          courseOf(t.keyMax),
		LoadVariation: round(mean(t.loadVar)),
		KeysVariation: round(mean(t.keyVar)),
		Moved:         t.moved,
		Forced:        t.forced,
		Least:         t.least,
		Share:         round(float64(t.moved) / float64(max(s.Keys, 1))),
		Unavailable:   round((t.planned + t.lost) / second),
		Planned:       round(t.planned / second),
		Lost:          round(t.lost / second),
		Lapsed:        round(t.lapsed / second),
		WorstKey:      round(t.worst),
	}
	if smallest := max(s.Smallest, float64(t.least)); smallest > 0 {
		m.OverSmallest = round(float64(t.moved) / smallest)
	}
	for _, millis := range t.byKey {
		m.WorstSum = max(m.WorstSum, round(millis))
	}
	return m
}

func courseOf(list []weighted) Course {
	return Course{Mean: round(mean(list)), P95: round(quantile(list, 0.95)), Worst: round(quantile(list, 1))}
}

// report sums up an undivided service.
func (c *crowd) report() UndividedReport {
	r := UndividedReport{Service: c.name}
	for _, q := range c.queues {
		r.Choices = append(r.Choices, q.report())
	}
	return r
}

// report sums up one choice.
func (q *queues) report() ChoiceReport {
	r := ChoiceReport{Choice: q.choice, Requests: len(q.waits)}
	if len(q.waits) == 0 {
		return r
	}
	slices.Sort(q.waits)
	total, slots, most := 0.0, 0, 0.0
	for i, b := range q.busy {
		total += b
		slots += q.servers[i].Slots
		most = max(most, b/float64(q.servers[i].Slots))
	}
	wait := 0.0
	for _, w := range q.waits {
		wait += w
	}
	r.Load = round(most * float64(slots) / total)
	r.MeanWait = round(wait / float64(len(q.waits)))
	r.P99Wait = round(q.waits[len(q.waits)*99/100])
	return r
}

// round keeps four decimals, so that reports compare as text.
func round(x float64) float64 {
	return math.Round(x*10_000) / 10_000
}

// WriteJSON writes a report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes a report as text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s, recipe %s, seed %d\n", r.Deployment, r.Recipe, r.Seed)
	for _, s := range r.Services {
		_, _ = fmt.Fprintf(t, "\n%s: %d keys, smallest possible %.0f moved\n", s.Service, s.Keys, s.Smallest)
		_, _ = fmt.Fprintln(t, "method\tload max/mean: mean\tp95\tworst\tCV\tkeys max/mean\tCV\tmoved\tshare\tleast\tover smallest\tunavailable key-s\tplanned\tlost\twithout revocation\tworst key ms")
		for _, m := range s.Methods {
			_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n",
				m.Method, m.Load.Mean, m.Load.P95, m.Load.Worst, m.LoadVariation, m.Keys.Mean, m.KeysVariation,
				m.Moved, m.Share, m.Least, m.OverSmallest, m.Unavailable, m.Planned, m.Lost, m.Lapsed, m.WorstKey)
		}
	}
	for _, u := range r.Undivided {
		_, _ = fmt.Fprintf(t, "\n%s, not divided\nchoice\trequests\tload max/mean\tmean wait ms\tp99 wait ms\n", u.Service)
		for _, c := range u.Choices {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%.2f\t%.2f\n", c.Choice, c.Requests, c.Load, c.MeanWait, c.P99Wait)
		}
	}
	return t.Flush()
}
