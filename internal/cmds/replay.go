package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/replay"
)

// ErrReplay is returned if the arguments of the replay command don't fit together or the trace file
// can't be opened or created.
var ErrReplay = errors.New("replay")

// ReplayCmd replays a recorded trace with the placer and with naive placement methods and reports
// imbalance, churn and unavailable time of each. It can also generate a trace from a recipe.
type ReplayCmd struct {
	Trace      string `arg:"" optional:"" help:"Trace to replay, a file of JSON lines." type:"path"`
	Output     string `default:"table" enum:"table,json" help:"Format of the report: table or json."`
	Plot       string `help:"PNG file for a plot of imbalance and churn over time." type:"path"`
	Recipe     string `help:"Generate a trace from this recipe instead; 'list' shows all recipes."`
	Deployment string `default:"rokopisna" enum:"rokopisna,uva" help:"Deployment that the recipe generates a trace of."`
	Seed       uint64 `default:"1" help:"Seed of the recipe."`
	Write      string `help:"File to write the trace of a recipe to; without it the trace is replayed." type:"path"`
}

// Run lists the recipes, writes the trace of a recipe, or replays a trace and prints the report.
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

// trace reads the trace file or generates the trace of the recipe, whichever is given.
func (c *ReplayCmd) trace() ([]replay.TimedEvent, error) {
	switch {
	case c.Recipe != "" && c.Trace != "":
		return nil, fmt.Errorf("%w: give either a trace or a recipe, not both", ErrReplay)
	case c.Recipe != "":
		return replay.Generate(c.Recipe, c.Deployment, c.Seed)
	case c.Trace == "":
		return nil, fmt.Errorf("%w: give a trace or a recipe", ErrReplay)
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

// write writes a trace to the file that Write names.
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

// listRecipes prints the name, deployments and description of each recipe.
func listRecipes() error {
	for _, r := range replay.Recipes() {
		if _, err := fmt.Printf("%s %v\n    %s\n", r.Name, r.Deployments, r.Description); err != nil {
			return err
		}
	}
	return nil
}
