package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/pkg/bundle"
)

// Exit codes of the program.
const (
	// ExitDone says that the command did, or had done before, what it was asked for.
	ExitDone = 0
	// ExitFailed says that it was refused, or failed for good.
	ExitFailed = 1
	// ExitInput says that a file, key or flag is of no use. Nothing was appended.
	ExitInput = 2
	// ExitUncertain says that the log did not answer: the record may stand in it or not. The
	// same command may be given again.
	ExitUncertain = 3
)

// BundleCmd is the group of commands by which operators drive the system.
type BundleCmd struct {
	Init    BundleInitCmd    `cmd:"" help:"Write the first version of a bundle, or the next one."`
	Check   BundleCheckCmd   `cmd:"" help:"Examine a bundle file."`
	Diff    BundleDiffCmd    `cmd:"" help:"Say in words what changes between two versions."`
	Plan    BundlePlanCmd    `cmd:"" help:"Say how many keys move, and where to."`
	Keygen  BundleKeygenCmd  `cmd:"" help:"Make a signer's key."`
	Publish BundlePublishCmd `cmd:"" help:"Sign a bundle as its publisher and append it to the log."`
	Approve BundleApproveCmd `cmd:"" help:"Approve a published version."`
	Roll    BundleRollCmd    `cmd:"" help:"Put an approved version in force."`
	Status  BundleStatusCmd  `cmd:"" help:"Show the version in force and those that wait."`
	History BundleHistoryCmd `cmd:"" help:"Show what became of each bundle record in the log."`
}

// CommandError is an error with the exit code that tells it.
type CommandError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *CommandError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error {
	return e.Err
}

// ExitCode returns the exit code for the error of a command, or for nil.
func ExitCode(err error) int {
	var command *CommandError
	var settings *config.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &command):
		return command.Code
	case errors.As(err, &settings):
		return ExitInput
	default:
		return ExitFailed
	}
}

func badInput(format string, args ...any) error {
	return &CommandError{Code: ExitInput, Err: fmt.Errorf("cmds: "+format, args...)}
}

func failed(format string, args ...any) error {
	return &CommandError{Code: ExitFailed, Err: fmt.Errorf("cmds: "+format, args...)}
}

// bundleOutput says how a command prints its result.
type bundleOutput struct {
	Output string `default:"text" enum:"text,json" help:"Form of the result: text or json."`
}

// textResult is a result that people can read. Its JSON form is for programs.
type textResult interface {
	writeText(w *strings.Builder)
}

func (o bundleOutput) show(w io.Writer, result textResult) error {
	if o.Output != "json" {
		var text strings.Builder
		result.writeText(&text)
		return write(w, text.String())
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(result); err != nil {
		return failed("writing the result: %w", err)
	}
	return nil
}

func write(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return failed("writing the result: %w", err)
	}
	return nil
}

// bundleLogFlags name the log and who is trusted at its start.
type bundleLogFlags struct {
	Log   string        `required:"" help:"Base URL of the platform's log, as http://IP:PORT."`
	Roots string        `required:"" type:"path" help:"JSON file with the signers whose first bundle is trusted."`
	Wait  time.Duration `default:"30s" help:"How long to try while the log does not answer."`
}

// withLog runs a command on the log, within the time that its flags allow.
func (f bundleLogFlags) withLog(run func(ctx context.Context, l *bundleLog, out io.Writer) error) error {
	anchors, err := readSigners(f.Roots)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Wait)
	defer cancel()
	return run(ctx, newBundleLog(logcl.New(f.Log, http.DefaultClient), anchors), os.Stdout)
}

func readSigners(file string) ([]bundle.Signer, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	var signers []bundle.Signer
	if err := json.Unmarshal(data, &signers); err != nil {
		return nil, badInput("%s: found %w, expected an array of signers", file, err)
	}
	return signers, nil
}

// readBundle reads a file without examining more than its form.
func readBundle(file string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	b, err := bundle.Parse(data)
	if err != nil {
		return nil, badInput("%s: %w", file, err)
	}
	return b, nil
}
