package front

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memoryInUse returns the number of bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	// Objects in a sync.Pool are freed only by the second collection.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkMemory reports the bytes that an instance uses for each open connection of a caller, and
// for each queued request with a body of 4 KB. The callers' ends of the connections are in the same
// process; their few hundred bytes each are included.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	for b.Loop() {
		i := start(b, "one", nil)
		release := make(chan struct{})
		s := testService()
		s.Limits.Queue = 2 * count
		// With a shorter limit the requests would be rejected because of their expected wait.
		s.Limits.RequestMillis = 24 * time.Hour.Milliseconds()
		i.finder.set(here(s, backend(b, func(http.ResponseWriter, *http.Request) { <-release })))
		noKey := get(is.New(b), i.callers.URL+"/oddaja/x")
		noKey.Header = http.Header{}
		do(b, noKey)
		before := memoryInUse()
		conns := make([]net.Conn, count)
		for n := range conns {
			c, err := net.Dial("tcp", address(i.callers))
			if err != nil {
				b.Fatal(err)
			}
			conns[n] = c
		}
		i.awaitOpen(count)
		open := memoryInUse()
		text := "POST /oddaja/x HTTP/1.1\r\nHost: x\r\nMustardring-Key: k\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("b", 4096)
		for _, c := range conns {
			if _, err := fmt.Fprint(c, text); err != nil {
				b.Fatal(err)
			}
		}
		i.awaitWaiting("oddaja", count-2)
		waiting := memoryInUse()
		b.ReportMetric(float64(open-before)/count, "B/connection")
		b.ReportMetric(float64(waiting-before)/count, "B/waiting")
		for _, c := range conns {
			c.Close()
		}
		close(release)
		i.awaitIdle()
	}
}
