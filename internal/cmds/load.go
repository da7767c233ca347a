package cmds

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/load"
)

// LoadCmd sends load to entry instances on this machine and checks the responses.
type LoadCmd struct {
	Profile string `required:"" help:"JSON file that describes the load." type:"path"`
	Output  string `default:"table" enum:"table,json" help:"Format of the report."`
	Plot    string `help:"Image file (.png, .svg) for the latencies by percentile." type:"path"`
}

// Run sends the load and prints the report. It fails if a guarantee to callers was broken.
func (c *LoadCmd) Run(logger *log.Logger) error {
	profile, err := config.Load[load.Profile](c.Profile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger.Info("load-starting", "rate", profile.Rate, "entries", len(profile.Entries), "duration-ms", profile.DurationMillis)
	report, loadErr := load.Run(ctx, &profile)
	if err := c.write(report); err != nil {
		return err
	}
	return loadErr
}

// write writes the plot, if one is asked for, and the report to standard output.
func (c *LoadCmd) write(report *load.Report) error {
	if c.Plot != "" {
		if err := report.WritePlot(c.Plot); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(report)
	}
	return report.WriteTable(os.Stdout)
}
