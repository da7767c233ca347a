package logcl

import (
	"slices"

	"example.org/mustardring/internal/record"
)

// maxMerged bounds the assignments that are joined into one record.
const maxMerged = 1024

// item is one record to be appended, for one or more submissions.
type item struct {
	// id is the ID in the log: that of the first submission.
	id string
	// submissions are the submissions that the record answers.
	submissions []string
	record  record.Record
	// sources has, by server, the submission that an assignment came from.
	sources map[string]string
	// data is set once the record has been encoded to be sent. It does not change any more,
	// because the ID and the data may already stand in the log.
	data []byte
	// inFlight says that a Write is out without an answer.
	inFlight bool
	// stale says that the answer to that Write may come from a log that is no more.
	stale bool
}

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

// priority orders the kinds: what decides who leads and what is in force goes before the many
// assignments that may have waited for the log to return, and checkpoints go last.
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

// sameServers reports whether the item holds assignments of the same service and domain.
func (i *item) sameServers(r record.AssignmentMade) bool {
	own, ok := i.record.(record.AssignmentMade)
	return ok && own.Domain == r.Domain && own.Service == r.Service
}

// merge joins a newer record of the same servers into the item, unless the item was sent or
// would become too large. A higher epoch replaces a lower one of the same server, so that
// hours of moves wait in the space of one assignment for each server. It returns the
// submissions of which nothing is left.
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

// removeUnused removes the submissions that no assignment comes from any more.
func (i *item) removeUnused() []string {
	live := make(map[string]bool, len(i.sources))
	for _, source := range i.sources {
		live[source] = true
	}
	var gone []string
	i.submissions = slices.DeleteFunc(i.submissions, func(id string) bool {
		if !live[id] {
			gone = append(gone, id)
		}
		return !live[id]
	})
	return gone
}

// supersedes reports whether a newer record makes an unsent older one pointless.
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
