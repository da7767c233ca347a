package grant

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestHandler(t *testing.T) {
	exchange, err := json.Marshal(exchangeOf(newer, grantOf(newer, 1, 1050, low)))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		method string
		body   string
		want   int
	}{
		"exchange":  {method: http.MethodPost, body: string(exchange), want: http.StatusOK},
		"get":       {method: http.MethodGet, want: http.StatusMethodNotAllowed},
		"malformed": {method: http.MethodPost, body: "{", want: http.StatusBadRequest},
		"too long":  {method: http.MethodPost, body: `{"service":"` + strings.Repeat("a", maxExchangeBytes) + `"}`, want: http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHandler(newTestHolder(&clock{now: 1000}))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(tt.method, ExchangePath, strings.NewReader(tt.body)))
			is.Equal(w.Code, tt.want)
			if tt.want != http.StatusOK {
				return
			}
			var a Answer
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
			is.Equal(a.Refusal, RefusalNone)
			is.Equal(a.Deadline, Instant(1050))
		})
	}
}
