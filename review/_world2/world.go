package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/mustardring/platform"
	"example.org/mustardring/platform/fake"
)

// The figures of a small deployment (uvagoat-gw): the bounds and the sizes of its machines.
const (
	drainS        = 2
	graceS        = 6
	configApplyS  = 2
	stableWindow  = 3 * time.Second
	budgetRatio   = 0.2
	budgetWindowS = 10
	budgetSlack   = 62
	heartbeat     = 870 * time.Millisecond
)

// world holds all that a case has started.
type world struct {
	binary string
	dir    string
	store  *fake.Store
	began  time.Time
	// cores is how many cores a machine exposes.
	cores  int
	serial atomic.Int64

	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File

	mu        sync.Mutex
	machines  []*machine
	upstreams []*upstream
	stopped   chan struct{}
	workers   sync.WaitGroup
	closeOnce sync.Once
}

func newWorld(binary, record string) (*world, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, errors.New("the program is not built")
	}
	dir, err := os.MkdirTemp("", "world2")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		binary: path, dir: dir, store: fake.NewStore(), began: time.Now(), cores: 1, file: f, record: bufio.NewWriter(f), stopped: make(chan struct{}),
	}, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// close ends all processes and goroutines that the case has started.
func (w *world) close() {
	w.closeOnce.Do(func() {
		close(w.stopped)
		w.mu.Lock()
		machines := w.machines
		w.mu.Unlock()
		for _, m := range machines {
			m.kill()
		}
		w.workers.Wait()
		for _, u := range w.upstreams {
			u.crash()
		}
		w.store.CloseClientConnections()
		w.store.Close()
		w.recordMu.Lock()
		_ = w.record.Flush()
		w.recordMu.Unlock()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(w.dir)
		}
	})
}

// sleep waits, and reports whether the world goes on.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// machine is a front machine: one process of the project's program, which is started again after it has ended.
type machine struct {
	world   *world
	index   int
	name    string
	front   string
	ready   string
	setting map[string]any

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// life counts the starts. inRotation says that the platform gives it new connections.
	life       int
	inRotation bool
}

// startMachines starts front machines in zones, with the settings that platform/settings.json would give them.
func (w *world) startMachines(zones []string) error {
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	var seeds []string
	for i, zone := range zones {
		m := &machine{world: w, index: i, name: fmt.Sprintf("front-%s-%d", zone, i), front: address(), ready: address()}
		control, peer := address(), freePort()
		if len(seeds) < 3 {
			seeds = append(seeds, control)
		}
		m.setting = map[string]any{
			"name": m.name, "domain": zone, "ip": "127.0.0.1", "front": m.front, "ready": m.ready, "control": control,
			"peer-ports": []int{peer, peer}, "metrics-port": freePort(), "store": w.store.Address(), "entry-seconds": heartbeat.Seconds(),
			"cpu-share": 0.32, "link-mbps": 1000.0, "memory-mb": 284,
			"bounds": map[string]any{
				"drain-seconds": drainS, "config-seconds": configApplyS, "stop-seconds": graceS, "retry-ratio": budgetRatio,
				"retry-window-seconds": budgetWindowS, "retry-slack": budgetSlack,
			},
			"load": map[string]any{
				"caller-identity": "address", "fair-shares": true, "kept-returns": true, "repeat-rejected": true,
				"body-memory-share": 0.25, "share-connections": true,
			},
		}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		m.setting["seeds"] = seeds
		if err := m.start(); err != nil {
			return err
		}
		w.workers.Add(1)
		go m.askReadiness()
	}
	return nil
}

// start starts the process, as the deploy file says.
func (m *machine) start() error {
	m.setting["first-start"] = m.life == 0
	data, err := json.Marshal(m.setting)
	if err != nil {
		return err
	}
	file := filepath.Join(m.world.dir, m.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(m.world.binary, "serve")
	c.Env = append(os.Environ(), "MUSTARDRING_BOOT="+file, fmt.Sprintf("GOMAXPROCS=%d", m.world.cores))
	c.Stdout, c.Stderr = logs, logs
	// The process ends with this one.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	_ = logs.Close()
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.life++
	life := m.life
	m.mu.Unlock()
	m.world.note("%s starts, life %d", m.name, life)
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// stop sends SIGTERM, then SIGKILL after graceS, and returns when the process has ended.
func (m *machine) stop() {
	m.world.note("%s gets SIGTERM", m.name)
	m.end(syscall.SIGTERM)
	m.world.note("%s has ended", m.name)
}

func (m *machine) end(first syscall.Signal) {
	m.mu.Lock()
	c, exited := m.process, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(first)
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		_ = c.Process.Kill()
		<-exited
	}
}

func (m *machine) kill() { m.end(syscall.SIGKILL) }

// askReadiness asks once a second whether the machine takes new connections, as the platform does.
func (m *machine) askReadiness() {
	defer m.world.workers.Done()
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses := 2; ; {
		r, err := c.Get("http://" + m.ready + platform.ReadyPath)
		if err == nil {
			_ = r.Body.Close()
		}
		if err == nil && r.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		m.mu.Lock()
		m.inRotation = misses < 2
		m.mu.Unlock()
		if !m.world.sleep(time.Second) {
			return
		}
	}
}

// rotation returns the machines that take new connections.
func (w *world) rotation() []*machine {
	var out []*machine
	for _, m := range w.machines {
		m.mu.Lock()
		if m.inRotation {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	return out
}

// awaitReady waits until all machines take new connections.
func (w *world) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); len(w.rotation()) < len(w.machines); {
		if time.Now().After(end) {
			return errors.New("the machines did not become ready")
		}
		w.sleep(50 * time.Millisecond)
	}
	return nil
}

// answer is what a client got for one attempt.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	machine *machine
	life    int
	at      time.Time
	err     error
}

// attempt is one client attempt.
type attempt struct {
	method, host, path string
	header             map[string]string
	body               string
	timeout            time.Duration
}

// send sends an attempt to a machine on a new connection, under an id that names the machine and its life.
func (w *world) send(m *machine, a attempt) (string, answer) {
	m.mu.Lock()
	life := m.life
	m.mu.Unlock()
	id := fmt.Sprintf("m%d.%d-%06d", m.index, life, w.serial.Add(1))
	out := answer{machine: m, life: life}
	c, err := net.DialTimeout("tcp4", m.front, time.Second)
	if err != nil {
		out.err, out.at = err, time.Now()
		return id, out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(a.timeout))
	var body io.Reader
	if a.body != "" {
		body = io.MultiReader(stringReader(a.body))
	}
	r, err := http.NewRequest(a.method, "http://"+a.host+a.path, body)
	if err != nil {
		out.err, out.at = err, time.Now()
		return id, out
	}
	r.ContentLength = int64(len(a.body))
	r.Close = true
	for name, value := range a.header {
		r.Header.Set(name, value)
	}
	r.Header.Set("X-Mustardring-Attempt-Id", id)
	r.Header.Set("X-Mustardring-Timeout-Remaining-Ms", fmt.Sprint(a.timeout.Milliseconds()))
	if err := r.Write(c); err != nil {
		out.err, out.at = err, time.Now()
		return id, out
	}
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		out.err, out.at = err, time.Now()
		return id, out
	}
	defer response.Body.Close()
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(response.Body)
	out.at = time.Now()
	return id, out
}

// pick returns a random machine of those that take new connections, nil if there is none.
func (w *world) pick() *machine {
	all := w.rotation()
	if len(all) == 0 {
		return nil
	}
	return all[rand.IntN(len(all))]
}

// freePort returns a port of the loopback address that nobody listens on.
func freePort() int { return fake.FreePort() }
