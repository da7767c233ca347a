package cmds

import (
	"io"
	"os"

	"example.org/mustardring/internal/bound"
	"example.org/mustardring/internal/config"
)

// BoundsCmd prints theoretical bounds of what can be served under overload.
type BoundsCmd struct {
	Sheet string `required:"" help:"JSON sheet of services and disruptions." type:"path"`
}

// Run prints the bounds as text.
func (c *BoundsCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BoundsCmd) run(w io.Writer) error {
	sheet, err := config.Load[bound.Sheet](c.Sheet)
	if err != nil {
		return err
	}
	return bound.Compute(sheet).WriteText(w)
}
