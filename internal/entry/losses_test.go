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

// life makes one process of an instance of the first domain that is not run.
func (s *site) life(host int, incarnation uint64) *Entry {
	settings := s.settings(1, host)
	e, err := New(Deps{
		Settings: settings, TLS: s.tls(settings.Name), Placer: place.New(), Logger: log.New(io.Discard), Incarnation: incarnation,
	})
	s.is.NoErr(err)
	return e
}

// answerPeers lets a process answer the calls of other instances until the test ends.
func (s *site) answerPeers(e *Entry) {
	l, err := net.Listen("tcp", e.deps.Settings.PeerAddress)
	s.is.NoErr(err)
	server := peer.NewServer(l, e.deps.TLS, e.mux(), nil)
	s.start(e.deps.Settings.Name, func(ctx context.Context) error {
		if err := server.Run(ctx); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
}

// says lets one process hear another.
func (s *site) says(from, to *Entry) {
	h := from.heartbeat()
	to.hear(Pulse{Name: h.Name, Heartbeat: &h, Stated: stated(h)}, true)
}

// A domain was cut off, and two of its three instances were killed and started again. The third
// asked them what they remembered before it had heard that they were new. Both answered, with
// nothing, and that passed for all there was: a caller who sent a request again, not knowing
// its outcome, had it run twice, as what remembered it had been in the two that were killed.
func TestRecallFromNewProcesses(t *testing.T) {
	tests := map[string]struct {
		// again are the hosts that were killed and are back, down those that were killed; told says
		// that the asker has heard of the new processes.
		again, down []int
		told        bool
		wantErr     bool
	}{
		"nobody was lost":                          {},
		"one is new":                               {again: []int{2}},
		"one is new, as was heard":                 {again: []int{2}, told: true},
		"one is down":                              {down: []int{2}},
		"both are new":                             {again: []int{2, 3}, wantErr: true},
		"both are new, as was heard":               {again: []int{2, 3}, told: true, wantErr: true},
		"one is new, the other down":               {again: []int{2}, down: []int{3}, wantErr: true},
		"one is new, as was heard, the other down": {again: []int{2}, down: []int{3}, told: true, wantErr: true},
		"both are down":                            {down: []int{2, 3}, wantErr: true},
	}
	network := 210
	for name, test := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := newSite(t, network)
			asker := s.life(1, 1)
			lives := map[int]*Entry{2: s.life(2, 2), 3: s.life(3, 3)}
			for _, e := range lives {
				s.says(e, asker)
			}
			for _, host := range test.again {
				lives[host] = s.life(host, uint64(10+host))
				if test.told {
					s.says(lives[host], asker)
				}
			}
			for _, host := range test.down {
				delete(lives, host)
			}
			for _, e := range lives {
				s.answerPeers(e)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := asker.witness.Recover(ctx, service, keys.Full)
			s.is.Equal(errors.Is(err, errRecall), test.wantErr)
		})
	}
}

// An instance that has just started knows nobody but the one that answers it. That one has heard of
// two processes that were killed, and says so: what they remembered is gone.
func TestRecallByNewProcess(t *testing.T) {
	s := newSite(t, 230)
	witness, killed := s.life(1, 1), s.life(3, 3)
	s.says(s.life(2, 2), witness)
	s.says(killed, witness)
	asker := s.life(2, 12)
	s.says(witness, asker)
	s.answerPeers(witness)
	_, err := asker.witness.Recover(t.Context(), service, keys.Full)
	s.is.True(errors.Is(err, errRecall))
}
