package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// newProcess returns a process of an instance of the first domain. It is not run.
func (s *site) newProcess(host int, incarnation uint64) *Entry {
	settings := s.settings(1, host)
	e, err := New(Deps{
		Settings: settings, TLS: s.tls(settings.Name), Placer: place.New(), Logger: log.New(io.Discard), Incarnation: incarnation,
	})
	s.is.NoErr(err)
	return e
}

// servePeers makes a process answer the calls of other instances until the test ends.
func (s *site) servePeers(e *Entry) {
	l, err := net.Listen("tcp", e.deps.Settings.PeerAddress)
	s.is.NoErr(err)
	server := peer.NewServer(l, e.deps.TLS, e.newMux(), nil)
	s.start(e.deps.Settings.Name, func(ctx context.Context) error {
		if err := server.Run(ctx); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
}

// receiveState passes the state of one process to another, as in the answer to a heartbeat.
func (s *site) receiveState(from, to *Entry) {
	h := from.instanceState()
	to.receive(Heartbeat{Name: h.Name, State: &h, StateID: stateID(h)}, true)
}

// Guards against requests that run twice after two of three instances were killed and restarted. The
// third asks the new processes for idempotency records before it knows that they are new. Their
// answers, without any record, must not count as those of the old processes, which held both copies.
func TestRecoverFromRestartedProcesses(t *testing.T) {
	tests := map[string]struct {
		// restarted are the hosts that were killed and restarted, down those that were killed. If
		// known is true, the asker has received the state of the new processes.
		restarted, down []int
		known           bool
		wantErr         bool
	}{
		"nobody was lost":                       {},
		"one is new":                            {restarted: []int{2}},
		"one is new, and known":                 {restarted: []int{2}, known: true},
		"one is down":                           {down: []int{2}},
		"both are new":                          {restarted: []int{2, 3}, wantErr: true},
		"both are new, and known":               {restarted: []int{2, 3}, known: true, wantErr: true},
		"one is new, the other down":            {restarted: []int{2}, down: []int{3}, wantErr: true},
		"one is new, and known, the other down": {restarted: []int{2}, down: []int{3}, known: true, wantErr: true},
		"both are down":                         {down: []int{2, 3}, wantErr: true},
	}
	network := 210
	for name, test := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := newSite(t, network)
			asker := s.newProcess(1, 1)
			processes := map[int]*Entry{2: s.newProcess(2, 2), 3: s.newProcess(3, 3)}
			for _, e := range processes {
				s.receiveState(e, asker)
			}
			for _, host := range test.restarted {
				processes[host] = s.newProcess(host, uint64(10+host))
				if test.known {
					s.receiveState(processes[host], asker)
				}
			}
			for _, host := range test.down {
				delete(processes, host)
			}
			for _, e := range processes {
				s.servePeers(e)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := asker.replicator.Recover(ctx, service, keys.Full)
			s.is.Equal(errors.Is(err, errUnrecoverable), test.wantErr)
		})
	}
}

// An instance that has just started knows only the one that answers it. That one knows two processes
// that were killed, so Recover must report that their records are lost.
func TestRecoverByRestartedProcess(t *testing.T) {
	s := newSite(t, 230)
	observer, killed := s.newProcess(1, 1), s.newProcess(3, 3)
	s.receiveState(s.newProcess(2, 2), observer)
	s.receiveState(killed, observer)
	asker := s.newProcess(2, 12)
	s.receiveState(observer, asker)
	s.servePeers(observer)
	_, err := asker.replicator.Recover(t.Context(), service, keys.Full)
	s.is.True(errors.Is(err, errUnrecoverable))
}
