// Package listcl is the client of the platform's list of live and leaving instances and
// servers. The list lags: it shows a past state, so an entry may already be outdated.
package listcl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Paths of the list service. GET ListPath returns a List; the other paths take a POST of an Instance.
const (
	ListPath     = "/instances"
	RegisterPath = "/instances/register"
	LeavePath    = "/instances/leave"
	GonePath     = "/instances/gone"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 16 << 20

// ErrUnavailable is wrapped by every error of a Client: the list could not be read or changed.
var ErrUnavailable = errors.New("listcl: instance list unavailable")

// List holds the instances and servers that the platform considers live or leaving.
type List struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"servers"`
}

// Instance is a listed instance, which is one process of this system.
type Instance struct {
	Name           string `json:"name"`
	Domain         string `json:"domain"`
	PeerAddress    string `json:"peer-address"`
	ForwardAddress string `json:"forward-address"`
	Incarnation    uint64 `json:"incarnation"`
	Leaving        bool   `json:"leaving,omitempty"`
}

// Server is a listed backend server.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Client calls the list service with JSON over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the list service at baseURL, such as "http://127.0.0.1:7001".
func New(baseURL string, client *http.Client) *Client {
	return &Client{base: baseURL, http: client}
}

// List fetches the list as the platform shows it now, which may lag behind recent changes.
func (c *Client) List(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+ListPath, nil)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list, nil
}

// Register reports that an instance is live.
func (c *Client) Register(ctx context.Context, i Instance) error {
	return c.post(ctx, RegisterPath, i)
}

// Leave reports that an instance is leaving. The platform keeps it on the list, marked as leaving.
func (c *Client) Leave(ctx context.Context, i Instance) error {
	return c.post(ctx, LeavePath, i)
}

// ReportEnded reports that the process of an instance has certainly ended.
func (c *Client) ReportEnded(ctx context.Context, i Instance) error {
	return c.post(ctx, GonePath, i)
}

func (c *Client) post(ctx context.Context, path string, i Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	return nil
}
