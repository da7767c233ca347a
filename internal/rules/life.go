package rules

import (
	"strconv"
	"strings"
)

// lifeMark stands between the name of a server and the start of one of its lives.
const lifeMark = "~"

// lifeBase is the base in which a start is written: eight digits instead of thirteen, in each
// message that names a server.
const lifeBase = 36

// IncarnationID returns the id of one life of a server: the name under which the directory lists it, and
// the Unix millisecond of its start. A server that starts again under its name holds and knows
// nothing of before, so that all that is kept of a server is kept by life. Where servers do not
// state their start it is zero, and each life has a name of its own.
func IncarnationID(name string, startedAt int64) string {
	if startedAt == 0 && !strings.Contains(name, lifeMark) {
		return name
	}
	return name + lifeMark + strconv.FormatInt(startedAt, lifeBase)
}

// NameOf returns the name of the server that an id is a life of.
func NameOf(id string) string {
	if i := strings.LastIndex(id, lifeMark); i >= 0 {
		return id[:i]
	}
	return id
}
