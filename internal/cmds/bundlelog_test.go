package cmds

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stand"
	"example.org/mustardring/pkg/bundle"
)

// The stand-in breaks the connection after the append took effect. What the command then
// reads back over HTTP must be its own record.
func TestSubmitOverHTTP(t *testing.T) {
	is := is.New(t)
	d := newOperatorEnv(t)
	service := stand.NewLogService(stand.LogSettings{AppendRate: 1000})
	server := httptest.NewServer(service)
	defer server.Close()
	signers, err := readSigners(d.roots)
	is.NoErr(err)
	service.SetFault(stand.LogFault{LoseAnswers: 1})
	c := BundlePublishCmd{File: d.writeBundle(1, "one.json", nil), bundleSignFlags: d.signFlags("ana")}
	var out bytes.Buffer
	is.NoErr(c.run(t.Context(), newBundleLog(logcl.New(server.URL, server.Client()), signers), &out))
	is.True(bytes.Contains(out.Bytes(), []byte(`by "ana": accepted at offset 0`)))
	is.Equal(service.Appends(), 2)
}

// The log forgot its first records. The command starts at the checkpoint behind the gap, and
// without one at the oldest record.
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
			d := newOperatorEnv(t)
			d.release(d.writeBundle(1, "one.json", nil), 1)
			signers, err := readSigners(d.roots)
			is.NoErr(err)
			if tt.checkpoint {
				d.addCheckpoint(signers)
				_, err := d.publish(d.writeBundle(2, "two.json", nil), "ana", false)
				is.NoErr(err)
			}
			l := newBundleLog(&truncatedLog{fakeLog: d.log, oldest: 2}, signers)
			is.NoErr(l.catchUp(t.Context(), 0))
			is.Equal(l.state.Next, uint64(len(d.log.entries)))
			is.Equal(l.state.StartOffset, tt.since)
			version := uint64(0)
			if l.state.InForce != nil {
				version = l.state.InForce.Version
			}
			is.Equal(version, tt.version)
		})
	}
}

// addCheckpoint appends a mark and its checkpoint.
func (d *operatorEnv) addCheckpoint(signers []bundle.Signer) {
	d.t.Helper()
	is := is.New(d.t)
	s := fold.New(signers)
	for _, r := range []func() (record.Record, error){
		func() (record.Record, error) { return s.NewMark("one") },
		func() (record.Record, error) { return s.NewCheckpoint() },
	} {
		made, err := r()
		is.NoErr(err)
		data, err := record.Encode(made)
		is.NoErr(err)
		_, err = d.log.Append(d.t.Context(), "checkpoint", data)
		is.NoErr(err)
		for s.Next < uint64(len(d.log.entries)) {
			s.Apply(d.log.entries[s.Next])
		}
	}
}
