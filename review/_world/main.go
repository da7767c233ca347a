// Command world plays a case of the review: it starts stand-ins of the platform, of upstreams and of clients, and the
// instances as processes with the command of deploy/system.toml, and judges what clients and upstreams have seen.
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones are those of uvagoat-gw, with the number of instances in each.
var zones = []struct {
	name  string
	count int
}{{"badulla-hall", 4}, {"bandarawela-hall", 3}, {"welimada-hall", 4}}

type instance struct {
	name, zone   string
	port         int
	settings     string
	front, ready string
	process      *exec.Cmd
	ended        chan struct{}
	readyNow     atomic.Bool
	misses       int
	// disturbedAt is when the process was last started or signalled; the lock of the world guards it.
	disturbedAt time.Time
}

// world holds the stand-ins and what they have seen.
type world struct {
	dir       string
	began     time.Time
	store     *store
	instances []*instance
	upstreams []*upstream
	services  map[string]*service
	trouble   bool
	// hot is the first of a group of keys that many requests ask for.
	hot    atomic.Int64
	serial atomic.Int64

	// keysMu is held while a grant is taken and checked.
	keysMu sync.Mutex

	mu       sync.Mutex
	record   *os.File
	requests map[string]*sent
	breaks   []string
	// crashes holds when the request that crashes upstreams has crashed one, lateRetries counts those of its arrivals that
	// the rule forbids.
	crashes     []time.Time
	lateRetries int
	// lostRuns counts the other requests that ran at an upstream when it was crashed.
	lostRuns int
}

// sent is a request of a client.
type sent struct {
	class     *class
	key       int
	at        time.Time
	instance  *instance
	status    int
	signature string
	arrivals  int
	runs      []string
	runAt     []time.Time
}

// class is a kind of requests.
type class struct {
	name, method, path string
	unsafe             bool
	keyed              bool
	perS               float64
	deadline           time.Duration
	body               int
}

func (w *world) log(kind, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(kind, format, args...)
}

func (w *world) logLocked(kind, format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f %-8s %s\n", time.Since(w.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenLocked(rule, format, args...)
}

func (w *world) brokenLocked(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.logLocked("BROKEN", "%s", text)
	w.breaks = append(w.breaks, text)
}

// arrived records the arrival of a request at an upstream.
func (w *world) arrived(id string, u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("arrives", "request %s arrives at upstream %s", id, u.id)
	if r := w.requests[id]; r != nil {
		r.arrivals++
		return
	}
	w.brokenLocked("UNASKED", "no client sent request %q, which arrived at %s", id, u.id)
}

// ran records that an upstream begins to run a request.
func (w *world) ran(id string, u *upstream, key int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("runs", "request %s: upstream %s begins to run it (key %d)", id, u.id, key)
	r := w.requests[id]
	if r == nil {
		return
	}
	r.runs, r.runAt = append(r.runs, u.id), append(r.runAt, time.Now())
	if r.class.unsafe && len(r.runs) > 1 {
		w.brokenLocked("TWICE", "request %s (%s) has run %d times, at %s", id, r.class.name, len(r.runs), strings.Join(r.runs, ", "))
	}
	if r.class.unsafe && promises(r.status) {
		w.brokenLocked("REFUSED", "request %s (%s) was answered %d and runs later at %s", id, r.class.name, r.status, u.id)
	}
}

// stableWindow is stableWindowS.
const stableWindow = 3 * time.Second

// poisoned records that a request crashes an upstream. The rule counts its arrivals later than stableWindowS after it has
// crashed the third, by machines in touch: all but those that were started or signalled in the last stableWindowS.
func (w *world) poisoned(id string, u *upstream) {
	u.mu.Lock()
	others := u.running - 1
	u.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	i := w.requests[id].instance
	inTouch := now.Sub(i.disturbedAt) > stableWindow
	counts := len(w.crashes) >= 3 && now.Sub(w.crashes[2]) > stableWindow && inTouch
	w.crashes = append(w.crashes, now)
	w.lostRuns += others
	w.logLocked("crash", "request %s, by %s (in touch: %v), crashes upstream %s, the %d. crash; the rule counts it: %v; %d other requests run there", id, i.name, inTouch, u.id, len(w.crashes), counts, others)
	if !counts {
		return
	}
	if w.lateRetries++; w.lateRetries > 3 {
		w.brokenLocked("BUDGET", "the request that crashes upstreams reaches one in retry %d that the rule counts, %.1f s after its third crash", w.lateRetries, now.Sub(w.crashes[2]).Seconds())
	}
}

// promises reports whether a status states that the request has not run and never will.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// answered records the answer that a client got.
func (w *world) answered(id string, status int, signature, body string, retryAfter float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.requests[id]
	r.status, r.signature = status, signature
	w.logLocked("answer", "request %s: the client gets %d, signature %q, retry after %.3f s, after %.3f s", id, status, signature, retryAfter, time.Since(r.at).Seconds())
	if status >= 200 && status < 300 && (!strings.HasSuffix(signature, "-"+id+"-"+strconv.Itoa(status)) || !strings.Contains(body, " for "+id+" ")) {
		w.brokenLocked("MIXED", "request %s got %d with signature %q and body %q", id, status, signature, body)
	}
	if r.class.unsafe && promises(status) && len(r.runs) > 0 {
		w.brokenLocked("REFUSED", "request %s (%s) was answered %d and had run at %s", id, r.class.name, status, strings.Join(r.runs, ", "))
	}
}

// checkGrant judges a grant that an upstream has taken. keysMu is locked.
func (w *world) checkGrant(u *upstream, g grantBody, at time.Time) {
	for _, other := range w.upstreams {
		if other == u || other.service != u.service {
			continue
		}
		holds, works := 0, 0
		example := -1
		other.mu.Lock()
		for k := g.From; k <= g.To; k++ {
			if other.expires[k].After(at) {
				holds++
			}
			if other.atWork[k] > 0 && other.granted[k].After(at) {
				works++
				example = k
			}
		}
		other.mu.Unlock()
		if holds > 0 {
			w.broken("OWNER", "upstream %s gets keys %d to %d with fence %d while %s holds %d of them", u.id, g.From, g.To, g.Fence, other.id, holds)
		}
		if works > 0 {
			w.broken("OWNER", "upstream %s gets keys %d to %d with fence %d while %s is still at work on %d of them (such as %d), and its hold would not have run out", u.id, g.From, g.To, g.Fence, other.id, works, example)
		}
	}
}

// config returns a configuration.
func (w *world) config(version int, rules, clusters string) {
	w.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"a.example","ruleSet":[%s]}],"clusters":[%s]}`, version, rules, clusters))
	w.log("config", "version r%d is acknowledged", version)
}

// start starts the process of an instance.
func (w *world) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.process = exec.Command("target/mustardring", "serve")
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MUSTARDRING_BOOT=" + i.settings}
	i.process.Stdout, i.process.Stderr = log, log
	// The instance ends with this program, however that ends.
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(i.process, i.ended)
	w.log("start", "instance %s starts", i.name)
	w.disturbed(i)
	return nil
}

// disturbed records that the process of an instance was started or signalled.
func (w *world) disturbed(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.disturbedAt = time.Now()
}

// restart stops an instance by SIGTERM, with SIGKILL after graceS, and starts it again.
func (w *world) restart(i *instance) error {
	w.log("SIGTERM", "instance %s", i.name)
	w.disturbed(i)
	_ = i.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(6 * time.Second):
		w.log("SIGKILL", "instance %s", i.name)
		_ = i.process.Process.Kill()
		<-i.ended
	}
	time.Sleep(700 * time.Millisecond)
	return w.start(i)
}

// newInstances writes the settings of all instances, as platform/settings.json has them.
//
// All have one address and ports of their own: on the loopback network the sender of a connection has that address, and
// instances check the addresses of one another.
func (w *world) newInstances(port int) error {
	for _, zone := range zones {
		for k := range zone.count {
			w.instances = append(w.instances, &instance{
				name: fmt.Sprintf("front-%s-%d", zone.name, k+1), zone: zone.name, port: port,
				front: fmt.Sprintf("%s:%d", loopback, port), ready: fmt.Sprintf("%s:%d", loopback, port+1),
			})
			port += portsEach
		}
	}
	seeds := []string{}
	for _, zone := range zones {
		for _, i := range w.instances {
			if i.zone == zone.name {
				seeds = append(seeds, fmt.Sprintf("%s:%d", loopback, i.port+2))
				break
			}
		}
	}
	for _, i := range w.instances {
		data, err := json.Marshal(map[string]any{
			"name": i.name, "domain": i.zone, "ip": loopback, "front": i.front, "ready": i.ready, "control": fmt.Sprintf("%s:%d", loopback, i.port+2),
			"seeds": seeds, "peer-ports": []int{i.port + 3, i.port + 18}, "metrics-port": i.port + 19, "store": w.store.address,
			"entry-seconds": 0.87, "cpu-share": 0.32, "link-mbps": 1000.0, "memory-mb": 284, "first-start": true,
			"bounds": map[string]any{
				"drain-seconds": 2, "config-seconds": 2, "stop-seconds": 6, "retry-ratio": 0.2, "retry-window-seconds": 10, "retry-slack": 62,
			},
			"load": map[string]any{
				"caller-identity": "address", "fair-shares": true, "kept-returns": true, "repeat-rejected": true, "body-memory-share": 0.25, "share-connections": true,
			},
		})
		if err != nil {
			return err
		}
		i.settings = filepath.Join(w.dir, i.name+".json")
		if err := os.WriteFile(i.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// balance checks once a second which instances are ready, as the platform's balancer does.
func (w *world) balance() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, i := range w.instances {
			go func() {
				r, err := client.Get("http://" + i.ready + "/-/readiness")
				ok := err == nil && r.StatusCode == 200
				if err == nil {
					_ = r.Body.Close()
				}
				if ok {
					i.misses = 0
					i.readyNow.Store(true)
				} else if i.misses++; i.misses >= 2 {
					i.readyNow.Store(false)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns the instance that a new connection of a client goes to.
func (w *world) pick(zone string) *instance {
	var own, any []*instance
	for _, i := range w.instances {
		if i.readyNow.Load() {
			any = append(any, i)
			if i.zone == zone {
				own = append(own, i)
			}
		}
	}
	if len(own) == 0 {
		own = any
	}
	if len(own) == 0 {
		return w.instances[rand.IntN(len(w.instances))]
	}
	return own[rand.IntN(len(own))]
}

// exit codes
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	runtime.LockOSThread() // Pdeathsig is about the thread that starts a process
	name := flag.String("case", "", "the case to play")
	recordFile := flag.String("record", "record.txt", "where to write what was seen")
	keep := flag.String("logs", "", "keep the logs of the instances in this folder")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	dir := *keep
	if dir == "" {
		d, err := os.MkdirTemp("", "review-")
		if err != nil {
			return exitNotRun
		}
		dir = d
		defer os.RemoveAll(d)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return exitNotRun
	}
	record, err := os.Create(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	w := &world{dir: dir, began: time.Now(), record: record, requests: map[string]*sent{}, services: map[string]*service{}, trouble: os.Getenv("TROUBLE") != "0"}
	// Upstreams have addresses of their own, in a part of the loopback network for each run.
	net16 := fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	port := freePorts(portsEach * instanceCount())
	if port == 0 {
		return exitNotRun
	}
	if w.store, err = startStore(loopback + ":0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if err := w.newInstances(port); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stopAll()
	if err := play.prepare(w, net16); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, i := range w.instances {
		if err := w.start(i); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	go w.balance()
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	for wait := 0; wait < 5 && w.readyCount() < len(w.instances); wait++ {
		time.Sleep(time.Second) // on a slow machine
	}
	if n := w.readyCount(); n < len(w.instances) {
		fmt.Fprintf(os.Stderr, "only %d of %d instances are ready\n", n, len(w.instances))
		return exitNotRun
	}
	stop := make(chan struct{})
	for _, c := range play.classes {
		go w.traffic(c, stop)
	}
	play.script(w)
	close(stop)
	time.Sleep(2500 * time.Millisecond) // the last requests end
	return w.judge()
}

const (
	// loopback is the address of all instances, portsEach the number of ports of each.
	loopback  = "127.0.0.1"
	portsEach = 20
)

func instanceCount() (n int) {
	for _, zone := range zones {
		n += zone.count
	}
	return n
}

// freePorts returns the first of some ports that are free, below those that the kernel gives to outgoing connections.
func freePorts(count int) int {
	for range 50 {
		port := 10_000 + rand.IntN(20_000)
		free := true
		for p := port; p < port+count && free; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", loopback, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return port
		}
	}
	return 0
}

func (w *world) readyCount() (n int) {
	for _, i := range w.instances {
		if i.readyNow.Load() {
			n++
		}
	}
	return n
}

// stopAll ends all processes that were started.
func (w *world) stopAll() {
	for _, i := range w.instances {
		if i.process != nil && i.process.Process != nil {
			_ = i.process.Process.Signal(syscall.SIGCONT)
			_ = i.process.Process.Kill()
			<-i.ended
		}
	}
}

// judge writes the sums to the record and returns the exit code.
func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, all := map[string]int{}, map[string]int{}
	statuses := map[int]int{}
	for _, r := range w.requests {
		all[r.class.name]++
		statuses[r.status]++
		if r.status == 200 {
			served[r.class.name]++
		}
	}
	total := 0
	for name, n := range all {
		w.logLocked("sum", "%s: %d sent, %d answered 200", name, n, served[name])
		total += served[name]
	}
	w.logLocked("sum", "upstreams crashed by a request: %d, retries that the rule counts: %d, other requests that ran there: %d", len(w.crashes), w.lateRetries, w.lostRuns)
	w.logLocked("sum", "answers by status (0 is none): %v", statuses)
	for _, b := range w.breaks {
		fmt.Println(b)
	}
	fmt.Printf("rules broken: %d times; answers by status: %v\n", len(w.breaks), statuses)
	w.logLocked("sum", "rules broken: %d times", len(w.breaks))
	switch {
	case total == 0:
		return exitNotRun
	case len(w.breaks) > 0:
		return exitBroken
	}
	return exitHeld
}
