// Package load sends open-loop load to entry instances, measures latency from the moment at
// which each request was to start, and checks what the answers said against what the stand-in
// servers really ran. It targets loopback addresses only.
package load

import (
	"fmt"
	"net/netip"

	"example.org/mustardring/internal/config"
)

// maxRequests bounds the requests of one profile.
const maxRequests = 5_000_000

// maxSeconds bounds the time of one profile.
const maxSeconds = 3600

// Profile is a load profile. Times are in milliseconds.
type Profile struct {
	// Entries are the addresses of entry instances. Each request goes to one of them.
	Entries []string `json:"entries"`
	// Servers are the addresses of the stand-in servers that are asked what they ran.
	Servers []string `json:"servers"`
	// Rate is the number of requests a second, over DurationMillis.
	Rate           float64 `json:"rate"`
	DurationMillis int64   `json:"duration-ms"`
	// Spread is SpreadEven or SpreadRandom, which is the default.
	Spread string `json:"spread,omitempty"`
	// Seed chooses keys, entries and starts. The same seed gives the same requests.
	Seed uint64 `json:"seed"`
	// Precise starts requests on time at the price of a core.
	Precise bool `json:"precise,omitempty"`
	// InFlight bounds the requests under way, 512 if unstated. Others wait, and their wait counts.
	InFlight int `json:"in-flight,omitempty"`
	// DeadlineMillis is the deadline of each request after its start, 2000 if unstated.
	DeadlineMillis int64     `json:"deadline-ms,omitempty"`
	Services       []Service `json:"services"`
	Resend         Resend    `json:"resend"`
	// DirectShare is the share of requests that go to one of Servers without an entry instance,
	// for comparison in the same run. Those servers must not check grants.
	DirectShare float64 `json:"direct-share,omitempty"`
}

// Service is the load on one service.
type Service struct {
	Name string `json:"name"`
	// Share is relative to the sum of the shares.
	Share float64 `json:"share"`
	// Keys is the number of keys. Zero sends no key.
	Keys int `json:"keys"`
	// HotKeys is the size of the hot set, which gets HotShare of the requests. A new hot set is
	// chosen every ShiftMillis.
	HotKeys     int     `json:"hot-keys,omitempty"`
	HotShare    float64 `json:"hot-share,omitempty"`
	ShiftMillis int64   `json:"shift-ms,omitempty"`
	// OnceShare is the share of requests that must not run twice.
	OnceShare float64 `json:"once-share"`
	BodyBytes int     `json:"body-bytes,omitempty"`
	// AnswerBytes is what a server adds to its answer.
	AnswerBytes int `json:"answer-bytes,omitempty"`
}

// Resend says how callers send requests again, under the same ID.
type Resend struct {
	// Tries is the number of resends after an answer other than ran, WaitMillis apart. Each
	// goes to the next entry instance.
	Tries      int   `json:"tries,omitempty"`
	WaitMillis int64 `json:"wait-ms,omitempty"`
	// TwinShare is the share of requests that are sent twice at once, over two entries.
	TwinShare float64 `json:"twin-share,omitempty"`
}

// How starts are spread.
const (
	SpreadEven   = "even"
	SpreadRandom = "random"
)

const (
	defaultInFlight = 512
	defaultDeadline = 2000
)

// Check implements config.Checker and fills in what is unstated.
func (p *Profile) Check(file string) error {
	if field, found, mend := p.check(); mend != "" {
		return &config.Error{File: file, Field: field, Found: found, Fix: mend}
	}
	return nil
}

func (p *Profile) check() (field, found, mend string) {
	if p.InFlight == 0 {
		p.InFlight = defaultInFlight
	}
	if p.DeadlineMillis == 0 {
		p.DeadlineMillis = defaultDeadline
	}
	if p.Spread == "" {
		p.Spread = SpreadRandom
	}
	switch {
	case len(p.Entries) == 0 && p.DirectShare < 1:
		return "entries", "nothing", "give the addresses of entry instances"
	case p.Rate <= 0:
		return "rate", fmt.Sprint(p.Rate), "give a number above zero"
	case p.DurationMillis <= 0 || p.DurationMillis > maxSeconds*1000:
		return "duration-ms", fmt.Sprint(p.DurationMillis), fmt.Sprintf("give a number from 1 to %d", maxSeconds*1000)
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
	if field, found, mend := p.checkShares(); mend != "" {
		return field, found, mend
	}
	return p.checkAddresses()
}

func (p *Profile) checkShares() (field, found, mend string) {
	if len(p.Services) == 0 {
		return "services", "nothing", "give at least one"
	}
	shares := map[string]float64{"direct-share": p.DirectShare, "resend.twin-share": p.Resend.TwinShare}
	for i, s := range p.Services {
		place := fmt.Sprintf("services[%d].", i)
		if s.Name == "" || s.Share <= 0 || s.Keys < 0 || s.HotKeys < 0 || s.HotKeys > s.Keys {
			return place[:len(place)-1], s.Name, "give a name, a share above zero and no more hot keys than keys"
		}
		shares[place+"hot-share"] = s.HotShare
		shares[place+"once-share"] = s.OnceShare
	}
	for field, share := range shares {
		if share < 0 || share > 1 {
			return field, fmt.Sprint(share), "give a number from 0 to 1"
		}
	}
	return "", "", ""
}

// checkAddresses refuses anything but loopback: load is sent to this machine only.
func (p *Profile) checkAddresses() (field, found, mend string) {
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
