package edge

import (
	"net/http"
	"net/url"
	"strings"
)

// targetOf returns the URL whose request target is that of a request as it was received, byte for byte. URL.RequestURI alone
// escapes characters such as "|", which changes the target. It returns false if net/http can't write the target unchanged.
func targetOf(r *http.Request) (*url.URL, bool) {
	parsed := r.URL.RequestURI()
	switch {
	case r.RequestURI == "" || r.RequestURI == parsed:
		return r.URL, true
	case !strings.HasPrefix(r.RequestURI, "/"):
		// The absolute form names the host as well, which is sent as a header.
		return r.URL, strings.HasSuffix(r.RequestURI, parsed) || r.URL.Path == ""
	}
	path, query, found := strings.Cut(r.RequestURI, "?")
	u := &url.URL{Opaque: path, RawQuery: query, ForceQuery: found}
	return u, u.RequestURI() == r.RequestURI
}
