package config

import (
	"net/netip"

	"example.org/mustardring/pkg/bundle"
)

// Run is the settings of an entry instance.
type Run struct {
	// Name is unique among all instances, Domain is the failure domain the instance is in.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// CallerAddress takes requests of callers over HTTP.
	CallerAddress string `json:"caller-address"`
	// PeerAddress takes jsonrpc2 from other instances over mutual TLS.
	PeerAddress string `json:"peer-address"`
	// ForwardAddress takes requests that other instances pass on, over mutual TLS.
	ForwardAddress string `json:"forward-address"`
	// OperatorAddress takes requests of operators over HTTP.
	OperatorAddress string `json:"operator-address"`
	// OperatorToken is the bearer token that operators present.
	OperatorToken string `json:"operator-token"`
	// LogURL and ListURL are the base URLs of the platform's log and instance list.
	LogURL  string `json:"log-url"`
	ListURL string `json:"list-url"`
	// TLS authenticates instances to each other.
	TLS TLS `json:"tls"`
	// Peers are instances to contact at first. More are learnt from them.
	Peers []Peer `json:"peers"`
	// Roots are the signers whose first bundle is trusted.
	Roots []bundle.Signer `json:"roots,omitempty"`
	// RootsFile names a JSON file with such signers, relative to the settings file, in place
	// of Roots.
	RootsFile string `json:"roots-file,omitempty"`
	// Traces is where spans are exported to: TracesNone or TracesStdout.
	Traces string `json:"traces,omitempty"`
	// DrainMillis is how long a stop may wait for requests in flight, in milliseconds.
	DrainMillis int64 `json:"drain-ms,omitempty"`
}

// Where spans go.
const (
	TracesNone   = "none"
	TracesStdout = "stdout"
)

// DefaultDrainMillis bounds a graceful stop when the settings do not.
const DefaultDrainMillis = 30_000

// TLS names the PEM files of an instance's key pair and of the authority that signed those
// of all instances.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Peer is another instance.
type Peer struct {
	Name           string `json:"name"`
	Domain         string `json:"domain"`
	PeerAddress    string `json:"peer-address"`
	ForwardAddress string `json:"forward-address"`
}

// Check implements Checker and fills in defaults.
func (r *Run) Check(file string) error {
	c := checks{file: file}
	c.need("name", r.Name)
	c.need("domain", r.Domain)
	c.address("caller-address", r.CallerAddress)
	c.address("peer-address", r.PeerAddress)
	c.address("forward-address", r.ForwardAddress)
	c.address("operator-address", r.OperatorAddress)
	c.need("operator-token", r.OperatorToken)
	c.url("log-url", r.LogURL)
	c.url("list-url", r.ListURL)
	c.need("tls.certificate", r.TLS.Certificate)
	c.need("tls.key", r.TLS.Key)
	c.need("tls.authority", r.TLS.Authority)
	for _, p := range r.Peers {
		c.need("peers.name", p.Name)
		c.need("peers.domain", p.Domain)
		c.address("peers.peer-address", p.PeerAddress)
		c.address("peers.forward-address", p.ForwardAddress)
	}
	c.readRoots(r)
	c.roots(r.Roots)
	if r.Traces == "" {
		r.Traces = TracesNone
	}
	c.oneOf("traces", r.Traces, TracesNone, TracesStdout)
	if r.DrainMillis == 0 {
		r.DrainMillis = DefaultDrainMillis
	}
	c.positive("drain-ms", r.DrainMillis)
	return c.first()
}

// checks collects the first fault of a settings file.
type checks struct {
	file  string
	fault *Error
}

func (c *checks) fail(field, found, mend string) {
	if c.fault == nil {
		c.fault = &Error{File: c.file, Field: field, Found: found, Fix: mend}
	}
}

func (c *checks) first() error {
	if c.fault == nil {
		return nil
	}
	return c.fault
}

func (c *checks) need(field, value string) {
	if value == "" {
		c.fail(field, "nothing", "give a value")
	}
}

func (c *checks) address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.fail(field, value, "give an IP number and a port, such as 127.0.0.1:8080")
	}
}

func (c *checks) positive(field string, value int64) {
	if value <= 0 {
		c.fail(field, "a number below one", "give a positive number")
	}
}

func (c *checks) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(field, value, "give one of "+join(allowed))
}
