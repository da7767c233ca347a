package front

import (
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"example.org/mustardring/pkg/caller"
)

// senderKind says whether a caller or another instance sent a request.
type senderKind int

// The kinds of senders.
const (
	fromCaller senderKind = iota
	fromInstance
)

// newHandler builds the iris application for one kind of sender.
func (f *Front) newHandler(sender senderKind) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	serve := func(ctx iris.Context) {
		// The response is written to the underlying writer, and iris must not write a header
		// itself.
		ctx.ResponseWriter().SetWritten(0)
		f.inFlight.begin()
		defer f.inFlight.end()
		f.serve(ctx.ResponseWriter().Naive(), ctx.Request(), sender)
	}
	app.Any("/{service:string}", serve)
	app.Any("/{service:string}/{rest:path}", serve)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		ctx.ResponseWriter().SetWritten(0)
		status := ctx.GetStatusCode()
		writeRefusal(ctx.ResponseWriter().Naive(), newID(), &refusal{
			status: status, reason: ReasonNoRoute, outcome: caller.NotRun,
			detail: "the path has the form /{service}/{rest}",
		})
	})
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("front: building routes failed: %w", err)
	}
	return app, nil
}
