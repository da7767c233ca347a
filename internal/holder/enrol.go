package holder

import (
	"errors"
	"strings"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
)

// errNotRegister says that a record told of is not one of the register.
var errNotRegister = errors.New("holder: not a record of the register")

// RegisterUpdates takes the records of the register that the leader tells of, which follow one another.
//
// Records of owners are told as what they change against the record before, so that whoever did not know of
// one in between had to read the store. Where only owners were told, each instance that started or stopped
// made all others read, at the next move at the latest: calls grew with the square of their number.
func (h *Manager) RegisterUpdates() chan<- []follow.Record { return h.enrolled }

// enroll takes in records of the register that the leader tells of.
func (h *Manager) enroll(records []follow.Record) {
	before := h.know.get()
	if n := len(records); n == 0 || records[n-1].Offset < before.End {
		return
	}
	follows, err := h.know.enroll(records)
	switch {
	case err != nil:
		h.Events.Note(event.Belief, "register-malformed", "offset", records[0].Offset, "error", err)
	case !follows:
		h.RereadOwners()
	default:
		h.follow(before)
	}
}

// inRegister reports whether a record is one of the register.
func inRegister(r follow.Record) bool { return strings.HasPrefix(r.Key, keyInstance) }

// tellRegister tells the others of the records of the register in an update, from an offset on. It ends
// before a record of owners that this instance did not write: that one must be read.
func (h *Manager) tellRegister(from int64, u follow.Update) {
	if u.Snapshot {
		return
	}
	var told []follow.Record
	for _, r := range u.Records {
		if r.Offset < from {
			continue
		}
		if !inRegister(r) {
			break
		}
		if _, err := roster.Decode(r.Value); len(r.Value) > 0 && err != nil {
			h.Events.Note(event.Belief, "register-not-told", "key", r.Key, "offset", r.Offset, "error", err)
			break
		}
		told = append(told, r)
	}
	if len(told) > 0 {
		h.BroadcastRegister(told)
	}
}
