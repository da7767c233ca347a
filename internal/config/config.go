// Package config reads the settings of a process from a JSON file and validates them before
// anything starts.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// Error is a fault in a settings file. Its text is one line of key=value pairs: the file, the
// field, what was found in it, and how to correct it.
type Error struct {
	File string
	// Field is the path of the JSON field, such as "tls.key", or "-" for the file as a whole.
	Field string
	Found string
	// Fix is an instruction to the operator, such as "give a value".
	Fix string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings file=%s field=%s found=%s mend=%s", e.File, quote(e.Field), quote(e.Found), quote(e.Fix))
}

// quote quotes a value where it would break up a line of key=value pairs.
func quote(text string) string {
	if strings.ContainsAny(text, " =\"") || text == "" {
		return fmt.Sprintf("%q", text)
	}
	return text
}

// Checker is implemented by settings that validate themselves after decoding.
type Checker interface {
	// Check returns an *Error for a fault in the settings, or nil. File is the name of the
	// settings file for that error. Check may also fill in defaults.
	Check(file string) error
}

// Load reads settings of type T from a JSON file and validates them. Unknown fields are faults.
// Every fault, including an unreadable file, is returned as an *Error.
func Load[T any, P interface {
	*T
	Checker
}](file string) (T, error) {
	var settings T
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, &Error{File: file, Field: "-", Found: err.Error(), Fix: "name a readable file"}
	}
	if err := decode(file, data, &settings); err != nil {
		return settings, err
	}
	if err := P(&settings).Check(file); err != nil {
		return settings, err
	}
	return settings, nil
}

// decode accepts exactly one JSON value, without unknown fields.
func decode(file string, data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return describe(file, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: file, Field: "-", Found: "text after the settings", Fix: "keep one JSON object in the file"}
	}
	return nil
}

// unknownField is the start of the error text of encoding/json for an unknown field, which has no
// error type.
const unknownField = "json: unknown field "

// describe turns a decoding error into an *Error that names the field if possible.
func describe(file string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &Error{File: file, Field: wrongType.Field, Found: wrongType.Value, Fix: "give a value of type " + wrongType.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), unknownField); found {
		return &Error{File: file, Field: strings.Trim(name, `"`), Found: "an unknown field", Fix: "remove it or correct its name"}
	}
	return &Error{File: file, Field: "-", Found: err.Error(), Fix: "write one JSON object"}
}
