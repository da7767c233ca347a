// Package admin is the operators' interface of an entry instance over HTTP. It has an
// address of its own, demands a bearer token and changes nothing.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"fmt"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
)

// Paths of the interface.
const (
	PathStatus      = "/status"
	PathOwner       = "/owner"
	PathAssignments = "/assignments"
	PathMetrics     = "/debug/vars"
	PathReady       = "/ready"
)

// Source answers the questions of operators.
type Source interface {
	// Status returns the present status.
	Status() Status
	// Owner returns where requests for a key go, as far as this instance knows, and false for
	// an unknown service.
	Owner(service, key string) (Ownership, bool)
	// Assignments returns the assignments recorded in the log, sorted by domain and server.
	Assignments() []Assignment
	// Ready reports whether callers should be sent to this instance.
	Ready() bool
}

// New returns the handler. Every path but PathReady demands the token.
func New(token string, source Source) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(PathReady, func(ctx iris.Context) { ready(ctx, source) })
	guard := requireToken(token)
	app.Get(PathStatus, guard, func(ctx iris.Context) { reply(ctx, source.Status()) })
	app.Get(PathAssignments, guard, func(ctx iris.Context) { reply(ctx, source.Assignments()) })
	app.Get(PathOwner, guard, func(ctx iris.Context) { owner(ctx, source) })
	app.Get(PathMetrics, guard, iris.FromStd(expvar.Handler()))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return app, nil
}

// requireToken compares hashes, so that the time of the comparison says nothing about the
// token.
func requireToken(token string) iris.Handler {
	want := sha256.Sum256([]byte(token))
	return func(ctx iris.Context) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(ctx.GetHeader("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			ctx.StopWithStatus(http.StatusUnauthorized)
			return
		}
		ctx.Next()
	}
}

func ready(ctx iris.Context, source Source) {
	if !source.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
}

func owner(ctx iris.Context, source Source) {
	found, known := source.Owner(ctx.URLParam("service"), ctx.URLParam("key"))
	if !known {
		ctx.StopWithStatus(http.StatusNotFound)
		return
	}
	reply(ctx, found)
}

// reply writes a value as JSON. An error means that the operator has gone.
func reply(ctx iris.Context, value any) {
	if err := ctx.JSON(value); err != nil {
		ctx.StopWithStatus(http.StatusInternalServerError)
	}
}
