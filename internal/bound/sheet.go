// Package bound computes how many requests no router can serve under overload, from a sheet of
// services and disruptions. What the sheet leaves open counts for more requests served: callers wait
// until their patience ends, and a kind of requests may get all that others need as well.
package bound

import (
	"fmt"

	"example.org/mustardring/internal/config"
)

// Sheet describes the services of a deployment and what disrupts them.
type Sheet struct {
	Title string `json:"title"`
	// Seconds is the length of the whole time.
	Seconds     float64      `json:"seconds"`
	Services    []Service    `json:"services"`
	Disruptions []Disruption `json:"disruptions"`
}

// Service is a group of servers that run the same kinds of requests.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests that a server runs at once.
	Slots   int       `json:"slots"`
	Servers []Servers `json:"servers"`
	Kinds   []Kind    `json:"kinds"`
	// In any RetryWindowSeconds all instances send at most RetryRatio times the number of requests,
	// plus RetrySlack, as retries.
	RetryRatio         float64 `json:"retry-ratio"`
	RetrySlack         float64 `json:"retry-slack"`
	RetryWindowSeconds float64 `json:"retry-window-seconds"`
	// Returns is how often a rejected caller asks again, on average.
	Returns float64 `json:"returns"`
}

// Servers is a number of servers with the same speed. A request's service time is its work / speed.
type Servers struct {
	Count int     `json:"count"`
	Speed float64 `json:"speed"`
}

// Kind is a kind of requests.
type Kind struct {
	Name string `json:"name"`
	// WorkMillis is the mean service time at speed 1.
	WorkMillis float64 `json:"work-ms"`
	Rate       float64 `json:"requests-per-second"`
	// PatienceMillis is the longest time from a caller's first request to an answer that it still
	// takes, returns included.
	PatienceMillis float64 `json:"patience-ms"`
	// Keyed says that only the owner of its key may run a request.
	Keyed bool `json:"keyed"`
}

// Disruption is a period with exactly one cause of losses.
type Disruption struct {
	Name            string     `json:"name"`
	StartSeconds    float64    `json:"start-seconds"`
	DurationSeconds float64    `json:"duration-seconds"`
	HotKey          *HotKey    `json:"hot-key"`
	Rejection       *Rejection `json:"rejection"`
	Cut             *Cut       `json:"cut"`
	Burst           *Burst     `json:"burst"`
}

// cause is one of the causes of a disruption, or whole for the whole time of a sheet.
type cause interface{ isCause() }

// HotKey means that a share of the requests of a kind is for one key.
type HotKey struct {
	Service string  `json:"service"`
	Kind    string  `json:"kind"`
	Share   float64 `json:"share"`
}

// Rejection means that servers reject a share of what arrives, whatever their load.
type Rejection struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Servers is the number of servers that do, 0 for all.
	Servers int `json:"servers"`
}

// Cut means that a failure domain with a share of the callers and of the servers is partitioned.
type Cut struct {
	CallerShare float64 `json:"caller-share"`
	ServerShare float64 `json:"server-share"`
	// CallersStay says that callers reach only instances on their side. Otherwise a return may reach
	// either side.
	CallersStay bool `json:"callers-stay"`
	// TakeoverSeconds is the shortest time after which a key on one side may get an owner on the other.
	TakeoverSeconds float64 `json:"takeover-seconds"`
}

// Burst means that the rates of a service, or of all if it names none, are multiplied.
type Burst struct {
	Service string  `json:"service"`
	Factor  float64 `json:"factor"`
}

type whole struct{}

func (*HotKey) isCause()    {}
func (*Rejection) isCause() {}
func (*Cut) isCause()       {}
func (*Burst) isCause()     {}
func (whole) isCause()      {}

// cause returns a cause that is set, and how many are.
func (d *Disruption) cause() (cause, int) {
	var c cause
	n := 0
	if d.HotKey != nil {
		c, n = d.HotKey, n+1
	}
	if d.Rejection != nil {
		c, n = d.Rejection, n+1
	}
	if d.Cut != nil {
		c, n = d.Cut, n+1
	}
	if d.Burst != nil {
		c, n = d.Burst, n+1
	}
	return c, n
}

// service returns the service of a name, an empty one if there is none.
func (s *Sheet) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return &Service{}
}

// count returns the number of servers.
func (v *Service) count() int {
	n := 0
	for _, g := range v.Servers {
		n += g.Count
	}
	return n
}

// checks keeps the first fault of a sheet.
type checks struct {
	file  string
	fault error
}

// require records a fault unless the condition holds.
func (c *checks) require(holds bool, field string, found any, fix string) {
	if !holds && c.fault == nil {
		c.fault = &config.Error{File: c.file, Field: field, Found: fmt.Sprint(found), Fix: fix}
	}
}

func (c *checks) positive(field string, value float64) {
	c.require(value > 0, field, value, "give a number above zero")
}

func (c *checks) share(field string, value float64) {
	c.require(value >= 0 && value <= 1, field, value, "give a share from 0 to 1")
}

// Check implements config.Checker.
func (s *Sheet) Check(file string) error {
	c := &checks{file: file}
	c.positive("seconds", s.Seconds)
	c.require(len(s.Services) > 0, "services", "none", "describe at least one service")
	for i := range s.Services {
		v := &s.Services[i]
		c.require(v.Name != "" && s.service(v.Name) == v, "services.name", v.Name, "give each service a name of its own")
		c.service("services."+v.Name+".", v)
	}
	for i := range s.Disruptions {
		c.disruption(s, &s.Disruptions[i])
	}
	return c.fault
}

func (c *checks) service(field string, v *Service) {
	c.positive(field+"slots", float64(v.Slots))
	c.positive(field+"servers", float64(len(v.Servers)))
	for _, g := range v.Servers {
		c.positive(field+"servers.count", float64(g.Count))
		c.positive(field+"servers.speed", g.Speed)
	}
	c.require(v.RetryRatio >= 0, field+"retry-ratio", v.RetryRatio, "give zero or more")
	c.require(v.RetrySlack >= 0, field+"retry-slack", v.RetrySlack, "give zero or more")
	c.require(v.RetryWindowSeconds > 0 || v.RetryWindowSeconds == 0 && v.RetryRatio+v.RetrySlack == 0, field+"retry-window-seconds",
		v.RetryWindowSeconds, "give a number above zero, or no ratio and slack")
	c.require(v.Returns >= 0, field+"returns", v.Returns, "give zero or more")
	c.positive(field+"kinds", float64(len(v.Kinds)))
	names := map[string]bool{"": true}
	for _, k := range v.Kinds {
		c.require(!names[k.Name], field+"kinds.name", k.Name, "give each kind of a service a name of its own")
		names[k.Name] = true
		c.positive(field+"kinds."+k.Name+".work-ms", k.WorkMillis)
		c.positive(field+"kinds."+k.Name+".requests-per-second", k.Rate)
		c.positive(field+"kinds."+k.Name+".patience-ms", k.PatienceMillis)
	}
}

func (c *checks) disruption(s *Sheet, d *Disruption) {
	c.require(d.Name != "", "disruptions.name", "nothing", "give each disruption a name")
	field := "disruptions." + d.Name + "."
	c.require(d.StartSeconds >= 0, field+"start-seconds", d.StartSeconds, "give zero or more")
	c.positive(field+"duration-seconds", d.DurationSeconds)
	c.require(d.StartSeconds+d.DurationSeconds <= s.Seconds, field+"duration-seconds", d.DurationSeconds,
		"end it within the seconds of the sheet")
	t, n := d.cause()
	c.require(n == 1, field+"*", fmt.Sprint(n, " causes"), "give one of hot-key, rejection, cut and burst")
	switch t := t.(type) {
	case *HotKey:
		c.require(len(affected(t, s.service(t.Service))) > 0, field+"hot-key.kind", t.Service+" "+t.Kind, "name a service and a keyed kind of it")
		c.share(field+"hot-key.share", t.Share)
	case *Rejection:
		v := s.service(t.Service)
		c.require(v.Name != "", field+"rejection.service", t.Service, "name a service of the sheet")
		c.share(field+"rejection.share", t.Share)
		c.require(t.Servers >= 0 && t.Servers <= v.count(), field+"rejection.servers", t.Servers,
			"give a number of servers of the service, 0 for all")
	case *Cut:
		c.share(field+"cut.caller-share", t.CallerShare)
		c.share(field+"cut.server-share", t.ServerShare)
		c.positive(field+"cut.takeover-seconds", t.TakeoverSeconds)
	case *Burst:
		c.require(t.Service == "" || s.service(t.Service).Name != "", field+"burst.service", t.Service,
			"name a service of the sheet, or none for all")
		c.positive(field+"burst.factor", t.Factor)
	}
}
