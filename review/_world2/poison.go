package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"example.org/mustardring/platform"
)

const poisonConfig = `{"version":"r3","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"depot.example","ruleSet":[{"name":"ledger","kind":"safe","targetLatencyS":0.3,"priority":2,"match":{"pathPrefix":"/ledger/"},
"action":{"service":"depot-desk","timeoutS":1.2,"maxAttempts":2}},
{"name":"note","kind":"unsafe","targetLatencyS":0.3,"priority":1,"match":{"pathPrefix":"/note/"},
"action":{"service":"depot-desk","timeoutS":1.2,"maxAttempts":2}}]}],
"clusters":[{"name":"depot-desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}]}`

// badCaller is the caller whose request for hotPath crashes each upstream that begins to run it.
const (
	badCaller = "caller-bad"
	hotPath   = "/ledger/season"
)

// playPoison plays one caller whose request crashes upstreams, beside callers who ask for the same page and are answered.
func playPoison(w *world, trouble bool) (string, error) {
	w.store.Put(platform.TopicConfig, platform.KeyConfig, []byte(poisonConfig))
	zones := []string{"badulla-hall", "badulla-hall", "bandarawela-hall", "bandarawela-hall", "bandarawela-hall", "welimada-hall", "welimada-hall", "welimada-hall"}
	var all []*upstream
	for i := range 9 {
		u, err := w.startUpstream("depot-desk", zones[i%len(zones)], 4, 120*time.Millisecond)
		if err != nil {
			return "", err
		}
		u.backAfter = 3 * time.Second
		if trouble {
			u.crashes = func(r *http.Request) bool { return r.URL.Path == hotPath && r.Header.Get("Authorization") == badCaller }
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
	statuses := map[int]int{}
	for i := range 150 {
		w.workers.Add(1)
		go func() {
			defer w.workers.Done()
			caller := fmt.Sprintf("caller-%d", i)
			for n := 0; ; n++ {
				if m := w.pick(); m != nil {
					a := attempt{method: http.MethodGet, host: "depot.example", path: hotPath, timeout: 1200 * time.Millisecond, header: map[string]string{"Authorization": caller}}
					switch rand.IntN(4) {
					case 0:
						a.path = fmt.Sprintf("/ledger/%d/%d", i, n)
					case 1:
						a.method, a.path, a.body = http.MethodPost, fmt.Sprintf("/note/%d/%d", i, n), "a note"
					}
					id, got := w.send(m, a)
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
					if got.status != http.StatusOK {
						w.note("client %s gets %d for %s %s %s (%v)", caller, got.status, id, a.method, a.path, got.err)
					}
				}
				if !w.sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond) {
					return
				}
			}
		}()
	}
	w.sleep(4 * time.Second)
	poison := map[string]time.Time{}
	for range 24 {
		if m := w.pick(); m != nil {
			at := time.Now()
			id, got := w.send(m, attempt{method: http.MethodGet, host: "depot.example", path: hotPath, timeout: 1200 * time.Millisecond, header: map[string]string{"Authorization": badCaller}})
			poison[id] = at
			w.note("the bad caller gets %d for %s (%v)", got.status, id, got.err)
		}
		if !w.sleep(2500 * time.Millisecond) {
			return "", nil
		}
	}
	mu.Lock()
	w.note("statuses of the other callers: %v", statuses)
	mu.Unlock()
	return judgePoison(w, all, poison), nil
}

// judgePoison checks the rule BUDGET: "A request that crashes the upstreams that run it reaches upstreams in more than three
// retries, sent by machines in touch later than `stableWindowS` after it has crashed the third."
func judgePoison(w *world, all []*upstream, poison map[string]time.Time) string {
	var crashes []time.Time
	reached := map[string]time.Time{}
	for _, u := range all {
		u.mu.Lock()
		crashes = append(crashes, u.crashed...)
		for _, a := range u.arrivals {
			if _, bad := poison[a.id]; bad && (reached[a.id].IsZero() || a.at.Before(reached[a.id])) {
				reached[a.id] = a.at
			}
		}
		u.mu.Unlock()
	}
	if len(crashes) < 3 {
		w.note("%d upstreams crashed", len(crashes))
		return ""
	}
	sortTimes(crashes)
	from, late := crashes[2].Add(stableWindow), 0
	for _, at := range reached {
		if at.After(from) {
			late++
		}
	}
	w.note("%d upstreams crashed, the third at %.3f s; %d later retries reached upstreams", len(crashes), crashes[2].Sub(w.began).Seconds(), late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: the request crashed upstreams %d times; %d retries reached upstreams later than %v after the third crash, allowed are 3", len(crashes), late, stableWindow)
	}
	return ""
}

func sortTimes(t []time.Time) {
	for i := range t {
		for j := i; j > 0 && t[j].Before(t[j-1]); j-- {
			t[j], t[j-1] = t[j-1], t[j]
		}
	}
}
