package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/mustardring/platform"
)

const (
	// volumeSize is the largest response of a download on the small sites (resp_bytes, max).
	volumeSize = 540_000
	// slowClients read slowly, each over one connection on which it asks for volumesAsked volumes.
	slowClients  = 40
	volumesAsked = 16
	// slowDeadline is how long these clients wait, and slowRate how many bytes a second each of them reads.
	slowDeadline = 12 * time.Second
	slowRate     = 20_000
	slowTime     = 24 * time.Second
	// slowBuffer is the client's receive buffer: "Links have ... small windows, so a peer that does not read blocks the writer."
	slowBuffer = 4096
)

var slowConfig = strings.Replace(poisonConfig, `{"name":"note"`, `{"name":"volume","kind":"download","targetLatencyS":4,"priority":2,"match":{"pathPrefix":"/volume/"},
"action":{"service":"depot-desk","timeoutS":6,"maxAttempts":2}},
{"name":"note"`, 1)

// playSlow plays clients that read large responses slowly. Without trouble they read them at once.
func playSlow(w *world, trouble bool) (string, error) {
	w.store.Put(platform.TopicConfig, platform.KeyConfig, []byte(slowConfig))
	zones := []string{"badulla-hall", "badulla-hall", "bandarawela-hall", "bandarawela-hall", "bandarawela-hall", "welimada-hall", "welimada-hall", "welimada-hall"}
	var all []*upstream
	for i := range 18 {
		u, err := w.startUpstream("depot-desk", zones[i%len(zones)], 4, 120*time.Millisecond)
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
	end := time.Now().Add(slowTime)
	var downloads sync.WaitGroup
	for i := range slowClients {
		downloads.Go(func() {
			w.sleep(time.Duration(i) * 100 * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				read, err := w.download(w.machines[0], i, n, trouble)
				w.note("slow client %d has read %d bytes (%v)", i, read, err)
				if !w.sleep(time.Second) {
					return
				}
			}
		})
	}
	downloads.Wait()
	w.sleep(time.Second)
	return judgeUpload(w, all, lost, kills.Load()), nil
}

// download asks for volumes over one connection and reads the responses until the deadline, and returns how many bytes it read.
func (w *world) download(m *machine, index, round int, slowly bool) (int, error) {
	d := net.Dialer{Timeout: time.Second}
	if slowly {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
			})
		}
	}
	c, err := d.DialContext(context.Background(), "tcp4", m.front)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	var requests bytes.Buffer
	for i := range volumesAsked {
		fmt.Fprintf(&requests, "GET /volume/%d/%d/%d HTTP/1.1\r\nHost: depot.example\r\nX-Mustardring-Attempt-Id: m%d.0-v%d-%d-%d\r\nX-Mustardring-Timeout-Remaining-Ms: %d\r\n\r\n",
			index, round, i, m.index, index, round, i, slowDeadline.Milliseconds())
	}
	if _, err := c.Write(requests.Bytes()); err != nil {
		return 0, err
	}
	_ = c.SetDeadline(time.Now().Add(slowDeadline))
	read, part := 0, make([]byte, 64<<10)
	if slowly {
		part = part[:slowRate/10]
	}
	for read < volumesAsked*volumeSize {
		n, err := c.Read(part)
		read += n
		if err != nil {
			if err == io.EOF {
				return read, io.ErrUnexpectedEOF
			}
			return read, err
		}
		if slowly && !w.sleep(100*time.Millisecond) {
			return read, nil
		}
	}
	return read, nil
}
