package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
)

// Guards against one message per move and instance. A plan moved 200 ranges, and each completed move was sent to 294
// instances separately: 59,000 messages from one instance within half a second.
func TestCompletedMovesAreBatched(t *testing.T) {
	is := is.New(t)
	port, err := dgram.Listen("127.0.0.1:0")
	is.NoErr(err)
	other, err := dgram.Listen("127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- other.Run(ctx) }()
	events := event.New(io.Discard, log.ErrorLevel)
	n := &Node{
		port: port, roster: roster.New("i0", "d0"), cluster: newClusterState(events, time.Second, time.Second), events: events,
		completedMoves: make(chan dgram.MovedRange, maxCompletedMoves),
	}
	n.roster.Put("i1", roster.Entry{Address: other.Address(), Domain: "d0", Incarnation: 1}, time.Now())
	for i := range 200 {
		n.moveCompleted("books", uint16(i), 7)
	}
	go func() { ended <- n.broadcastMovesLoop(ctx) }()
	received := <-other.Messages()
	is.Equal(len(received.Message.(dgram.CompletedMoves).Ranges), 200)
	is.True(n.cluster.isMoveComplete("books", 199, 7))
	cancel()
	for range 2 {
		is.Equal(<-ended, context.Canceled)
	}
}
