package rules

import (
	"strconv"
	"strings"
)

// incarnationSeparator separates the name of a server from its start time in the ID of an
// incarnation.
const incarnationSeparator = "~"

// startTimeBase is the base in which the start time is written: eight digits instead of the
// thirteen of base ten, in each message that names a server.
const startTimeBase = 36

// IncarnationID returns the ID of one incarnation of a server, made of the name under which the
// directory lists it and its start time in Unix milliseconds. A server that restarts under its name
// has lost all keys and state, so everything that is known about a server is kept per incarnation.
// Where servers do not state their start time, startedAt is zero and each incarnation has a name of
// its own.
func IncarnationID(name string, startedAt int64) string {
	if startedAt == 0 && !strings.Contains(name, incarnationSeparator) {
		return name
	}
	return name + incarnationSeparator + strconv.FormatInt(startedAt, startTimeBase)
}

// NameOf returns the name of the server that the ID of an incarnation belongs to.
func NameOf(id string) string {
	if i := strings.LastIndex(id, incarnationSeparator); i >= 0 {
		return id[:i]
	}
	return id
}
