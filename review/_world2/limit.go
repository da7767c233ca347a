package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/platform"
)

// The figures of the case. The limit is what each upstream of the service names.
const (
	limitText     = "0.4"
	limitWindow   = 4 * time.Second
	limitSlots    = 4
	limitUpstream = 3
	limitClients  = 150
	limitKills    = 5
)

// limitConfig is the operator's configuration: one service without keys, one safe route to it.
const limitConfig = `{"version":"r3","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"depot.example","ruleSet":[{"name":"ledger","kind":"safe","targetLatencyS":0.3,"priority":2,"match":{"pathPrefix":"/ledger/"},
"action":{"service":"depot-desk","timeoutS":1.2,"maxAttempts":2}}]}],
"clusters":[{"name":"depot-desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}]}`

// passedOn is an answer with a limit that a machine has passed on.
type passedOn struct {
	machine, life int
	upstream      string
}

// playLimit plays a service in need: each upstream names how many requests a second it takes. With trouble, the machine
// that admits the requests to the service is killed and started again, five times.
func playLimit(w *world, trouble bool) (string, error) {
	w.store.Put(platform.TopicConfig, platform.KeyConfig, []byte(limitConfig))
	zones := []string{"badulla-hall", "badulla-hall", "bandarawela-hall", "bandarawela-hall", "bandarawela-hall", "welimada-hall", "welimada-hall", "welimada-hall"}
	var all []*upstream
	for i := range limitUpstream {
		u, err := w.startUpstream("depot-desk", zones[(3*i)%len(zones)], limitSlots, 200*time.Millisecond)
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
	var mu sync.Mutex
	firstPassed := map[passedOn]time.Time{}
	served, refused := 0, 0
	for i := range limitClients {
		w.workers.Add(1)
		go func() {
			defer w.workers.Done()
			for n := 0; ; n++ {
				pause := time.Second
				if m := w.pick(); m != nil {
					id, a := w.send(m, attempt{method: http.MethodGet, host: "depot.example", path: fmt.Sprintf("/ledger/%d/%d", i, n), timeout: 1200 * time.Millisecond})
					mu.Lock()
					if a.err == nil && a.status == http.StatusOK {
						served++
						w.note("client gets %d for %s from %s", a.status, id, a.header.Get("X-Upstream"))
						key := passedOn{m.index, a.life, a.header.Get("X-Upstream")}
						if _, known := firstPassed[key]; !known && a.header.Get("Server-Limit") != "" {
							firstPassed[key] = a.at
						}
					} else {
						refused++
					}
					mu.Unlock()
				}
				if !w.sleep(pause) {
					return
				}
			}
		}()
	}
	w.sleep(4 * time.Second)
	w.note("%d served, %d refused or failed before the limit", served, refused)
	for _, u := range all {
		u.setLimit(limitText)
	}
	// By then each machine has passed on an answer with the limit of each upstream.
	w.sleep(46 * time.Second)
	for range limitKills {
		m, err := w.admits()
		if err != nil {
			return "", err
		}
		if trouble {
			w.note("%s admits the requests to the service, and is killed", m.name)
			m.kill()
			w.sleep(time.Second)
			if err := m.start(); err != nil {
				return "", err
			}
		}
		w.sleep(9 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("%d served, %d refused or failed in all", served, refused)
	return judgeLimit(w, all, firstPassed), nil
}

// admits returns the machine that admits the requests to the service: the one at which requests of all machines wait, as its
// metrics say.
func (w *world) admits() (*machine, error) {
	counts := make([]float64, len(w.machines))
	for range 20 {
		for i, m := range w.machines {
			r, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", m.setting["metrics-port"]))
			if err != nil {
				return nil, err
			}
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				var n float64
				if _, err := fmt.Sscanf(lines.Text(), "admissions{state=\"waiting\"} %f", &n); err == nil {
					counts[i] += n
				}
				if _, err := fmt.Sscanf(lines.Text(), "admissions{state=\"admitted\"} %f", &n); err == nil {
					counts[i] += n
				}
			}
			_ = r.Body.Close()
		}
		w.sleep(100 * time.Millisecond)
	}
	most := 0
	for i := range counts {
		if counts[i] > counts[most] {
			most = i
		}
	}
	w.note("admissions by machine: %v", counts)
	if counts[most] == 0 {
		return nil, errors.New("no machine admits requests")
	}
	return w.machines[most], nil
}

// judgeLimit checks the rule LIMIT: "From `stableWindowS` after an upstream first named its `Server-Limit`, it gets in some 4 s
// more than one and a half times what that allows, + 5 requests, summed over the machines that had passed on such an answer half
// a second before or earlier. A restart, freeze or cut of a machine excuses that machine."
func judgeLimit(w *world, all []*upstream, firstPassed map[passedOn]time.Time) string {
	rate, _ := strconv.ParseFloat(limitText, 64)
	allowed := 1.5*rate*limitWindow.Seconds() + 5
	worst := ""
	for _, u := range all {
		u.mu.Lock()
		var counted []arrival
		for _, a := range u.arrivals {
			var index, life, serial int
			if _, err := fmt.Sscanf(a.id, "m%d.%d-%d", &index, &life, &serial); err != nil || u.limitAt.IsZero() || a.at.Before(u.limitAt.Add(stableWindow)) {
				continue
			}
			// A machine that was restarted counts again once it has passed on such an answer in its new life.
			if at, known := firstPassed[passedOn{index, life, u.id}]; known && !a.at.Before(at.Add(500*time.Millisecond)) {
				counted = append(counted, a)
			}
		}
		most, from := 0, 0
		for i := range counted {
			n := 0
			for j := i; j < len(counted) && counted[j].at.Sub(counted[i].at) < limitWindow; j++ {
				n++
			}
			if n > most {
				most, from = n, i
			}
		}
		w.note("%s: at most %d requests in %v, allowed %.1f", u.id, most, limitWindow, allowed)
		fmt.Fprintf(os.Stderr, "%s: at most %d in %v, allowed %.1f\n", u.id, most, limitWindow, allowed)
		if float64(most) > allowed && worst == "" {
			worst = fmt.Sprintf("LIMIT: %s got %d requests in %v from %.3f s on, allowed are %.1f", u.id, most, limitWindow,
				counted[from].at.Sub(w.began).Seconds(), allowed)
			for j := from; j < from+most; j++ {
				w.note("  counted: %s at %.3f s", counted[j].id, counted[j].at.Sub(w.began).Seconds())
			}
		}
		u.mu.Unlock()
	}
	return worst
}
