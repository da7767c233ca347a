package worker

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

var errFault = errors.New("fault")

func TestGroupReportsEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	g := New(t.Context(), 2)
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Go("fails", func(context.Context) error { return errFault })
	end := <-g.Ends()
	is.Equal(end, End{Name: "fails", Err: errFault})
	is.NoErr(g.Wait(1))
}

func TestWaitReturnsTheFirstError(t *testing.T) {
	is := is.New(t)
	g := New(t.Context(), 1)
	g.Go("fails late", func(ctx context.Context) error {
		<-ctx.Done()
		return errFault
	})
	is.True(errors.Is(g.Wait(0), errFault))
}
