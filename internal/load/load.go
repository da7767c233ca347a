package load

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/worker"

	"github.com/google/uuid"
)

// settleDelay is the wait between the last response and the audit, because requests that the sender
// gave up on may still run.
const settleDelay = 500 * time.Millisecond

// Run sends the load of a profile that has passed Check, waits for all responses and audits them
// against the runs of the servers. The error wraps ErrAudit if the runs could not be fetched, in
// which case the report has no audit, and ErrViolations if the audit found violations.
func Run(ctx context.Context, p *Profile) (*Report, error) {
	runID := uuid.NewString()
	s := newSender(p, runID)
	records := s.runAll(ctx)
	took := time.Since(s.started)
	slices.SortFunc(records, func(x, y record) int { return cmp.Compare(x.start, y.start) })
	report := newReport(p, records, took)
	report.Late = latencyOf(s.late)
	if len(p.Servers) == 0 {
		return report, nil
	}
	worker.Sleep(ctx, settleDelay)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	runs, complete, err := fetchRuns(ctx, client, p.Servers)
	if err != nil {
		return report, err
	}
	own := runs[:0]
	for _, r := range runs {
		if len(r.RequestID) > len(runID) && r.RequestID[:len(runID)] == runID {
			own = append(own, r)
		}
	}
	report.Audit = audit(records, own, runID+"-")
	report.Audit.Complete = complete
	if n := report.Audit.Violations(); n > 0 {
		return report, fmt.Errorf("%w: %d", ErrViolations, n)
	}
	return report, nil
}
