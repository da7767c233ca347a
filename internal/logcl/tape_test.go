package logcl_test

import (
	"fmt"
	"math/rand/v2"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

// tape is a log in memory.
type tape struct {
	entries []record.Entry
	oldest  uint64
	started int
	keep    int
	// anonymous says that the log names no identity.
	anonymous bool
}

func (t *tape) next() uint64 {
	return t.oldest + uint64(len(t.entries))
}

func (t *tape) add(id string, data []byte) uint64 {
	t.entries = append(t.entries, record.Entry{Offset: t.next(), ID: id, Data: data})
	if over := len(t.entries) - t.keep; t.keep > 0 && over > 0 {
		t.entries = t.entries[over:]
		t.oldest += uint64(over)
	}
	return t.next() - 1
}

func (t *tape) startAnew() {
	*t = tape{started: t.started + 1, keep: t.keep, anonymous: t.anonymous}
}

func (t *tape) read(from uint64, limit int) (logcl.Batch, error) {
	batch := logcl.Batch{Oldest: t.oldest, Next: t.next(), Identity: fmt.Sprint("tape-", t.started)}
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
