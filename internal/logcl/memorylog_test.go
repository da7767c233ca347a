package logcl_test

import (
	"fmt"
	"math/rand/v2"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

// memoryLog is a fake of the log service in memory. It retains maxRecords records, or all if that
// is zero.
type memoryLog struct {
	entries      []record.Entry
	oldest       uint64
	replacements int
	maxRecords   int
	// anonymous reports whether batches state no identity.
	anonymous bool
}

func (l *memoryLog) next() uint64 {
	return l.oldest + uint64(len(l.entries))
}

func (l *memoryLog) add(id string, data []byte) uint64 {
	l.entries = append(l.entries, record.Entry{Offset: l.next(), ID: id, Data: data})
	if over := len(l.entries) - l.maxRecords; l.maxRecords > 0 && over > 0 {
		l.entries = l.entries[over:]
		l.oldest += uint64(over)
	}
	return l.next() - 1
}

// replace starts an empty log with another identity and offsets from zero.
func (l *memoryLog) replace() {
	*l = memoryLog{replacements: l.replacements + 1, maxRecords: l.maxRecords, anonymous: l.anonymous}
}

func (l *memoryLog) read(from uint64, limit int) (logcl.Batch, error) {
	batch := logcl.Batch{Oldest: l.oldest, Next: l.next(), Identity: fmt.Sprint("tape-", l.replacements)}
	if l.anonymous {
		batch.Identity = ""
	}
	if from < l.oldest {
		return batch, logcl.ErrGap
	}
	if from < l.next() {
		part := l.entries[from-l.oldest:]
		batch.Entries = part[:min(limit, len(part))]
	}
	return batch, nil
}

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 2))
}
