package cmds

import (
	"io"
	"os"
	"time"

	"example.org/mustardring/internal/acct"
)

// AccountCmd prints who was rejected and why, from the logs of instances.
type AccountCmd struct {
	Files    []string      `arg:"" help:"Logs of instances." type:"existingfile"`
	Interval time.Duration `default:"1s" help:"Length of the intervals of the table over time."`
	Service  string        `help:"Service of the table over time, the one with most rejections by default."`
}

// Run prints the account as text.
func (c *AccountCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *AccountCmd) run(w io.Writer) error {
	if c.Interval <= 0 {
		return badInput("interval %s, expected more than zero", c.Interval)
	}
	a := acct.New(c.Interval, c.Service)
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return badInput("logs: %w", err)
		}
		err = a.Read(f)
		f.Close()
		if err != nil {
			return badInput("logs: %s: %w", name, err)
		}
	}
	if err := a.Check(); err != nil {
		return badInput("logs: %w", err)
	}
	return a.WriteText(w)
}
