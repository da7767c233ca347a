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

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	// The second run frees what the first one found out about, pools among it.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkMemory reports the bytes that an instance holds for each open connection of a
// caller, and for each request with a body of 4 KB that waits for a slot. The callers' ends
// are bare connections, whose few hundred bytes count as well.
func BenchmarkMemory(b *testing.B) {
	const count = 1000
	for b.Loop() {
		i := start(b, "one", nil)
		release := make(chan struct{})
		s := testService()
		s.Limits.Queue = 2 * count
		// So that they wait, and are not shed for the time they would have to.
		s.Limits.RequestMillis = 24 * time.Hour.Milliseconds()
		i.finder.set(here(s, backend(b, func(http.ResponseWriter, *http.Request) { <-release })))
		keyless := get(is.New(b), i.callers.URL+"/oddaja/x")
		keyless.Header = http.Header{}
		do(b, keyless)
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
		i.settled()
	}
}
