package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// traffic sends requests of a class until stop is closed, at random times, each on a connection of its own.
func (w *world) traffic(c *class, stop <-chan struct{}) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / c.perS * float64(time.Second)))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		go w.client(c)
	}
}

// key draws a key: a third of the requests are about 200 keys beside one another, the others about any.
func (w *world) key() int {
	if rand.Float64() < 0.35 {
		return (int(w.hot.Load()) + rand.IntN(200)) % keyCount
	}
	return rand.IntN(keyCount)
}

// client sends a request, and once more on another connection where PROTOCOL.md allows that.
func (w *world) client(c *class) {
	zone := zones[rand.IntN(len(zones))].name
	deadline := time.Now().Add(c.deadline)
	key := -1
	if c.keyed {
		key = w.key()
	}
	path := c.path + strconv.FormatInt(w.serial.Add(1), 36)
	for range 2 {
		status, retryAfter := w.attempt(c, zone, path, key, deadline)
		left := time.Until(deadline)
		again := promises(status) || !c.unsafe && (status == 0 || status >= 500)
		if !again || left < 100*time.Millisecond {
			return
		}
		time.Sleep(min(max(retryAfter, 30*time.Millisecond), left/3))
	}
}

// attempt sends one client attempt and returns its status, zero if there was no whole answer, and Retry-After.
func (w *world) attempt(c *class, zone, path string, key int, deadline time.Time) (int, time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	i := w.pick(zone)
	left := time.Until(deadline)
	if left <= 0 {
		return 0, 0
	}
	w.mu.Lock()
	w.requests[id] = &sent{class: c, key: key, at: time.Now(), instance: i}
	w.logLocked("sent", "request %s (%s, %s%s, key %d) is sent to %s", id, c.name, "a.example", path, key, i.name)
	w.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", i.front, min(time.Second, left))
	if err != nil {
		w.log("answer", "request %s: no connection", id)
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\n", c.method, path, headerID, id, headerLeft, left.Milliseconds())
	if key >= 0 {
		fmt.Fprintf(&out, "%s: %d\r\n", headerKey, key)
	}
	if c.body > 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", c.body)
	}
	out.WriteString("\r\n")
	out.Write(bytes.Repeat([]byte("x"), c.body))
	if _, err := conn.Write(out.Bytes()); err != nil {
		w.log("answer", "request %s: the connection ends", id)
		return 0, 0
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		w.log("answer", "request %s: no answer (%v)", id, err)
		return 0, 0
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.log("answer", "request %s: the answer ends early", id)
		return 0, 0
	}
	retryAfter, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	w.answered(id, r.StatusCode, r.Header.Get(headerSignature), string(body), retryAfter)
	return r.StatusCode, time.Duration(retryAfter * float64(time.Second))
}

// poisonPath is the path of the request that crashes each upstream that begins to run it.
const poisonPath = "/payout/poison"

// poison sends that request again and again, each second, at any machine, until stop is closed.
func (w *world) poison(c *class, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		zone := zones[rand.IntN(len(zones))].name
		go w.attempt(c, zone, poisonPath, -1, time.Now().Add(c.deadline))
	}
}
