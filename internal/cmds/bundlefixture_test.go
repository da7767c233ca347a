package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// fakeLog is a log in memory. It keeps repeated appends, as the platform's may.
type fakeLog struct {
	entries []record.Entry
	// failCalls is the number of calls that fail before anything is written, lost that of appends
	// whose answer is lost after the record was written.
	failCalls   int
	loseAnswers int
}

func (f *fakeLog) Append(_ context.Context, id string, data []byte) (uint64, error) {
	if f.failCalls > 0 {
		f.failCalls--
		return 0, logcl.ErrUnavailable
	}
	offset := uint64(len(f.entries))
	f.entries = append(f.entries, record.Entry{Offset: offset, ID: id, Data: data})
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, logcl.ErrUncertain
	}
	return offset, nil
}

func (f *fakeLog) Read(_ context.Context, from uint64, limit int) (logcl.Batch, error) {
	if f.failCalls > 0 {
		f.failCalls--
		return logcl.Batch{}, logcl.ErrUnavailable
	}
	next := uint64(len(f.entries))
	end := min(from+uint64(limit), next)
	return logcl.Batch{Entries: f.entries[min(from, end):end], Next: next}, nil
}

// operatorEnv is what an operator has at hand: keys, the signers' file and bundle files.
type operatorEnv struct {
	t     *testing.T
	dir   string
	log   *fakeLog
	roots string
}

func newOperatorEnv(t *testing.T) *operatorEnv {
	d := &operatorEnv{t: t, dir: t.TempDir(), log: &fakeLog{}}
	d.roots = filepath.Join(d.dir, "roots.json")
	for name, roles := range map[string][]bundle.Role{
		"ana": {bundle.RolePublish}, "boris": {bundle.RolePublish},
		"cene": {bundle.RoleApprove, bundle.RoleRoll}, "dora": {bundle.RoleApprove, bundle.RoleRoll},
	} {
		c := BundleKeygenCmd{Name: name, Roles: roles, Dir: d.dir, Roots: d.roots}
		if err := c.run(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// writeBundle writes a version with four servers in two domains, after a change.
func (d *operatorEnv) writeBundle(version uint64, name string, change func(*bundle.Bundle)) string {
	d.t.Helper()
	signers, err := readSigners(d.roots)
	if err != nil {
		d.t.Fatal(err)
	}
	b := &bundle.Bundle{Format: 1, Version: version, Follows: version - 1, Signers: signers}
	s := defaultService("pregled")
	for i, domain := range []string{"klet", "podstresje"} {
		b.Domains = append(b.Domains, bundle.Domain{Name: domain})
		for j := range 2 {
			address := "10.0." + string(rune('0'+i)) + "." + string(rune('1'+j)) + ":80"
			s.Servers = append(s.Servers, bundle.Server{
				Name: domain + "-" + string(rune('1'+j)), Domain: domain, Address: address, Slots: 2, Connections: 110,
			})
		}
	}
	b.Services = []bundle.Service{s}
	if change != nil {
		change(b)
	}
	file := filepath.Join(d.dir, name)
	if err := writeJSONFile(file, b); err != nil {
		d.t.Fatal(err)
	}
	return file
}

func (d *operatorEnv) signFlags(name string) bundleSignFlags {
	return bundleSignFlags{Signer: name, Key: filepath.Join(d.dir, name+keySuffix)}
}

// runCommand runs a command as a new process would, with a wait of 30 s.
func (d *operatorEnv) runCommand(run func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error) (submitResult, error) {
	d.t.Helper()
	signers, err := readSigners(d.roots)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var out bytes.Buffer
	failure := run(ctx, newBundleLog(d.log, signers), &out)
	var s submitResult
	if out.Len() > 0 {
		if err := json.Unmarshal(out.Bytes(), &s); err != nil {
			d.t.Fatal(err)
		}
	}
	return s, failure
}

func (d *operatorEnv) publish(file, name string, allowMoves bool) (submitResult, error) {
	c := BundlePublishCmd{File: file, AllowMoves: allowMoves, bundleSignFlags: d.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return d.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

func (d *operatorEnv) approve(version uint64, hash, name string) (submitResult, error) {
	c := BundleApproveCmd{Version: version, Hash: hash, bundleSignFlags: d.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return d.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

func (d *operatorEnv) roll(version, replaces uint64, name string) (submitResult, error) {
	c := BundleRollCmd{Version: version, Replaces: replaces, bundleSignFlags: d.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return d.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

// release brings a file into force and fails the test if that fails.
func (d *operatorEnv) release(file string, version uint64) {
	d.t.Helper()
	is := is.New(d.t)
	s, err := d.publish(file, "ana", false)
	is.NoErr(err)
	_, err = d.approve(version, s.Hash[:minHashDigits], "cene")
	is.NoErr(err)
	_, err = d.roll(version, 0, "dora")
	is.NoErr(err)
}

// truncatedLog is a fakeLog whose first records are gone.
type truncatedLog struct {
	*fakeLog
	oldest uint64
}

func (f *truncatedLog) Read(ctx context.Context, from uint64, limit int) (logcl.Batch, error) {
	if from < f.oldest {
		return logcl.Batch{Oldest: f.oldest, Next: uint64(len(f.entries))}, logcl.ErrGap
	}
	batch, err := f.fakeLog.Read(ctx, from, limit)
	batch.Oldest = f.oldest
	return batch, err
}
