// Package cmds implements the commands of the program mustardring.
package cmds

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/stubs"
)

// StandInCmd runs stand-ins for the platform's log and instance list and for backend servers, for
// tests and trials.
type StandInCmd struct {
	Settings string `required:"" help:"JSON file that names the stand-ins." type:"path"`
}

// Run serves until the process gets SIGINT or SIGTERM.
func (c *StandInCmd) Run(logger *log.Logger) error {
	settings, err := config.Load[stubs.Settings](c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger.Info("stand-in-starting", "servers", len(settings.Servers), "log", settings.Log != nil, "list", settings.List != nil)
	return stubs.New(settings).Run(ctx)
}
