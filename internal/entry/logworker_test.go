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

// Guards against a move of a range that stays provisional or is lost because the log service was
// faulty for a minute. The move must be acknowledged with its offset, and the state read from the log
// must contain it.
func TestLogWorkerSurvivesFaults(t *testing.T) {
	tests := map[string]stand.LogFault{
		"no fault":     {},
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
					Log:         logcl.New("http://log", &http.Client{Transport: stand.HandlerTransport{Handler: service}}),
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
				acknowledged, found := false, false
				for !acknowledged || !found {
					queued, isLeaderEvent := (<-e.events).(leaderEvent)
					if !isLeaderEvent {
						continue
					}
					switch ev := queued.event.(type) {
					case leader.Appended:
						acknowledged = ev.ID == "move" && ev.Offset < uint64(service.Appends())
					case leader.LogRead:
						found = ev.Assigned["pregled-1"].Assignment.Epoch.Sequence == 3
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
