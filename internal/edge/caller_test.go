package edge

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a caller that gains by leaving out what identifies it: caller 0 stands for as many callers as are known. Two
// callers without an identity must not be taken for one that sends a request again.
func TestHiddenIdentityIsOneCaller(t *testing.T) {
	tests := map[string]struct {
		identity Identity
		address  string
		header   string
		want     uint32
	}{
		"no identity is wanted": {AnyCaller{}, "127.0.0.1:80", "a", anyCaller},
		"not stated":            {nil, "127.0.0.1:80", "a", anyCaller},
		"no header":             {CallerHeader{"X-Caller"}, "127.0.0.1:80", "", unidentified},
		"header":                {CallerHeader{"X-Caller"}, "127.0.0.1:80", "a", 2844552795},
		"no address":            {CallerAddress{}, "", "a", unidentified},
		"no host":               {CallerAddress{}, ":80", "a", unidentified},
		"address":               {CallerAddress{}, "127.0.0.1:80", "", 3747985319},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &http.Request{RemoteAddr: test.address, Header: http.Header{"X-Caller": {test.header}}}
			caller := callerOf(test.identity, r)
			is.Equal(caller, test.want) // the same at all instances
			is.Equal(originOf(caller, 1, 2) != 0, test.want > unidentified)
		})
	}
}
