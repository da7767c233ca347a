package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
)

const serveSettings = `{
  "name": "i0", "domain": "north", "ip": "127.0.0.1", "front": "127.0.0.1:1", "ready": "127.0.0.1:2",
  "peer-ports": [7200, 7215], "metrics-port": 9464, "store": "127.0.0.1:3", "cpu-share": 0.5, "link-mbps": 100,
  "memory-mb": 200, "first-start": true,
  "bounds": {"drain-seconds": 2, "stop-seconds": 6, "retry-ratio": 0.2, "retry-window-seconds": 10, "retry-slack": 50}
}`

// withLoad returns a case with settings in the table "load". Field is that of the expected fault.
func withLoad(settings, field string) struct{ from, to, field string } {
	return struct{ from, to, field string }{`"first-start": true,`, `"first-start": true, "load": {` + settings + `},`, field}
}

func TestServe(t *testing.T) {
	tests := map[string]struct{ from, to, field string }{
		"valid":                    {"", "", ""},
		"no name":                  {`"name": "i0"`, `"name": null`, "name"},
		"no address":               {`"store": "127.0.0.1:3"`, `"store": ""`, "store"},
		"no ports":                 {`[7200, 7215]`, `[]`, "peer-ports"},
		"ports in the wrong order": {`[7200, 7215]`, `[7215, 7200]`, "peer-ports"},
		"no CPU share":             {`"cpu-share": 0.5`, `"cpu-share": 0`, "cpu-share"},
		"unknown field":            {`"name"`, `"colour": 1, "name"`, "colour"},
		"wrong type":               {`"memory-mb": 200`, `"memory-mb": "much"`, "memory-mb"},
		"load settings":            withLoad(`"caller-identity": "address", "fair-shares": true, "kept-returns": true, "priority-floors": [0, 0.2]`, ""),
		"identity by header":       withLoad(`"caller-identity": "header", "caller-header": "X-Tenant", "fair-shares": true`, ""),
		"unknown identity":         withLoad(`"caller-identity": "cookie"`, "load.caller-identity"),
		"no header":                withLoad(`"caller-identity": "header"`, "load.caller-header"),
		"header is not used":       withLoad(`"caller-identity": "address", "caller-header": "X-Tenant"`, "load.caller-header"),
		"shares without identity":  withLoad(`"fair-shares": true`, "load.fair-shares"),
		"returns without identity": withLoad(`"kept-returns": true`, "load.kept-returns"),
		"header with a space":      withLoad(`"caller-identity": "header", "caller-header": "X Tenant"`, "load.caller-header"),
		"log without identity":     withLoad(`"log-callers": true`, "load.log-callers"),
		"floor too high":           withLoad(`"priority-floors": [0, 0.6]`, "load.priority-floors"),
		"floor below zero":         withLoad(`"priority-floors": [-0.1]`, "load.priority-floors"),
		"floors take everything":   withLoad(`"priority-floors": [0.5, 0.5]`, "load.priority-floors"),
		"bodies take too much":     withLoad(`"body-memory-share": 0.6`, "load.body-memory-share"),
		"flag of another type":     withLoad(`"repeat-rejected": "yes"`, "load.repeat-rejected"),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(serveSettings, test.from, test.to, 1)), 0o600))
			_, err := config.Load[config.Serve](file)
			if test.field == "" {
				is.NoErr(err)
				return
			}
			var fault *config.Error
			is.True(errors.As(err, &fault))
			is.Equal(fault.Field, test.field)
			is.Equal(fault.File, file)
		})
	}
}
