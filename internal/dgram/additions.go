package dgram

import (
	"fmt"

	"example.org/mustardring/internal/pack"
)

// The number of fields of a message is encoded, and a message with another number is not decoded. Fields that the
// previous release does not know therefore follow the message as a second value, which that release does not read.

type requestAddition struct {
	Caller uint32
	Origin uint64
	Retry  bool
}

type decisionAddition struct {
	Returns  int
	LastTry  bool
	Kept     bool
	Reserved bool
}

// additionOf returns the value that follows a message, nil if there is none.
func additionOf(m Message) any {
	switch m := m.(type) {
	case AdmissionRequest:
		if a := (requestAddition{m.Caller, m.Origin, m.Retry}); a != (requestAddition{}) {
			return a
		}
	case AdmissionDecision:
		if a := (decisionAddition{m.Returns, m.LastTry, m.Kept, m.Reserved}); a != (decisionAddition{}) {
			return a
		}
	}
	return nil
}

// addTo returns a message with the fields of the value that follows it, if there is one. The body holds both.
func addTo(m Message, body []byte) (Message, error) {
	switch m := m.(type) {
	case AdmissionRequest:
		a, err := decodeAddition[requestAddition](body)
		m.Caller, m.Origin, m.Retry = a.Caller, a.Origin, a.Retry
		return m, err
	case AdmissionDecision:
		a, err := decodeAddition[decisionAddition](body)
		m.Returns, m.LastTry, m.Kept, m.Reserved = a.Returns, a.LastTry, a.Kept, a.Reserved
		return m, err
	default:
		return m, nil
	}
}

// decodeAddition returns the second value of a body, or the zero value if there is only one.
func decodeAddition[A any](body []byte) (A, error) {
	var none A
	rest, err := pack.Rest(body)
	if err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if len(rest) == 0 {
		return none, nil
	}
	a, err := pack.Decode[A](rest)
	if err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return a, nil
}
