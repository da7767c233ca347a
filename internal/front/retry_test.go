package front

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
)

// fullRetryBudget is the number of complete responses that fill the retry budget.
const fullRetryBudget = 60

// A GET request runs, its response is cut, and the gate retries it; the server refuses the second
// attempt. The outcome must not be "not run", which is true of the second attempt only.
func TestOutcomeUnknownAfterRefusedRetry(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	i := start(t, "gate", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n := attempts.Add(1); {
		case n <= fullRetryBudget:
			return
		case n == fullRetryBudget+1:
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
			conn.Close()
			return
		}
		w.Header().Set(caller.HeaderOutcome, string(caller.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
	var got answer
	for range fullRetryBudget + 1 {
		r, err := http.NewRequest(http.MethodGet, i.callers.URL+"/oddaja/x", nil)
		is.NoErr(err)
		r.Header.Set(caller.HeaderKey, "k")
		got = do(t, r)
	}
	is.True(attempts.Load() > fullRetryBudget+1)
	is.Equal(got.outcome(), caller.Unknown)
}
