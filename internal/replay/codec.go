package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTrace is returned for a trace that cannot be read or replayed.
var ErrTrace = errors.New("replay: malformed trace")

// maxLine is the maximum length of one line of a trace in bytes.
const maxLine = 1 << 20

// TimedEvent is an event and the time at which it happened.
type TimedEvent struct {
	At    Time
	Event Event
}

// line is the JSON form of a TimedEvent. Exactly one of the pointers is set.
type line struct {
	At       Time            `json:"at-ms"`
	Header   *Header         `json:"header,omitempty"`
	Bundled  *BundleInForce  `json:"bundled,omitempty"`
	Requests *Requests       `json:"requests,omitempty"`
	Server   *ServerChange   `json:"server,omitempty"`
	Instance *InstanceChange `json:"instance,omitempty"`
	Domain   *DomainChange   `json:"domain,omitempty"`
	Log      *LogChange      `json:"log,omitempty"`
	Ended    *Ended          `json:"ended,omitempty"`
}

// Read reads a trace with one JSON object per line. The trace must begin with a Header and end
// with Ended, and its events must be sorted by time; otherwise the error is an ErrTrace.
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
			return nil, fmt.Errorf("%w: line %d: unknown event", ErrTrace, number)
		}
		if last := len(trace) - 1; last >= 0 && l.At < trace[last].At {
			return nil, fmt.Errorf("%w: line %d: time is before that of the previous line", ErrTrace, number)
		}
		trace = append(trace, TimedEvent{At: l.At, Event: ev})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTrace, err)
	}
	return trace, checkTrace(trace)
}

// checkTrace checks the first and the last event of a trace.
func checkTrace(trace []TimedEvent) error {
	if len(trace) == 0 {
		return fmt.Errorf("%w: no events", ErrTrace)
	}
	if _, ok := trace[0].Event.(Header); !ok {
		return fmt.Errorf("%w: first event is not the header", ErrTrace)
	}
	if _, ok := trace[len(trace)-1].Event.(Ended); !ok {
		return fmt.Errorf("%w: last event is not the end of the trace", ErrTrace)
	}
	return nil
}

// event returns the event of a line, or nil if there is none of a known kind.
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

// Write writes a trace in the form that Read reads.
func Write(w io.Writer, trace []TimedEvent) error {
	encoder := json.NewEncoder(w)
	for _, e := range trace {
		if err := encoder.Encode(lineOf(e)); err != nil {
			return fmt.Errorf("replay: write trace: %w", err)
		}
	}
	return nil
}

// lineOf returns the JSON form of an event.
func lineOf(e TimedEvent) line {
	l := line{At: e.At}
	switch ev := e.Event.(type) {
	case Header:
		l.Header = &ev
	case BundleInForce:
		l.Bundled = &ev
	case Requests:
		l.Requests = &ev
	case ServerChange:
		l.Server = &ev
	case InstanceChange:
		l.Instance = &ev
	case DomainChange:
		l.Domain = &ev
	case LogChange:
		l.Log = &ev
	case Ended:
		l.Ended = &ev
	}
	return l
}
