// Command mustardring routes requests to the servers that own their keys. It also has the commands
// for operating and testing such a system.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/cmds"
)

// version is set by the linker for a release.
var version = "development"

// program has the flags and commands of the command line.
type program struct {
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Minimum level of logged events."`

	Run         cmds.RunCmd         `cmd:"" help:"Run an entry instance."`
	Serve       cmds.ServeCmd       `cmd:"" help:"Run an instance on the users' platform."`
	Explain     cmds.ExplainCmd     `cmd:"" help:"Show the lines about one request from the logs of instances."`
	Account     cmds.AccountCmd     `cmd:"" help:"Show who was rejected and why from the logs of instances."`
	Bounds      cmds.BoundsCmd      `cmd:"" help:"Show the largest share of requests that any router could serve under overload."`
	StandIn     cmds.StandInCmd     `cmd:"" name:"stand-in" help:"Run stand-ins of the platform and of backend servers."`
	Load        cmds.LoadCmd        `cmd:"" help:"Send load to instances on this machine and check the responses."`
	Ask         cmds.AskCmd         `cmd:"" help:"Send one request and show its outcome."`
	Status      cmds.StatusCmd      `cmd:"" help:"Show the status of an instance."`
	Owner       cmds.OwnerCmd       `cmd:"" help:"Show who owns a key."`
	Assignments cmds.AssignmentsCmd `cmd:"" help:"Show the recorded assignments."`
	Replay      cmds.ReplayCmd      `cmd:"" help:"Replay a trace with the placer and with naive placements, or generate one."`
	Bundle      cmds.BundleCmd      `cmd:"" help:"Publish, approve and roll bundles."`
	Certs       cmds.CertsCmd       `cmd:"" help:"Generate certificates for instances."`
	Version     versionCmd          `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("mustardring", version)
	return nil
}

func main() {
	os.Exit(run())
}

func run() int {
	var p program
	ctx := kong.Parse(&p, kong.Name("mustardring"), kong.Description("Route requests to the servers that own their keys."))
	logger, err := newLogger(p.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cmds.ExitInput
	}
	err = ctx.Run(logger)
	code := cmds.ExitCode(err)
	switch code {
	case cmds.ExitDone:
	case cmds.ExitInput:
		fmt.Fprintln(os.Stderr, err)
	default:
		logger.Error("failed", "error", err)
	}
	return code
}

func newLogger(level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	}), nil
}
