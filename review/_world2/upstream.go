package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/platform"
)

func stringReader(s string) io.Reader { return strings.NewReader(s) }

// arrival is the arrival of a request at an upstream.
type arrival struct {
	id string
	at time.Time
	// ran says that the upstream began to work on the request, at ranAt. It ended or dropped it at endedAt.
	ran            bool
	ranAt, endedAt time.Time
}

// upstream is a stand-in of an upstream as PROTOCOL.md describes it: it runs slots requests at the same time and queues a few
// more, checks the instance that is named, states its load, and writes its entry in the store. Its service has no keys.
type upstream struct {
	world   *world
	service string
	zone    string
	slots   int
	work    time.Duration
	address string
	// crashes reports whether a request crashes the upstream that begins to run it.
	crashes func(r *http.Request) bool
	// backAfter is how long after a crash it is back.
	backAfter time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	life     int
	up       bool
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	free     chan struct{}
	limit    string
	limitAt  time.Time
	arrivals []arrival
	crashed  []time.Time
}

// maxQueue is how many requests wait for a slot.
const maxQueue = 8

// startUpstream starts an upstream at a free port.
func (w *world) startUpstream(service, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{world: w, service: service, zone: zone, slots: slots, work: work, address: fmt.Sprintf("127.0.0.1:%d", freePort())}
	if err := u.start(); err != nil {
		return nil, err
	}
	w.upstreams = append(w.upstreams, u)
	w.workers.Add(1)
	go u.beat()
	return u, nil
}

// start starts an incarnation.
func (u *upstream) start() error {
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.life++
	u.id = fmt.Sprintf("i-%s-%s-%d", u.service, strings.TrimPrefix(u.address, "127.0.0.1:"), u.life)
	u.born, u.sequence, u.up = time.Now().UnixMilli(), 0, true
	u.listener, u.conns, u.running, u.waiting = l, map[net.Conn]struct{}{}, 0, 0
	u.free = make(chan struct{}, u.slots)
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), IdleTimeout: 10 * time.Second, ConnState: u.track}
	server, id := u.server, u.id
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	u.world.note("upstream %s of %s is up", id, u.service)
	return nil
}

// track keeps the open connections.
func (u *upstream) track(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// crash ends the incarnation: its port has no listener, and its connections are reset.
func (u *upstream) crash() {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up = false
	u.crashed = append(u.crashed, time.Now())
	l, conns := u.listener, u.conns
	u.conns = map[net.Conn]struct{}{}
	u.mu.Unlock()
	_ = l.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// beat writes the entry in the store, as often as upstreams do, and removes that of an ended incarnation after three intervals
// of silence.
func (u *upstream) beat() {
	defer u.world.workers.Done()
	listed, silence := "", 0
	for {
		u.mu.Lock()
		up, id := u.up, u.id
		u.sequence++
		entry, _ := json.Marshal(map[string]any{
			"address": u.address, "born": u.born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
			"status": map[string]any{"state": "ready", "sequence": u.sequence, "warmupLeftS": 0.0},
		})
		u.mu.Unlock()
		switch {
		case up:
			if listed != "" && listed != id {
				u.world.store.Put(platform.TopicServers, listed, nil)
			}
			u.world.store.Put(platform.TopicServers, id, entry)
			listed, silence = id, 0
		case listed != "":
			if silence++; silence == 3 {
				u.world.store.Put(platform.TopicServers, listed, nil)
				listed = ""
			}
		}
		if !u.world.sleep(heartbeat) {
			return
		}
	}
}

// setLimit makes all answers from now on name a limit.
func (u *upstream) setLimit(perSecond string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
}

// handle handles a request.
func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, life, free := u.id, u.life, u.free
	attemptID := r.Header.Get("X-Mustardring-Attempt-Id")
	h := w.Header()
	h["Date"] = nil
	if attemptID != "" {
		h.Set("X-Mustardring-Attempt-Id", attemptID)
	}
	h.Set("X-Upstream", id)
	if u.limit != "" {
		h.Set("Server-Limit", u.limit)
		if u.limitAt.IsZero() {
			u.limitAt = time.Now()
			u.world.note("%s names its limit for the first time: %s", id, u.limit)
		}
	}
	if target := r.Header.Get("X-Mustardring-Target-Instance"); target != "" && target != id {
		u.mu.Unlock()
		h.Set("X-Mustardring-Instance-Id", id)
		h.Set("X-Mustardring-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{id: attemptID, at: time.Now()})
	if attemptID == "" || u.waiting >= maxQueue {
		h.Set("X-Mustardring-Upstream-Load", fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots))
		u.mu.Unlock()
		h.Set("X-Mustardring-Not-Executed", "1")
		if attemptID == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		u.world.note("%s rejects %s: full", id, attemptID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.waiting++
	u.mu.Unlock()
	dropped := false
	select {
	case free <- struct{}{}:
	case <-r.Context().Done():
		dropped = true
	}
	u.mu.Lock()
	if u.life != life {
		u.mu.Unlock()
		return
	}
	u.waiting--
	if dropped {
		u.mu.Unlock()
		return
	}
	u.running++
	u.arrivals[at].ran, u.arrivals[at].ranAt = true, time.Now()
	u.mu.Unlock()
	// Upstreams read the whole body. What they do with it is not part of any case.
	body, _ := io.Copy(io.Discard, r.Body)
	u.world.note("%s runs %s %s %s (%s)", id, attemptID, r.Method, r.URL.Path, r.Header.Get("Authorization"))
	if u.crashes != nil && u.crashes(r) {
		u.world.note("%s crashes", id)
		u.crash()
		go func() {
			if u.world.sleep(u.backAfter) {
				_ = u.start()
			}
		}()
		return
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	if u.life != life {
		u.mu.Unlock()
		return
	}
	u.running--
	u.arrivals[at].endedAt = time.Now()
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
	u.mu.Unlock()
	<-free
	h.Set("X-Mustardring-Upstream-Load", load)
	h.Set("X-Mustardring-Upstream-Signature", "sig-"+attemptID)
	if strings.HasPrefix(r.URL.Path, "/volume/") {
		_, _ = w.Write(make([]byte, volumeSize))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d", id, attemptID, r.URL.Path, body)
}
