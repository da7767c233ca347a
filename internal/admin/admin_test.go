package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

type source struct {
	ready bool
}

func (source) Status() Status { return Status{Instance: "klet-1"} }

func (source) Owner(service, key string) (Ownership, bool) {
	return Ownership{Service: service, Key: key}, service == "pregled"
}

func (source) Assignments() []Assignment { return nil }

func (s source) Ready() bool { return s.ready }

func TestPaths(t *testing.T) {
	tests := map[string]struct {
		path          string
		authorization string
		ready         bool
		want          int
	}{
		"status":             {path: PathStatus, authorization: "Bearer secret", want: http.StatusOK},
		"status, no token":   {path: PathStatus, want: http.StatusUnauthorized},
		"status, other":      {path: PathStatus, authorization: "Bearer secres", want: http.StatusUnauthorized},
		"metrics, no token":  {path: PathMetrics, want: http.StatusUnauthorized},
		"metrics":            {path: PathMetrics, authorization: "Bearer secret", want: http.StatusOK},
		"assignments, other": {path: PathAssignments, authorization: "secre", want: http.StatusUnauthorized},
		"owner":              {path: PathOwner + "?service=pregled&key=k", authorization: "Bearer secret", want: http.StatusOK},
		"owner, no service":  {path: PathOwner + "?service=x&key=k", authorization: "Bearer secret", want: http.StatusNotFound},
		"owner, no token":    {path: PathOwner + "?service=pregled&key=k", want: http.StatusUnauthorized},
		"ready":              {path: PathReady, ready: true, want: http.StatusOK},
		"not ready":          {path: PathReady, want: http.StatusServiceUnavailable},
		"unknown":            {path: "/other", authorization: "Bearer secret", want: http.StatusNotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler, err := New("secret", source{ready: tt.ready})
			is.NoErr(err)
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			if tt.authorization != "" {
				r.Header.Set("Authorization", tt.authorization)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			is.Equal(w.Code, tt.want)
		})
	}
}
