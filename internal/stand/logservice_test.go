package stand_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/stand"
)

func TestLogServiceFaults(t *testing.T) {
	tests := map[string]struct {
		settings   stand.LogSettings
		fault      stand.LogFault
		appends    int
		wantAppend error
		wantCount  int
		from       uint64
		wantRead   error
	}{
		"well":            {appends: 3, wantCount: 3},
		"down":            {fault: stand.LogFault{Down: true}, appends: 1, wantAppend: logcl.ErrUnavailable, wantRead: logcl.ErrUnavailable},
		"answer lost":     {fault: stand.LogFault{LoseAnswers: 1}, appends: 1, wantAppend: logcl.ErrUncertain, wantCount: 1},
		"slow":            {fault: stand.LogFault{SlowMillis: 60_000}, appends: 1, wantAppend: logcl.ErrUncertain, wantCount: 1, from: 1, wantRead: logcl.ErrUnavailable},
		"beyond the rate": {settings: stand.LogSettings{AppendRate: 8}, appends: 3, wantAppend: logcl.ErrRateLimited, wantCount: 2},
		"count retained":  {settings: stand.LogSettings{RetainCount: 2}, appends: 3, wantCount: 3, wantRead: logcl.ErrGap},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := stand.NewLogService(test.settings)
				service.SetFault(test.fault)
				client := logcl.New("http://log", &http.Client{Transport: stand.HandlerTransport{Handler: service}})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var err error
				for range test.appends {
					_, err = client.Append(ctx, "id", []byte("data"))
				}
				is.True(errors.Is(err, test.wantAppend))    // answer of the last append
				is.Equal(service.Appends(), test.wantCount) // appends that took effect
				_, err = client.Read(ctx, test.from, 10)    // whole log, unless stated
				is.True(errors.Is(err, test.wantRead))      // answer of the read
				is.Equal(err == nil, test.wantRead == nil)  // errors.Is(nil, nil) aside
			})
		})
	}
}

// A user sees a change seconds after it was made, though nothing polls fast: the reader
// waits at the log, another instance appends, and the wait ends with the record.
func TestLogServiceReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := stand.NewLogService(stand.LogSettings{})
		client := logcl.New("http://log", &http.Client{Transport: stand.HandlerTransport{Handler: service}})
		start := time.Now()
		time.AfterFunc(time.Second, func() { _, _ = client.Append(context.Background(), "a", []byte("x")) })
		batch, err := client.Read(t.Context(), 0, 10)
		is.NoErr(err)
		is.Equal(len(batch.Entries), 1)
		is.Equal(batch.Entries[0].ID, "a")
		is.Equal(time.Since(start), time.Second)
	})
}

// Operators replace the log service, and the new one counts from zero. A reader that waits
// at offset 2 is told so at once by the identity, not left waiting for offset 2 to return.
func TestLogServiceStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := stand.NewLogService(stand.LogSettings{})
		client := logcl.New("http://log", &http.Client{Transport: stand.HandlerTransport{Handler: service}})
		for range 2 {
			_, err := client.Append(t.Context(), "a", nil)
			is.NoErr(err)
		}
		before, err := client.Read(t.Context(), 0, 10)
		is.NoErr(err)
		time.AfterFunc(time.Second, func() { service.SetFault(stand.LogFault{StartAnew: true}) })
		after, err := client.Read(t.Context(), 2, 10)
		is.NoErr(err)
		is.True(before.Identity != after.Identity)
		is.Equal(after.Next, uint64(0))
	})
}
