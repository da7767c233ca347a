package config

import (
	"fmt"
	"strings"
)

// Overload holds the settings for operation under load. Each feature is off unless its field turns it on.
type Overload struct {
	// CallerIdentity tells callers apart: CallerNone, which is the default, CallerAddress or CallerHeader.
	CallerIdentity string `json:"caller-identity"`
	// CallerHeader is the header that identifies a caller with CallerHeader.
	CallerHeader string `json:"caller-header"`
	// LogCallers adds a keyed digest of the identity to the lines of requests.
	LogCallers bool `json:"log-callers"`
	// FairShares shares the time of full servers between callers.
	FairShares bool `json:"fair-shares"`
	// PriorityFloors is the share of a full server's time, by priority, that waiting requests get even if more urgent ones
	// wait.
	PriorityFloors []float64 `json:"priority-floors"`
	// KeptReturns tells rejected callers a time at which room is set aside for them.
	KeptReturns bool `json:"kept-returns"`
	// RepeatRejected repeats requests that a server has rejected although it had room.
	RepeatRejected bool `json:"repeat-rejected"`
	// BodyMemoryShare is the part of the memory of the instance that bodies and replies may take, zero for no limit.
	BodyMemoryShare float64 `json:"body-memory-share"`
	// SpeedRanges lets plans of owners use early speeds, service times and rejections of servers.
	SpeedRanges bool `json:"speed-ranges"`
	// ShareConnections sends requests to servers over the connections of other instances.
	ShareConnections bool `json:"share-connections"`
}

// Values of Overload.CallerIdentity.
const (
	CallerNone    = "none"
	CallerAddress = "address"
	CallerHeader  = "header"
)

const (
	maxFloor           = 0.5
	maxBodyMemoryShare = 0.5
)

// check records the first fault and fills in defaults.
func (o *Overload) check(c *checks) {
	if o.CallerIdentity == "" {
		o.CallerIdentity = CallerNone
	}
	c.oneOf("load.caller-identity", o.CallerIdentity, CallerNone, CallerAddress, CallerHeader)
	switch identified := o.CallerIdentity != CallerNone; {
	case o.CallerIdentity == CallerHeader && o.CallerHeader == "":
		c.fail("load.caller-header", "nothing", "name the header that identifies a caller")
	case o.CallerIdentity != CallerHeader && o.CallerHeader != "":
		c.fail("load.caller-header", o.CallerHeader, "remove it, or set load.caller-identity to header")
	case strings.ContainsAny(o.CallerHeader, " :\t\r\n"):
		c.fail("load.caller-header", o.CallerHeader, "give the name of a header")
	case o.LogCallers && !identified:
		c.fail("load.log-callers", "no identity of callers", "set load.caller-identity, or turn it off")
	case o.FairShares && !identified:
		c.fail("load.fair-shares", "no identity of callers", "set load.caller-identity, or turn it off")
	case o.KeptReturns && !identified:
		c.fail("load.kept-returns", "no identity of callers", "set load.caller-identity, or turn it off")
	}
	sum := 0.0
	for i, floor := range o.PriorityFloors {
		if floor < 0 || floor > maxFloor {
			c.fail("load.priority-floors", fmt.Sprintf("%g for priority %d", floor, i), fmt.Sprintf("give numbers from 0 to %g", maxFloor))
		}
		sum += floor
	}
	if sum >= 1 {
		c.fail("load.priority-floors", fmt.Sprintf("a sum of %g", sum), "give floors with a sum below 1")
	}
	if o.BodyMemoryShare < 0 || o.BodyMemoryShare > maxBodyMemoryShare {
		c.fail("load.body-memory-share", fmt.Sprintf("%g", o.BodyMemoryShare), fmt.Sprintf("give a number from 0 to %g", maxBodyMemoryShare))
	}
}
