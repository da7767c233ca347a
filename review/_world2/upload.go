package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/platform"
)

// uploadConfig states the limits that `fleetbench wire` shows: a body may have 64 MiB.
var uploadConfig = strings.Replace(poisonConfig, `"maxBodyBytes":1048576`, `"maxBodyBytes":67108864`, 1)

const (
	// uploadSize is the size of a large body, below maxBodyBytes.
	uploadSize = 66_000_000
	uploaders  = 2
	// uploadTime is how long the large bodies are sent.
	uploadTime = 40 * time.Second
	memoryMB   = 284
	maxLost    = 3
)

// playUpload plays clients whose bodies have up to 64 MiB, as the operator's limits allow. With trouble they are sent in chunks,
// else with their length. The platform ends a process that exceeds its memory.
func playUpload(w *world, trouble bool) (string, error) {
	w.store.Put(platform.TopicConfig, platform.KeyConfig, []byte(uploadConfig))
	zones := []string{"badulla-hall", "badulla-hall", "bandarawela-hall", "bandarawela-hall", "bandarawela-hall", "welimada-hall", "welimada-hall", "welimada-hall"}
	var all []*upstream
	for i := range 9 {
		u, err := w.startUpstream("depot-desk", zones[i%len(zones)], 4, 120*time.Millisecond)
		if err != nil {
			return "", err
		}
		all = append(all, u)
	}
	// "On some days, a machine exposes several cores, and threads then take turns at any point."
	w.cores = 4
	if err := w.startMachines(zones); err != nil {
		return "", err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	var kills atomic.Int64
	for _, m := range w.machines {
		w.workers.Add(1)
		go m.watchMemory(&kills)
	}
	lost := &losses{unanswered: map[string]struct{}{}}
	for i := range 8 * len(w.machines) {
		w.workers.Add(1)
		go w.runKept(w.machines[i%len(w.machines)], i, lost)
	}
	w.sleep(3 * time.Second)
	end := time.Now().Add(uploadTime)
	var uploads sync.WaitGroup
	for i := range uploaders {
		uploads.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				status, err := w.upload(w.machines[0], i, n, trouble)
				w.note("uploader %d gets %d (%v)", i, status, err)
				if !w.sleep(500 * time.Millisecond) {
					return
				}
			}
		})
	}
	uploads.Wait()
	w.sleep(time.Second)
	return judgeUpload(w, all, lost, kills.Load()), nil
}

// losses holds the requests of clients with a kept connection that were sent whole and whose connection ended without an answer.
type losses struct {
	mu         sync.Mutex
	unanswered map[string]struct{}
	answered   int
}

// runKept sends requests one after the other over kept connections to one machine.
func (w *world) runKept(m *machine, index int, l *losses) {
	defer w.workers.Done()
	for n := 0; w.sleep(100 * time.Millisecond); {
		c, err := net.DialTimeout("tcp4", m.front, time.Second)
		if err != nil {
			continue
		}
		in := bufio.NewReader(c)
		for {
			n++
			m.mu.Lock()
			life := m.life
			m.mu.Unlock()
			id := fmt.Sprintf("m%d.%d-%06d", m.index, life, w.serial.Add(1))
			r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://depot.example/note/%d/%d", index, n), strings.NewReader("a note"))
			r.Header.Set("X-Mustardring-Attempt-Id", id)
			r.Header.Set("X-Mustardring-Timeout-Remaining-Ms", "1500")
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			if r.Write(c) != nil {
				break
			}
			response, err := http.ReadResponse(in, r)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if isStopped(w) {
				_ = c.Close()
				return
			}
			l.mu.Lock()
			if err != nil {
				w.note("client %d gets no answer for %s: %v", index, id, err)
				l.unanswered[id] = struct{}{}
			} else {
				l.answered++
			}
			l.mu.Unlock()
			if err != nil || response.Close || !w.sleep(time.Duration(20+rand.IntN(60))*time.Millisecond) {
				break
			}
		}
		_ = c.Close()
	}
}

func isStopped(w *world) bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// upload sends one large body, in chunks or with its length, and returns the status of the answer.
func (w *world) upload(m *machine, index, n int, chunked bool) (int, error) {
	c, err := net.DialTimeout("tcp4", m.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	id := fmt.Sprintf("m%d.0-u%d-%d", m.index, index, n)
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://depot.example/note/large/%d/%d", index, n), io.LimitReader(zeros{}, uploadSize))
	r.ContentLength = uploadSize
	if chunked {
		r.ContentLength = -1
	}
	r.Close = true
	r.Header.Set("X-Mustardring-Attempt-Id", id)
	r.Header.Set("X-Mustardring-Timeout-Remaining-Ms", "20000")
	w.note("uploader %d sends %s", index, id)
	written := make(chan error, 1)
	go func() { written <- r.Write(c) }()
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// watchMemory ends the process when it exceeds its memory, and starts it again, as the platform does: "A process that exceeds
// `memoryMb` is killed." What the kernel holds for it is not counted here.
func (m *machine) watchMemory(kills *atomic.Int64) {
	defer m.world.workers.Done()
	peak := 0
	for m.world.sleep(10 * time.Millisecond) {
		m.mu.Lock()
		c := m.process
		m.mu.Unlock()
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
		if err != nil {
			continue
		}
		kb := residentKB(data)
		if kb/1024 > peak {
			peak = kb / 1024
			if peak%20 == 0 || peak > memoryMB {
				m.world.note("%s has %d MB", m.name, peak)
			}
		}
		if kb <= memoryMB*1024 {
			continue
		}
		m.world.note("%s exceeds its memory of %d MB with %d kB, and is killed", m.name, memoryMB, kb)
		kills.Add(1)
		m.kill()
		peak = 0
		if !m.world.sleep(500*time.Millisecond) || m.start() != nil {
			return
		}
	}
}

// residentKB returns the resident memory that a status file states.
func residentKB(status []byte) int {
	for line := range bytes.Lines(status) {
		if text, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			kb, _ := strconv.Atoi(string(bytes.Fields(text)[0]))
			return kb
		}
	}
	return 0
}

// judgeUpload checks the rule LOST: "At any time, a machine in touch passes a request from a kept connection on to a sound
// upstream and closes that connection without an answer, more than three times."
func judgeUpload(w *world, all []*upstream, l *losses, kills int64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	passedOn := 0
	for _, u := range all {
		u.mu.Lock()
		for _, a := range u.arrivals {
			if _, lost := l.unanswered[a.id]; lost {
				passedOn++
				w.note("  passed on to %s and not answered: %s", u.id, a.id)
			}
		}
		u.mu.Unlock()
	}
	w.note("%d requests answered, %d not; of these %d were passed on; %d processes exceeded their memory", l.answered, len(l.unanswered), passedOn, kills)
	fmt.Fprintf(os.Stderr, "%d answered, %d not, %d of these passed on; %d processes exceeded their memory\n", l.answered, len(l.unanswered), passedOn, kills)
	if passedOn > maxLost {
		return fmt.Sprintf("LOST: %d requests were passed on and their kept connections closed without an answer, allowed are %d; processes exceeded %d MB %d times", passedOn, maxLost, memoryMB, kills)
	}
	return ""
}
