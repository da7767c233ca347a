package cmds

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/certs"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/entry"
	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/trace"
)

// RunCmd runs an entry instance.
type RunCmd struct {
	Settings string `required:"" help:"JSON file with the settings of the instance." type:"path"`
}

// Run serves until the process is told to stop, and then stops gracefully.
func (c *RunCmd) Run(logger *log.Logger) error {
	settings, err := config.Load[config.Run](c.Settings)
	if err != nil {
		return err
	}
	deps, err := newDeps(c.Settings, settings, logger)
	if err != nil {
		return err
	}
	spans, err := trace.New(trace.Exporter(settings.Traces), settings.Name, settings.Domain, os.Stdout)
	if err != nil {
		return err
	}
	deps.Tracer = spans.Tracer()
	e, err := entry.New(deps)
	if err != nil {
		return err
	}
	expvar.Publish("mustardring-control", e.ControlCounters().Var())
	expvar.Publish("mustardring-requests", e.RequestCounters())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return errors.Join(e.Run(ctx), spans.Close(context.Background()))
}

func newDeps(file string, settings config.Run, logger *log.Logger) (entry.Deps, error) {
	pair, authority, err := readPair(file, settings.TLS)
	if err != nil {
		return entry.Deps{}, err
	}
	tlsConfig, err := certs.Config(pair, authority)
	if err != nil {
		return entry.Deps{}, &config.Error{File: file, Field: "tls", Found: err.Error(), Fix: "name PEM files made by mustardring certs"}
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return entry.Deps{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdle}}
	return entry.Deps{
		Settings:    settings,
		TLS:         tlsConfig,
		Log:         logcl.New(settings.LogURL, client),
		List:        listcl.New(settings.ListURL, client),
		Placer:      place.New(),
		Logger:      logger,
		Incarnation: incarnation,
	}, nil
}

// platformIdle is the number of idle connections kept to the log and the list.
const platformIdle = 4

// readPair reads PEM files that are named relative to the settings file.
func readPair(file string, t config.TLS) (certs.Pair, []byte, error) {
	certificate, err := readBeside(file, "tls.certificate", t.Certificate)
	if err != nil {
		return certs.Pair{}, nil, err
	}
	key, err := readBeside(file, "tls.key", t.Key)
	if err != nil {
		return certs.Pair{}, nil, err
	}
	authority, err := readBeside(file, "tls.authority", t.Authority)
	if err != nil {
		return certs.Pair{}, nil, err
	}
	return certs.Pair{Certificate: certificate, Key: key}, authority, nil
}

func readBeside(file, field, name string) ([]byte, error) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(file), name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &config.Error{File: file, Field: field, Found: err.Error(), Fix: "name a PEM file that can be read"}
	}
	return data, nil
}

// newIncarnation returns a random number, which no two processes share in practice.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("cmds: making an incarnation: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1, nil
}
