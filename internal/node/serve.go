package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"example.org/mustardring/internal/event"
)

// The times of a stop.
const (
	// rotationTime is how long the balancer may take to leave this instance out: it asks once a
	// second and twice in vain.
	rotationTime = 2300 * time.Millisecond
	// stopReserve is kept of the time that a stop may take.
	stopReserve = 500 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
)

func (n *Node) stopped() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// stop ends the instance in order: it says that it is not ready, hands its duties over, takes
// requests until the balancer has left it out, and answers what is in progress.
func (n *Node) stop(ctx context.Context, front net.Listener) {
	n.events.Note(event.Belief, "stop", "instance", n.settings.Name, "busy", n.inlet.InFlight())
	began := time.Now()
	deadline := began.Add(time.Duration(n.settings.Bounds.StopSeconds*float64(time.Second)) - stopReserve)
	close(n.stopping)
	n.holder.Stop()
	// The others take over its renewals only when they hear of it, within a lease.
	n.announceToAll()
	n.inlet.Drain()
	for time.Since(began) < rotationTime && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	_ = front.Close()
	n.inlet.Finish()
	// A connection lasts until the caller has taken the last answer from it.
	for n.inlet.Conns() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(stopPoll)
		n.inlet.Finish()
	}
	n.recordEnd(ctx, deadline.Add(stopReserve/2))
	n.events.Note(event.Belief, "stopped", "instance", n.settings.Name, "busy", n.inlet.InFlight(), "took", time.Since(began))
}

// recordEnd writes down that this instance ends, unless the store takes longer than until a time: the process is killed
// soon after it.
func (n *Node) recordEnd(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if err := n.putRecord(ctx, true); err != nil {
		n.events.Note(event.Belief, "end-not-recorded", "error", err)
	}
}

// ready reports whether callers should come to this instance: it knows a configuration and
// servers, and does not stop.
func (n *Node) ready() bool {
	return !n.stopped() && n.world.config.Load() != nil && len(n.world.servers()) > 0
}

// serveReady answers the balancer.
func (n *Node) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(n.around.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, n.settings.Ready, mux)
}

// serveMetrics serves counters and latencies, as text and as JSON.
func (n *Node) serveMetrics(ctx context.Context) error {
	vars := new(expvar.Map).Init()
	vars.Set("mustardring-requests", n.meters.Var())
	vars.Set("mustardring-events", n.events.Counts())
	vars.Set("mustardring-store-calls", n.calls)
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(vars.String()))
	})
	mux.HandleFunc("/metrics", n.metrics)
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	return serveHTTP(ctx, address, mux)
}

func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) {
	s := n.meters.Snapshot()
	var lines []string
	for route, counts := range s.Requests {
		for reason, count := range counts {
			lines = append(lines, fmt.Sprintf("requests{route=%q,end=%q} %d\n", route, reason, count))
		}
	}
	for reason, l := range s.Latency {
		lines = append(lines, fmt.Sprintf("latency_us{end=%q,quantile=\"0.5\"} %d\n", reason, l.P50),
			fmt.Sprintf("latency_us{end=%q,quantile=\"0.99\"} %d\n", reason, l.P99))
	}
	n.events.Counts().Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("events{name=%q} %s\n", v.Key, v.Value))
	})
	n.calls.Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("store_calls{what=%q} %s\n", v.Key, v.Value))
	})
	for call, l := range n.times.Snapshot() {
		lines = append(lines, fmt.Sprintf("store_time_us{call=%q,quantile=\"0.5\"} %d\n", call, l.P50),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"0.99\"} %d\n", call, l.P99),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"1\"} %d\n", call, l.Max))
	}
	for domain, since := range n.world.evacuatedDomains() {
		l := n.leftAt(domain)
		lines = append(lines, fmt.Sprintf("evacuated_seconds{domain=%q} %.1f\n", domain, since.Seconds()),
			fmt.Sprintf("evacuated_requests{domain=%q} %d\n", domain, l.requests),
			fmt.Sprintf("evacuated_keys{domain=%q} %d\n", domain, l.keys))
	}
	sort.Strings(lines)
	for _, l := range lines {
		_, _ = w.Write([]byte(l))
	}
}

// shutdownTime bounds the end of the small servers.
const shutdownTime = 100 * time.Millisecond

func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() {
		ended, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		_ = s.Shutdown(ended)
		_ = s.Close()
	})
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
