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

// fakeLog is a log in memory. It keeps repeated appends, as the platform's log may.
type fakeLog struct {
	entries []record.Entry
	// failCalls is the number of calls that fail before anything is written. loseAnswers is the
	// number of appends whose response is lost after the record was written.
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

// operatorEnv is the environment of an operator: a directory with private keys, the file of signers
// and bundle files, and the log.
type operatorEnv struct {
	t     *testing.T
	dir   string
	log   *fakeLog
	roots string
}

func newOperatorEnv(t *testing.T) *operatorEnv {
	e := &operatorEnv{t: t, dir: t.TempDir(), log: &fakeLog{}}
	e.roots = filepath.Join(e.dir, "roots.json")
	for name, roles := range map[string][]bundle.Role{
		"ana": {bundle.RolePublish}, "boris": {bundle.RolePublish},
		"cene": {bundle.RoleApprove, bundle.RoleRoll}, "dora": {bundle.RoleApprove, bundle.RoleRoll},
	} {
		c := BundleKeygenCmd{Name: name, Roles: roles, Dir: e.dir, Roots: e.roots}
		if err := c.run(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	}
	return e
}

// writeBundle writes a bundle file and returns its path. The bundle has four servers in two domains;
// change, if not nil, edits it.
func (e *operatorEnv) writeBundle(version uint64, name string, change func(*bundle.Bundle)) string {
	e.t.Helper()
	signers, err := readSigners(e.roots)
	if err != nil {
		e.t.Fatal(err)
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
	file := filepath.Join(e.dir, name)
	if err := writeJSONFile(file, b); err != nil {
		e.t.Fatal(err)
	}
	return file
}

func (e *operatorEnv) signFlags(name string) bundleSignFlags {
	return bundleSignFlags{Signer: name, Key: filepath.Join(e.dir, name+keySuffix)}
}

// runCommand runs a command with a new bundleLog, as a new process would, and a timeout of 30 s.
func (e *operatorEnv) runCommand(run func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error) (submitResult, error) {
	e.t.Helper()
	signers, err := readSigners(e.roots)
	if err != nil {
		e.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var out bytes.Buffer
	failure := run(ctx, newBundleLog(e.log, signers), &out)
	var s submitResult
	if out.Len() > 0 {
		if err := json.Unmarshal(out.Bytes(), &s); err != nil {
			e.t.Fatal(err)
		}
	}
	return s, failure
}

func (e *operatorEnv) publish(file, name string, allowMoves bool) (submitResult, error) {
	c := BundlePublishCmd{File: file, AllowMoves: allowMoves, bundleSignFlags: e.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return e.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

func (e *operatorEnv) approve(version uint64, hash, name string) (submitResult, error) {
	c := BundleApproveCmd{Version: version, Hash: hash, bundleSignFlags: e.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return e.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

func (e *operatorEnv) roll(version, replaces uint64, name string) (submitResult, error) {
	c := BundleRollCmd{Version: version, Replaces: replaces, bundleSignFlags: e.signFlags(name), bundleOutput: bundleOutput{Output: "json"}}
	return e.runCommand(func(ctx context.Context, l *bundleLog, out *bytes.Buffer) error { return c.run(ctx, l, out) })
}

// release publishes, approves and rolls a bundle file, and fails the test if that fails.
func (e *operatorEnv) release(file string, version uint64) {
	e.t.Helper()
	is := is.New(e.t)
	s, err := e.publish(file, "ana", false)
	is.NoErr(err)
	_, err = e.approve(version, s.Hash[:minHashDigits], "cene")
	is.NoErr(err)
	_, err = e.roll(version, 0, "dora")
	is.NoErr(err)
}

// truncatedLog is a fakeLog that no longer returns the records before oldest.
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
