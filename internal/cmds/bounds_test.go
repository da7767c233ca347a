package cmds

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The bounds of the example are printed, and a fault of a sheet names its file.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr((&BoundsCmd{Sheet: "../bound/testdata/a.json"}).run(&out))
	is.True(strings.Contains(out.String(), "whole time, from 0 s to 60 s"))
	err := (&BoundsCmd{Sheet: "missing.json"}).run(&out)
	is.Equal(ExitCode(err), ExitInput)
	is.True(strings.Contains(err.Error(), "missing.json"))
}
