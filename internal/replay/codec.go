package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTrace is returned for a trace that cannot be read.
var ErrTrace = errors.New("replay: malformed trace")

// maxLine bounds the length of one line of a trace in bytes.
const maxLine = 1 << 20

// TimedEvent is an event with its time.
type TimedEvent struct {
	At    Time
	Event Event
}

// line is one line of a trace: a time and exactly one event.
type line struct {
	At       Time      `json:"at-ms"`
	Header   *Header   `json:"header,omitempty"`
	Bundled  *Bundled  `json:"bundled,omitempty"`
	Requests *Requests `json:"requests,omitempty"`
	Server   *Server   `json:"server,omitempty"`
	Instance *Instance `json:"instance,omitempty"`
	Domain   *Domain   `json:"domain,omitempty"`
	Log      *Log      `json:"log,omitempty"`
	Ended    *Ended    `json:"ended,omitempty"`
}

// Read reads a trace of JSON lines. It checks that the header comes first, that time does
// not go back and that the trace ends.
func Read(r io.Reader) ([]TimedEvent, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 1<<16), maxLine)
	var trace []TimedEvent
	for number := 1; lines.Scan(); number++ {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrTrace, number, err)
		}
		ev := l.event()
		if ev == nil {
			return nil, fmt.Errorf("%w: line %d: no known event", ErrTrace, number)
		}
		if last := len(trace) - 1; last >= 0 && l.At < trace[last].At {
			return nil, fmt.Errorf("%w: line %d: time goes back", ErrTrace, number)
		}
		trace = append(trace, TimedEvent{At: l.At, Event: ev})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTrace, err)
	}
	return trace, check(trace)
}

// check looks at what holds for a trace as a whole.
func check(trace []TimedEvent) error {
	if len(trace) == 0 {
		return fmt.Errorf("%w: empty", ErrTrace)
	}
	if _, ok := trace[0].Event.(Header); !ok {
		return fmt.Errorf("%w: the first line is no header", ErrTrace)
	}
	if _, ok := trace[len(trace)-1].Event.(Ended); !ok {
		return fmt.Errorf("%w: the last line is no end", ErrTrace)
	}
	return nil
}

// event returns the event of a line, or nil.
func (l line) event() Event {
	switch {
	case l.Header != nil:
		return *l.Header
	case l.Bundled != nil:
		return *l.Bundled
	case l.Requests != nil:
		return *l.Requests
	case l.Server != nil:
		return *l.Server
	case l.Instance != nil:
		return *l.Instance
	case l.Domain != nil:
		return *l.Domain
	case l.Log != nil:
		return *l.Log
	case l.Ended != nil:
		return *l.Ended
	default:
		return nil
	}
}

// Write writes a trace as JSON lines.
func Write(w io.Writer, trace []TimedEvent) error {
	encoder := json.NewEncoder(w)
	for _, s := range trace {
		if err := encoder.Encode(lineOf(s)); err != nil {
			return fmt.Errorf("replay: write trace: %w", err)
		}
	}
	return nil
}

// lineOf returns the line of an event.
func lineOf(s TimedEvent) line {
	l := line{At: s.At}
	switch ev := s.Event.(type) {
	case Header:
		l.Header = &ev
	case Bundled:
		l.Bundled = &ev
	case Requests:
		l.Requests = &ev
	case Server:
		l.Server = &ev
	case Instance:
		l.Instance = &ev
	case Domain:
		l.Domain = &ev
	case Log:
		l.Log = &ev
	case Ended:
		l.Ended = &ev
	}
	return l
}
