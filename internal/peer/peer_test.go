package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/certs"
)

const echo Method = "echo"

func startServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	mux := NewMux()
	Register(mux, echo, func(_ context.Context, text string) (string, error) {
		return "re " + text, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(listener, config, mux, nil).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func newConfig(t *testing.T, authority certs.Pair) *tls.Config {
	t.Helper()
	is := is.New(t)
	pair, err := certs.NewInstance(authority, "a-1", time.Now())
	is.NoErr(err)
	config, err := certs.Config(pair, authority.Certificate)
	is.NoErr(err)
	return config
}

func TestCallReachesHandler(t *testing.T) {
	is := is.New(t)
	authority, err := certs.NewAuthority(time.Now())
	is.NoErr(err)
	address := startServer(t, newConfig(t, authority))
	c := NewClient(address, newConfig(t, authority), nil)
	defer c.Close()
	got, err := Call[string, string](t.Context(), c, echo, "x")
	is.NoErr(err)
	is.Equal(got, "re x")
	_, err = Call[string, string](t.Context(), c, "other", "x")
	is.True(errors.Is(err, ErrRejected))
}

// A process that is not an instance of the system connects to the peer address and makes a call,
// for example to move ranges or to inject a bundle. Its certificate is from another authority,
// or it has none. The server must close the connection before it reads the call.
func TestUnauthenticatedCallIsRejected(t *testing.T) {
	authority, err := certs.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	otherAuthority, err := certs.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	own := newConfig(t, authority)
	foreign := newConfig(t, otherAuthority)
	foreign.RootCAs = own.RootCAs
	tests := map[string]*tls.Config{
		"certificate of another authority": foreign,
		"no certificate":                   {RootCAs: own.RootCAs, ServerName: certs.InstanceName},
	}
	address := startServer(t, own)
	for name, config := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewClient(address, config, nil)
			defer c.Close()
			got, err := Call[string, string](t.Context(), c, echo, "x")
			is.True(err != nil)
			is.Equal(got, "")
		})
	}
}
