package event

import (
	"bytes"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// Guards against a format of written lines that cannot be read back.
func TestWrittenLinesAreRead(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	out.WriteString("no event\nfront-1 ")
	l := New(&out, log.InfoLevel)
	pairs := []any{"took", 1500 * time.Microsecond, "server", "", "path", `/a "b" \`, "returning", true}
	l.write(line{log.WarnLevel, "request", pairs, time.Time{}})
	l.flush()
	fields := map[string]string{}
	for text, err := range Lines(&out) {
		is.NoErr(err)
		ParseFields(text, fields)
	}
	_, err := time.Parse(time.RFC3339, fields["time"])
	is.NoErr(err)
	is.Equal(fields["msg"], "request")
	is.Equal(fields["took"], "1.5ms")
	is.Equal(fields["server"], "")
	is.Equal(fields["path"], `/a \"b\" \\`)
	is.Equal(fields["returning"], "true")
	is.Equal(fields["decided"], "00:00:00.000")
}

// A value that ends in an escaped backslash does not swallow the fields after it.
func TestParseFields(t *testing.T) {
	tests := map[string]struct{ line, field, want string }{
		"plain":             {`time=1 key=7 server= why=x`, "why", "x"},
		"empty":             {`time=1 server= why=x`, "server", ""},
		"quoted":            {`time=1 error="a b=c" why=x`, "error", "a b=c"},
		"escaped quote":     {`time=1 error="a \"b\" c" why=x`, "why", "x"},
		"escaped backslash": {`time=1 path="/a\\" why=x`, "why", "x"},
		"cut off":           {`time=1 why=x error="a`, "error", "a"},
		"cut in an escape":  {`time=1 why=x error="a\`, "error", `a\`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fields := map[string]string{}
			ParseFields(test.line, fields)
			is.New(t).Equal(fields[test.field], test.want)
		})
	}
}
