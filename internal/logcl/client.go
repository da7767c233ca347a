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

// Limits of one call.
const (
	// maxPollWait is the longest time that the service may delay an empty response to a read.
	maxPollWait = 2 * time.Second
	// maxResponseBytes is the largest number of bytes read from one response.
	maxResponseBytes = 64 << 20
)

// Client implements Log with HTTP and JSON.
type Client struct {
	base string
	http *http.Client
}

var _ Log = (*Client)(nil)

// New returns a Client for the service at a base URL such as "http://127.0.0.1:7000".
func New(baseURL string, client *http.Client) *Client {
	return &Client{base: baseURL, http: client}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	body, err := json.Marshal(AppendRequest{ID: id, Data: data})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+AppendPath, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", classifySendError(err), err)
	}
	defer resp.Body.Close()
	return decodeAppendResponse(resp)
}

// classifySendError returns ErrUnavailable if no connection was made, so that the append cannot
// have been sent. For other errors it returns ErrUncertain, because the connection may have
// failed after the log had received the append.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUncertain
}

// decodeAppendResponse returns the offset that the response to an append states, or an error
// that wraps one of Log.
func decodeAppendResponse(resp *http.Response) (uint64, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: %s", ErrRateLimited, resp.Status)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	case resp.StatusCode < http.StatusInternalServerError:
		return 0, fmt.Errorf("%w: %s", ErrRejected, resp.Status)
	default:
		return 0, fmt.Errorf("%w: %s", ErrUncertain, resp.Status)
	}
	var body struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	if body.Offset == nil {
		return 0, fmt.Errorf("%w: response has no offset", ErrUncertain)
	}
	return *body.Offset, nil
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
		return Batch{}, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	return decodeReadResponse(resp)
}

// waitUntil returns the time at which the service is to send an empty response to a read. It
// leaves an eighth of the time until the deadline of ctx for the response to arrive.
func waitUntil(ctx context.Context) time.Time {
	now := time.Now()
	until := now.Add(maxPollWait)
	deadline, ok := ctx.Deadline()
	if !ok {
		return until
	}
	if bound := now.Add(deadline.Sub(now) * 7 / 8); bound.Before(until) {
		return bound
	}
	return until
}

// decodeReadResponse returns the batch of the response to a read, or an error that wraps
// ErrUnavailable or ErrGap.
func decodeReadResponse(resp *http.Response) (Batch, error) {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Batch{}, fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	var body struct {
		Entries  []record.Entry `json:"entries"`
		Oldest   *uint64        `json:"oldest"`
		Next     *uint64        `json:"next"`
		Identity string         `json:"identity"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// The response may not come from the log, but for example be an error page of a load
	// balancer. Without this check it would look like an empty log and reset the reader.
	if body.Oldest == nil || body.Next == nil {
		return Batch{}, fmt.Errorf("%w: response has no oldest or no next offset", ErrUnavailable)
	}
	batch := Batch{Entries: body.Entries, Oldest: *body.Oldest, Next: *body.Next, Identity: body.Identity}
	if !batch.isValid() {
		return Batch{}, fmt.Errorf("%w: response has offsets out of order or out of range", ErrUnavailable)
	}
	if resp.StatusCode == http.StatusGone {
		return batch, ErrGap
	}
	return batch, nil
}

// isValid reports whether the offsets of the entries are consecutive and in [Oldest, Next).
func (b *Batch) isValid() bool {
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
