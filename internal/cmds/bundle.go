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
	// ExitDone means that the command succeeded, now or in an earlier call.
	ExitDone = 0
	// ExitFailed means that the command was rejected or failed permanently.
	ExitFailed = 1
	// ExitInput means that a file, key or flag is invalid. Nothing was appended to the log.
	ExitInput = 2
	// ExitUncertain means that the command ended without knowing its outcome: the log did not
	// answer, so that the record may have been appended or not, or a watched roll did not reach all
	// domains in time. Repeating the same command is safe.
	ExitUncertain = 3
)

// BundleCmd is the group of commands with which operators write, publish and put in force bundles.
type BundleCmd struct {
	Init    BundleInitCmd    `cmd:"" help:"Write the first version of a bundle, or the next one."`
	Check   BundleCheckCmd   `cmd:"" help:"Check a bundle file for problems."`
	Diff    BundleDiffCmd    `cmd:"" help:"Show the changes between two versions."`
	Plan    BundlePlanCmd    `cmd:"" help:"Show how many keys a version moves, and where to."`
	Keygen  BundleKeygenCmd  `cmd:"" help:"Generate a signer's key."`
	Publish BundlePublishCmd `cmd:"" help:"Sign a bundle as its publisher and append it to the log."`
	Approve BundleApproveCmd `cmd:"" help:"Approve a published version."`
	Roll    BundleRollCmd    `cmd:"" help:"Put an approved version in force."`
	Status  BundleStatusCmd  `cmd:"" help:"Show the version in force and the pending ones."`
	History BundleHistoryCmd `cmd:"" help:"Show each bundle record in the log and its verdict."`
}

// CommandError is an error with the exit code that reports it.
type CommandError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *CommandError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error {
	return e.Err
}

// ExitCode returns the exit code for the error of a command, which may be nil. It is ExitInput for
// faults in a settings file and ExitFailed for errors without a code of their own.
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

// badInput returns an error with the code ExitInput.
func badInput(format string, args ...any) error {
	return &CommandError{Code: ExitInput, Err: fmt.Errorf("cmds: "+format, args...)}
}

// failed returns an error with the code ExitFailed.
func failed(format string, args ...any) error {
	return &CommandError{Code: ExitFailed, Err: fmt.Errorf("cmds: "+format, args...)}
}

// bundleOutput has the flag for the format in which a command prints its result.
type bundleOutput struct {
	Output string `default:"text" enum:"text,json" help:"Format of the result: text or json."`
}

// textResult is the result of a command. It is printed as text for people, or encoded as JSON for
// programs.
type textResult interface {
	writeText(w *strings.Builder)
}

// show prints a result in the selected format.
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

// bundleLogFlags are the flags of commands that use the log: its URL, the trust anchors and a time
// limit.
type bundleLogFlags struct {
	Log   string        `required:"" help:"Base URL of the platform's log, as http://IP:PORT."`
	Roots string        `required:"" type:"path" help:"JSON file with the signers whose first bundle is trusted."`
	Wait  time.Duration `default:"30s" help:"How long to retry while the log does not answer."`
}

// withLog calls run with the log that the flags name and with standard output. The context ends
// after f.Wait.
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
		return nil, badInput("%s: %w, expected a JSON array of signers", file, err)
	}
	return signers, nil
}

// readBundle reads and parses a bundle file. It doesn't check the bundle for problems; see package
// check.
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
