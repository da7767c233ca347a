package logcl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"example.org/mustardring/internal/record"
)

// The bounds of one call.
const (
	// pollWait bounds how long the service holds back an empty answer to a read.
	pollWait = 2 * time.Second
	// maxAnswer bounds the bytes taken from one answer.
	maxAnswer = 64 << 20
)

// Client is the Log that speaks HTTP and JSON to the service.
type Client struct {
	base string
	http *http.Client
}

var _ Log = (*Client)(nil)

// New returns a Client of the service at a base URL such as "http://127.0.0.1:7000".
func New(baseURL string, client *http.Client) *Client {
	return &Client{base: baseURL, http: client}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	body, err := json.Marshal(AppendRequest{ID: id, Data: data})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+AppendPath, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", sendError(err), err)
	}
	defer resp.Body.Close()
	return appendAnswer(resp)
}

// sendError tells a connection that was never made, over which no append can have left,
// from one that broke with the append under way, after which the log may hold the record.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUncertain
}

func appendAnswer(resp *http.Response) (uint64, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: %s", ErrRateLimited, resp.Status)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	case resp.StatusCode < http.StatusInternalServerError:
		return 0, fmt.Errorf("%w: %s", ErrRefused, resp.Status)
	default:
		return 0, fmt.Errorf("%w: %s", ErrUncertain, resp.Status)
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&answer); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	if answer.Offset == nil {
		return 0, fmt.Errorf("%w: answer without an offset", ErrUncertain)
	}
	return *answer.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int) (Batch, error) {
	query := url.Values{
		QueryFrom:      {strconv.FormatUint(from, 10)},
		QueryLimit:     {strconv.Itoa(limit)},
		QueryWaitUntil: {strconv.FormatInt(waitUntil(ctx).UnixMilli(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+ReadPath+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// waitUntil leaves an eighth of the time before the deadline of ctx for the answer's way.
func waitUntil(ctx context.Context) time.Time {
	now := time.Now()
	until := now.Add(pollWait)
	deadline, ok := ctx.Deadline()
	if !ok {
		return until
	}
	if bound := now.Add(deadline.Sub(now) * 7 / 8); bound.Before(until) {
		return bound
	}
	return until
}

func readAnswer(resp *http.Response) (Batch, error) {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Batch{}, fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	var answer struct {
		Entries  []record.Entry `json:"entries"`
		Oldest   *uint64        `json:"oldest"`
		Next     *uint64        `json:"next"`
		Identity string         `json:"identity"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&answer); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// Something else than the log may answer at its address, such as an error page of a
	// balancer. Taken for a batch, it would look like an empty log and reset the reader.
	if answer.Oldest == nil || answer.Next == nil {
		return Batch{}, fmt.Errorf("%w: answer without oldest and next", ErrUnavailable)
	}
	batch := Batch{Entries: answer.Entries, Oldest: *answer.Oldest, Next: *answer.Next, Identity: answer.Identity}
	if !batch.isSound() {
		return Batch{}, fmt.Errorf("%w: answer with entries out of place", ErrUnavailable)
	}
	if resp.StatusCode == http.StatusGone {
		return batch, ErrGap
	}
	return batch, nil
}

// isSound reports whether the entries follow each other within what the log keeps.
func (b *Batch) isSound() bool {
	if b.Oldest > b.Next {
		return false
	}
	for i, e := range b.Entries {
		if e.Offset < b.Oldest || e.Offset >= b.Next || i > 0 && e.Offset != b.Entries[i-1].Offset+1 {
			return false
		}
	}
	return true
}
