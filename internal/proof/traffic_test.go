package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

const (
	callerCount = 12
	keyCount    = 48
	maxAttempts = 25
	retryDelay  = 50 * time.Millisecond
	// attemptTimeout is when a caller, or a load balancer in front of the instances, tries another
	// instance.
	attemptTimeout = time.Second
	// Each probe reads one of the first probedKeyCount keys. It waits probeDelay before each request
	// and tries another instance after probeTimeout.
	probedKeyCount = 24
	probeDelay     = 20 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
)

// traffic is a group of callers and probes. Each caller sends non-idempotent requests one after the
// other, and retries each with the same ID until an answer says that it ran, at most maxAttempts
// times. Each probe reads one key.
type traffic struct {
	system *system
	stop   chan struct{}
	group  sync.WaitGroup

	mu sync.Mutex
	// ranIDs has the IDs of the requests that were reported as run, lastOutcomes the last outcome
	// of those that the callers gave up.
	ranIDs       map[string]bool
	lastOutcomes map[string]caller.Outcome
	attempts     int
	// lastServed is when a probe of each key last succeeded, and longestGap the longest time between
	// two successes.
	lastServed map[string]time.Time
	longestGap map[string]time.Duration
	// refusals counts the answers that do not say that the request ran, by service, outcome and reason.
	refusals     map[string]int
	servedProbes int
}

func (s *system) startTraffic() *traffic {
	tr := &traffic{
		system: s, stop: make(chan struct{}), ranIDs: make(map[string]bool), lastOutcomes: make(map[string]caller.Outcome),
		lastServed: make(map[string]time.Time), longestGap: make(map[string]time.Duration), refusals: make(map[string]int),
	}
	for i := range callerCount {
		tr.group.Add(1)
		go tr.runCaller(i)
	}
	for i := range probedKeyCount {
		tr.group.Add(1)
		go tr.runProbe(i)
	}
	return tr
}

// runProbe reads one key repeatedly to find out for how long the key is unavailable. Its requests
// have no ID and may run more than once.
func (tr *traffic) runProbe(number int) {
	defer tr.group.Done()
	random := rand.New(rand.NewPCG(uint64(number), 8))
	client := &http.Client{Timeout: probeTimeout}
	key := keyName(number)
	for {
		select {
		case <-tr.stop:
			return
		case <-time.After(probeDelay):
		}
		address := tr.system.address(1+random.IntN(len(domainNames)), 1+random.IntN(hostsPerDomain), 8080)
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+dividedService+"/stock", nil)
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
			tr.recordServed(key)
		}
	}
}

// runCaller sends the requests of one caller, a quarter of them on average to the undivided service.
func (tr *traffic) runCaller(number int) {
	defer tr.group.Done()
	random := rand.New(rand.NewPCG(uint64(number), 7))
	client := &http.Client{Timeout: attemptTimeout}
	for i := 0; ; i++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		service := dividedService
		if random.IntN(4) == 0 {
			service = undividedService
		}
		id := fmt.Sprintf("%s-%d-%d", tr.system.t.Name(), number, i)
		tr.sendUntilRan(client, random, service, id, keyName(random.IntN(keyCount)))
	}
}

// sendUntilRan sends a request to random instances until an answer says that it ran, at most
// maxAttempts times, and records the result.
func (tr *traffic) sendUntilRan(client *http.Client, random *rand.Rand, service, id, key string) {
	outcome := caller.NotRun
	for i := range maxAttempts {
		address := tr.system.address(1+random.IntN(len(domainNames)), 1+random.IntN(hostsPerDomain), 8080)
		outcome = tr.send(client, address, service, id, key, i+1)
		if outcome == caller.Ran {
			tr.mu.Lock()
			tr.ranIDs[id] = true
			tr.mu.Unlock()
			return
		}
		time.Sleep(retryDelay)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastOutcomes[id] = outcome
}

// send makes one attempt and returns its outcome, which is unknown if there is no answer.
func (tr *traffic) send(client *http.Client, address, service, id, key string, attempt int) caller.Outcome {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+service+"/order", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderAttempt, strconv.Itoa(attempt))
	tr.mu.Lock()
	tr.attempts++
	tr.mu.Unlock()
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
		tr.mu.Lock()
		tr.refusals[service+" "+string(outcome)+" "+problem.Reason]++
		tr.mu.Unlock()
	}
	return outcome
}

// recordServed records a successful probe of a key.
func (tr *traffic) recordServed(key string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.servedProbes++
	now := time.Now()
	if last, found := tr.lastServed[key]; found {
		tr.longestGap[key] = max(tr.longestGap[key], now.Sub(last))
	}
	tr.lastServed[key] = now
}

// ranCount returns the number of requests that were reported as run.
func (tr *traffic) ranCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.ranIDs)
}

// awaitRequests waits until more than 500 further requests are reported as run.
func (tr *traffic) awaitRequests() {
	start := tr.ranCount()
	tr.system.eventually("more requests ran", func() bool { return tr.ranCount() > start+500 })
}

// stopAndCheck stops the callers and probes. It fails the test if a request ran more than once, or
// if a reported outcome contradicts the runs that the servers recorded.
func (tr *traffic) stopAndCheck() {
	close(tr.stop)
	tr.group.Wait()
	s := tr.system
	counts := make(map[string]int)
	for _, v := range s.bundle.Services {
		for _, b := range v.Servers {
			for id, n := range s.runCounts(b.Address) {
				counts[id] += n
			}
		}
	}
	duplicates, falselyRan, falselyNotRun := 0, 0, 0
	delete(counts, "") // Probes have no request ID and may run more than once.
	for id, n := range counts {
		if n > 1 {
			duplicates++
			s.t.Errorf("request %s ran %d times:\n%s", id, n, strings.Join(s.evidence(id), "\n"))
		}
	}
	for id := range tr.ranIDs {
		if counts[id] == 0 {
			falselyRan++
			s.t.Errorf("request %s was reported as run but did not run", id)
		}
	}
	for id, outcome := range tr.lastOutcomes {
		if outcome == caller.NotRun && counts[id] > 0 {
			falselyNotRun++
			s.t.Errorf("request %s was reported as not run but ran", id)
		}
	}
	if s.t.Failed() {
		s.t.Logf("logs in %s", s.keepLogs())
	}
	var longest time.Duration
	for _, g := range tr.longestGap {
		longest = max(longest, g)
	}
	s.t.Logf("attempts %d, reported as run %d, unknown or not run %d, ran more than once %d, falsely reported as run %d, falsely reported as not run %d, successful probes %d, longest gap of a key %v, answers other than ran %v",
		tr.attempts, len(tr.ranIDs), len(tr.lastOutcomes), duplicates, falselyRan, falselyNotRun, tr.servedProbes, longest.Round(time.Millisecond), tr.refusals)
}

// evidence returns the runs of a request, in the order of their beginning, and the lines of all processes that name it.
func (s *system) evidence(id string) []string {
	var out []string
	for _, v := range s.bundle.Services {
		for _, b := range v.Servers {
			for _, r := range s.runsPage(b.Address).Runs {
				if r.RequestID == id {
					out = append(out, fmt.Sprintf("%s to %s at %s: %+v", time.UnixMicro(r.Start).UTC().Format("15:04:05.000000"),
						time.UnixMicro(r.End).UTC().Format("15:04:05.000000"), b.Name, r))
				}
			}
		}
	}
	slices.Sort(out)
	logs, _ := filepath.Glob(s.path("*.log"))
	for _, name := range logs {
		data, _ := os.ReadFile(name)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, id) {
				out = append(out, filepath.Base(name)+": "+strings.TrimSpace(line))
			}
		}
	}
	return out
}

// keepLogs copies the logs of all processes to a folder that stays, and returns its path.
func (s *system) keepLogs() string {
	dir, err := os.MkdirTemp("", "proof")
	s.is.NoErr(err)
	logs, _ := filepath.Glob(s.path("*.log"))
	for _, name := range logs {
		data, _ := os.ReadFile(name)
		s.is.NoErr(os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600))
	}
	return dir
}

// runCounts returns how often a server ran each request ID.
func (s *system) runCounts(address string) map[string]int {
	counts := make(map[string]int)
	for _, r := range s.runsPage(address).Runs {
		counts[r.RequestID]++
	}
	return counts
}

// runsPage returns the requests that a server recorded as run.
func (s *system) runsPage(address string) stubs.RunsPage {
	var page stubs.RunsPage
	s.eventually("runs are readable from "+address, func() bool {
		resp, err := http.Get("http://" + address + stubs.RunsPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(&page) == nil
	})
	return page
}
