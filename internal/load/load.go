package load

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/duty"

	"github.com/google/uuid"
)

// settle is how long after the last answer the servers are asked: requests that were given
// up may run until then.
const settle = 500 * time.Millisecond

// Run sends the load of a checked profile, waits for all answers and asks the servers what
// they ran. The error wraps ErrAudit if they could not be asked; the report then has no audit.
func Run(ctx context.Context, p *Profile) (*Report, error) {
	run := uuid.NewString()
	s := newSender(p, run)
	records := s.runAll(ctx)
	took := time.Since(s.started)
	slices.SortFunc(records, func(x, y record) int { return cmp.Compare(x.start, y.start) })
	report := summarise(p, records, took)
	report.Late = latencyOf(s.late)
	if len(p.Servers) == 0 {
		return report, nil
	}
	duty.Sleep(ctx, settle)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	runs, complete, err := fetchRuns(ctx, client, p.Servers)
	if err != nil {
		return report, err
	}
	mine := runs[:0]
	for _, r := range runs {
		if len(r.RequestID) > len(run) && r.RequestID[:len(run)] == run {
			mine = append(mine, r)
		}
	}
	report.Audit = audit(records, mine, run+"-")
	report.Audit.Complete = complete
	if n := report.Audit.Violations(); n > 0 {
		return report, fmt.Errorf("%w: %d times", ErrBroken, n)
	}
	return report, nil
}
