package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stand"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// A leader has moved a range while the log has a fault, which ends after a minute. The move
// must be acknowledged with its offset, and what is read must hold it. Operators would
// otherwise see a provisional move for ever, or lose it.
func TestLogDutyOutlivesFaults(t *testing.T) {
	tests := map[string]stand.LogFault{
		"well":         {},
		"down":         {Down: true},
		"answers lost": {LoseAnswers: 1000},
		"very slow":    {SlowMillis: 60_000},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := stand.NewLogService(stand.LogSettings{})
				service.SetFault(fault)
				time.AfterFunc(time.Minute, func() { service.SetFault(stand.LogFault{}) })
				e, err := New(Deps{
					Settings:    config.Run{Name: "klet-1", Domain: "klet"},
					TLS:         &tls.Config{MinVersion: tls.VersionTLS13},
					Log:         logcl.New("http://log", &http.Client{Transport: stand.Direct{Handler: service}}),
					Placer:      place.New(),
					Logger:      log.New(io.Discard),
					Incarnation: 1,
				})
				is.NoErr(err)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- e.runLog(ctx) }()
				e.queueAppend(leader.Append{ID: "move", Record: record.AssignmentMade{
					Domain: "klet", Service: "pregled",
					Assignments: []record.Assignment{{
						Server: "pregled-1", Epoch: grant.Epoch{Sequence: 3}, Ranges: []keys.Range{keys.Full},
					}},
				}})
				start := time.Now()
				acknowledged, held := false, false
				for !acknowledged || !held {
					told, forLeads := (<-e.events).(forLeader)
					if !forLeads {
						continue
					}
					switch ev := told.event.(type) {
					case leader.Appended:
						acknowledged = ev.ID == "move" && ev.Offset < uint64(service.Appends())
					case leader.LogRead:
						held = ev.Assigned["pregled-1"].Assignment.Epoch.Sequence == 3
					}
				}
				is.True(time.Since(start) < 70*time.Second)
				is.True(service.Appends() < 40)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				synctest.Wait()
			})
		})
	}
}
