package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"example.org/mustardring/internal/admin"
)

// errStatus is returned if a request to the operator address of an instance fails.
var errStatus = errors.New("cmds: no answer from the instance")

// statusTimeout is the time limit of a request to an instance.
const statusTimeout = 5 * time.Second

// operatorFlags are the flags of requests to the operator address of an instance.
type operatorFlags struct {
	Address string `required:"" help:"Operator address of an entry instance, as IP:PORT."`
	Token   string `required:"" env:"MUSTARDRING_TOKEN" help:"Operator token."`
}

// StatusCmd shows the status of an instance.
type StatusCmd struct {
	operatorFlags
}

// Run prints the status as JSON.
func (c *StatusCmd) Run() error {
	return c.show(admin.PathStatus)
}

// AssignmentsCmd shows the assignments recorded in the log.
type AssignmentsCmd struct {
	operatorFlags
}

// Run prints the assignments as JSON.
func (c *AssignmentsCmd) Run() error {
	return c.show(admin.PathAssignments)
}

// OwnerCmd shows who owns a key.
type OwnerCmd struct {
	operatorFlags
	Service string `arg:"" help:"Service."`
	Key     string `arg:"" help:"Key."`
}

// Run prints the owner as JSON.
func (c *OwnerCmd) Run() error {
	query := url.Values{"service": {c.Service}, "key": {c.Key}}
	return c.show(admin.PathOwner + "?" + query.Encode())
}

// show requests a path from the instance and copies the response to standard output.
func (o *operatorFlags) show(path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errStatus, err)
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", errStatus, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return fmt.Errorf("%w: %w", errStatus, err)
	}
	fmt.Println()
	return nil
}
