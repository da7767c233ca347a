package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"example.org/mustardring/internal/admin"
)

// watchInterval is the time between two requests for the status of an instance.
const watchInterval = 200 * time.Millisecond

// bundleWatchFlags are the flags for following the progress of a roll at an instance.
type bundleWatchFlags struct {
	Watch string `help:"Operator address of an instance, as IP:PORT, to follow the roll through the domains."`
	Token string `env:"MUSTARDRING_TOKEN" help:"Operator token for --watch."`
}

// watch prints a line for each domain once all its instances serve the version, until all domains
// that the instance knows of do, or the context ends. Failed requests are retried.
func (b bundleWatchFlags) watch(ctx context.Context, out io.Writer, version uint64) error {
	if b.Watch == "" {
		return nil
	}
	done := make(map[string]bool)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		status, err := b.fetchStatus(ctx)
		if err == nil {
			text, complete := reportProgress(status, version, done)
			if err := write(out, text); err != nil || complete {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return &CommandError{Code: ExitUncertain, Err: fmt.Errorf("%w: version %d is not in force in all domains yet", errStatus, version)}
		case <-ticker.C:
		}
	}
}

// reportProgress returns a line for each domain that serves the version and is not in done, adds
// these to done, and reports whether all domains serve it.
func reportProgress(s admin.Status, version uint64, done map[string]bool) (text string, complete bool) {
	complete = len(s.Domains) > 0
	for _, d := range s.Domains {
		switch {
		case d.Lowest < version:
			complete = false
		case !done[d.Domain]:
			done[d.Domain] = true
			text += fmt.Sprintf("version %d in force at %s\n", version, d.Domain)
		}
	}
	return text, complete
}

// fetchStatus requests the status of the instance. Its errors wrap errStatus.
func (b bundleWatchFlags) fetchStatus(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Watch+admin.PathStatus, nil)
	if err != nil {
		return status, fmt.Errorf("%w: %w", errStatus, err)
	}
	req.Header.Set("Authorization", "Bearer "+b.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("%w: %w", errStatus, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("%w: %w", errStatus, err)
	}
	return status, nil
}
