package stubs

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// errAborted is the transport error for a handler that panics, as with http.ErrAbortHandler.
var errAborted = errors.New("stubs: handler aborted the response")

// HandlerTransport is an http.RoundTripper that calls a handler without sockets, so that a test can
// run on a fake clock. A handler that panics looks like a broken connection.
type HandlerTransport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper. It returns the error of the request context if the context
// has ended by the time that the handler returns.
func (d HandlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, errAborted
		}
	}()
	d.Handler.ServeHTTP(recorder, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}
