package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/platform"
)

const (
	// goneDepth is how many safe requests a client sends before the first has been answered.
	goneDepth = 20
	goneStays = 300 * time.Millisecond
	// goneWork is how long a slow upstream works on one.
	goneWork = 1200 * time.Millisecond
	goneLate = 500 * time.Millisecond
)

// goneConfig lets a request last as long as the slow upstreams take.
var goneConfig = strings.ReplaceAll(strings.ReplaceAll(poisonConfig, `"timeoutS":1.2`, `"timeoutS":4`), `"targetLatencyS":0.3`, `"targetLatencyS":2`)

// playGone plays clients that send safe requests behind one another on a connection and close it while upstreams are at work on
// them. Without trouble they wait for all answers.
func playGone(w *world, trouble bool) (string, error) {
	w.store.Put(platform.TopicConfig, platform.KeyConfig, []byte(goneConfig))
	zones := []string{"badulla-hall", "badulla-hall", "bandarawela-hall", "bandarawela-hall", "bandarawela-hall", "welimada-hall", "welimada-hall", "welimada-hall"}
	var all []*upstream
	for i := range 18 {
		u, err := w.startUpstream("depot-desk", zones[i%len(zones)], 4, goneWork)
		if err != nil {
			return "", err
		}
		all = append(all, u)
	}
	if err := w.startMachines(zones); err != nil {
		return "", err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	// The others stay: of all clients, less than three in ten leave.
	for i := range 40 {
		w.workers.Add(1)
		go func() {
			defer w.workers.Done()
			for n := 0; w.sleep(4 * time.Second); n++ {
				if m := w.pick(); m != nil {
					w.send(m, attempt{method: http.MethodGet, host: "depot.example", path: fmt.Sprintf("/ledger/stays/%d/%d", i, n), timeout: 4500 * time.Millisecond})
				}
			}
		}()
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	for n := range 16 {
		m := w.machines[n%len(w.machines)]
		c, err := net.DialTimeout("tcp4", m.front, time.Second)
		if err != nil {
			return "", err
		}
		var all strings.Builder
		var ids []string
		for i := range goneDepth {
			id := fmt.Sprintf("m%d.1-%06d", m.index, w.serial.Add(1))
			ids = append(ids, id)
			fmt.Fprintf(&all, "GET /ledger/%d/%d HTTP/1.1\r\nHost: depot.example\r\nX-Mustardring-Attempt-Id: %s\r\nX-Mustardring-Timeout-Remaining-Ms: 4500\r\n\r\n", n, i, id)
		}
		if _, err := c.Write([]byte(all.String())); err != nil {
			return "", err
		}
		w.note("a client sends %d requests to %s: %s to %s", goneDepth, m.name, ids[0], ids[goneDepth-1])
		w.sleep(goneStays)
		if trouble {
			_ = c.Close()
			at := time.Now()
			w.note("the client leaves %s", m.name)
			mu.Lock()
			for _, id := range ids {
				left[id] = at
			}
			mu.Unlock()
		} else {
			// It stays until all have been answered, or would have been.
			w.sleep(3 * time.Second)
			_ = c.Close()
		}
		w.sleep(1500 * time.Millisecond)
	}
	w.sleep(2 * time.Second)
	return judgeGone(w, all, left), nil
}

// judgeGone checks the rule GONE: "upstreams are still at work half a second later on more than a quarter of the idempotent
// requests and streams that would have lasted so long", and "more than a few requests reach an upstream over half a second later".
func judgeGone(w *world, all []*upstream, left map[string]time.Time) string {
	lasting, atWork, late := 0, 0, 0
	for _, u := range all {
		u.mu.Lock()
		for _, a := range u.arrivals {
			at, gone := left[a.id]
			if !gone {
				continue
			}
			limit := at.Add(goneLate)
			if a.at.After(limit) {
				late++
			}
			if !a.ran || !a.ranAt.Add(goneWork).After(limit) || a.ranAt.After(at) {
				continue
			}
			lasting++
			if a.endedAt.IsZero() || a.endedAt.After(limit) {
				atWork++
			}
		}
		u.mu.Unlock()
	}
	w.note("%d requests would have lasted half a second beyond the close, upstreams were still at work on %d of them; %d arrived later", lasting, atWork, late)
	if lasting >= 8 && 4*atWork > lasting {
		return fmt.Sprintf("GONE: upstreams were still at work half a second after the client had left on %d of %d requests", atWork, lasting)
	}
	return ""
}
