package bound

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Report has the bounds of each disruption, then those of the whole time.
type Report struct {
	Title string
	Parts []Part
}

// Part has the bounds of one period. Start and End are in seconds.
type Part struct {
	Name       string
	Start, End float64
	// Formula says in words how the bounds are computed.
	Formula string
	Rows    []Row
}

// Row is the bound of one kind of requests. Kind is "all" for all kinds of a service, and Service is
// "all" for all services.
type Row struct {
	Service, Kind string
	// Requests and Lost are the expected numbers of requests, and of those that no router can serve.
	// A request and its returns count as one.
	Requests, Lost float64
	// Figures has the numbers that went into the formula.
	Figures string
}

// Served returns the largest share of the requests that any router could serve.
func (r Row) Served() float64 { return 1 - r.Lost/r.Requests }

// Compute computes the bounds of a valid sheet.
func Compute(s Sheet) Report {
	r := Report{Title: s.Title}
	for i := range s.Disruptions {
		d := &s.Disruptions[i]
		c, _ := d.cause()
		r.Parts = append(r.Parts, s.period(d).part(d.Name, c))
	}
	r.Parts = append(r.Parts, period{&s, 0, s.Seconds}.part("whole time", whole{}))
	return r
}

// part returns the bounds of the period for one cause.
func (p period) part(name string, c cause) Part {
	out := Part{Name: name, Start: p.start, End: p.end, Formula: formula(c)}
	total := Row{Service: "all", Kind: "all"}
	for i := range p.sheet.Services {
		v := &p.sheet.Services[i]
		kinds := affected(c, v)
		all := Row{Service: v.Name, Kind: "all"}
		for _, k := range kinds {
			row := Row{Service: v.Name, Kind: k.Name, Requests: p.arrivals(v, k, p.start, p.end)}
			row.Lost, row.Figures = p.lost(c, v, []Kind{k})
			all.Requests += row.Requests
			all.Lost += row.Lost
			out.Rows = append(out.Rows, row)
		}
		if len(kinds) > 1 {
			together, figures := p.lost(c, v, kinds)
			all.Lost, all.Figures = max(all.Lost, together), figures
			out.Rows = append(out.Rows, all)
		}
		total.Requests += all.Requests
		total.Lost += all.Lost
	}
	if total.Requests > out.Rows[len(out.Rows)-1].Requests {
		out.Rows = append(out.Rows, total)
	}
	return out
}

// lostInAll returns the least number of requests of some kinds that are lost in the whole time.
func (p period) lostInAll(v *Service, kinds []Kind) (float64, string) {
	var losses []loss
	for i := range p.sheet.Disruptions {
		d := &p.sheet.Disruptions[i]
		c, _ := d.cause()
		hit := slices.DeleteFunc(slices.Clone(affected(c, v)), func(k Kind) bool { return !slices.Contains(kinds, k) })
		if len(hit) > 0 {
			q := p.sheet.period(d)
			lost, _ := q.lost(c, v, hit)
			losses = append(losses, loss{q.start, q.end, lost})
		}
	}
	apart := mostApart(losses)
	capacity, _ := p.lostToCapacity(v, kinds)
	return max(apart, capacity), fmt.Sprintf("%.1f lost to disruptions; %.1f to capacity", apart, capacity)
}

// loss is the number of requests lost among those that arrive from start to end.
type loss struct{ start, end, lost float64 }

// mostApart returns the largest sum of losses whose times do not overlap. Those that overlap may be
// losses of the same requests.
func mostApart(losses []loss) float64 {
	slices.SortFunc(losses, func(x, y loss) int { return cmp.Compare(x.end, y.end) })
	// best[i] is the result for the first i losses.
	best := make([]float64, len(losses)+1)
	for i, l := range losses {
		before := 0
		for before < i && losses[before].end <= l.start {
			before++
		}
		best[i+1] = max(best[i], best[before]+l.lost)
	}
	return best[len(losses)]
}

// WriteText writes the bounds as text tables. Shares are rounded up and losses down.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "Bounds: %s\n", r.Title)
	for _, p := range r.Parts {
		_, _ = fmt.Fprintf(t, "\n%s, from %g s to %g s\nFormula: %s.\n", p.Name, p.Start, p.End, p.Formula)
		_, _ = fmt.Fprintln(t, "service\tkind\trequests\tserved at most\tlost at least\tfigures")
		for _, row := range p.Rows {
			// The tolerance keeps a share such as 0.8 from being rounded up to 0.801.
			served := math.Ceil(row.Served()*1000-1e-6) / 1000
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%.3f\t%.0f\t%s\n", row.Service, row.Kind, row.Requests, served, math.Floor(row.Lost), row.Figures)
		}
	}
	return t.Flush()
}
