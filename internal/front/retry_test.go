package front

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
)

// earned is the number of whole answers that fill the budget for retries.
const earned = 60

// A read runs, its answer is cut, and the gate tries it once more; the server sheds that try.
// The caller was told that the read had not run, which was true of the second try only.
func TestRetryAfterDoubtIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int32
	i := start(t, "gate", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n := tries.Add(1); {
		case n <= earned:
			return
		case n == earned+1:
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
	for range earned + 1 {
		r, err := http.NewRequest(http.MethodGet, i.callers.URL+"/oddaja/x", nil)
		is.NoErr(err)
		r.Header.Set(caller.HeaderKey, "k")
		got = do(t, r)
	}
	is.True(tries.Load() > earned+1)
	is.Equal(got.outcome(), caller.Unknown)
}
