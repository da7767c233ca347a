package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keyCount = 1 << 16

// service is a service of the stand-in deployment.
type service struct {
	name     string
	sharded  bool
	slots    int
	queue    int
	workMean time.Duration
}

// upstream stands in for one server. It follows PROTOCOL.md; what it does beyond a sound one is in faults.
type upstream struct {
	w       *world
	id      string
	zone    string
	service *service
	address string

	mu      sync.Mutex
	running int
	waiting []chan struct{}
	// expires is when the lease on a key ends, fence the highest token seen on it. granted is the end of the last lease that
	// was granted, whether or not the key was released before. atWork counts the requests in progress on a key.
	expires []time.Time
	granted []time.Time
	fence   []uint64
	atWork  []int
	// workEnded is closed and replaced when a request ends.
	workEnded chan struct{}
	sequence  int
	// shed is the share of requests that are rejected although there is room; extra is the share of the responses that are
	// sent once more when the next one is expected on their connection; surplus is the share of the responses after which an
	// answer to a health check is sent then, which nobody has asked for.
	shed, extra, surplus float64

	listener net.Listener
	conns    map[net.Conn]struct{}
	// ended says that the process of the upstream has crashed.
	ended bool
}

func (w *world) startUpstream(id, zone, ip string, s *service) (*upstream, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{w: w, id: id, zone: zone, service: s, address: l.Addr().String(), workEnded: make(chan struct{}), listener: l, conns: map[net.Conn]struct{}{}}
	if s.sharded {
		u.expires, u.granted = make([]time.Time, keyCount), make([]time.Time, keyCount)
		u.fence, u.atWork = make([]uint64, keyCount), make([]int, keyCount)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[c] = struct{}{}
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
	go func() {
		for u.heartbeat() {
			time.Sleep(heartbeatInterval)
		}
	}()
	return u, nil
}

// heartbeatInterval is the heartbeatS of the settings.
const heartbeatInterval = 870 * time.Millisecond

// heartbeat writes the entry of the upstream, and returns false if that has crashed.
func (u *upstream) heartbeat() bool {
	u.mu.Lock()
	u.sequence++
	n, ended := u.sequence, u.ended
	u.mu.Unlock()
	if ended {
		return false
	}
	entry, _ := json.Marshal(map[string]any{
		"address": u.address,
		"info":    map[string]any{"service": u.service.name, "version": "v1", "zone": u.zone, "slots": u.service.slots},
		"status":  map[string]any{"state": "ready", "sequence": n, "warmupLeftS": 0},
	})
	u.w.store.put("keyed.servers", u.id, entry)
	return true
}

// downTime is how long a crashed upstream is down.
const downTime = 3 * time.Second

// crash ends the process of the upstream: its connections break, it sends nothing more, and its entry is removed after three
// heartbeat intervals. Some seconds later it is back as a new incarnation with a new id.
func (u *upstream) crash() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	u.ended = true
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	_ = u.listener.Close()
	time.AfterFunc(3*heartbeatInterval, func() { u.w.store.put("keyed.servers", u.id, nil) })
	time.AfterFunc(downTime, func() {
		host, _, _ := net.SplitHostPort(u.address)
		next, err := u.w.startUpstream(fmt.Sprintf("i-%s%08x", u.zone[:2], rand.Uint32()), u.zone, host, u.service)
		if err == nil {
			u.w.log("back", "upstream %s is back as %s", u.id, next.id)
		}
	})
}

// serve serves one connection, a request at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	// late holds what is sent, beside the next response, when that is expected.
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			u.w.log("extra", "upstream %s sends bytes that belong to no request when a response to %s is expected: %q", u.id, r.Header.Get(headerID), late)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, extra := u.handle(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		u.mu.Lock()
		surplus := u.surplus
		u.mu.Unlock()
		switch {
		case extra:
			late = answer
		case r.Header.Get(headerID) != "" && u.draw(surplus):
			late = u.healthAnswer()
		}
	}
}

// response returns a response in the format of HTTP/1.1. Headers are names and values in turn.
func response(status int, body string, headers ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&out, "%s: %s\r\n", headers[i], headers[i+1])
	}
	out.WriteString("\r\n")
	out.WriteString(body)
	return out.Bytes()
}

const (
	headerID        = "X-Mustardring-Attempt-Id"
	headerLeft      = "X-Mustardring-Timeout-Remaining-Ms"
	headerTarget    = "X-Mustardring-Target-Instance"
	headerKey       = "X-Mustardring-Shard-Key"
	headerNotRun    = "X-Mustardring-Not-Executed"
	headerLoad      = "X-Mustardring-Upstream-Load"
	headerSignature = "X-Mustardring-Upstream-Signature"
	headerHandover  = "X-Mustardring-Handover"
)

// draw reports whether a faulty upstream does what it does with a share, now.
func (u *upstream) draw(share float64) bool { return share > 0 && rand.Float64() < share }

// handle returns the response to a request, and whether it is sent twice.
func (u *upstream) handle(r *http.Request, body []byte) (answer []byte, extra bool) {
	if target := r.Header.Get(headerTarget); target != "" && target != u.id {
		return response(421, "", headerNotRun, "1", headerID, r.Header.Get(headerID)), false
	}
	u.mu.Lock()
	shed, extraShare := u.shed, u.extra
	u.mu.Unlock()
	switch {
	case r.Method == "POST" && r.URL.Path == "/-/grant":
		return u.grant(body), false
	case r.Method == "POST" && r.URL.Path == "/-/release":
		return u.release(body), false
	case r.URL.Path == "/health":
		return u.healthAnswer(), false
	}
	return u.run(r, body, u.draw(shed)), u.draw(extraShare)
}

// healthAnswer returns the answer to a health check.
func (u *upstream) healthAnswer() []byte {
	return response(200, "", "X-Mustardring-Instance-Id", u.id, headerLoad, u.load())
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, len(u.waiting), u.service.slots)
}

type grantBody struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
}

func (u *upstream) grant(body []byte) []byte {
	arrived := time.Now()
	var g grantBody
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To >= keyCount || g.From > g.To || g.HoldS > 10 || !u.service.sharded {
		return response(400, "")
	}
	u.w.keysMu.Lock()
	defer u.w.keysMu.Unlock()
	u.mu.Lock()
	for k := g.From; k <= g.To; k++ {
		if u.fence[k] > g.Fence {
			u.mu.Unlock()
			return response(409, "")
		}
	}
	first := false
	until := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	for k := g.From; k <= g.To; k++ {
		first = first || u.fence[k] != g.Fence || !u.expires[k].After(arrived)
		u.fence[k], u.expires[k], u.granted[k] = g.Fence, until, until
	}
	u.mu.Unlock()
	if first {
		u.w.log("grant", "upstream %s gets keys %d to %d with fence %d for %.3f s", u.id, g.From, g.To, g.Fence, g.HoldS)
		u.w.checkGrant(u, g, arrived)
	}
	return response(200, "")
}

func (u *upstream) release(body []byte) []byte {
	var g grantBody
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To >= keyCount || g.From > g.To || !u.service.sharded {
		return response(400, "")
	}
	u.mu.Lock()
	for k := g.From; k <= g.To; k++ {
		u.fence[k], u.expires[k] = max(u.fence[k], g.Fence), time.Time{}
	}
	u.mu.Unlock()
	u.w.log("release", "upstream %s is asked to release keys %d to %d with fence %d", u.id, g.From, g.To, g.Fence)
	for {
		u.mu.Lock()
		busy, ended := 0, u.workEnded
		for k := g.From; k <= g.To; k++ {
			busy += u.atWork[k]
		}
		u.mu.Unlock()
		if busy == 0 {
			break
		}
		<-ended
	}
	u.w.log("released", "upstream %s has released keys %d to %d with fence %d", u.id, g.From, g.To, g.Fence)
	return response(200, "", headerHandover, fmt.Sprintf("%016x", rand.Uint64()))
}

// holds reports whether the upstream holds a key; u.mu is locked.
func (u *upstream) holds(key int) bool { return key >= 0 && time.Now().Before(u.expires[key]) }

// run runs a request or rejects it.
func (u *upstream) run(r *http.Request, body []byte, shed bool) []byte {
	id := r.Header.Get(headerID)
	u.w.arrived(id, u)
	reject := func(status int, why string) []byte {
		u.w.log("not-run", "request %s: upstream %s answers %d and does not run it (%s)", id, u.id, status, why)
		return response(status, "", headerNotRun, "1", headerID, id, headerLoad, u.load())
	}
	if id == "" {
		return reject(400, "no id")
	}
	left, err := strconv.Atoi(r.Header.Get(headerLeft))
	if err != nil {
		left = 10_000
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	key := -1
	if u.service.sharded {
		if n, err := strconv.Atoi(r.Header.Get(headerKey)); err == nil && n >= 0 && n < keyCount {
			key = n
		}
		u.mu.Lock()
		held := u.holds(key)
		u.mu.Unlock()
		if !held {
			return reject(421, "key not held")
		}
	}
	if shed {
		return reject(503, "shed")
	}
	if !u.enter(deadline) {
		return reject(503, "full")
	}
	defer u.leave()
	u.mu.Lock()
	if u.service.sharded {
		if !u.holds(key) {
			u.mu.Unlock()
			return reject(421, "key not held any more")
		}
		u.atWork[key]++
	}
	u.mu.Unlock()
	u.w.ran(id, u, key)
	if r.URL.Path == poisonPath {
		u.w.poisoned(id, u)
		u.crash()
		return nil
	}
	work := time.Duration(float64(u.service.workMean) * (0.7 + 0.6*rand.Float64()))
	late := time.Until(deadline) < work
	if late {
		work = max(time.Until(deadline), 0)
	}
	time.Sleep(work)
	lost := false
	if u.service.sharded {
		u.mu.Lock()
		u.atWork[key]--
		lost = !time.Now().Before(u.granted[key])
		close(u.workEnded)
		u.workEnded = make(chan struct{})
		u.mu.Unlock()
	}
	u.w.log("ran", "request %s: its run at upstream %s has ended", id, u.id)
	status, text := 200, fmt.Sprintf("%s ran %s %s for %s (%d bytes)", u.id, r.Method, r.URL.Path, id, len(body))
	switch {
	case late:
		status = 504
	case lost:
		status = 500
	}
	return response(status, text, headerID, id, headerLoad, u.load(), headerSignature, "sig-"+u.id+"-"+id+"-"+strconv.Itoa(status))
}

// enter waits for a slot, and returns false if the queue is full or the deadline passes.
func (u *upstream) enter(deadline time.Time) bool {
	u.mu.Lock()
	if u.running < u.service.slots {
		u.running++
		u.mu.Unlock()
		return true
	}
	if len(u.waiting) >= u.service.queue {
		u.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	u.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-time.After(time.Until(deadline)):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, t := range u.waiting {
		if t == turn {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return false
		}
	}
	return true // its turn came at the same moment
}

// leave gives the slot to the next request that waits.
func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) > 0 {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
		return
	}
	u.running--
}
