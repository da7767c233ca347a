package cmds

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"example.org/mustardring/internal/admin"
	"example.org/mustardring/pkg/bundle"
)

func TestReleaseWithCommands(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	env.release(env.writeBundle(1, "one.json", nil), 1)
	env.release(env.writeBundle(2, "two.json", func(b *bundle.Bundle) { b.Services[0].HotKeys = []string{"gauda"} }), 2)

	var out bytes.Buffer
	signers, err := readSigners(env.roots)
	is.NoErr(err)
	saved := filepath.Join(env.dir, "saved.json")
	is.NoErr((&BundleStatusCmd{Save: saved}).run(t.Context(), newBundleLog(env.log, signers), &out))
	is.NoErr((&BundleDiffCmd{Before: filepath.Join(env.dir, "two.json"), After: saved}).run(&out))
	is.True(strings.Contains(out.String(), "from version 2 to 2, 0 changes"))
	is.True(strings.Contains(out.String(), `is in force: published by "ana", approved by "cene", rolled by "dora" at offset 5`))
	is.True(strings.Contains(out.String(), "the next version is 3 and follows 2"))
	out.Reset()
	is.NoErr((&BundleHistoryCmd{}).run(t.Context(), newBundleLog(env.log, signers), &out))
	is.Equal(strings.Count(out.String(), "accepted\n"), 6)
}

// The log appends the record but its response is lost, so the command retries. The operator then
// repeats the command. The record must take effect once.
func TestPublishAfterLostAnswer(t *testing.T) {
	env := newOperatorEnv(t)
	file := env.writeBundle(1, "one.json", nil)
	env.log.loseAnswers = 1
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := env.publish(file, "ana", false)
		is.NoErr(err)
		is.Equal(s.Verdict, verdictAccepted)
		is.Equal(s.Offset, uint64(0))
		is.Equal(len(env.log.entries), 2)
		s, err = env.publish(file, "ana", false)
		is.NoErr(err)
		is.Equal(s.Verdict, verdictRepeated)
		is.Equal(s.Offset, uint64(0))
		is.Equal(len(env.log.entries), 2)
	})
}

// The log is down for longer than the command waits. The exit code must differ from that of a
// refusal, and the same command must succeed once the log is back.
func TestPublishWhileLogIsDown(t *testing.T) {
	env := newOperatorEnv(t)
	file := env.writeBundle(1, "one.json", nil)
	env.log.failCalls = 1 << 30
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, err := env.publish(file, "ana", false)
		is.Equal(ExitCode(err), ExitUncertain)
		is.True(errors.Is(err, errNoAnswer))
		is.Equal(len(env.log.entries), 0)
		env.log.failCalls = 1
		s, err := env.publish(file, "ana", false)
		is.NoErr(err)
		is.Equal(s.Verdict, verdictAccepted)
	})
}

// Two operators publish the same version. The second is refused and gets the record of the first.
func TestPublishRace(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	_, err := env.publish(env.writeBundle(1, "one.json", nil), "ana", false)
	is.NoErr(err)
	other := env.writeBundle(1, "other.json", func(b *bundle.Bundle) { b.Services[0].HotKeys = []string{"gauda"} })
	s, err := env.publish(other, "boris", false)
	is.Equal(ExitCode(err), ExitFailed)
	is.Equal(s.Verdict, verdictRefused)
	is.Equal(s.Winner.Signer, "ana")
	is.Equal(s.Winner.Offset, uint64(0))
	is.True(strings.Contains(s.Reason, `by "ana"`))
}

// A roll that was planned for another version in force is refused. A roll repeated after a lost
// response counts as accepted before.
func TestRollRaceAndRepeat(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	env.release(env.writeBundle(1, "one.json", nil), 1)
	s, err := env.roll(1, 0, "dora")
	is.NoErr(err)
	is.Equal(s.Verdict, verdictRepeated)
	is.Equal(len(env.log.entries), 3)
	s, err = env.roll(1, 0, "cene")
	is.Equal(ExitCode(err), ExitFailed)
	is.Equal(s.Winner.Signer, "dora")

	two, err := env.publish(env.writeBundle(2, "two.json", nil), "ana", false)
	is.NoErr(err)
	_, err = env.approve(2, two.Hash, "cene")
	is.NoErr(err)
	s, err = env.roll(2, 9, "dora")
	is.Equal(ExitCode(err), ExitFailed)
	is.Equal(s.Winner.Version, uint64(1))
	_, err = env.roll(2, 1, "dora")
	is.NoErr(err)
	_, err = env.roll(1, 0, "dora")
	is.Equal(ExitCode(err), ExitFailed)
	_, err = env.roll(5, 0, "dora")
	is.Equal(ExitCode(err), ExitFailed)
}

func TestApproveChecksHashAndRole(t *testing.T) {
	env := newOperatorEnv(t)
	published, err := env.publish(env.writeBundle(1, "one.json", nil), "ana", false)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		hash, signer string
		want         int
	}{
		"other hash": {hash: strings.Repeat("0", minHashDigits), signer: "cene", want: ExitInput},
		"short hash": {hash: published.Hash[:minHashDigits-1], signer: "cene", want: ExitInput},
		"publisher":  {hash: published.Hash, signer: "ana", want: ExitInput},
		"no role":    {hash: published.Hash, signer: "boris", want: ExitFailed},
		"approver":   {hash: published.Hash[:minHashDigits], signer: "cene", want: ExitDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := env.approve(1, tt.hash, tt.signer)
			is.Equal(ExitCode(err), tt.want)
		})
	}
}

func TestPublishLimitsMoves(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	one := env.writeBundle(1, "one.json", nil)
	env.release(one, 1)
	two := env.writeBundle(2, "two.json", func(b *bundle.Bundle) {
		b.Services[0].Homes = []bundle.Home{{Domain: "podstresje", Share: 1}, {Domain: "klet", Share: 1}}
	})
	_, err := env.publish(two, "ana", false)
	is.Equal(ExitCode(err), ExitInput)
	is.True(strings.Contains(err.Error(), `/services/0: found a change that moves 100.0% of the keys of "pregled", expected at most 25.0%`))
	is.Equal(len(env.log.entries), 3)
	is.Equal(ExitCode((&BundleCheckCmd{File: two, Before: one}).run(&bytes.Buffer{})), ExitInput)
	is.NoErr((&BundleCheckCmd{File: two, Before: one, AllowMoves: true}).run(&bytes.Buffer{}))
	_, err = env.publish(two, "ana", true)
	is.NoErr(err)
}

func TestPlanSettlesHomes(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	homes := func(a, b int) func(*bundle.Bundle) {
		return func(v *bundle.Bundle) {
			v.Services[0].Homes = []bundle.Home{{Domain: "klet", Share: a}, {Domain: "podstresje", Share: b}}
		}
	}
	one, two := env.writeBundle(1, "one.json", homes(1, 1)), env.writeBundle(2, "two.json", homes(1, 3))
	settled := filepath.Join(env.dir, "settled.json")
	var out bytes.Buffer
	is.NoErr((&BundlePlanCmd{Before: one, After: two, RoundTrip: 3 * time.Millisecond, Lease: 3 * time.Second, Settle: settled}).run(&out))
	is.True(strings.Contains(out.String(), `service "pregled": 25.00% of the keys move, the least possible is 25.00%`))
	is.True(strings.Contains(out.String(), "from klet to podstresje: 25.00%"))
	is.NoErr((&BundleCheckCmd{File: settled, Before: one}).run(&bytes.Buffer{}))
	b, err := readBundle(settled)
	is.NoErr(err)
	is.Equal(len(b.Services[0].Homes[0].Ranges), 0) // the division by shares in order moves the least here
	turned := env.writeBundle(2, "turned.json", func(v *bundle.Bundle) {
		v.Services[0].Homes = []bundle.Home{{Domain: "podstresje", Share: 1}, {Domain: "klet", Share: 1}}
	})
	out.Reset()
	is.NoErr((&BundlePlanCmd{Before: one, After: turned}).run(&out))
	is.True(strings.Contains(out.String(), "100.00% of the keys move, the least possible is 0.00%"))
	out.Reset()
	is.NoErr((&BundlePlanCmd{Before: one, After: turned, Settle: settled}).run(&out))
	is.True(strings.Contains(out.String(), "\"pregled\": 0.00% of the keys move, the least possible is 0.00%"))
	is.NoErr((&BundleCheckCmd{File: settled, Before: one}).run(&bytes.Buffer{}))
	out.Reset()
	is.NoErr((&BundleDiffCmd{Before: one, After: two}).run(&out))
	is.True(strings.Contains(out.String(), `service "pregled" home "podstresje": share 1 becomes 3`))
}

func TestInitAndKeygenKeepExistingFiles(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	before, err := os.ReadFile(filepath.Join(env.dir, "ana.key"))
	is.NoErr(err)
	is.NoErr((&BundleKeygenCmd{Name: "ana", Roles: []bundle.Role{bundle.RolePublish}, Dir: env.dir, Roots: env.roots}).run(&bytes.Buffer{}))
	after, err := os.ReadFile(filepath.Join(env.dir, "ana.key"))
	is.NoErr(err)
	is.Equal(before, after)
	file := filepath.Join(env.dir, "new.json")
	first := BundleInitCmd{File: file, Roots: env.roots, Domains: []string{"klet"}, Services: []string{"pregled"}}
	is.NoErr(first.run(&bytes.Buffer{}))
	is.NoErr(first.run(&bytes.Buffer{}))
	is.Equal(ExitCode((&BundleInitCmd{File: file, Follow: file}).run(&bytes.Buffer{})), ExitInput)
	next := filepath.Join(env.dir, "next.json")
	is.NoErr((&BundleInitCmd{File: next, Follow: file}).run(&bytes.Buffer{}))
	b, err := readBundle(next)
	is.NoErr(err)
	is.Equal(b.Version, uint64(2))
	is.Equal(b.Follows, uint64(1))
}

// A bundle of a thousand servers is recorded whole once. Later versions are recorded as deltas.
func TestLargeBundlesArePublishedAsDeltas(t *testing.T) {
	is := is.New(t)
	env := newOperatorEnv(t)
	many := func(hot string) func(*bundle.Bundle) {
		return func(b *bundle.Bundle) {
			s := &b.Services[0]
			s.HotKeys = []string{hot}
			for i := range 1000 {
				s.Servers = append(s.Servers, bundle.Server{
					Name: fmt.Sprintf("server-%d", i), Domain: "klet",
					Address: fmt.Sprintf("10.1.%d.%d:80", i>>8, i&255), Slots: 2, Connections: 110,
				})
			}
		}
	}
	env.release(env.writeBundle(1, "one.json", many("gauda")), 1)
	env.release(env.writeBundle(2, "two.json", many("tolminc")), 2)
	is.True(len(env.log.entries[0].Data) > 100_000)
	is.True(len(env.log.entries[3].Data) < 2000)
	s, err := env.publish(filepath.Join(env.dir, "two.json"), "ana", false)
	is.NoErr(err)
	is.Equal(s.Verdict, verdictRepeated)
	is.Equal(len(env.log.entries), 6)
}

func TestReportProgressNamesEachDomainOnce(t *testing.T) {
	is := is.New(t)
	done := make(map[string]bool)
	s := admin.Status{Domains: []admin.DomainVersion{{Domain: "klet", Lowest: 2}, {Domain: "podstresje", Lowest: 1, Highest: 2}}}
	text, complete := reportProgress(s, 2, done)
	is.Equal(text, "version 2 in force at klet\n")
	is.True(!complete)
	s.Domains[1].Lowest = 2
	text, complete = reportProgress(s, 2, done)
	is.Equal(text, "version 2 in force at podstresje\n")
	is.True(complete)
	_, complete = reportProgress(admin.Status{}, 2, done)
	is.True(!complete)
}

func TestCommandLines(t *testing.T) {
	log := " --log http://127.0.0.1:7000 --roots r.json"
	sign := " --signer ana --key ana.key"
	tests := map[string]string{
		"init":    "init b.json --roots r.json --domain klet --domain podstresje --service pregled",
		"check":   "check b.json --before a.json --allow-moves --output json",
		"diff":    "diff a.json b.json",
		"plan":    "plan a.json b.json --settle c.json --lease 2s",
		"keygen":  "keygen ana --roles publish,roll --dir keys --roots r.json",
		"publish": "publish b.json --allow-moves" + sign + log,
		"approve": "approve 3 --hash 0123abcd" + sign + log,
		"roll":    "roll 3 --replaces 2 --watch 127.0.0.1:9000 --token x" + sign + log,
		"status":  "status --output json" + log,
		"history": "history" + log,
	}
	for name, line := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p struct {
				Bundle BundleCmd `cmd:""`
			}
			parser, err := kong.New(&p)
			is.NoErr(err)
			ctx, err := parser.Parse(append([]string{"bundle"}, strings.Fields(line)...))
			is.NoErr(err)
			is.True(strings.HasPrefix(ctx.Command(), "bundle "+name))
		})
	}
}
