package logcl_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// direct calls a handler without sockets. An aborted handler is a broken connection.
type direct struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, errors.New("connection broken")
		}
	}()
	d.handler.ServeHTTP(recorder, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}
