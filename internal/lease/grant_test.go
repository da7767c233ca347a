package lease

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// failFirstGrant is a Client whose first grant fails.
type failFirstGrant struct {
	err    error
	grants int
}

func (o *failFirstGrant) Grant(context.Context, shard.Owner, Grant, GrantCheck) (Reply, error) {
	o.grants++
	if o.grants == 1 {
		return Reply{}, o.err
	}
	return Reply{}, nil
}

func (o *failFirstGrant) Release(context.Context, shard.Owner, Grant) (Reply, error) {
	return Reply{}, nil
}

func (o *failFirstGrant) Connect(context.Context, shard.Owner) error   { return nil }
func (o *failFirstGrant) KeepSpare(context.Context, shard.Owner) error { return nil }

// Guards against keys without an owner after a canceled grant. When plans followed closely, the next record changed
// other keys of the same server and so canceled the grants of one move in eight. Their keys then waited
// 150 ms for the next attempt.
func TestCanceledGrantIsRetriedAtOnce(t *testing.T) {
	checkFirstGrantIsRetried(t, context.Canceled, orderRetryDelay)
}

// Guards against keys without an owner until the next plan because a copy of an earlier refusal passes for the answer to the
// first grant of a move.
func TestRefusedFirstGrantIsRetriedOnce(t *testing.T) {
	checkFirstGrantIsRetried(t, ErrFenced, 2*orderRetryDelay)
}

// checkFirstGrantIsRetried checks that a move is completed within a time although its first grant fails.
func checkFirstGrantIsRetried(t *testing.T, err error, within time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := rules.Server{ID: "s", Service: service, Address: "a"}
		lm := New(Deps{
			LeaseClient: &failFirstGrant{err: err}, Clock: fakeClock{start}, Events: event.New(io.Discard, log.ErrorLevel),
			Servers: func() *rules.ServerSet { return rules.NewServerSet(map[string]rules.Server{"s": s}) },
		})
		lm.guards = guards{}
		r := shard.Range{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1, FormerOwners: []shard.Owner{{Server: "o"}}}
		data, err := (&shard.Map{Fence: 1, Ranges: []shard.Range{r}}).Encode()
		is.NoErr(err)
		lm.view.applyUpdate(follow.Update{Batch: follow.Batch{End: 1, Records: []follow.Record{{Key: keyService + service, Value: data}}}})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			lm.grantFirst(ctx, pendingMove{service: service, Range: r}, "", start)
		}()
		<-lm.completions
		is.True(time.Since(start) < within)
		cancel()
		<-ended
	})
}
