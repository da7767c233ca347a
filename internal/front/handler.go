package front

import (
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"example.org/mustardring/pkg/caller"
)

// origin says who sent a request.
type origin int

// The origins.
const (
	fromCaller origin = iota
	fromInstance
)

// handler builds the iris application for one kind of sender.
func (f *Front) handler(from origin) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	serve := func(ctx iris.Context) {
		// The answer is written beneath iris, which must not add a header of its own.
		ctx.ResponseWriter().SetWritten(0)
		f.inFlight.begin()
		defer f.inFlight.end()
		f.serve(ctx.ResponseWriter().Naive(), ctx.Request(), from)
	}
	app.Any("/{service:string}", serve)
	app.Any("/{service:string}/{rest:path}", serve)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		ctx.ResponseWriter().SetWritten(0)
		status := ctx.GetStatusCode()
		refuse(ctx.ResponseWriter().Naive(), newID(), &refusal{
			status: status, reason: ReasonNoRoute, outcome: caller.NotRun,
			detail: "the path has the form /{service}/{rest}",
		})
	})
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("front: building routes: %w", err)
	}
	return app, nil
}
