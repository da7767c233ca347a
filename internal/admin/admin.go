// Package admin is the HTTP interface of an entry instance for operators. It is served on a separate
// address, is read-only and, except for the readiness check, requires a bearer token.
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

// Paths of the interface. All are used with GET. PathOwner takes the query parameters service and
// key.
const (
	PathStatus      = "/status"
	PathOwner       = "/owner"
	PathAssignments = "/assignments"
	PathMetrics     = "/debug/vars"
	PathReady       = "/ready"
)

// Source supplies the answers of the interface.
type Source interface {
	// Status returns the current status of the instance.
	Status() Status
	// Owner returns where requests for a key go to the best of this instance's knowledge. It
	// returns false for an unknown service.
	Owner(service, key string) (Ownership, bool)
	// Assignments returns the assignments of all domains recorded in the log, sorted by domain
	// and server.
	Assignments() []Assignment
	// Ready reports whether the balancer should send callers to this instance.
	Ready() bool
}

// New returns the handler of the interface. Every path except PathReady requires the token, as
// "Authorization: Bearer TOKEN".
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

// requireToken rejects requests without the token. It compares hashes in constant time, so that the
// duration reveals nothing about the token or its length.
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

// ready answers the readiness check of a balancer, with status 503 if the instance is not ready.
func ready(ctx iris.Context, source Source) {
	if !source.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
}

// owner answers where requests for a key go, with status 404 for an unknown service.
func owner(ctx iris.Context, source Source) {
	found, known := source.Owner(ctx.URLParam("service"), ctx.URLParam("key"))
	if !known {
		ctx.StopWithStatus(http.StatusNotFound)
		return
	}
	reply(ctx, found)
}

// reply writes a value as JSON. An error means that the client has disconnected.
func reply(ctx iris.Context, value any) {
	if err := ctx.JSON(value); err != nil {
		ctx.StopWithStatus(http.StatusInternalServerError)
	}
}
