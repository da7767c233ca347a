package bundle

import (
	"bytes"
	"fmt"
)

// Bounds of edits of text.
const (
	// minCopy is the number of bytes below which a copy is not worth its description.
	minCopy = 32
	// maxFrame bounds the text that edits may lead to.
	maxFrame = 16 << 20
)

// piece is a part of a canonical form that ends with a closing brace.
type piece struct {
	from, to int
}

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

// textEdits finds runs of pieces that both texts have. It takes the first place where a piece
// stands in the base, and goes on from there as long as the pieces agree.
func textEdits(base, next []byte) []TextEdit {
	places := make(map[string]piece)
	for _, p := range pieces(base) {
		text := string(base[p.from:p.to])
		if _, known := places[text]; !known {
			places[text] = p
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
		if place, known := places[string(text)]; known && len(text) >= minCopy {
			list = appendTextEdit(list, run)
			run = TextEdit{From: place.from, Count: len(text)}
			continue
		}
		run.Text += string(text)
	}
	return appendTextEdit(list, run)
}

func appendTextEdit(list []TextEdit, e TextEdit) []TextEdit {
	if e.Count == 0 && e.Text == "" {
		return list
	}
	return append(list, e)
}

func applyText(base []byte, edits []TextEdit) ([]byte, error) {
	next := make([]byte, 0, len(base))
	for i, e := range edits {
		if e.From < 0 || e.Count < 0 || e.From > len(base) || e.Count > len(base)-e.From {
			return nil, fmt.Errorf("%w: edit %d copies %d bytes from %d of %d", ErrDelta, i, e.Count, e.From, len(base))
		}
		if len(next)+e.Count+len(e.Text) > maxFrame {
			return nil, fmt.Errorf("%w: more than %d bytes", ErrDelta, maxFrame)
		}
		next = append(next, base[e.From:e.From+e.Count]...)
		next = append(next, e.Text...)
	}
	return next, nil
}
