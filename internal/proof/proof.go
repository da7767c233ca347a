// Package proof holds end-to-end tests. They run the program as separate processes on loopback
// addresses and inject failures while callers send requests. Most of them then compare the outcomes
// that the callers received with the requests that the backend servers ran.
package proof
