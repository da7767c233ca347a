package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as a text table, without the timeline.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "offered/s\t%.1f\tachieved/s\t%.1f\tseconds\t%.2f\t\n", r.Offered, r.Achieved, r.Seconds)
	_, _ = fmt.Fprintf(t, "late start\tp50 %dµs\tp99 %dµs\tmax %dµs\t\n\n", r.Late.P50, r.Late.P99, r.Late.Max)
	header := []string{"lane"}
	for result := range resultCount {
		header = append(header, result.String())
	}
	header = append(header, "p50", "p90", "p99", "p99.9", "max", "unavailable-p99", "unavailable-max")
	_, _ = fmt.Fprintln(t, strings.Join(header, "\t")+"\t")
	for _, lane := range r.Lanes {
		cells := []string{lane.Name}
		for result := range resultCount {
			cells = append(cells, fmt.Sprint(lane.Submissions[result.String()]))
		}
		for _, micros := range []int64{
			lane.Latency.P50, lane.Latency.P90, lane.Latency.P99, lane.Latency.P999, lane.Latency.Max,
			lane.Unavailable.P99, lane.Unavailable.Max,
		} {
			cells = append(cells, (time.Duration(micros) * time.Microsecond).String())
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t")+"\t")
	}
	if r.Audit != nil {
		r.Audit.writeTable(t)
	}
	return t.Flush()
}

func (a *Audit) writeTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\nrequests\tran %d\tnot-run %d\tunknown %d\t(ran %d\tnot run %d)\t\n", a.Ran, a.NotRun, a.Unknown, a.UnknownRan, a.UnknownNotRun)
	_, _ = fmt.Fprintf(w, "violations\tnot-run-but-ran %d\tlost %d\tdoubled %d\toverlaps %d\tcrossed %d\t\n", a.NotRunButRan, a.Lost, a.Doubled, a.Overlaps, a.Crossed)
	_, _ = fmt.Fprintf(w, "others\tcut %d\trepeated %d\tcomplete %t\t\n", a.Cut, a.Repeated, a.Complete)
	for kind, ids := range a.Examples {
		_, _ = fmt.Fprintf(w, "example\t%s\t%s\t\n", kind, strings.Join(ids, " "))
	}
}
