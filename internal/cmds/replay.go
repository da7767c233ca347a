package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/replay"
)

// ErrReplay is returned when the arguments of the replay command do not fit together.
var ErrReplay = errors.New("replay")

// ReplayCmd plays a recorded trace to the placer and to naive placements in one run and
// reports imbalance, churn and unavailable time, or makes a trace from a recipe.
type ReplayCmd struct {
	Trace      string `arg:"" optional:"" help:"Trace of JSON lines to play." type:"path"`
	Output     string `default:"table" enum:"table,json" help:"Form of the report: table or json."`
	Plot       string `help:"PNG file for the course of imbalance and churn." type:"path"`
	Recipe     string `help:"Make a trace by this recipe instead; 'list' shows all."`
	Deployment string `default:"rokopisna" enum:"rokopisna,uva" help:"Deployment that a recipe is made for."`
	Seed       uint64 `default:"1" help:"Seed of the recipe."`
	Write      string `help:"File that the trace of a recipe is written to; without it the trace is played at once." type:"path"`
}

// Run makes or plays a trace.
func (c *ReplayCmd) Run(logger *log.Logger) error {
	if c.Recipe == "list" {
		return listRecipes()
	}
	trace, err := c.trace()
	if err != nil {
		return err
	}
	if c.Write != "" {
		return c.write(trace)
	}
	report, err := replay.Run(trace, replay.DefaultMethods())
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return err
		}
		logger.Info("plot-written", "file", c.Plot)
	}
	if c.Output == "json" {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}

// trace returns the trace that the arguments name.
func (c *ReplayCmd) trace() ([]replay.TimedEvent, error) {
	switch {
	case c.Recipe != "" && c.Trace != "":
		return nil, fmt.Errorf("%w: name either a trace or a recipe", ErrReplay)
	case c.Recipe != "":
		return replay.Generate(c.Recipe, c.Deployment, c.Seed)
	case c.Trace == "":
		return nil, fmt.Errorf("%w: name a trace or a recipe", ErrReplay)
	case c.Write != "":
		return nil, fmt.Errorf("%w: only the trace of a recipe can be written", ErrReplay)
	}
	file, err := os.Open(c.Trace)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrReplay, err)
	}
	defer file.Close()
	return replay.Read(file)
}

// write writes a trace to the file asked for.
func (c *ReplayCmd) write(trace []replay.TimedEvent) error {
	file, err := os.Create(c.Write)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReplay, err)
	}
	if err := replay.Write(file, trace); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// listRecipes shows what recipes there are.
func listRecipes() error {
	for _, r := range replay.Recipes() {
		if _, err := fmt.Printf("%s %v\n    %s\n", r.Name, r.Deployments, r.Description); err != nil {
			return err
		}
	}
	return nil
}
