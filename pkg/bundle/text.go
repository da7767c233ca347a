package bundle

import (
	"bytes"
	"fmt"
)

// Limits of text edits.
const (
	// minCopyBytes is the length of the shortest piece that begins a copy. Shorter pieces take
	// less space as text than as a new edit.
	minCopyBytes = 32
	// maxFrameBytes is the largest length of the resulting text.
	maxFrameBytes = 16 << 20
)

// piece is a part of a canonical form, as offsets from (inclusive) and to (exclusive).
type piece struct {
	from, to int
}

// pieces cuts a canonical form after each closing brace.
func pieces(canonical []byte) []piece {
	var list []piece
	for from := 0; from < len(canonical); {
		to := len(canonical)
		if i := bytes.IndexByte(canonical[from:], '}'); i >= 0 {
			to = from + i + 1
		}
		list = append(list, piece{from: from, to: to})
		from = to
	}
	return list
}

// textEdits returns the edits from base to next. It looks up each piece of next in base and copies
// from its first occurrence there as long as the following text is the same.
func textEdits(base, next []byte) []TextEdit {
	positions := make(map[string]piece)
	for _, p := range pieces(base) {
		text := string(base[p.from:p.to])
		if _, known := positions[text]; !known {
			positions[text] = p
		}
	}
	var list []TextEdit
	var run TextEdit
	for _, p := range pieces(next) {
		text := next[p.from:p.to]
		end := run.From + run.Count
		if run.Text == "" && run.Count > 0 && bytes.HasPrefix(base[end:], text) {
			run.Count += len(text)
			continue
		}
		if position, known := positions[string(text)]; known && len(text) >= minCopyBytes {
			list = appendTextEdit(list, run)
			run = TextEdit{From: position.from, Count: len(text)}
			continue
		}
		run.Text += string(text)
	}
	return appendTextEdit(list, run)
}

// appendTextEdit appends an edit unless it is empty.
func appendTextEdit(list []TextEdit, e TextEdit) []TextEdit {
	if e.Count == 0 && e.Text == "" {
		return list
	}
	return append(list, e)
}

// applyText returns the text that results from the edits.
func applyText(base []byte, edits []TextEdit) ([]byte, error) {
	next := make([]byte, 0, len(base))
	for i, e := range edits {
		if e.From < 0 || e.Count < 0 || e.From > len(base) || e.Count > len(base)-e.From {
			return nil, fmt.Errorf("%w: edit %d copies %d bytes from offset %d, the base has %d", ErrDelta, i, e.Count, e.From, len(base))
		}
		if len(next)+e.Count+len(e.Text) > maxFrameBytes {
			return nil, fmt.Errorf("%w: the result has more than %d bytes", ErrDelta, maxFrameBytes)
		}
		next = append(next, base[e.From:e.From+e.Count]...)
		next = append(next, e.Text...)
	}
	return next, nil
}
