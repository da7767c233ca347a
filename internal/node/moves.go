package node

import (
	"context"
	"time"

	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/gram"
)

const (
	// maxCompletedMoves bounds the ranges that wait to be told of, and those in one message.
	maxCompletedMoves = 512
	// gatherDelayPerInstance, for each instance, is how long settled ranges are gathered: told one by one, the moves of a
	// plan at some hundred servers are as many messages to some hundred instances.
	gatherDelayPerInstance = 100 * time.Microsecond
)

// moveCompleted takes in that a range has come to its new owner, for all to know.
func (n *Node) moveCompleted(service string, from uint16, fence uint64) {
	r := gram.MovedRange{Service: service, From: from, Fence: fence}
	n.cluster.markMovesComplete([]gram.MovedRange{r})
	select {
	case n.completedMoves <- r:
	default:
		n.broadcast(gram.CompletedMoves{Ranges: []gram.MovedRange{r}})
	}
}

// broadcastMovesLoop tells all of settled ranges, those that come close together in one message.
func (n *Node) broadcastMovesLoop(ctx context.Context) error {
	for {
		var ranges []gram.MovedRange
		select {
		case r := <-n.completedMoves:
			ranges = append(ranges, r)
		case <-ctx.Done():
			return ctx.Err()
		}
		duty.Pause(ctx, time.Duration(n.instances())*gatherDelayPerInstance)
		for len(n.completedMoves) > 0 && len(ranges) < maxCompletedMoves {
			ranges = append(ranges, <-n.completedMoves)
		}
		n.broadcast(gram.CompletedMoves{Ranges: ranges})
	}
}
