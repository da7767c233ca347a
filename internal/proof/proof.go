// Package proof holds tests that run the program as separate processes, over loopback
// addresses, and take parts of it away while callers send requests. Each counts afterwards
// what the backend servers really ran.
package proof
