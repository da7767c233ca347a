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

// maxFound bounds the text of a value in a Problem.
const maxFound = 60

// compiled compiles the embedded schema, which a test shows to be correct.
var compiled = sync.OnceValue(func() *jsonschema.Schema {
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

// Schema examines the bytes of a bundle file by the JSON Schema.
func Schema(name string, data []byte) Problems {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{File: name, Found: err.Error(), Expected: "one JSON object"}}
	}
	err = compiled().Validate(value)
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

type reporter struct {
	file     string
	value    any
	printer  *message.Printer
	problems Problems
}

// report adds the innermost causes, which say what is wrong where.
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

func pointer(location []string) string {
	var b strings.Builder
	for _, step := range location {
		b.WriteString("/")
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(step))
	}
	return b.String()
}

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
	if len(text) > maxFound {
		return string(text[:maxFound]) + "..."
	}
	return string(text)
}
