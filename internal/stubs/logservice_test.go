package stubs_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/stubs"
)

func TestLogServiceFaults(t *testing.T) {
	tests := map[string]struct {
		settings   stubs.LogSettings
		fault      stubs.LogFault
		appends    int
		wantAppend error
		wantCount  int
		from       uint64
		wantRead   error
	}{
		"no fault":        {appends: 3, wantCount: 3},
		"down":            {fault: stubs.LogFault{Down: true}, appends: 1, wantAppend: logcl.ErrUnavailable, wantRead: logcl.ErrUnavailable},
		"answer lost":     {fault: stubs.LogFault{LoseAnswers: 1}, appends: 1, wantAppend: logcl.ErrUncertain, wantCount: 1},
		"slow":            {fault: stubs.LogFault{SlowMillis: 60_000}, appends: 1, wantAppend: logcl.ErrUncertain, wantCount: 1, from: 1, wantRead: logcl.ErrUnavailable},
		"beyond the rate": {settings: stubs.LogSettings{AppendRate: 8}, appends: 3, wantAppend: logcl.ErrRateLimited, wantCount: 2},
		"count retained":  {settings: stubs.LogSettings{RetainCount: 2}, appends: 3, wantCount: 3, wantRead: logcl.ErrGap},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := stubs.NewLogService(test.settings)
				service.SetFault(test.fault)
				client := logcl.New("http://log", &http.Client{Transport: stubs.HandlerTransport{Handler: service}})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var err error
				for range test.appends {
					_, err = client.Append(ctx, "id", []byte("data"))
				}
				is.True(errors.Is(err, test.wantAppend))    // response of the last append
				is.Equal(service.Appends(), test.wantCount) // appends that took effect
				_, err = client.Read(ctx, test.from, 10)    // the whole log if from is zero
				is.True(errors.Is(err, test.wantRead))      // response of the read
				is.Equal(err == nil, test.wantRead == nil)  // fails exactly if wantRead is set
			})
		})
	}
}

// A read that waits at the end of the log returns as soon as a record is appended, so that changes
// arrive quickly without frequent polling.
func TestLogServiceReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := stubs.NewLogService(stubs.LogSettings{})
		client := logcl.New("http://log", &http.Client{Transport: stubs.HandlerTransport{Handler: service}})
		start := time.Now()
		time.AfterFunc(time.Second, func() { _, _ = client.Append(context.Background(), "a", []byte("x")) })
		batch, err := client.Read(t.Context(), 0, 10)
		is.NoErr(err)
		is.Equal(len(batch.Entries), 1)
		is.Equal(batch.Entries[0].ID, "a")
		is.Equal(time.Since(start), time.Second)
	})
}

// The log service is replaced by one with offsets from zero while a read waits at offset 2. The
// read returns at once with the new identity instead of waiting until offset 2 exists again.
func TestLogServiceStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := stubs.NewLogService(stubs.LogSettings{})
		client := logcl.New("http://log", &http.Client{Transport: stubs.HandlerTransport{Handler: service}})
		for range 2 {
			_, err := client.Append(t.Context(), "a", nil)
			is.NoErr(err)
		}
		before, err := client.Read(t.Context(), 0, 10)
		is.NoErr(err)
		time.AfterFunc(time.Second, func() { service.SetFault(stubs.LogFault{StartAnew: true}) })
		after, err := client.Read(t.Context(), 2, 10)
		is.NoErr(err)
		is.True(before.Identity != after.Identity)
		is.Equal(after.Next, uint64(0))
	})
}
