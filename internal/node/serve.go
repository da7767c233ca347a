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
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

const (
	// balancerTime is how long the load balancer may take to remove this instance: it checks once a second, and
	// removes it after two failed checks.
	balancerTime = 2300 * time.Millisecond
	// stopReserve is kept free at the end of the time that the settings allow for a stop.
	stopReserve      = 500 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// isStopping reports whether the instance has begun to stop.
func (n *Node) isStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// stop ends the instance gracefully: it reports that it is not ready, hands its responsibilities over, takes requests
// until the load balancer has removed it, and answers what is in progress.
func (n *Node) stop(ctx context.Context, listener net.Listener) {
	n.events.Record(event.StateChange, "stop", "instance", n.settings.Name, "busy", n.inlet.InFlight())
	began := time.Now()
	deadline := began.Add(time.Duration(n.settings.Bounds.StopSeconds*float64(time.Second)) - stopReserve)
	close(n.stopping)
	n.leases.Stop()
	// The others take over its lease renewals only once they know that it stops, which must be within the duration of
	// a lease.
	n.sendHeartbeatToAll()
	n.inlet.Drain()
	for time.Since(began) < balancerTime && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	_ = listener.Close()
	n.inlet.Finish()
	// A connection stays open until the caller has read the last reply from it, a tunnel until its sender closes it. Requests
	// of other instances end with their answers.
	for n.inlet.Conns()+n.tunnels.carriedCount()+int(n.carried.Load()) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
		n.inlet.Finish()
	}
	n.recordEnd(ctx, deadline.Add(stopReserve/2))
	open := n.inlet.Open()
	n.events.Record(event.StateChange, "stopped", "instance", n.settings.Name, "busy", open.InFlight, "caller-conns", open.Conns,
		"unacked-bytes", open.Unacked, "carried", n.carried.Load(), "tunnels", n.tunnels.carriedCount(), "took", time.Since(began))
}

// maxEndAppends is how often the record of the end of an instance is tried to be written. Instances that end together refuse
// each other's.
const maxEndAppends = 3

// recordEnd writes to the register that this instance ends. It gives up at a deadline, soon after which the process
// is killed.
//
// The record goes only to an end of the topic that was known while this process ran. The store may carry it out seconds later,
// and it must not follow the registration of the next process of the same name.
func (n *Node) recordEnd(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n.leases.Cease()
	end, err := n.leases.Read().End, error(nil)
	for i := range maxEndAppends {
		if i > 0 {
			var batch follow.Batch
			if batch, err = n.platform.Store.Read(ctx, n.platform.OwnersTopic, logpos.EndOnly, 0); err != nil {
				break
			}
			end = batch.End
		}
		if _, err = n.appendEntry(ctx, true, end); !errors.Is(err, follow.ErrConflict) && !errors.Is(err, follow.ErrReturned) {
			break
		}
	}
	if err != nil {
		n.events.Record(event.StateChange, "end-not-recorded", "as-of", end, "error", err)
	}
}

// ready reports whether callers should be sent to this instance: it knows a configuration and servers, reaches servers
// itself or through others, and is not stopping.
func (n *Node) ready() bool {
	_, reachesNothing := n.dialer.Table.ReachesNothing(time.Now())
	return !n.isStopping() && !reachesNothing && n.cluster.config.Load() != nil && n.cluster.servers().Len() > 0
}

// serveReady answers the readiness checks of the load balancer.
func (n *Node) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, n.settings.ReadinessAddress, mux)
}

// serveMetrics serves counters and latencies, as text at /metrics and as JSON at /debug/vars.
func (n *Node) serveMetrics(ctx context.Context) error {
	vars := new(expvar.Map).Init()
	vars.Set("mustardring-requests", n.meters.Var())
	vars.Set("mustardring-events", n.events.Counts())
	vars.Set("mustardring-store-calls", n.storeCalls)
	vars.Set("mustardring-server-connections", n.dialer.Counts())
	vars.Set("mustardring-caller-connections", n.callerConns)
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(vars.String()))
	})
	mux.HandleFunc("/metrics", n.serveMetricsText)
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	return serveHTTP(ctx, address, mux)
}

// serveMetricsText writes all metrics as sorted lines of text.
func (n *Node) serveMetricsText(w http.ResponseWriter, _ *http.Request) {
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
	n.storeCalls.Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("store_calls{what=%q} %s\n", v.Key, v.Value))
	})
	n.dialer.Counts().Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("server_connections{how=%q} %s\n", v.Key, v.Value))
	})
	n.callerConns.Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("caller_connections{end=%q} %s\n", v.Key, v.Value))
	})
	n.carrier.counts.Do(func(v expvar.KeyValue) {
		lines = append(lines, fmt.Sprintf("shared_connections{result=%q} %s\n", v.Key, v.Value))
	})
	lines = append(lines, fmt.Sprintf("paths_lost %d\n", n.dialer.Table.LostCount()),
		fmt.Sprintf("tunnels{side=\"opened\"} %d\n", n.tunnels.openedCount()), fmt.Sprintf("tunnels{side=\"carried\"} %d\n", n.tunnels.carriedCount()))
	bodies := n.bodyMemory.Snapshot()
	lines = append(lines, fmt.Sprintf("bodies{what=\"held-bytes\"} %d\n", bodies.Held),
		fmt.Sprintf("bodies{what=\"peak-bytes\"} %d\n", bodies.Peak), fmt.Sprintf("bodies{what=\"rejected\"} %d\n", bodies.Rejected))
	replyBytes, repliesRejected := n.replyMemory.Snapshot()
	lines = append(lines, fmt.Sprintf("replies{what=\"held-bytes\"} %d\n", replyBytes), fmt.Sprintf("replies{what=\"rejected\"} %d\n", repliesRejected))
	for id, count := range s.Answers {
		lines = append(lines, fmt.Sprintf("answers{stated-id=%q} %d\n", id, count))
	}
	for proof, count := range s.Promises {
		lines = append(lines, fmt.Sprintf("promises{proof=%q} %d\n", proof, count))
	}
	for call, l := range n.storeTimes.Snapshot() {
		lines = append(lines, fmt.Sprintf("store_time_us{call=%q,quantile=\"0.5\"} %d\n", call, l.P50),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"0.99\"} %d\n", call, l.P99),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"1\"} %d\n", call, l.Max))
	}
	for domain, since := range n.cluster.evacuatedDomains() {
		l := n.remainingIn(domain)
		lines = append(lines, fmt.Sprintf("evacuated_seconds{domain=%q} %.1f\n", domain, since.Seconds()),
			fmt.Sprintf("evacuated_requests{domain=%q} %d\n", domain, l.requests),
			fmt.Sprintf("evacuated_keys{domain=%q} %d\n", domain, l.keys))
	}
	for _, server := range n.cluster.servers().All() {
		if server.RateLimit > 0 {
			lines = append(lines, fmt.Sprintf("server_limit_per_second{server=%q} %g\n", server.ID, server.RateLimit))
		}
	}
	now := time.Now()
	for server, leaveBy := range n.cluster.statements.Leaves() {
		lines = append(lines, fmt.Sprintf("server_leave_seconds{server=%q} %.1f\n", server, leaveBy.Sub(now).Seconds()))
	}
	for server, until := range n.cluster.statements.Rests(now) {
		lines = append(lines, fmt.Sprintf("server_rest_seconds{server=%q} %.1f\n", server, until.Sub(now).Seconds()))
	}
	lines = append(lines, n.overloadMetrics()...)
	sort.Strings(lines)
	for _, l := range lines {
		_, _ = w.Write([]byte(l))
	}
}

// shutdownTimeout limits the shutdown of the servers for readiness and metrics.
const shutdownTimeout = 100 * time.Millisecond

// serveHTTP serves a handler at an address until the context ends, and returns the error of the context then.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() {
		ended, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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
