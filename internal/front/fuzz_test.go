package front

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"example.org/mustardring/pkg/caller"
)

// FuzzParse gives the headers of callers and instances any text. A request that is taken
// keeps within the bounds, whatever it says.
func FuzzParse(f *testing.F) {
	f.Add("volume-7", "evening", "1767225600000", "true", "2", "1", "00112233445566778899aabbccddeeff", "/oddaja/x", true)
	f.Add("", "", "", "", "", "", "", "/oddaja", false)
	f.Add(strings.Repeat("k", 2000), strings.Repeat("i", 200), "-1", "yes", "256", "0", "zz", "//", true)
	f.Add("k", "i", "9223372036854775807", "TRUE", "+1", "1e3", "", "/a%2Fb/%", false)
	front, err := New(Deps{Instance: "one", Domain: "klet", Finder: &finder{}, ForwardTransport: http.DefaultTransport})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, key, id, deadline, idempotent, hops, attempt, sending, path string, instance bool) {
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: path}, Header: http.Header{}, RemoteAddr: "127.0.0.1:9"}
		for name, value := range map[string]string{
			caller.HeaderKey: key, caller.HeaderRequestID: id, caller.HeaderDeadline: deadline,
			caller.HeaderIdempotent: idempotent, caller.HeaderHops: hops, caller.HeaderAttempt: attempt,
			caller.HeaderSending: sending,
		} {
			if value != "" {
				r.Header[name] = []string{value}
			}
		}
		from := fromCaller
		if instance {
			from = fromInstance
		}
		q, err := front.parse(r, from)
		if q == nil || q.id == "" || len(q.id) > maxID {
			t.Fatalf("no usable id: %+v", q)
		}
		if err != nil {
			return
		}
		if len(q.key) > maxKey || q.hops < 0 || q.attempt < 0 || q.hops > 255 {
			t.Fatalf("out of bounds: %+v", q)
		}
		if instance && q.hops == 0 || !instance && (q.hops != 0 || q.witness != "") {
			t.Fatalf("%d hops of a request from %v", q.hops, from)
		}
		if q.once() && q.sending.IsZero() && !instance {
			t.Fatal("no sending")
		}
		service := testService()
		front.bound(q, service)
		limit := time.Duration(service.Limits.RequestMillis) * time.Millisecond
		if left := q.deadline.Until(front.now()); left > limit {
			t.Fatalf("deadline in %v", left)
		}
	})
}

// FuzzPath gives the path any text. The server must get what follows the service, with the same
// meaning.
func FuzzPath(f *testing.F) {
	for _, path := range []string{"/oddaja/x", "/oddaja", "/", "//x", "/a%2Fb/c%20d", "/oddaja/../x", "/oddaja/%zz"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if !strings.HasPrefix(path, "/") {
			path = "/" + path
		}
		service, rest := splitPath(path)
		if strings.Contains(service, "/") || !strings.HasPrefix(rest, "/") {
			t.Fatalf("%q and %q", service, rest)
		}
		var u url.URL
		setPath(&u, rest)
		want, err := url.PathUnescape(rest)
		if err != nil {
			want = rest
		}
		if got, err := url.PathUnescape(u.EscapedPath()); err != nil || got != want {
			t.Fatalf("%q becomes %q", rest, u.EscapedPath())
		}
	})
}
