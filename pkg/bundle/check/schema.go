package check

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// SchemaJSON is the JSON Schema of the bundle format.
//
//go:embed schema.json
var SchemaJSON []byte

const schemaURL = "https://example.org/mustardring/bundle-1.json"

// maxFoundBytes is the largest length of the JSON of a value in Problem.Found.
const maxFoundBytes = 60

// compiledSchema returns the embedded schema, compiled at the first call. It panics if the schema
// is malformed, which the tests of this package would show.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(SchemaJSON))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, document); err != nil {
		panic(err)
	}
	return c.MustCompile(schemaURL)
})

// Schema checks the content of a bundle file against the JSON Schema. Name is used in the problems
// only.
func Schema(name string, data []byte) Problems {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{File: name, Found: err.Error(), Expected: "one JSON object"}}
	}
	err = compiledSchema().Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Problems{{File: name, Found: err.Error(), Expected: "a bundle"}}
	}
	r := reporter{file: name, value: value, printer: message.NewPrinter(language.English)}
	r.report(invalid)
	return r.problems
}

// reporter converts the errors of the schema validator to problems.
type reporter struct {
	file     string
	value    any
	printer  *message.Printer
	problems Problems
}

// report adds a problem for each innermost cause of e. Only these say what is wrong at which place.
func (r *reporter) report(e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		r.report(cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	r.problems = append(r.problems, Problem{
		File:     r.file,
		Pointer:  pointer(e.InstanceLocation),
		Found:    describe(find(r.value, e.InstanceLocation)),
		Expected: "to fit the schema: " + e.ErrorKind.LocalizedString(r.printer),
	})
}

// pointer returns the JSON pointer to a location (RFC 6901).
func pointer(location []string) string {
	var b strings.Builder
	for _, step := range location {
		b.WriteString("/")
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(step))
	}
	return b.String()
}

// find returns the part of a JSON value at a location, or nil.
func find(value any, location []string) any {
	for _, step := range location {
		switch v := value.(type) {
		case map[string]any:
			value = v[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		}
	}
	return value
}

// describe returns the size of an object or array, and other values as JSON, cut to maxFoundBytes.
func describe(value any) string {
	switch v := value.(type) {
	case map[string]any:
		return fmt.Sprintf("an object of %d members", len(v))
	case []any:
		return fmt.Sprintf("an array of %d", len(v))
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(text) > maxFoundBytes {
		return string(text[:maxFoundBytes]) + "..."
	}
	return string(text)
}
