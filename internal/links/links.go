// Package links is a stand-in for what lies between the two ends of a TCP connection: it relays connections at a limited rate, with a
// delay and a bounded queue, hands on resets, and can fail. It is for tests only.
package links

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkSize is the largest number of bytes that a relay forwards at once.
const chunkSize = 4 << 10

// Path is what a connection goes through, in each direction.
type Path struct {
	// BytesPerSecond is the rate, zero for no limit.
	BytesPerSecond int
	// Delay is how long each byte is held, beside what the rate takes.
	Delay time.Duration
	// Queue is how many bytes are held at most. While it is full nothing is read.
	Queue int
}

// Fault is what a relay does with all that it reads from now on.
type Fault int

// The faults. Dropping bytes does not end connections.
const (
	None Fault = iota
	// Delay holds bytes for faultDelay more, DropAll drops all of them and DropAnswers those of the target. Reset resets the open
	// connections and refuses new ones.
	Delay
	DropAll
	DropAnswers
	Reset
)

// faultDelay is how long bytes are held with Delay.
const faultDelay = 150 * time.Millisecond

// Relay relays connections to a target. Like a proxy, it holds bytes that their sender takes for received; a reset of one end
// destroys them, in both directions, and resets the other end.
type Relay struct {
	listener net.Listener
	target   string
	path     Path
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// resets counts the connections that one of their ends has reset, destroyed the bytes that were lost by that.
	resets, destroyed atomic.Int64

	mu    sync.Mutex
	fault Fault
	// open holds the functions that reset the open connections.
	open map[*net.TCPConn]context.CancelFunc
}

// New starts a relay to a target at a free port of 127.0.0.1. Close ends it.
func New(target string, path Path) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{listener: l, target: target, path: path, cancel: cancel, open: map[*net.TCPConn]context.CancelFunc{}}
	r.running.Go(func() { r.accept(ctx) })
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Resets returns how many connections were reset by one of their ends, and how many bytes that destroyed.
func (r *Relay) Resets() (conns, destroyed int64) { return r.resets.Load(), r.destroyed.Load() }

// SetFault sets the fault from now on.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if f == Reset {
		for _, reset := range r.open {
			reset()
		}
	}
}

// currentFault returns the fault.
func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// Close resets all connections and waits until the relay has ended.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.running.Wait()
}

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.relay(ctx, c.(*net.TCPConn)) })
	}
}

// relay relays one connection until both directions have ended, or one end has reset it.
func (r *Relay) relay(ctx context.Context, caller *net.TCPConn) {
	raw, err := net.Dial("tcp4", r.target)
	if err != nil {
		reset(caller)
		return
	}
	target := raw.(*net.TCPConn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.open[caller] = cancel
	refused := r.fault == Reset
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, caller)
	}()
	if refused {
		cancel()
	}
	stop := context.AfterFunc(ctx, func() { reset(caller); reset(target) })
	defer stop()
	directions := [...]*direction{r.newDirection(caller, target, DropAll), r.newDirection(target, caller, DropAnswers)}
	ended := make(chan error, 2*len(directions))
	for _, d := range directions {
		go func() { ended <- d.fill(ctx) }()
		go func() { ended <- d.drain(ctx) }()
	}
	broken := false
	for range cap(ended) {
		if err := <-ended; err != nil && !broken {
			broken = true
			r.resets.Add(1)
			cancel()
		}
	}
	for _, d := range directions {
		r.destroyed.Add(d.held.Load())
	}
	_, _ = caller.Close(), target.Close()
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// chunk is a number of bytes and when they are forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// direction carries the bytes of one end to the other.
type direction struct {
	from, to *net.TCPConn
	relay    *Relay
	// drops is the fault, beside DropAll, that drops bytes of this direction.
	drops Fault
	queue chan chunk
	held  atomic.Int64
}

func (r *Relay) newDirection(from, to *net.TCPConn, drops Fault) *direction {
	return &direction{from: from, to: to, relay: r, drops: drops, queue: make(chan chunk, max(r.path.Queue/chunkSize, 1))}
}

// fill reads from one end until that closes its side, and returns an error if it has reset the connection.
func (d *direction) fill(ctx context.Context) error {
	defer close(d.queue)
	for {
		buffer := make([]byte, chunkSize)
		n, err := d.from.Read(buffer)
		fault := d.relay.currentFault()
		if n > 0 && fault != DropAll && fault != d.drops {
			c := chunk{buffer[:n], time.Now().Add(d.relay.path.Delay)}
			if fault == Delay {
				c.due = c.due.Add(faultDelay)
			}
			d.held.Add(int64(n))
			select {
			case d.queue <- c:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// drain writes to the other end what was read, and then closes that side. It returns an error if that fails.
func (d *direction) drain(ctx context.Context) error {
	freeAt := time.Now()
	for c := range d.queue {
		if rate := d.relay.path.BytesPerSecond; rate > 0 {
			// The path carries one chunk after the other.
			freeAt = later(freeAt, c.due).Add(time.Duration(len(c.data)) * time.Second / time.Duration(rate))
			c.due = freeAt
		}
		select {
		case <-time.After(time.Until(c.due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if _, err := d.to.Write(c.data); err != nil {
			return err
		}
		d.held.Add(-int64(len(c.data)))
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.to.CloseWrite()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
