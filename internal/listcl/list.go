// Package listcl is the client of the platform's list of live and leaving instances and
// servers. The list lags: what it shows was so a while ago.
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

// The paths of the service. A List is got from ListPath and an Instance is posted to the others.
const (
	ListPath     = "/instances"
	RegisterPath = "/instances/register"
	LeavePath    = "/instances/leave"
	GonePath     = "/instances/gone"
)

// maxAnswer bounds the bytes taken from one answer.
const maxAnswer = 16 << 20

// ErrUnavailable says that the list could not be read or changed.
var ErrUnavailable = errors.New("listcl: instance list unavailable")

// List is what the platform calls live.
type List struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"servers"`
}

// Instance is a listed entry instance.
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

// Client speaks HTTP and JSON to the list service.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the service at a base URL such as "http://127.0.0.1:7001".
func New(baseURL string, client *http.Client) *Client {
	return &Client{base: baseURL, http: client}
}

// List returns the list as the platform shows it now.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list, nil
}

// Register tells the platform that an instance is live.
func (c *Client) Register(ctx context.Context, i Instance) error {
	return c.post(ctx, RegisterPath, i)
}

// Leave tells the platform that an instance is leaving. It stays listed as such.
func (c *Client) Leave(ctx context.Context, i Instance) error {
	return c.post(ctx, LeavePath, i)
}

// Gone tells the platform that the process of an instance has ended for certain.
func (c *Client) Gone(ctx context.Context, i Instance) error {
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
