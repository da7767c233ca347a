// Package load sends open-loop load to entry instances, measures latency from the intended start of
// each request, and audits the responses against the requests that the stand-in servers really ran.
// It sends to loopback addresses only.
//
// A request may be submitted several times under one request ID: sequentially after a failure, or
// twice at once as a pair of twins.
package load

import (
	"fmt"
	"net/netip"

	"example.org/mustardring/internal/config"
)

// maxRequests limits the requests of one profile.
const maxRequests = 5_000_000

// maxDurationSeconds limits the duration of one profile.
const maxDurationSeconds = 3600

// Profile configures a load run. Fields that end in Millis are in milliseconds.
type Profile struct {
	// Entries are the addresses of entry instances. Each request that is not direct goes to a
	// random one of them.
	Entries []string `json:"entries"`
	// Servers are the addresses of the stand-in servers whose runs are fetched for the audit.
	// Without any, the report has no audit.
	Servers []string `json:"servers"`
	// Rate is the number of requests per second, for DurationMillis.
	Rate           float64 `json:"rate"`
	DurationMillis int64   `json:"duration-ms"`
	// Spread is how the starts of requests are spread over time: SpreadEven or SpreadRandom, the
	// default.
	Spread string `json:"spread,omitempty"`
	// Seed determines services, keys, targets and start times. The same seed gives the same
	// requests.
	Seed uint64 `json:"seed"`
	// Precise makes requests start on time, at the cost of a busy CPU core.
	Precise bool `json:"precise,omitempty"`
	// InFlight limits the requests in flight, 512 if zero. Further requests wait, and the wait
	// counts as latency.
	InFlight int `json:"in-flight,omitempty"`
	// DeadlineMillis is the time from the start of a request to its deadline, 2000 if zero.
	DeadlineMillis int64     `json:"deadline-ms,omitempty"`
	Services       []Service `json:"services"`
	Resend         Resend    `json:"resend"`
	// DirectShare is the share of requests that go to one of Servers without an entry instance,
	// for comparison in the same run. Those servers must not check grants.
	DirectShare float64 `json:"direct-share,omitempty"`
}

// Service configures the load on one service.
type Service struct {
	Name string `json:"name"`
	// Share is the weight of the service, relative to the sum over all services.
	Share float64 `json:"share"`
	// Keys is the number of keys. If it is zero, requests have no key.
	Keys int `json:"keys"`
	// HotKeys is the size of the hot set, the keys that get HotShare of the requests. A new hot set
	// is chosen every ShiftMillis, or never if that is zero.
	HotKeys     int     `json:"hot-keys,omitempty"`
	HotShare    float64 `json:"hot-share,omitempty"`
	ShiftMillis int64   `json:"shift-ms,omitempty"`
	// NonIdempotentShare is the share of requests that are non-idempotent: they must not run twice.
	NonIdempotentShare float64 `json:"once-share"`
	BodyBytes          int     `json:"body-bytes,omitempty"`
	// AnswerBytes is the number of bytes that a server adds to its response.
	AnswerBytes int `json:"answer-bytes,omitempty"`
}

// Resend configures how callers submit requests again, under the same request ID.
type Resend struct {
	// Tries is the greatest number of resends of a request. A resend follows WaitMillis after any
	// result but ResultRan and goes to the next entry instance. Direct requests are not resent.
	Tries      int   `json:"tries,omitempty"`
	WaitMillis int64 `json:"wait-ms,omitempty"`
	// TwinShare is the share of requests that are submitted twice at once, to two entry instances.
	TwinShare float64 `json:"twin-share,omitempty"`
}

// Values of Profile.Spread: equal or exponentially distributed intervals between starts.
const (
	SpreadEven   = "even"
	SpreadRandom = "random"
)

// Defaults of fields that are zero.
const (
	defaultInFlight       = 512
	defaultDeadlineMillis = 2000
)

// Check implements config.Checker. It also sets fields that are zero to their defaults.
func (p *Profile) Check(file string) error {
	if field, found, fix := p.check(); fix != "" {
		return &config.Error{File: file, Field: field, Found: found, Fix: fix}
	}
	return nil
}

// check returns the first invalid field, the value found and how to correct it. It returns empty
// strings if there is none. It also sets defaults.
func (p *Profile) check() (field, found, fix string) {
	if p.InFlight == 0 {
		p.InFlight = defaultInFlight
	}
	if p.DeadlineMillis == 0 {
		p.DeadlineMillis = defaultDeadlineMillis
	}
	if p.Spread == "" {
		p.Spread = SpreadRandom
	}
	switch {
	case len(p.Entries) == 0 && p.DirectShare < 1:
		return "entries", "nothing", "give the addresses of entry instances"
	case p.Rate <= 0:
		return "rate", fmt.Sprint(p.Rate), "give a number above zero"
	case p.DurationMillis <= 0 || p.DurationMillis > maxDurationSeconds*1000:
		return "duration-ms", fmt.Sprint(p.DurationMillis), fmt.Sprintf("give a number from 1 to %d", maxDurationSeconds*1000)
	case p.Rate*float64(p.DurationMillis)/1000 > maxRequests:
		return "rate", fmt.Sprint(p.Rate), fmt.Sprintf("send no more than %d requests in all", maxRequests)
	case p.Spread != SpreadEven && p.Spread != SpreadRandom:
		return "spread", p.Spread, "give one of even, random"
	case p.InFlight < 0 || p.InFlight > 20_000:
		return "in-flight", fmt.Sprint(p.InFlight), "give a number from 1 to 20000"
	case p.Resend.Tries < 0 || p.Resend.Tries > 10:
		return "resend.tries", fmt.Sprint(p.Resend.Tries), "give a number from 0 to 10"
	case p.DirectShare > 0 && len(p.Servers) == 0:
		return "servers", "nothing", "give servers for the direct share"
	}
	if field, found, fix := p.checkShares(); fix != "" {
		return field, found, fix
	}
	return p.checkAddresses()
}

// checkShares does the work of check for the services and all shares.
func (p *Profile) checkShares() (field, found, fix string) {
	if len(p.Services) == 0 {
		return "services", "nothing", "give at least one"
	}
	shares := map[string]float64{"direct-share": p.DirectShare, "resend.twin-share": p.Resend.TwinShare}
	for i, s := range p.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		if s.Name == "" || s.Share <= 0 || s.Keys < 0 || s.HotKeys < 0 || s.HotKeys > s.Keys {
			return prefix[:len(prefix)-1], s.Name, "give a name, a share above zero and no more hot keys than keys"
		}
		shares[prefix+"hot-share"] = s.HotShare
		shares[prefix+"once-share"] = s.NonIdempotentShare
	}
	for field, share := range shares {
		if share < 0 || share > 1 {
			return field, fmt.Sprint(share), "give a number from 0 to 1"
		}
	}
	return "", "", ""
}

// checkAddresses accepts only loopback addresses, so that load goes to no other machine.
func (p *Profile) checkAddresses() (field, found, fix string) {
	for field, addresses := range map[string][]string{"entries": p.Entries, "servers": p.Servers} {
		for _, address := range addresses {
			parsed, err := netip.ParseAddrPort(address)
			if err != nil || !parsed.Addr().IsLoopback() {
				return field, address, "give a loopback IP number and a port, such as 127.0.0.1:8080"
			}
		}
	}
	return "", "", ""
}
