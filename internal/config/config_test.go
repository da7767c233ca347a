package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `{"name":"a-1","domain":"a","caller-address":"127.0.0.1:1","peer-address":"127.0.0.1:2",
"forward-address":"127.0.0.1:3","operator-address":"127.0.0.1:4","operator-token":"t",
"log-url":"http://127.0.0.1:5","list-url":"http://127.0.0.1:6",
"tls":{"certificate":"c","key":"k","authority":"a"},"peers":[],
"roots":[{"name":"p","public-key":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","roles":["publish"]}]}`

func TestLoadRun(t *testing.T) {
	tests := map[string]struct {
		old, new string
		field    string
	}{
		"valid":           {},
		"unknown field":   {old: `"name":"a-1"`, new: `"name":"a-1","nick":"x"`, field: "nick"},
		"missing address": {old: `"peer-address":"127.0.0.1:2",`, new: ``, field: "peer-address"},
		"host name":       {old: `127.0.0.1:3`, new: `localhost:3`, field: "forward-address"},
		"wrong type":      {old: `"name":"a-1"`, new: `"name":7`, field: "name"},
		"no roots":        {old: `"roots":[{"name":"p","public-key":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","roles":["publish"]}]`, new: `"roots":[]`, field: "roots"},
		"bad log":         {old: `http://127.0.0.1:5`, new: `127.0.0.1:5`, field: "log-url"},
		"trailing text":   {old: `"domain":"a"`, new: `"domain":"a"}{`, field: "-"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "run.json")
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(valid, tt.old, tt.new, 1)), 0o600))
			_, err := Load[Run](file)
			if tt.field == "" {
				is.NoErr(err)
				return
			}
			var fault *Error
			is.True(errors.As(err, &fault))
			is.Equal(fault.Field, tt.field)
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}
