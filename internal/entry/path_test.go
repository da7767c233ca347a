package entry

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/certs"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stand"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// site is a small deployment in one process that uses sockets on loopback addresses: two domains, the
// stand-ins of the log, the list and the servers, and the instances that a test starts.
type site struct {
	t         *testing.T
	is        *is.I
	network   int
	publisher ed25519.PrivateKey
	approver  ed25519.PrivateKey
	bundle    *bundle.Bundle
	log       *logcl.Client
	authority certs.Pair
}

const (
	service = "pregled"
	// undivided is a service whose keys have no owners.
	undivided = "oddaja"
	// testWait is the timeout of each condition.
	testWait = 60 * time.Second
)

func newSite(t *testing.T, network int) *site {
	t.Helper()
	s := &site{t: t, is: is.New(t), network: network}
	publisher, publisherKey, err := ed25519.GenerateKey(nil)
	s.is.NoErr(err)
	approver, approverKey, err := ed25519.GenerateKey(nil)
	s.is.NoErr(err)
	s.publisher, s.approver = publisherKey, approverKey
	s.bundle = s.newBundle(publisher, approver)
	s.authority, err = certs.NewAuthority(time.Now())
	s.is.NoErr(err)
	s.log = logcl.New("http://"+s.address(0, 1, 7000), http.DefaultClient)
	return s
}

func (s *site) address(domain, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, domain, host, port)
}

func (s *site) newBundle(publisher, approver ed25519.PublicKey) *bundle.Bundle {
	b := &bundle.Bundle{
		Format:  bundle.FormatVersion,
		Version: 1,
		Signers: []bundle.Signer{
			{Name: "publisher", PublicKey: publisher, Roles: []bundle.Role{bundle.RolePublish, bundle.RoleRoll}},
			{Name: "approver", PublicKey: approver, Roles: []bundle.Role{bundle.RoleApprove}},
		},
		Domains: []bundle.Domain{{Name: "klet"}, {Name: "podstresje"}},
		Services: []bundle.Service{
			{Name: service, Divided: true, Limits: bundle.Limits{Queue: 16, RequestMillis: 10_000}},
			{Name: undivided, Limits: bundle.Limits{Queue: 16, RequestMillis: 10_000}},
		},
	}
	for d, domain := range b.Domains {
		for k := 1; k <= 2; k++ {
			b.Services[0].Servers = append(b.Services[0].Servers, bundle.Server{
				Name: fmt.Sprintf("%s-%s-%d", service, domain.Name, k), Domain: domain.Name,
				Address: s.address(d+1, 100+k, 8000), ChecksGrants: true, Slots: 2, Connections: 110,
			})
		}
		b.Services[1].Servers = append(b.Services[1].Servers, bundle.Server{
			Name: undivided + "-" + domain.Name, Domain: domain.Name, Address: s.address(d+1, 120, 8000), Slots: 2, Connections: 110,
		})
	}
	return b
}

func (s *site) startStandIns() {
	settings := stand.Settings{
		Log:  &stand.LogSettings{Address: s.address(0, 1, 7000)},
		List: &stand.ListSettings{Address: s.address(0, 1, 7001)},
	}
	for _, v := range s.bundle.Services {
		for _, b := range v.Servers {
			settings.Servers = append(settings.Servers, stand.ServerSettings{
				Name: b.Name, Service: v.Name, Domain: b.Domain, Address: b.Address,
				ChecksGrants: b.ChecksGrants, Slots: b.Slots, MaxLeaseMillis: 1200,
			})
		}
	}
	s.is.NoErr(settings.Check("test"))
	s.start("stand-in", stand.New(settings).Run)
}

// start runs a part of the site until the test ends. It fails the test if run returns an error.
func (s *site) start(name string, run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
	})
	return cancel
}

func (s *site) settings(domain, host int) config.Run {
	name := fmt.Sprintf("%s-%d", s.bundle.Domains[domain-1].Name, host)
	return config.Run{
		Name:            name,
		Domain:          s.bundle.Domains[domain-1].Name,
		CallerAddress:   s.address(domain, host, 8080),
		PeerAddress:     s.address(domain, host, 9080),
		ForwardAddress:  s.address(domain, host, 9081),
		OperatorAddress: s.address(domain, host, 9090),
		OperatorToken:   "token",
		Roots:           s.bundle.Signers,
		DrainMillis:     5000,
	}
}

func (s *site) startInstance(domain, host int) (*Entry, context.CancelFunc) {
	settings := s.settings(domain, host)
	e, err := New(Deps{
		Settings:    settings,
		TLS:         s.tls(settings.Name),
		Log:         s.log,
		List:        listcl.New("http://"+s.address(0, 1, 7001), http.DefaultClient),
		Placer:      place.New(),
		Logger:      log.New(io.Discard),
		Incarnation: uint64(domain*1000 + host),
	})
	s.is.NoErr(err)
	return e, s.start(settings.Name, e.Run)
}

func (s *site) tls(name string) *tls.Config {
	pair, err := certs.NewInstance(s.authority, name, time.Now())
	s.is.NoErr(err)
	c, err := certs.Config(pair, s.authority.Certificate)
	s.is.NoErr(err)
	return c
}

// roll publishes, approves and rolls the site's bundle.
func (s *site) roll() {
	signed, err := bundle.Publish(s.bundle, "publisher", s.publisher)
	s.is.NoErr(err)
	approval, err := bundle.Approve(signed.Statement, "approver", s.approver)
	s.is.NoErr(err)
	roll, err := bundle.Roll(signed.Statement, s.bundle.Follows, "publisher", s.publisher)
	s.is.NoErr(err)
	s.append(signed.Statement, record.BundlePublished{Signed: signed})
	s.append(approval, record.BundleApproved{Approval: approval})
	s.append(roll, record.BundleRolled{Roll: roll})
}

func (s *site) append(st bundle.Statement, r record.Record) {
	data, err := record.Encode(r)
	s.is.NoErr(err)
	s.eventually("append", func() bool {
		_, err := s.log.Append(s.t.Context(), st.ID(), data)
		return err == nil
	})
}

// eventually waits until a condition holds. The timeout only ends a test that would hang.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testWait)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: condition not met after %v", what, testWait)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request sends one request through an instance and returns its status, outcome, server and body. If
// sending fails, the status is zero and the body is the error.
func (s *site) request(domain, host int, service, key string) (status int, outcome, server, body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address(domain, host, 8080)+"/"+service+"/page", nil)
	s.is.NoErr(err)
	req.Header.Set(caller.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	return resp.StatusCode, resp.Header.Get(caller.HeaderOutcome), resp.Header.Get(caller.HeaderServer), string(data)
}

// A request for a key must reach the one server that owns the key, whichever instance receives it,
// and its response must reach the caller.
func TestEachInstanceReachesTheSameOwner(t *testing.T) {
	s := newSite(t, 20+os.Getpid()%100)
	s.startStandIns()
	for domain := 1; domain <= 2; domain++ {
		for host := 1; host <= 2; host++ {
			s.startInstance(domain, host)
		}
	}
	s.roll()
	for i := range 8 {
		key := fmt.Sprintf("volume-%d", i)
		owners := make(map[string]bool)
		for domain := 1; domain <= 2; domain++ {
			for host := 1; host <= 2; host++ {
				s.eventually(key, func() bool {
					status, outcome, server, _ := s.request(domain, host, service, key)
					if status != http.StatusOK || outcome != string(caller.Ran) {
						return false
					}
					owners[server] = true
					return true
				})
			}
		}
		s.is.Equal(len(owners), 1)
	}
	s.eventually(undivided, func() bool {
		status, _, _, _ := s.request(1, 1, undivided, "")
		return status == http.StatusOK
	})
}
