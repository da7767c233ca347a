package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"example.org/mustardring/pkg/caller"
)

// AskCmd sends one request as a caller and shows its outcome.
type AskCmd struct {
	Address string        `required:"" help:"Caller address of an entry instance, as IP:PORT."`
	Service string        `arg:"" help:"Service."`
	Key     string        `arg:"" optional:"" help:"Key of the request, for a service divided by key."`
	Method  string        `default:"GET" help:"HTTP method."`
	Path    string        `default:"/" help:"Path of the request at the server."`
	ID      string        `help:"Request id, for a request that must not run twice."`
	Body    string        `help:"Body of the request."`
	Limit   time.Duration `default:"10s" help:"How long to wait for the response."`
}

// Run prints the status, outcome, server and body of the response. It fails unless the outcome says
// that the request ran.
func (c *AskCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Limit)
	defer cancel()
	url := "http://" + c.Address + "/" + c.Service + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, strings.NewReader(c.Body))
	if err != nil {
		return badInput("%w", err)
	}
	req.Header.Set(caller.HeaderKey, c.Key)
	if c.ID != "" {
		req.Header.Set(caller.HeaderRequestID, c.ID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return failed("sending the request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed("reading the response body: %w", err)
	}
	outcome := resp.Header.Get(caller.HeaderOutcome)
	text := fmt.Sprintf("status=%d outcome=%s server=%s\n%s\n", resp.StatusCode, outcome, resp.Header.Get(caller.HeaderServer), body)
	if err := write(os.Stdout, text); err != nil {
		return err
	}
	if outcome != string(caller.Ran) {
		return failed("the request is not known to have run: outcome %s", outcome)
	}
	return nil
}
