package cmds

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `time=2026-01-01T00:00:03.000Z level=warn msg=request id=abc status=503 why=no-owner server=s1 key=7
time=2026-01-01T00:00:01.000Z level=info msg=renewal-failed server=s1 failures=2 error="no answer: \"x\" id=abc"
time=2026-01-01T00:00:02.000Z level=info msg=renewal-failed server=s2 failures=2
time=2026-01-01T00:00:00.000Z level=info msg=request id=other status=200 server=s1
time=2026-01-01T00:00:04.000Z level=warn msg=caller-conn why=stopping unwritten=[] unacknowledged="[ab third]" unacked-bytes=900 unread-bytes=70
something else
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	lines, err := readLog(strings.NewReader(logs))
	is.NoErr(err)
	matches := explain(lines, "abc")
	is.Equal(len(matches), 2) // the request, and the earlier event about its server
	is.True(strings.Contains(matches[0], "renewal-failed"))
	is.True(strings.Contains(matches[1], "why=no-owner"))
	is.Equal(len(explain(lines, "missing")), 0)
	is.Equal(len(explain(lines, "third")), 1) // the end of the connection on which its reply may not have arrived
}
