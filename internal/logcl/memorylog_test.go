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

func (t *memoryLog) next() uint64 {
	return t.oldest + uint64(len(t.entries))
}

func (t *memoryLog) add(id string, data []byte) uint64 {
	t.entries = append(t.entries, record.Entry{Offset: t.next(), ID: id, Data: data})
	if over := len(t.entries) - t.maxRecords; t.maxRecords > 0 && over > 0 {
		t.entries = t.entries[over:]
		t.oldest += uint64(over)
	}
	return t.next() - 1
}

// replace starts an empty log with another identity and offsets from zero.
func (t *memoryLog) replace() {
	*t = memoryLog{replacements: t.replacements + 1, maxRecords: t.maxRecords, anonymous: t.anonymous}
}

func (t *memoryLog) read(from uint64, limit int) (logcl.Batch, error) {
	batch := logcl.Batch{Oldest: t.oldest, Next: t.next(), Identity: fmt.Sprint("tape-", t.replacements)}
	if t.anonymous {
		batch.Identity = ""
	}
	if from < t.oldest {
		return batch, logcl.ErrGap
	}
	if from < t.next() {
		part := t.entries[from-t.oldest:]
		batch.Entries = part[:min(limit, len(part))]
	}
	return batch, nil
}

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 2))
}
