package logcl

import (
	"slices"

	"example.org/mustardring/internal/record"
)

// maxMerged is the largest number of assignments that are merged into one record.
const maxMerged = 1024

// item is a queued record. It may contain the merged assignments of several submissions.
type item struct {
	// id is the ID of the record in the log, which is that of the first submission.
	id string
	// submissions lists the IDs that are acknowledged or dropped with the record.
	submissions []string
	record      record.Record
	// sources maps the server of each assignment to the ID of the submission that contained the
	// assignment. It is nil for other kinds of records.
	sources map[string]string
	// data is the encoded record. It is set when the record is first sent and then never changes,
	// because a record with this ID and data may already be in the log.
	data []byte
	// inFlight reports whether a Write has no result yet.
	inFlight bool
	// stale reports whether the result of that Write may come from a log that has since been
	// replaced.
	stale bool
}

// newItem returns an item for one submission. It copies the assignments, because merge changes
// them.
func newItem(id string, r record.Record) *item {
	i := &item{id: id, submissions: []string{id}, record: r}
	if made, ok := r.(record.AssignmentMade); ok {
		i.sources = make(map[string]string)
		for _, a := range made.Assignments {
			i.sources[a.Server] = id
		}
		made.Assignments = slices.Clone(made.Assignments)
		i.record = made
	}
	return i
}

// sent reports whether the record may have been sent.
func (i *item) sent() bool {
	return i.data != nil
}

func (i *item) encode() error {
	if i.sent() {
		return nil
	}
	data, err := record.Encode(i.record)
	if err != nil {
		return err
	}
	i.data = data
	return nil
}

// priority returns the order in which kinds of records are sent, lowest first. Records that
// decide which instance leads and which bundle is in force precede the assignments, of which
// many may have queued up while the log was down. Checkpoints come last.
func priority(r record.Record) int {
	switch r.(type) {
	case record.Checkpoint, record.CheckpointMarked:
		return 2
	case record.AssignmentMade:
		return 1
	default:
		return 0
	}
}

// sameService reports whether the item holds assignments of the same service and domain as r.
func (i *item) sameService(r record.AssignmentMade) bool {
	own, ok := i.record.(record.AssignmentMade)
	return ok && own.Domain == r.Domain && own.Service == r.Service
}

// merge adds the assignments of a newer record for the same service and domain to the item,
// unless the item was sent or would become too large. An assignment replaces one of the same
// server with an epoch that is not higher, so that the queue holds one assignment per server
// even after hours of moves without a log. It returns the submissions of which no assignment
// is left.
func (i *item) merge(id string, newer record.AssignmentMade) (replaced []string, merged bool) {
	own := i.record.(record.AssignmentMade)
	if i.sent() || own.Provisional != newer.Provisional || len(own.Assignments)+len(newer.Assignments) > maxMerged {
		return nil, false
	}
	for _, a := range newer.Assignments {
		n := slices.IndexFunc(own.Assignments, func(o record.Assignment) bool { return o.Server == a.Server })
		switch {
		case n < 0:
			own.Assignments = append(own.Assignments, a)
		case a.Epoch.Compare(own.Assignments[n].Epoch) >= 0:
			own.Assignments[n] = a
		default:
			continue
		}
		i.sources[a.Server] = id
	}
	i.record = own
	i.submissions = append(i.submissions, id)
	return i.removeUnused(), true
}

// removeUnused removes and returns the submissions of which no assignment is left.
func (i *item) removeUnused() []string {
	live := make(map[string]bool, len(i.sources))
	for _, source := range i.sources {
		live[source] = true
	}
	var unused []string
	i.submissions = slices.DeleteFunc(i.submissions, func(id string) bool {
		if !live[id] {
			unused = append(unused, id)
		}
		return !live[id]
	})
	return unused
}

// supersedes reports whether an older record need not be appended if the newer one is.
func supersedes(newer, older record.Record) bool {
	switch n := newer.(type) {
	case record.Checkpoint:
		_, ok := older.(record.Checkpoint)
		return ok
	case record.CheckpointMarked:
		_, ok := older.(record.CheckpointMarked)
		return ok
	case record.TermClaimed:
		o, ok := older.(record.TermClaimed)
		return ok && o.Domain == n.Domain
	default:
		return false
	}
}
