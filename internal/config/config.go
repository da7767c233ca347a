// Package config reads the settings of one process from a JSON file and checks them before
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

// Error is a fault in a settings file. Its text is one line that names the file, the field
// and what mends it.
type Error struct {
	File  string
	Field string
	Found string
	Fix   string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings file=%s field=%s found=%s mend=%s", e.File, quote(e.Field), quote(e.Found), quote(e.Fix))
}

func quote(text string) string {
	if strings.ContainsAny(text, " =\"") || text == "" {
		return fmt.Sprintf("%q", text)
	}
	return text
}

// Checker is implemented by settings that check themselves after decoding.
type Checker interface {
	// Check returns the faults of the settings. File names the source in each fault.
	Check(file string) error
}

// Load reads and checks the settings of type T from a file. Every fault is an *Error.
func Load[T any, P interface {
	*T
	Checker
}](file string) (T, error) {
	var settings T
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, &Error{File: file, Field: "-", Found: err.Error(), Fix: "name a file that can be read"}
	}
	if err := decode(file, data, &settings); err != nil {
		return settings, err
	}
	if err := P(&settings).Check(file); err != nil {
		return settings, err
	}
	return settings, nil
}

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

const unknownField = "json: unknown field "

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
