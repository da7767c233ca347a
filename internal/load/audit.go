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

	"example.org/mustardring/internal/stand"
)

// ErrBroken says that a promise to callers was broken.
var ErrBroken = errors.New("load: promises were broken")

// ErrAudit says that the servers could not be asked what they ran.
var ErrAudit = errors.New("load: servers cannot be asked what they ran")

// ran is one run of a request of this load at a server.
type ran struct {
	stand.Run
	server string
}

// Audit compares what callers were told with what servers ran.
type Audit struct {
	// Complete says that every server told all its runs. The other fields hold nothing for
	// those that did not.
	Complete bool `json:"complete"`
	// Requests, by what their callers know after all resends: at least one answer said ran;
	// all said not-run; anything else.
	Ran     int `json:"ran"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
	// UnknownRan and UnknownNotRun divide Unknown by what servers really did.
	UnknownRan    int `json:"unknown-ran"`
	UnknownNotRun int `json:"unknown-not-run"`
	// NotRunButRan, Lost and Doubled are violations: told not-run, but it ran; told ran, but no
	// server ran it; ran more than once though it must not.
	NotRunButRan int `json:"not-run-but-ran"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	// Overlaps are pairs of runs of one key that two servers ran at the same time.
	Overlaps int `json:"overlaps"`
	// Crossed are answers that belong to another request, and Cut those that broke off.
	Crossed int `json:"crossed"`
	Cut     int `json:"cut"`
	// Repeated are requests that may run more than once and did.
	Repeated int `json:"repeated"`
	// Examples has a few request IDs of each violation.
	Examples map[string][]string `json:"examples,omitempty"`
}

// maxExamples bounds the examples of each violation.
const maxExamples = 5

// Violations counts the promises that were broken.
func (a *Audit) Violations() int {
	return a.NotRunButRan + a.Lost + a.Doubled + a.Overlaps + a.Crossed
}

func (a *Audit) example(kind, id string) {
	if a.Examples == nil {
		a.Examples = make(map[string][]string)
	}
	if len(a.Examples[kind]) < maxExamples {
		a.Examples[kind] = append(a.Examples[kind], id)
	}
}

// told is what the caller of a request knows after all its sendings.
type told struct {
	once   bool
	ran    bool
	notRun bool
	others bool
}

// audit judges the records of one run.
func audit(records []record, runs []ran, prefix string) *Audit {
	a := &Audit{}
	byID := make(map[int]*told)
	for i := range records {
		r := &records[i]
		t := byID[r.id]
		if t == nil {
			t = &told{once: r.once}
			byID[r.id] = t
		}
		switch r.result {
		case ResultRan:
			t.ran = true
		case ResultNotRun, ResultUnreached:
			t.notRun = true
		default:
			t.others = true
		}
		if r.crossed {
			a.Crossed++
			a.example("crossed", prefix+strconv.Itoa(r.id))
		}
		if r.cut {
			a.Cut++
		}
	}
	a.countRuns(byID, countByID(runs, prefix), prefix)
	a.countOverlaps(throughEntries(records, runs, prefix))
	return a
}

// throughEntries leaves out the runs of direct requests, which go to any server.
func throughEntries(records []record, runs []ran, prefix string) []ran {
	direct := make(map[string]bool)
	for i := range records {
		if records[i].direct {
			direct[prefix+strconv.Itoa(records[i].id)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r ran) bool { return direct[r.RequestID] })
}

func countByID(runs []ran, prefix string) map[int]int {
	counts := make(map[int]int)
	for _, run := range runs {
		number, found := strings.CutPrefix(run.RequestID, prefix)
		if id, err := strconv.Atoi(number); found && err == nil {
			counts[id]++
		}
	}
	return counts
}

func (a *Audit) countRuns(byID map[int]*told, counts map[int]int, prefix string) {
	for id, t := range byID {
		n := counts[id]
		name := prefix + strconv.Itoa(id)
		switch {
		case t.ran:
			a.Ran++
			if n == 0 {
				a.Lost++
				a.example("lost", name)
			}
		case t.notRun && !t.others:
			a.NotRun++
			if n > 0 {
				a.NotRunButRan++
				a.example("not-run-but-ran", name)
			}
		default:
			a.Unknown++
			if n > 0 {
				a.UnknownRan++
			} else {
				a.UnknownNotRun++
			}
		}
		if n > 1 && t.once {
			a.Doubled++
			a.example("doubled", name)
		}
		if n > 1 && !t.once {
			a.Repeated++
		}
	}
}

// countOverlaps finds runs of one key at two servers at one time. It leaves out runs that never
// ended, since their server crashed, and those during which their server was frozen: they took
// effect before, and what they still do when the server returns is nothing.
func (a *Audit) countOverlaps(runs []ran) {
	byKey := make(map[string][]ran)
	for _, run := range runs {
		if run.Key != "" && run.End != 0 && !run.Frozen {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(x, y ran) int { return cmp.Compare(x.Start, y.Start) })
		last := list[0]
		for _, run := range list[1:] {
			if run.server != last.server && run.Start < last.End {
				a.Overlaps++
				a.example("overlaps", key)
			}
			if run.End > last.End {
				last = run
			}
		}
	}
}

// fetchRuns asks each server for all its runs.
func fetchRuns(ctx context.Context, client *http.Client, servers []string) (runs []ran, complete bool, err error) {
	complete = true
	for _, address := range servers {
		got, whole, err := fetchServer(ctx, client, address)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %s: %w", ErrAudit, address, err)
		}
		runs = append(runs, got...)
		complete = complete && whole
	}
	return runs, complete, nil
}

const runsPage = 50_000

func fetchServer(ctx context.Context, client *http.Client, address string) (runs []ran, whole bool, err error) {
	for {
		url := fmt.Sprintf("http://%s%s?from=%d&limit=%d", address, stand.RunsPath, len(runs), runsPage)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, false, err
		}
		var page stand.RunsPage
		err = json.NewDecoder(resp.Body).Decode(&page)
		resp.Body.Close()
		if err != nil {
			return nil, false, err
		}
		for _, run := range page.Runs {
			runs = append(runs, ran{Run: run, server: page.Server})
		}
		if len(page.Runs) < runsPage {
			return runs, page.Forgotten == 0, nil
		}
	}
}
