package event

import (
	"bufio"
	"io"
	"iter"
	"strings"
)

// maxLineLength is the maximum length of a log line that can be read, in bytes.
const maxLineLength = 1 << 20

// Lines returns the lines of an event log. Text before "time=" is cut off, and lines without it are
// skipped. An error of the reader, or a line longer than maxLineLength, ends the sequence.
func Lines(r io.Reader) iter.Seq2[string, error] {
	return func(yield func(string, error) bool) {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineLength)
		for s.Scan() {
			text := s.Text()
			if at := strings.Index(text, "time="); at >= 0 && !yield(text[at:], nil) {
				return
			}
		}
		if s.Err() != nil {
			yield("", s.Err())
		}
	}
}

// ParseFields splits a line of key=value pairs and adds the fields to a map. Quoted values may
// contain spaces; escape sequences in them are kept as they are.
func ParseFields(text string, into map[string]string) {
	for text != "" {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			return
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			end := 1
			for end < len(rest) && rest[end] != '"' {
				if rest[end] == '\\' {
					end++
				}
				end++
			}
			value, rest = rest[1:min(end, len(rest))], rest[min(end+1, len(rest)):]
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		into[strings.TrimSpace(key)] = value
		text = strings.TrimLeft(rest, " ")
	}
}
