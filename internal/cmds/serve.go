package cmds

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/config"
	eventlog "example.org/mustardring/internal/event"
	"example.org/mustardring/internal/node"
	"example.org/mustardring/platform"
)

// ServeCmd runs an instance on the users' platform.
type ServeCmd struct {
	Settings string `help:"JSON file with the settings of the instance; by default the one that the platform names." type:"path"`
}

// memoryShare is the part of the instance's memory that the garbage collector aims to stay
// below. The rest is for stacks, buffers of the kernel and what is not yet collected.
const memoryShare = 0.6

// Run serves until the process is told to stop, and then stops gracefully.
func (c *ServeCmd) Run(logger *log.Logger) error {
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	settings, err := config.Load[config.Serve](file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	events := eventlog.New(os.Stdout, logger.GetLevel())
	n, err := node.New(settings, platform.New(settings.StoreAddress), events)
	if err != nil {
		return err
	}
	return n.Run(context.Background())
}
