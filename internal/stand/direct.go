package stand

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// errBroken is what the caller of an aborted handler sees.
var errBroken = errors.New("stand: connection broken")

// HandlerTransport is an http.RoundTripper that calls a handler without sockets, so that a test can run
// on a fake clock. An aborted handler is a broken connection.
type HandlerTransport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (d HandlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, errBroken
		}
	}()
	d.Handler.ServeHTTP(recorder, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}
