package proof

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admin"
	"example.org/mustardring/internal/certs"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/bundle"
)

const (
	dividedService   = "stockbook"
	undividedService = "payroll-milk"
	operatorToken    = "proof"
	waitTimeout      = 120 * time.Second
	hostsPerDomain   = 3
)

var domainNames = []string{"badulla-hall", "welimada-hall"}

// programPath is the path of the mustardring binary that TestMain builds.
var programPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mustardring-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programPath = filepath.Join(dir, "mustardring")
	build := exec.Command("go", "build", "-o", programPath, "example.org/mustardring/cmd/mustardring")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// system is a deployment of separate processes: one process with the stand-ins for the log, the
// instance list and the backend servers, and three instances in each of two failure domains.
type system struct {
	t           *testing.T
	is          *is.I
	dir         string
	network     int
	signingKeys map[string]ed25519.PrivateKey
	bundle      *bundle.Bundle
	logClient   *logcl.Client
	processes   map[string]*exec.Cmd
	// logURLs has the base URL of the log for the instances of each domain.
	logURLs [2]string
}

// startSystem creates a system on the loopback network 127.network.0.0/16 and launches it.
func startSystem(t *testing.T, network int) *system {
	t.Helper()
	s := newSystem(t, network)
	s.launch()
	return s
}

// newSystem creates the signing keys and the bundle of a system without starting any process. The
// caller may change the bundle and logURLs before launch.
func newSystem(t *testing.T, network int) *system {
	t.Helper()
	s := &system{
		t: t, is: is.New(t), dir: t.TempDir(), network: network,
		signingKeys: make(map[string]ed25519.PrivateKey), processes: make(map[string]*exec.Cmd),
	}
	s.bundle = s.newBundle()
	s.logClient = logcl.New("http://"+s.address(0, 1, 7000), http.DefaultClient)
	s.logURLs = [2]string{"http://" + s.address(0, 1, 7000), "http://" + s.address(0, 1, 7000)}
	return s
}

// launch starts the processes, publishes the bundle and waits until every range is owned.
func (s *system) launch() {
	s.writeInstanceFiles()
	s.writeStandInSettings()
	s.start("stand-in", "stand-in", "--settings", s.path("stand-in.json"))
	for d := range domainNames {
		for h := 1; h <= hostsPerDomain; h++ {
			s.startInstance(d, h)
		}
	}
	s.publishAndRoll()
	s.eventually("every range is owned", s.everyRangeOwned)
}

// address returns 127.network.domain.host:port. Domain 0 has the stand-ins for the log and the
// instance list. Domain i+1 has the instances and servers of domainNames[i].
func (s *system) address(domain, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, domain, host, port)
}

func (s *system) path(name string) string {
	return filepath.Join(s.dir, name)
}

// newBundle returns a bundle with one divided and one undivided service, each with three servers in
// each domain. It fills s.signingKeys.
func (s *system) newBundle() *bundle.Bundle {
	b := &bundle.Bundle{Format: bundle.FormatVersion, Version: 1}
	for name, roles := range map[string][]bundle.Role{
		"publisher": {bundle.RolePublish, bundle.RoleRoll},
		"approver":  {bundle.RoleApprove},
	} {
		public, private, err := ed25519.GenerateKey(nil)
		s.is.NoErr(err)
		s.signingKeys[name] = private
		b.Signers = append(b.Signers, bundle.Signer{Name: name, PublicKey: public, Roles: roles})
	}
	limits := bundle.Limits{Queue: 64, RequestMillis: 5000, CrashServers: 2, BlockMillis: 60_000}
	weights := bundle.Weights{Imbalance: 1, Churn: 2, Unavailable: 4}
	b.Services = []bundle.Service{
		{Name: dividedService, Divided: true, Limits: limits, Weights: weights},
		{Name: undividedService, Limits: limits, Weights: weights},
	}
	for d, domain := range domainNames {
		for h := 1; h <= hostsPerDomain; h++ {
			b.Instances = append(b.Instances, bundle.Instance{Name: instanceName(d, h), Domain: domain, Address: s.address(d+1, h, 9080)})
		}
		b.Domains = append(b.Domains, bundle.Domain{Name: domain})
		b.Services[0].Homes = append(b.Services[0].Homes, bundle.Home{Domain: domain, Share: 1})
		for k := 1; k <= 3; k++ {
			b.Services[0].Servers = append(b.Services[0].Servers, bundle.Server{
				Name: fmt.Sprintf("%s-%d-%d", dividedService, d+1, k), Domain: domain,
				Address: s.address(d+1, 100+k, 8000), ChecksGrants: true, Slots: 4, Connections: 130,
			})
			b.Services[1].Servers = append(b.Services[1].Servers, bundle.Server{
				Name: fmt.Sprintf("%s-%d-%d", undividedService, d+1, k), Domain: domain,
				Address: s.address(d+1, 120+k, 8000), Slots: 4, Connections: 130,
			})
		}
	}
	return b
}

// writeInstanceFiles writes the certificate of the authority and the certificate, key and settings
// of each instance.
func (s *system) writeInstanceFiles() {
	authority, err := certs.NewAuthority(time.Now())
	s.is.NoErr(err)
	s.write("authority.pem", authority.Certificate)
	for d := range domainNames {
		for h := 1; h <= hostsPerDomain; h++ {
			name := instanceName(d, h)
			pair, err := certs.NewInstance(authority, name, time.Now())
			s.is.NoErr(err)
			s.write(name+".pem", pair.Certificate)
			s.write(name+"-key.pem", pair.Key)
			s.writeJSON(name+".json", s.settings(d, h))
		}
	}
}

func instanceName(domain, host int) string {
	return fmt.Sprintf("%s-%d", domainNames[domain], host)
}

func (s *system) settings(domain, host int) config.Run {
	name := instanceName(domain, host)
	r := config.Run{
		Name: name, Domain: domainNames[domain],
		CallerAddress: s.address(domain+1, host, 8080), PeerAddress: s.address(domain+1, host, 9080),
		ForwardAddress: s.address(domain+1, host, 9081), OperatorAddress: s.address(domain+1, host, 9090),
		OperatorToken: operatorToken, LogURL: s.logURLs[domain], ListURL: "http://" + s.address(0, 1, 7001),
		TLS:         config.TLS{Certificate: name + ".pem", Key: name + "-key.pem", Authority: "authority.pem"},
		Roots:       s.bundle.Signers,
		DrainMillis: 10_000,
	}
	return r
}

func (s *system) writeStandInSettings() {
	settings := stubs.Settings{
		Log:  &stubs.LogSettings{Address: s.address(0, 1, 7000)},
		List: &stubs.ListSettings{Address: s.address(0, 1, 7001), LagMillis: 500},
	}
	for _, v := range s.bundle.Services {
		for _, b := range v.Servers {
			settings.Servers = append(settings.Servers, stubs.ServerSettings{
				Name: b.Name, Service: v.Name, Domain: b.Domain, Address: b.Address, ChecksGrants: b.ChecksGrants,
				Slots: b.Slots, RunMillis: 1, MaxLeaseMillis: 1200,
			})
		}
	}
	s.writeJSON("stand-in.json", settings)
}

func (s *system) write(name string, data []byte) {
	s.is.NoErr(os.WriteFile(s.path(name), data, 0o600))
}

func (s *system) writeJSON(name string, value any) {
	data, err := json.Marshal(value)
	s.is.NoErr(err)
	s.write(name, data)
}

func (s *system) startInstance(domain, host int) {
	name := instanceName(domain, host)
	s.start(name, "run", "--settings", s.path(name+".json"))
}

// start starts a process and ends it with the test. Its output goes to a file in the test's
// directory; a failed test prints the end of this file.
func (s *system) start(name string, args ...string) {
	out, err := os.OpenFile(s.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.is.NoErr(err)
	defer out.Close()
	c := exec.Command(programPath, args...)
	c.Stderr, c.Stdout = out, out
	s.is.NoErr(c.Start())
	s.processes[name] = c
	s.t.Cleanup(func() {
		if s.processes[name] != c {
			return
		}
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
		if s.t.Failed() {
			s.printLog(name)
		}
	})
}

// maxPrintedLog is the number of bytes that are printed from the end of a log file.
const maxPrintedLog = 3000

func (s *system) printLog(name string) {
	data, err := os.ReadFile(s.path(name + ".log"))
	if err != nil {
		return
	}
	s.t.Logf("%s: ...%s", name, data[max(0, len(data)-maxPrintedLog):])
}

// kill ends a process with SIGKILL, so that it cannot notify the other instances.
func (s *system) kill(name string) {
	c := s.processes[name]
	delete(s.processes, name)
	s.is.NoErr(c.Process.Kill())
	_ = c.Wait()
}

// stop ends a process with SIGTERM and checks that it exits with status 0.
func (s *system) stop(name string) {
	c := s.processes[name]
	delete(s.processes, name)
	s.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	if err := c.Wait(); err != nil {
		s.printLog(name)
		s.t.Fatalf("%s: %v", name, err)
	}
}

func (s *system) signal(name string, sig os.Signal) {
	s.is.NoErr(s.processes[name].Process.Signal(sig))
}

// publishAndRoll appends the publication, the approval and the roll of the bundle to the log.
func (s *system) publishAndRoll() {
	signed, err := bundle.Publish(s.bundle, "publisher", s.signingKeys["publisher"])
	s.is.NoErr(err)
	approval, err := bundle.Approve(signed.Statement, "approver", s.signingKeys["approver"])
	s.is.NoErr(err)
	roll, err := bundle.Roll(signed.Statement, s.bundle.Follows, "publisher", s.signingKeys["publisher"])
	s.is.NoErr(err)
	s.append(signed.Statement, record.BundlePublished{Signed: signed})
	s.append(approval, record.BundleApproved{Approval: approval})
	s.append(roll, record.BundleRolled{Roll: roll})
}

// append appends a record to the log. It retries until the log acknowledges the record.
func (s *system) append(st bundle.Statement, r record.Record) {
	data, err := record.Encode(r)
	s.is.NoErr(err)
	s.eventually("the log acknowledges the record", func() bool {
		_, err := s.logClient.Append(s.t.Context(), st.ID(), data)
		return err == nil
	})
}

// eventually waits until a condition holds. The timeout only ends a test that would wait forever;
// it says nothing about how fast the condition should hold.
func (s *system) eventually(condition string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition %q does not hold after %v", condition, waitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// status returns the status that an instance reports, and false if it does not answer.
func (s *system) status(domain, host int) (admin.Status, bool) {
	return queryOperator[admin.Status](s, domain, host, admin.PathStatus)
}

// owner returns the owner of a key of the divided service according to an instance, and false if
// the instance does not answer.
func (s *system) owner(domain, host int, key string) (admin.Ownership, bool) {
	return queryOperator[admin.Ownership](s, domain, host, admin.PathOwner+"?service="+dividedService+"&key="+key)
}

// queryOperator reads a path of the operator interface of an instance. It reports false if the
// instance does not answer or the answer is not valid JSON.
func queryOperator[T any](s *system, domain, host int, path string) (T, bool) {
	var answer T
	req, err := http.NewRequest(http.MethodGet, "http://"+s.address(domain+1, host, 9090)+path, nil)
	s.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return answer, false
	}
	defer resp.Body.Close()
	return answer, json.NewDecoder(resp.Body).Decode(&answer) == nil
}

// leader waits until a domain has a leader and returns the number of its host, from 1.
func (s *system) leader(domain int) int {
	host := 0
	s.eventually("the domain has a leader", func() bool {
		for h := 1; h <= hostsPerDomain; h++ {
			if status, answered := s.status(domain, h); answered && status.Leading {
				host = h
				return true
			}
		}
		return false
	})
	return host
}

// everyRangeOwned reports whether each running instance answers and has an owner for every range that
// the bundle assigns to its domain.
func (s *system) everyRangeOwned() bool {
	for d := range domainNames {
		for h := 1; h <= hostsPerDomain; h++ {
			if s.processes[instanceName(d, h)] == nil {
				continue
			}
			status, answered := s.status(d, h)
			if !answered || status.OwnedShare < 1 {
				return false
			}
		}
	}
	return true
}

// setFault replaces the fault switches of the stand-in at an address.
func (s *system) setFault(address string, fault any) {
	data, err := json.Marshal(fault)
	s.is.NoErr(err)
	resp, err := http.Post("http://"+address+stubs.FaultPath, "application/json", bytes.NewReader(data))
	s.is.NoErr(err)
	resp.Body.Close()
}

// setLogFault replaces the fault switches of the stand-in for the log.
func (s *system) setLogFault(f stubs.LogFault) {
	s.setFault(s.address(0, 1, 7000), f)
}
