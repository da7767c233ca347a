package cmds

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/bundle"
)

// The stand-in closes the connection after the append took effect. The command must find its own
// record when it reads the log over HTTP.
func TestSubmitOverHTTP(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	service := stubs.NewLogService(stubs.LogSettings{AppendRate: 1000})
	server := httptest.NewServer(service)
	defer server.Close()
	signers, err := readSigners(env.roots)
	is.NoErr(err)
	service.SetFault(stubs.LogFault{LoseAnswers: 1})
	c := BundlePublishCmd{File: env.writeBundle(1, "one.json", nil), bundleSignFlags: env.signFlags("ana")}
	var out bytes.Buffer
	is.NoErr(c.run(t.Context(), newBundleLog(logcl.New(server.URL, server.Client()), signers), &out))
	is.True(bytes.Contains(out.Bytes(), []byte(`by "ana": accepted at offset 0`)))
	is.Equal(service.Appends(), 2)
}

// The log no longer holds its first records. The command starts at the checkpoint after the gap, or
// at the oldest record if there is none.
func TestCatchUpAfterGap(t *testing.T) {
	tests := map[string]struct {
		checkpoint bool
		version    uint64
		since      uint64
	}{
		"checkpoint":    {checkpoint: true, version: 1, since: 0},
		"no checkpoint": {version: 0, since: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newOperatorEnv(t)
			env.release(env.writeBundle(1, "one.json", nil), 1)
			signers, err := readSigners(env.roots)
			is.NoErr(err)
			if tt.checkpoint {
				env.addCheckpoint(signers)
				_, err := env.publish(env.writeBundle(2, "two.json", nil), "ana", false)
				is.NoErr(err)
			}
			l := newBundleLog(&truncatedLog{fakeLog: env.log, oldest: 2}, signers)
			is.NoErr(l.catchUp(t.Context(), 0))
			is.Equal(l.state.Next, uint64(len(env.log.entries)))
			is.Equal(l.state.StartOffset, tt.since)
			version := uint64(0)
			if l.state.InForce != nil {
				version = l.state.InForce.Version
			}
			is.Equal(version, tt.version)
		})
	}
}

// addCheckpoint appends a checkpoint mark and its checkpoint to the log.
func (e *operatorEnv) addCheckpoint(signers []bundle.Signer) {
	e.t.Helper()
	is := is.New(e.t)
	s := fold.New(signers)
	for _, r := range []func() (record.Record, error){
		func() (record.Record, error) { return s.NewMark("one") },
		func() (record.Record, error) { return s.NewCheckpoint() },
	} {
		made, err := r()
		is.NoErr(err)
		data, err := record.Encode(made)
		is.NoErr(err)
		_, err = e.log.Append(e.t.Context(), "checkpoint", data)
		is.NoErr(err)
		for s.Next < uint64(len(e.log.entries)) {
			s.Apply(e.log.entries[s.Next])
		}
	}
}
