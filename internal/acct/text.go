package acct

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// topRows is the number of callers and keys that are shown.
const topRows = 10

// WriteText writes the account as text tables. It writes nothing if Check returns an error.
func (a *Account) WriteText(w io.Writer) error {
	shown, err := a.shownService()
	if err != nil {
		return err
	}
	t := &text{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0), slices.Sorted(maps.Keys(a.reasons))}
	a.writeTotals(t)
	a.writeRoutes(t)
	a.writeIntervals(t, shown)
	a.writeReturns(t)
	a.writeCallers(t)
	a.writeKeys(t)
	a.writeServers(t)
	return t.Flush()
}

// text writes tables. The writer keeps errors until Flush.
type text struct {
	*tabwriter.Writer
	reasons []string
}

// note writes a line of its own.
func (t *text) note(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }

// row writes the cells of a line.
func (t *text) row(cells ...any) {
	t.note(strings.TrimSuffix(strings.Repeat("%v\t", len(cells)), "\t"), cells...)
}

// heads writes a title and the headings of a table with numbers by reason after the cells.
func (t *text) heads(title string, cells ...any) {
	t.note("\n%s", title)
	for _, reason := range t.reasons {
		cells = append(cells, reason)
	}
	t.row(cells...)
}

// counts writes the cells and then the numbers by reason.
func (t *text) counts(c counts, cells ...any) {
	for _, reason := range t.reasons {
		cells = append(cells, c.why[reason])
	}
	t.row(cells...)
}

// dropped says what a table lacks.
func (t *text) dropped(from *table, what string) {
	if n := from.dropped.requests(); n > 0 {
		t.note("More than %d %s: left out are %d requests (%d rejected) of those with fewest; a count may be low by %d.",
			from.limit, what, n, from.dropped[rejected], from.missed)
	}
}

// share returns part of whole with three decimals, "-" if there is nothing.
func share(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(part)/float64(whole))
}

func (a *Account) writeTotals(t *text) {
	t.note("Account from %s to %s", a.from.UTC().Format(timeFormat), a.to.UTC().Format(timeFormat))
	t.row("requests", "answered", "with a fault", "rejected", "in doubt", "caller left", "attempts", "repeats")
	n := a.total
	t.row(n.requests(), n[answered], n[faulty], n[rejected], n[inDoubt], n[left], a.attempts, a.repeats)
	if a.unlogged > 0 {
		t.note("The instances dropped the lines of %d requests, which are in no figure.", a.unlogged)
	}
	if a.malformed > 0 {
		t.note("%d request lines without a valid time are left out.", a.malformed)
	}
}

func (a *Account) writeRoutes(t *text) {
	t.heads("By route, and by why", "route", "which", "requests", "answered", "with a fault", "rejected", "in doubt", "caller left", "|")
	for _, r := range a.routes.sorted(rejected) {
		for i, c := range []counts{r.counts, r.returned} {
			t.counts(c, r.name, []string{"first", "return"}[i], c.requests(), c.tally[answered], c.tally[faulty], c.tally[rejected],
				c.tally[inDoubt], c.tally[left], "|")
		}
	}
	t.dropped(a.routes, "routes")
}

func (a *Account) writeIntervals(t *text, service *entry) {
	rows := slices.Collect(maps.Values(a.intervals.entries))
	rows = slices.DeleteFunc(rows, func(e *entry) bool { return e.service != service.name })
	slices.SortFunc(rows, func(x, y *entry) int { return cmp.Compare(x.name, y.name) })
	t.heads(fmt.Sprintf("Requests to %s per %s, by why", service.name, a.interval), "from", "requests", "rejected", "|")
	for _, r := range rows {
		t.counts(r.counts, r.name, r.requests(), r.tally[rejected], "|")
	}
	t.dropped(a.intervals, "intervals of services")
}

func (a *Account) writeReturns(t *text) {
	t.note("\nReturns, and how many were rejected again")
	t.row("which", "requests", "answered", "rejected", "share rejected")
	row := func(name string, n tally) {
		t.row(name, n.requests(), n[answered], n[rejected], share(n[rejected], n.requests()))
	}
	row("kept", a.kept)
	row("recognized by the controller, not kept", a.recognized)
	row("by the stated timeout only", a.guessed)
	row("all", a.kept.plus(a.recognized).plus(a.guessed))
}

func (a *Account) writeCallers(t *text) {
	all := a.callers.sorted(outcomes)
	if len(all) == 0 {
		return
	}
	fifth := (len(all) + 4) / 5
	var busy tally
	rest := a.callers.dropped
	for i, e := range all {
		if i < fifth {
			busy = busy.plus(e.tally)
		} else {
			rest = rest.plus(e.tally)
		}
	}
	sum := busy.plus(rest)
	t.note("\nWho pays: callers by number of tries")
	if n := len(a.namings); n > 1 {
		t.note("Callers are named in %d ways, as each process has its own: a row is a caller at one process, and one that reached", n)
		t.note("several has a row for each. What a caller had in all is not known.")
	}
	t.row("caller", "tries", "share of tries", "answered", "share of answers", "answered per try", "rejected")
	row := func(name string, n tally) {
		t.row(name, n.requests(), share(n.requests(), sum.requests()), n[answered], share(n[answered], sum[answered]),
			share(n[answered], n.requests()), n[rejected])
	}
	row(fmt.Sprintf("busiest fifth (%d)", fifth), busy)
	row(fmt.Sprintf("the rest (%d)", len(all)-fifth), rest)
	for _, e := range all[:min(topRows, len(all))] {
		row(e.name, e.tally)
	}
	if a.anonymous > 0 {
		t.note("%d requests whose line names no caller are left out.", a.anonymous)
	}
	t.dropped(a.callers, "callers (the rest has them)")
}

func (a *Account) writeKeys(t *text) {
	shown := slices.DeleteFunc(a.keys.sorted(rejected), func(e *entry) bool {
		s := a.services.entries[id{"", e.service}]
		return e.tally[rejected] == 0 || s == nil || !s.divided
	})
	t.note("\nKeys with most rejections")
	t.row("service", "key", "requests", "answered", "rejected", "share of rejections of the service")
	for _, e := range shown[:min(topRows, len(shown))] {
		of := a.services.entries[id{"", e.service}].tally[rejected]
		t.row(e.service, e.name, e.requests(), e.tally[answered], e.tally[rejected], share(e.tally[rejected], of))
	}
	t.dropped(a.keys, "keys")
}

func (a *Account) writeServers(t *text) {
	byService := map[string][]*entry{}
	for _, e := range a.servers.sorted(answered) {
		byService[e.service] = append(byService[e.service], e)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		servers := byService[service]
		var sum tally
		for _, e := range servers {
			sum = sum.plus(e.tally)
		}
		t.note("\nWhere the work of %s went: %d servers, answers of the busiest / mean: %s", service, len(servers),
			share(servers[0].tally[answered]*len(servers), sum[answered]))
		t.row("server", "requests", "share of requests", "answered", "share of answers", "rejected", "median took (to 1%)")
		for _, e := range servers {
			took := "-"
			if e.took != nil {
				took = (time.Duration(e.took.ValueAtQuantile(50)) * time.Microsecond).Round(100 * time.Microsecond).String()
			}
			t.row(e.name, e.requests(), share(e.requests(), sum.requests()), e.tally[answered], share(e.tally[answered], sum[answered]),
				e.tally[rejected], took)
		}
	}
	t.dropped(a.servers, "servers")
}
