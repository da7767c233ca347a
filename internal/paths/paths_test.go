package paths_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/paths"
	"example.org/mustardring/internal/upstr"
)

// fakeConn is an open connection, to a server itself or through another instance.
type fakeConn struct {
	net.Conn
	via string
}

func (c fakeConn) Via() string { return c.via }
func (fakeConn) Close() error  { return nil }

// world is what an instance finds around it.
type world struct {
	// direct and through say what happens to a connection: nil means that it opens after a millisecond, errSilent that
	// nothing comes back.
	direct  error
	through error
	// others is the number of instances to go through.
	others int

	mu           sync.Mutex
	directDials  int
	throughDials int
	silent       []string
}

// reset changes what happens to direct connections. It returns the number of attempts to open one since the last reset.
func (w *world) reset(direct error) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	dials := w.directDials
	w.direct, w.directDials = direct, 0
	return dials
}

// dialDirect connects to a server itself.
func (w *world) dialDirect(ctx context.Context, _ paths.Server) (net.Conn, error) {
	w.mu.Lock()
	w.directDials++
	err := w.direct
	w.mu.Unlock()
	return open(ctx, "", err)
}

var errSilent = errors.New("nothing comes back")

// open opens a connection or fails.
func open(ctx context.Context, via string, err error) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	switch {
	case err == nil:
		return fakeConn{via: via}, nil
	case errors.Is(err, errSilent):
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return nil, err
	}
}

// newDialer returns the dialer of an instance in a world.
func (w *world) newDialer() *paths.Dialer {
	return paths.NewDialer(paths.Deps{
		Table:  paths.NewTable(),
		Direct: w.dialDirect,
		Choose: func(string, int) (string, bool) { return "other", w.others > 0 },
		Open: func(ctx context.Context, instance string, _ paths.Server) (net.Conn, error) {
			w.mu.Lock()
			w.throughDials++
			w.mu.Unlock()
			return open(ctx, instance, w.through)
		},
		PathSilent: func(server string) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.silent = append(w.silent, server)
		},
		Events: event.New(io.Discard, log.ErrorLevel),
	})
}

// dial connects to a server within two seconds, and waits until what goes on in the background has ended.
func dial(t *testing.T, d *paths.Dialer, server string) (via string, took time.Duration, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	began := time.Now()
	c, err := d.DialServer(ctx, server, "127.0.0.1:1")
	took = time.Since(began)
	if err == nil {
		via = paths.Via(c)
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return via, took, err
}

// Guards against a lost path that is taken for a dead server, a dead server that is taken for a lost path, and against
// callers that wait for either.
func TestPathOrServer(t *testing.T) {
	cases := map[string]struct {
		world       *world
		via         string
		within      time.Duration
		lost        bool
		unreachable bool
		failed      bool
	}{
		"all well":                        {world: &world{others: 1}, within: 2 * time.Millisecond},
		"path refused":                    {world: &world{others: 1, direct: syscall.ECONNREFUSED}, via: "other", within: 5 * time.Millisecond, lost: true},
		"path silent":                     {world: &world{others: 1, direct: errSilent}, via: "other", within: 200 * time.Millisecond, lost: true},
		"server refuses":                  {world: &world{others: 1, direct: syscall.ECONNREFUSED, through: paths.ErrUnreachable}, within: 20 * time.Millisecond, unreachable: true, failed: true},
		"server silent":                   {world: &world{others: 1, direct: errSilent, through: paths.ErrUnreachable}, within: 700 * time.Millisecond, unreachable: true, failed: true},
		"other instance silent":           {world: &world{others: 1, direct: errSilent, through: errSilent}, within: 700 * time.Millisecond, failed: true},
		"other instance busy":             {world: &world{others: 1, direct: syscall.ECONNREFUSED, through: errors.New("busy")}, within: 20 * time.Millisecond, failed: true},
		"other has lost its path as well": {world: &world{others: 1, direct: syscall.ECONNREFUSED, through: paths.ErrNoPath}, within: 20 * time.Millisecond, failed: true},
		"alone":                           {world: &world{direct: syscall.ECONNREFUSED}, within: 20 * time.Millisecond, unreachable: true, failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := c.world.newDialer()
				via, took, err := dial(t, d, "s1")
				is.Equal(via, c.via)
				is.True(took <= c.within)
				is.Equal(err != nil, c.failed)
				is.Equal(errors.Is(err, upstr.ErrUnreachable), c.unreachable)
				is.Equal(d.Table.IsLost("s1"), c.lost)
				is.Equal(len(c.world.silent) > 0, c.lost && errors.Is(c.world.direct, errSilent))
			})
		})
	}
}

// Guards against callers that wait at each server anew after all paths were lost, and against probes that grow with the
// servers.
func TestAllPathsLost(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := &world{others: 1, direct: failure}
				d := w.newDialer()
				for _, server := range []string{"s1", "s2", "s3"} {
					is.True(!d.Table.ReachesNone())
					_, _, err := dial(t, d, server)
					is.NoErr(err)
				}
				is.True(d.Table.ReachesNone())
				w.reset(failure)
				const seconds = 20
				for i := range seconds * 20 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					began := time.Now()
					_, err := d.DialServer(ctx, string(rune('a'+i%20)), "127.0.0.1:1")
					cancel()
					is.NoErr(err)
					is.True(time.Since(began) < 10*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
				w.mu.Lock()
				if errors.Is(failure, errSilent) {
					is.Equal(w.silent, []string{"s1", "s2", "s3"}) // connections that are open now are kept
				}
				w.mu.Unlock()
				is.True(w.reset(nil) <= 2*seconds+1) // two probes a second, for all servers together
				time.Sleep(time.Second)
				_, _, err := dial(t, d, "s8")
				is.NoErr(err)
				is.True(!d.Table.ReachesNone())
				via, _, err := dial(t, d, "s9")
				is.NoErr(err)
				is.Equal(via, "")
				for _, server := range []string{"s1", "s2", "s3"} {
					_, _, err := dial(t, d, server)
					is.NoErr(err)
					is.True(!d.Table.IsLost(server)) // the next request tries the path again
				}
			})
		})
	}
}

// Guards against a lost path that is taken for lost for long after it has come back.
func TestPathComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{others: 1, direct: syscall.ECONNREFUSED}
		d := w.newDialer()
		for range 10 {
			_, _, err := dial(t, d, "s1")
			is.NoErr(err)
		}
		is.True(d.Table.IsLost("s1"))
		is.True(w.reset(nil) <= 6) // probes become rare
		for range 7 {
			_, _, err := dial(t, d, "s1")
			is.NoErr(err)
		}
		is.True(!d.Table.IsLost("s1"))
	})
}

// Guards against an instance that goes on asking one that cannot help while another could.
func TestAnotherInstanceIsChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := map[string]int{}
		d := paths.NewDialer(paths.Deps{
			Table:  paths.NewTable(),
			Direct: func(context.Context, paths.Server) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			Choose: func(_ string, choice int) (string, bool) { return string(rune('a' + choice%4)), true },
			Open: func(_ context.Context, instance string, _ paths.Server) (net.Conn, error) {
				asked[instance]++
				if instance != "c" {
					return nil, paths.ErrNoPath
				}
				return fakeConn{via: instance}, nil
			},
			PathSilent: func(string) {}, Events: event.New(io.Discard, log.ErrorLevel),
		})
		for range 20 {
			via, _, err := dial(t, d, "s1")
			is.NoErr(err)
			is.Equal(via, "c")
		}
		is.Equal(asked["a"], 1)
		is.Equal(asked["b"], 1)
	})
}

// Guards against a caller who waits for an instance that does not answer while another could help at once.
func TestSilentInstanceIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(2 * time.Second) // for what goes on in the background
		closed := 0
		d := paths.NewDialer(paths.Deps{
			Table:  paths.NewTable(),
			Direct: func(context.Context, paths.Server) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			Choose: func(_ string, choice int) (string, bool) { return string(rune('a' + choice/2%3)), true },
			Open: func(ctx context.Context, instance string, _ paths.Server) (net.Conn, error) {
				if instance != "c" {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return countingConn{fakeConn{via: instance}, &closed}, nil
			},
			PathSilent: func(string) {}, Events: event.New(io.Discard, log.ErrorLevel),
		})
		via, took, err := dial(t, d, "s1")
		is.NoErr(err)
		is.Equal(via, "c")
		is.True(took < 250*time.Millisecond)
		via, took, err = dial(t, d, "s1")
		is.NoErr(err)
		is.Equal(via, "c")
		is.True(took < 10*time.Millisecond) // it is asked first from now on
		is.Equal(closed, 0)
	})
}

// countingConn counts how often it is closed.
type countingConn struct {
	fakeConn
	closed *int
}

func (c countingConn) Close() error {
	*c.closed++
	return nil
}

// Guards against an instance that passes connections on through a third one, or dials for others what it has lost.
func TestOwnPathsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{others: 1, direct: syscall.ECONNREFUSED}
		d := w.newDialer()
		_, err := d.DialOwn(t.Context(), paths.Server{ID: "s1"})
		is.True(errors.Is(err, paths.ErrUnreachable))
		is.Equal(w.throughDials, 0)
		_, _, err = dial(t, d, "s1")
		is.NoErr(err)
		w.reset(w.direct)
		_, err = d.DialOwn(t.Context(), paths.Server{ID: "s1"})
		is.True(errors.Is(err, paths.ErrNoPath))
		is.Equal(w.reset(nil), 0)
	})
}

// Guards against callers who wait for servers at an instance that is known to reach none, and against an instance that takes
// long to notice that it reaches them again.
func TestNothingIsReached(t *testing.T) {
	cases := map[string]*world{
		"refused": {others: 1, direct: syscall.ECONNREFUSED, through: paths.ErrUnreachable},
		"silent":  {others: 1, direct: errSilent, through: errSilent},
		"alone":   {direct: syscall.ECONNREFUSED},
	}
	for name, w := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(2 * time.Second) // for what goes on in the background
				d := w.newDialer()
				for _, server := range []string{"s1", "s2", "s3"} {
					_, nothing := d.Table.ReachesNothing(time.Now())
					is.True(!nothing)
					_, _, err := dial(t, d, server)
					is.True(err != nil)
				}
				server, nothing := d.Table.ReachesNothing(time.Now())
				is.True(nothing && server != "")
				w.reset(w.direct)
				const seconds = 4
				for range seconds * 20 {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						defer cancel()
						_, err := d.DialServer(ctx, "s1", "127.0.0.1:1")
						is.True(err != nil)
					}()
					time.Sleep(50 * time.Millisecond)
				}
				is.True(w.reset(nil) <= 2*seconds+1)
				time.Sleep(600 * time.Millisecond)
				_, took, err := dial(t, d, "s1")
				is.NoErr(err)
				is.True(took < 10*time.Millisecond)
				_, nothing = d.Table.ReachesNothing(time.Now())
				is.True(!nothing)
			})
		})
	}
}
