package load

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"example.org/mustardring/internal/stubs"
)

// ErrViolations says that the audit found violations of the guarantees to callers.
var ErrViolations = errors.New("load: the audit found violations")

// ErrAudit says that the audit could not fetch the runs of a server.
var ErrAudit = errors.New("load: cannot fetch the runs of a server")

// serverRun is one run of a request, with the name of the server that ran it.
type serverRun struct {
	stubs.Run
	server string
}

// Audit compares the responses to callers with the requests that servers ran.
type Audit struct {
	// Complete says that every server still had all of its runs. If it is false, the other fields
	// do not include runs that a server did not record.
	Complete bool `json:"complete"`
	// Ran, NotRun and Unknown count requests by what the caller knows after all submissions. Ran:
	// at least one response said ran. NotRun: every submission was answered not-run or was not sent.
	// Unknown: all others.
	Ran     int `json:"ran"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
	// UnknownRan and UnknownNotRun divide Unknown by whether a server ran the request.
	UnknownRan    int `json:"unknown-ran"`
	UnknownNotRun int `json:"unknown-not-run"`
	// NotRunButRan, Lost and Doubled count violations. NotRunButRan: the caller was told not-run, but
	// a server ran the request. Lost: the caller was told ran, but no server ran it. Doubled: a
	// non-idempotent request ran more than once.
	NotRunButRan int `json:"not-run-but-ran"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	// Overlaps counts runs that began while another server ran a request for the same key.
	Overlaps int `json:"overlaps"`
	// Crossed counts responses that belong to another request, and Cut truncated responses.
	Crossed int `json:"crossed"`
	Cut     int `json:"cut"`
	// Repeated counts idempotent requests that ran more than once, which is allowed.
	Repeated int `json:"repeated"`
	// Examples has a few request IDs for each kind of violation, and keys for overlaps.
	Examples map[string][]string `json:"examples,omitempty"`
}

// maxExamples limits the examples of each kind of violation.
const maxExamples = 5

// Violations returns the number of violations. Truncated responses and allowed repetitions are none.
func (a *Audit) Violations() int {
	return a.NotRunButRan + a.Lost + a.Doubled + a.Overlaps + a.Crossed
}

func (a *Audit) addExample(kind, id string) {
	if a.Examples == nil {
		a.Examples = make(map[string][]string)
	}
	if len(a.Examples[kind]) < maxExamples {
		a.Examples[kind] = append(a.Examples[kind], id)
	}
}

// callerView is what the caller of a request knows after all submissions.
type callerView struct {
	nonIdempotent bool
	ran           bool
	notRun        bool
	uncertain     bool
}

// audit compares the records of a load run with the server runs. Request IDs consist of the prefix and
// the number of the request.
func audit(records []record, runs []serverRun, prefix string) *Audit {
	a := &Audit{}
	byID := make(map[int]*callerView)
	for i := range records {
		r := &records[i]
		v := byID[r.id]
		if v == nil {
			v = &callerView{nonIdempotent: r.nonIdempotent}
			byID[r.id] = v
		}
		switch r.result {
		case ResultRan:
			v.ran = true
		case ResultNotRun, ResultUnreached:
			v.notRun = true
		default:
			v.uncertain = true
		}
		if r.crossed {
			a.Crossed++
			a.addExample("crossed", prefix+strconv.Itoa(r.id))
		}
		if r.cut {
			a.Cut++
		}
	}
	a.compareRuns(byID, countByID(runs, prefix), prefix)
	a.countOverlaps(excludeDirect(records, runs, prefix))
	return a
}

// excludeDirect returns the runs without those of direct requests. These go to any server, so runs of
// one key may overlap.
func excludeDirect(records []record, runs []serverRun, prefix string) []serverRun {
	direct := make(map[string]bool)
	for i := range records {
		if records[i].direct {
			direct[prefix+strconv.Itoa(records[i].id)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r serverRun) bool { return direct[r.RequestID] })
}

// countByID returns the number of runs of each request by its number.
func countByID(runs []serverRun, prefix string) map[int]int {
	counts := make(map[int]int)
	for _, run := range runs {
		number, found := strings.CutPrefix(run.RequestID, prefix)
		if id, err := strconv.Atoi(number); found && err == nil {
			counts[id]++
		}
	}
	return counts
}

// compareRuns compares what the caller of each request knows with how often the request ran.
func (a *Audit) compareRuns(byID map[int]*callerView, counts map[int]int, prefix string) {
	for id, v := range byID {
		n := counts[id]
		name := prefix + strconv.Itoa(id)
		switch {
		case v.ran:
			a.Ran++
			if n == 0 {
				a.Lost++
				a.addExample("lost", name)
			}
		case v.notRun && !v.uncertain:
			a.NotRun++
			if n > 0 {
				a.NotRunButRan++
				a.addExample("not-run-but-ran", name)
			}
		default:
			a.Unknown++
			if n > 0 {
				a.UnknownRan++
			} else {
				a.UnknownNotRun++
			}
		}
		if n > 1 && v.nonIdempotent {
			a.Doubled++
			a.addExample("doubled", name)
		}
		if n > 1 && !v.nonIdempotent {
			a.Repeated++
		}
	}
}

// countOverlaps counts runs of one key at two servers at the same time. It excludes runs that never
// ended because their server crashed, and runs whose server was frozen: a run takes effect at its
// start and does nothing more when the server continues.
func (a *Audit) countOverlaps(runs []serverRun) {
	byKey := make(map[string][]serverRun)
	for _, run := range runs {
		if run.Key != "" && run.End != 0 && !run.Frozen {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(x, y serverRun) int { return cmp.Compare(x.Start, y.Start) })
		last := list[0]
		for _, run := range list[1:] {
			if run.server != last.server && run.Start < last.End {
				a.Overlaps++
				a.addExample("overlaps", key)
			}
			if run.End > last.End {
				last = run
			}
		}
	}
}

// fetchRuns fetches the runs of all servers. The result complete is false if a server did not record
// all of its runs.
func fetchRuns(ctx context.Context, client *http.Client, servers []string) (runs []serverRun, complete bool, err error) {
	complete = true
	for _, address := range servers {
		got, all, err := fetchServerRuns(ctx, client, address)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %s: %w", ErrAudit, address, err)
		}
		runs = append(runs, got...)
		complete = complete && all
	}
	return runs, complete, nil
}

// maxRunsPerPage is the number of runs that one request to a server asks for.
const maxRunsPerPage = 50_000

// fetchServerRuns fetches all runs of the server at an address, page by page.
func fetchServerRuns(ctx context.Context, client *http.Client, address string) (runs []serverRun, all bool, err error) {
	for {
		url := fmt.Sprintf("http://%s%s?from=%d&limit=%d", address, stubs.RunsPath, len(runs), maxRunsPerPage)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, false, err
		}
		var page stubs.RunsPage
		err = json.NewDecoder(resp.Body).Decode(&page)
		resp.Body.Close()
		if err != nil {
			return nil, false, err
		}
		for _, run := range page.Runs {
			runs = append(runs, serverRun{Run: run, server: page.Server})
		}
		if len(page.Runs) < maxRunsPerPage {
			return runs, page.Forgotten == 0, nil
		}
	}
}
