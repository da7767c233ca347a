package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Unusable input ends with the code for input and a line that names it, and writes nothing.
func TestAccountInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	is.New(t).NoErr(os.WriteFile(file, []byte(logs), 0o600))
	empty := filepath.Join(t.TempDir(), "empty")
	is.New(t).NoErr(os.WriteFile(empty, nil, 0o600))
	tests := map[string]struct {
		command AccountCmd
		code    int
		want    string
	}{
		"valid":         {AccountCmd{Files: []string{empty, file}, Interval: time.Second}, ExitDone, "By route"},
		"missing":       {AccountCmd{Files: []string{file + "x"}, Interval: time.Second}, ExitInput, "logx"},
		"no requests":   {AccountCmd{Files: []string{empty}, Interval: time.Second}, ExitInput, "no request line"},
		"no interval":   {AccountCmd{Files: []string{file}}, ExitInput, "interval"},
		"other service": {AccountCmd{Files: []string{file}, Interval: time.Second, Service: "mail"}, ExitInput, "mail"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			err := test.command.run(&out)
			is.Equal(ExitCode(err), test.code)
			if err != nil {
				is.Equal(out.Len(), 0)
				out.WriteString(err.Error())
			}
			is.True(strings.Contains(out.String(), test.want))
		})
	}
}
