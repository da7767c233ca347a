package lease

import (
	"errors"
	"slices"
	"strings"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// errNotRegisterRecord is the error for any other record in a register update of another instance.
var errNotRegisterRecord = errors.New("lease: not a record of the register")

// RegisterUpdates takes the records of the register that the leader broadcasts, in the order of their offsets.
//
// Records of owners are broadcast as changes against the previous record, so an instance that misses
// a record of the topic must read the store. If only records of owners were broadcast, each start or stop of
// an instance would make all others read, at the next move at the latest: the number of reads would grow with
// the square of the number of instances.
func (lm *Manager) RegisterUpdates() chan<- []follow.Record { return lm.registerUpdates }

// applyRegister applies records of the register that the leader broadcast.
func (lm *Manager) applyRegister(records []follow.Record) {
	before, read := lm.view.get(), lm.view.getRead()
	records = slices.Clone(records)
	for i := range records {
		records[i].Offset = records[i].Offset.In(read.End.Era())
	}
	if n := len(records); n == 0 || records[n-1].Offset < read.End {
		return
	}
	follows, err := lm.view.applyRegister(records)
	switch {
	case err != nil:
		lm.Events.Record(event.StateChange, "register-malformed", "offset", records[0].Offset, "error", err)
	case !follows:
		lm.RereadOwners()
	case lm.view.get() == before:
		lm.updateRoster()
	default:
		lm.viewChanged(before)
	}
}

// isRegisterRecord reports whether a record belongs to the register.
func isRegisterRecord(r follow.Record) bool { return strings.HasPrefix(r.Key, keyInstance) }

// broadcastRegister sends the records of the register in an update to the other instances, starting at offset
// from. It stops before a record of owners, which another instance wrote and which must be read.
func (lm *Manager) broadcastRegister(from logpos.Pos, u follow.Update) {
	if u.Snapshot {
		return
	}
	var records []follow.Record
	for _, r := range u.Records {
		if r.Offset < from {
			continue
		}
		if !isRegisterRecord(r) {
			break
		}
		if _, err := roster.Decode(r.Value); len(r.Value) > 0 && err != nil {
			lm.Events.Record(event.StateChange, "register-not-told", "key", r.Key, "offset", r.Offset, "error", err)
			break
		}
		records = append(records, r)
	}
	if len(records) > 0 {
		lm.BroadcastRegister(records)
	}
}

// passiveInstances returns the instances that may not act yet: while the owners are not in force in the latest era of the
// store, those that are registered only there.
func (lm *Manager) passiveInstances(instances map[string]roster.Entry) map[string]bool {
	if !lm.view.awaitsOpening() {
		return nil
	}
	current, out := lm.view.get(), map[string]bool{}
	for name, e := range instances {
		out[name] = !current.registered(name, e.Incarnation)
	}
	return out
}

// updateRoster applies changes of the register to the roster. While the owners are not in force, that is the register as it
// will be put in force with them.
func (lm *Manager) updateRoster() {
	before, after := lm.rosterInstances, lm.instances()
	lm.rosterInstances = after
	changed, deleted := make(map[string]roster.Entry), []string(nil)
	for name, e := range after {
		if old, known := before[name]; !known || old != e {
			changed[name] = e
			if e.Ended && !lm.guards.ignoreFormerEnds {
				deleted = append(deleted, name)
			}
		}
	}
	for name := range before {
		if _, found := after[name]; !found {
			deleted = append(deleted, name)
		}
	}
	if len(changed)+len(deleted) > 0 {
		lm.Roster.Update(changed, deleted, time.Now())
	}
	lm.Roster.SetPassive(lm.passiveInstances(after), time.Now())
}
