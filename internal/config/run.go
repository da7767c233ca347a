package config

import (
	"net/netip"

	"example.org/mustardring/pkg/bundle"
)

// Run holds the settings of an entry instance, for the command "run".
type Run struct {
	// Name is unique among all instances. Domain is the failure domain of the instance.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// CallerAddress is where the instance listens for requests of callers, over HTTP.
	CallerAddress string `json:"caller-address"`
	// PeerAddress is where it listens for JSON-RPC 2.0 calls of other instances, over mutual TLS.
	PeerAddress string `json:"peer-address"`
	// ForwardAddress is where it listens for requests that other instances forward, over mutual
	// TLS.
	ForwardAddress string `json:"forward-address"`
	// OperatorAddress is where it listens for requests of operators, over HTTP.
	OperatorAddress string `json:"operator-address"`
	// OperatorToken is the bearer token that requests of operators must have.
	OperatorToken string `json:"operator-token"`
	// LogURL and ListURL are the base URLs of the platform's log and instance list.
	LogURL  string `json:"log-url"`
	ListURL string `json:"list-url"`
	// TLS authenticates instances to each other.
	TLS TLS `json:"tls"`
	// Peers are the instances to contact first. The instance learns of others from them.
	Peers []Peer `json:"peers"`
	// Roots are the trust anchors: the signers whose first bundle is trusted.
	Roots []bundle.Signer `json:"roots,omitempty"`
	// RootsFile names a JSON file with an array of such signers, which replaces Roots. A relative
	// name is resolved against the directory of the settings file.
	RootsFile string `json:"roots-file,omitempty"`
	// Traces is where trace spans are exported to: TracesNone, which is the default, or
	// TracesStdout.
	Traces string `json:"traces,omitempty"`
	// DrainMillis is how long a stopping instance may wait for requests in flight, in
	// milliseconds. Zero means DefaultDrainMillis.
	DrainMillis int64 `json:"drain-ms,omitempty"`
}

// Values of Run.Traces.
const (
	TracesNone   = "none"
	TracesStdout = "stdout"
)

// DefaultDrainMillis bounds a graceful stop if the settings don't, in milliseconds.
const DefaultDrainMillis = 30_000

// TLS names the PEM files of an instance's certificate and private key, and of the certificate
// authority that signed the certificates of all instances.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Peer is another entry instance and the addresses where it listens for other instances.
type Peer struct {
	Name           string `json:"name"`
	Domain         string `json:"domain"`
	PeerAddress    string `json:"peer-address"`
	ForwardAddress string `json:"forward-address"`
}

// Check implements Checker and fills in the roots from RootsFile and the defaults.
func (r *Run) Check(file string) error {
	c := checks{file: file}
	c.required("name", r.Name)
	c.required("domain", r.Domain)
	c.address("caller-address", r.CallerAddress)
	c.address("peer-address", r.PeerAddress)
	c.address("forward-address", r.ForwardAddress)
	c.address("operator-address", r.OperatorAddress)
	c.required("operator-token", r.OperatorToken)
	c.url("log-url", r.LogURL)
	c.url("list-url", r.ListURL)
	c.required("tls.certificate", r.TLS.Certificate)
	c.required("tls.key", r.TLS.Key)
	c.required("tls.authority", r.TLS.Authority)
	for _, p := range r.Peers {
		c.required("peers.name", p.Name)
		c.required("peers.domain", p.Domain)
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
	return c.err()
}

// checks validates settings and keeps the first fault.
type checks struct {
	file  string
	fault *Error
}

// fail records a fault, unless there is an earlier one.
func (c *checks) fail(field, found, fix string) {
	if c.fault == nil {
		c.fault = &Error{File: c.file, Field: field, Found: found, Fix: fix}
	}
}

// err returns the first fault. Returning c.fault itself would make a non-nil error of a nil
// *Error.
func (c *checks) err() error {
	if c.fault == nil {
		return nil
	}
	return c.fault
}

// required requires a value that is not empty.
func (c *checks) required(field, value string) {
	if value == "" {
		c.fail(field, "nothing", "give a value")
	}
}

// address requires an IP address and a port other than zero.
func (c *checks) address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.fail(field, value, "give an IP address and a port, such as 127.0.0.1:8080")
	}
}

// positive requires a number above zero.
func (c *checks) positive(field string, value int64) {
	if value <= 0 {
		c.fail(field, "a number below one", "give a positive number")
	}
}

// oneOf requires one of the allowed values.
func (c *checks) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(field, value, "give one of "+join(allowed))
}
