package node

import (
	"context"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/worker"
)

const (
	// maxCompletedMoves is the maximum number of completed moves that wait to be broadcast, and of those in one
	// message.
	maxCompletedMoves = 512
	// gatherDelayPerInstance, for each instance, is how long completed moves are gathered, at most maxGatherDelay. Sent
	// one by one, the moves of a plan for some hundred servers would be as many messages to some hundred instances.
	gatherDelayPerInstance = 100 * time.Microsecond
	maxGatherDelay         = 200 * time.Millisecond
)

// moveCompleted records that the move of a range to its new owner is complete, and queues it for the next broadcast.
// If the queue is full, it broadcasts the move at once.
func (n *Node) moveCompleted(service string, from uint16, fence uint64) {
	r := dgram.MovedRange{Service: service, From: from, Fence: fence}
	n.cluster.markMovesComplete([]dgram.MovedRange{r})
	select {
	case n.completedMoves <- r:
	default:
		n.broadcast(dgram.CompletedMoves{Ranges: []dgram.MovedRange{r}})
	}
}

// broadcastMovesLoop broadcasts completed moves, in one message if they follow one another closely.
func (n *Node) broadcastMovesLoop(ctx context.Context) error {
	for {
		var ranges []dgram.MovedRange
		select {
		case r := <-n.completedMoves:
			ranges = append(ranges, r)
		case <-ctx.Done():
			return ctx.Err()
		}
		worker.Sleep(ctx, n.scaled(gatherDelayPerInstance, maxGatherDelay))
		for len(n.completedMoves) > 0 && len(ranges) < maxCompletedMoves {
			ranges = append(ranges, <-n.completedMoves)
		}
		n.broadcast(dgram.CompletedMoves{Ranges: ranges})
	}
}
