package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

const (
	callers     = 12
	keyCount    = 48
	maxResends  = 25
	resendPause = 50 * time.Millisecond
	// attemptLimit is when a caller, or the balancer before it, turns to another instance.
	attemptLimit = time.Second
	// Keys that are probed, how often, and when a probe turns to another instance.
	probedKeys = 24
	probePause = 20 * time.Millisecond
	probeLimit = 250 * time.Millisecond
)

// traffic is a number of callers who send non-idempotent requests one after the other, and
// send one again, with the same id, until they are told that it ran.
type traffic struct {
	site *site
	stop chan struct{}
	wait sync.WaitGroup

	mu sync.Mutex
	// ran has the ids whose caller was told that the request ran, others the last outcome of
	// the rest.
	ran    map[string]bool
	others map[string]caller.Outcome
	sent   int
	// served has when each key was last served, and gap its longest time between.
	served map[string]time.Time
	gap    map[string]time.Duration
	faults map[string]int
	probes int
}

func (s *site) startTraffic() *traffic {
	t := &traffic{
		site: s, stop: make(chan struct{}), ran: make(map[string]bool), others: make(map[string]caller.Outcome),
		served: make(map[string]time.Time), gap: make(map[string]time.Duration), faults: make(map[string]int),
	}
	for i := range callers {
		t.wait.Add(1)
		go t.call(i)
	}
	for i := range probedKeys {
		t.wait.Add(1)
		go t.probe(i)
	}
	return t
}

// probe asks for one key again and again, with reads that may run twice, to see for how long
// it is not served.
func (t *traffic) probe(number int) {
	defer t.wait.Done()
	random := rand.New(rand.NewPCG(uint64(number), 8))
	client := &http.Client{Timeout: probeLimit}
	key := keyName(number)
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(probePause):
		}
		address := t.site.at(1+random.IntN(len(domains)), 1+random.IntN(hosts), 8080)
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+divided+"/stock", nil)
		if err != nil {
			panic(err)
		}
		req.Header.Set(caller.HeaderKey, key)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.Header.Get(caller.HeaderOutcome) == string(caller.Ran) {
			t.note(key)
		}
	}
}

func (t *traffic) call(number int) {
	defer t.wait.Done()
	random := rand.New(rand.NewPCG(uint64(number), 7))
	client := &http.Client{Timeout: attemptLimit}
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		default:
		}
		service := divided
		if random.IntN(4) == 0 {
			service = undivided
		}
		id := fmt.Sprintf("%s-%d-%d", t.site.t.Name(), number, i)
		t.finish(client, random, service, id, keyName(random.IntN(keyCount)))
	}
}

// finish sends a request until its caller knows that it ran, or gives up.
func (t *traffic) finish(client *http.Client, random *rand.Rand, service, id, key string) {
	outcome := caller.NotRun
	for i := range maxResends {
		address := t.site.at(1+random.IntN(len(domains)), 1+random.IntN(hosts), 8080)
		outcome = t.send(client, address, service, id, key, i+1)
		if outcome == caller.Ran {
			t.mu.Lock()
			t.ran[id] = true
			t.mu.Unlock()
			return
		}
		time.Sleep(resendPause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[id] = outcome
}

func (t *traffic) send(client *http.Client, address, service, id, key string, attempt int) caller.Outcome {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+service+"/order", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderAttempt, strconv.Itoa(attempt))
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		return caller.Unknown
	}
	defer resp.Body.Close()
	outcome := caller.Outcome(resp.Header.Get(caller.HeaderOutcome))
	if outcome != caller.Ran {
		var problem struct {
			Reason string `json:"reason"`
		}
		_ = json.NewDecoder(resp.Body).Decode(&problem)
		t.mu.Lock()
		t.faults[service+" "+string(outcome)+" "+problem.Reason]++
		t.mu.Unlock()
	}
	return outcome
}

// note says that a key was served.
func (t *traffic) note(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
	now := time.Now()
	if last, found := t.served[key]; found {
		t.gap[key] = max(t.gap[key], now.Sub(last))
	}
	t.served[key] = now
}

// total returns the number of requests that are known to have run.
func (t *traffic) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ran)
}

// flow waits until many more requests have run.
func (t *traffic) flow() {
	start := t.total()
	t.site.eventually("requests run", func() bool { return t.total() > start+500 })
}

// finishAll stops the callers and checks what they were told against what the servers ran.
func (t *traffic) finishAll() {
	close(t.stop)
	t.wait.Wait()
	s := t.site
	counts := make(map[string]int)
	for _, v := range s.bundle.Services {
		for _, b := range v.Servers {
			for id, n := range s.runs(b.Address) {
				counts[id] += n
			}
		}
	}
	doubled, lost, untrue := 0, 0, 0
	delete(counts, "") // Probes have no id and may run more than once.
	for id, n := range counts {
		if n > 1 {
			doubled++
			s.t.Errorf("%s ran %d times", id, n)
		}
	}
	for id := range t.ran {
		if counts[id] == 0 {
			lost++
			s.t.Errorf("%s was said to have run and did not", id)
		}
	}
	for id, outcome := range t.others {
		if outcome == caller.NotRun && counts[id] > 0 {
			untrue++
			s.t.Errorf("%s was said not to have run and did", id)
		}
	}
	var worst time.Duration
	for _, g := range t.gap {
		worst = max(worst, g)
	}
	s.t.Logf("sent %d, ran %d, in doubt or not run %d, doubled %d, lost %d, falsely not run %d, %d probes, worst gap of a key %v, refusals %v",
		t.sent, len(t.ran), len(t.others), doubled, lost, untrue, t.probes, worst.Round(time.Millisecond), t.faults)
}

// runs returns how often a server ran each request id.
func (s *site) runs(address string) map[string]int {
	counts := make(map[string]int)
	for _, r := range s.page(address).Runs {
		counts[r.RequestID]++
	}
	return counts
}

// page returns what a server ran.
func (s *site) page(address string) stubs.RunsPage {
	var page stubs.RunsPage
	s.eventually("the runs of "+address, func() bool {
		resp, err := http.Get("http://" + address + stubs.RunsPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(&page) == nil
	})
	return page
}
