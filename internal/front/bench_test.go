package front

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// smallAnswer responds with a few bytes.
func smallAnswer(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "42 wheels of cheese")
}

// benchmark sends one request after the other with the same client in all benchmarks, so that the
// results can be compared with those of BenchmarkDirect, which bypasses the instances.
func benchmark(b *testing.B, url string, method string, header ...string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := http.NewRequest(method, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		if method == http.MethodPost {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("text")), 4
		}
		r.Header.Set(caller.HeaderKey, "cheese-7")
		for i := 0; i+1 < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1]+newID())
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.Status, err)
		}
		response.Body.Close()
	}
}

func BenchmarkDirect(b *testing.B) {
	benchmark(b, "http://"+backend(b, smallAnswer)+"/x", http.MethodGet)
}

func BenchmarkGate(b *testing.B) {
	i := start(b, "one", nil)
	i.finder.set(here(testService(), backend(b, smallAnswer)))
	benchmark(b, i.callers.URL+"/oddaja/x", http.MethodGet)
}

func BenchmarkForward(b *testing.B) {
	gate, edge := start(b, "one", nil), start(b, "two", nil)
	gate.finder.set(here(testService(), backend(b, smallAnswer)))
	edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
	benchmark(b, edge.callers.URL+"/oddaja/x", http.MethodGet)
}

func BenchmarkSubmission(b *testing.B) {
	i := start(b, "one", nil)
	i.finder.set(here(testService(), backend(b, smallAnswer)))
	benchmark(b, i.callers.URL+"/oddaja/x", http.MethodPost, caller.HeaderRequestID, "id-")
}

// manySlots returns a destination whose server has 64 slots.
func manySlots(address string) route.Local {
	d := here(testService(), address)
	d.Servers[0].Server.Slots, d.Servers[0].Server.Connections = 64, 400
	return d
}

// benchmarkMany sends requests from 16 callers at once. On one processor (-cpu 1) the time for a
// request is the processor time of everything that it passes, so the difference to the direct call
// is the cost of the instance.
func benchmarkMany(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r, err := http.NewRequest(http.MethodGet, url, nil)
			if err != nil {
				b.Error(err)
				return
			}
			r.Header.Set(caller.HeaderKey, "cheese-7")
			response, err := transport.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.Status)
				return
			}
		}
	})
}

func BenchmarkManyDirect(b *testing.B) {
	benchmarkMany(b, "http://"+backend(b, smallAnswer)+"/x")
}

func BenchmarkManyGate(b *testing.B) {
	i := start(b, "one", nil)
	i.finder.set(manySlots(backend(b, smallAnswer)))
	benchmarkMany(b, i.callers.URL+"/oddaja/x")
}

func BenchmarkManyForward(b *testing.B) {
	gate, edge := start(b, "one", nil), start(b, "two", nil)
	gate.finder.set(manySlots(backend(b, smallAnswer)))
	edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
	benchmarkMany(b, edge.callers.URL+"/oddaja/x")
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

// BenchmarkHandler sends requests through the handler to a server on loopback, without a connection
// of the caller.
func BenchmarkHandler(b *testing.B) {
	i := start(b, "one", nil)
	i.finder.set(here(testService(), backend(b, smallAnswer)))
	r, err := http.NewRequest(http.MethodGet, "/oddaja/x", nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(caller.HeaderKey, "cheese-7")
	r.RemoteAddr = "127.0.0.1:99"
	b.ReportAllocs()
	for b.Loop() {
		w := &discardWriter{header: http.Header{}}
		i.front.CallerHandler().ServeHTTP(w, r)
		if w.header.Get(caller.HeaderOutcome) != string(caller.Ran) {
			b.Fatal(w.header)
		}
	}
}
