// Package gram carries small messages between instances in datagrams. A message may be lost,
// doubled or late; the messages are made so that each of these does no harm.
package gram

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/pack"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// Message is what instances tell one another.
type Message interface{ kind() byte }

// The messages.
type (
	// Heartbeat says that an instance lives, and what it confirms.
	Heartbeat struct{ roster.Heartbeat }
	// Ask asks the keeper of a pool or a server for a permit. Times are in milliseconds
	// from now, since clocks differ between machines.
	Ask struct {
		Serial uint64
		Pool   string
		Server string
		// Domain is the failure domain whose servers are preferred.
		Domain    string
		Route     string
		Priority  int
		Returning bool
		TargetIn  int
		LimitIn   int
		Avoid     string
		Elsewhere bool
	}
	// Verdict is the keeper's answer. Server is set if the permit is granted, Reason if it is
	// refused; else the request waits.
	Verdict struct {
		Serial  uint64
		Server  string
		Reason  string
		RetryIn int
		Wait    int
	}
	// Done gives a permit back.
	Done struct {
		Serial  uint64
		Pool    string
		Server  string
		Route   string
		Outcome permit.Outcome
		TookUs  int
		Bytes   int
		Running int
		Waiting int
		Loaded  bool
		// Slowdown is permit.Load.Slowdown in hundredths.
		Slowdown int
	}
	// Withdraw takes an Ask back. Pool is empty if the sender does not know it any more.
	Withdraw struct {
		Serial uint64
		Pool   string
	}
	// Check asks who was granted a permit whether it still has it. Who does not answers with
	// Withdraw.
	Check struct{ Serial uint64 }
	// Loads tells the leader how many requests an instance had since the last such message, by
	// service and key, and what servers can do in a second, with the number of answers
	// that each figure rests on.
	Loads struct {
		Name    string
		Service string
		// Keys and Counts belong together.
		Keys    []uint16
		Counts  []uint16
		Servers []string
		Powers  []float64
		Answers []uint16
	}
	// Owners tells of a record of owners that was written: what it changes against the record
	// before it.
	Owners struct {
		Service string
		Offset  int64
		Fence   uint64
		Changes []shard.Range
	}
	// Register tells of records of the register of instances, which follow one another.
	Register struct{ Records []follow.Record }
	// Relay holds a datagram that the receiver takes as a message of its own, and passes on to the others of
	// its failure domain.
	Relay struct{ Data []byte }
	// Behind says that an instance knows of the owners up to an offset only, and that the store
	// refuses it.
	Behind struct{ End int64 }
	// Known answers Behind with all that another instance knows: the records of maps by service
	// and those of instances by name.
	Known struct {
		End       int64
		Maps      map[string][]byte
		Instances map[string][]byte
	}
	// News is what an instance read of a topic of the store, sent at a time of its lease clock.
	News struct {
		Topic  string
		Sender string
		SentAt int64
		follow.PeerUpdate
	}
	// Settled says that ranges have come to their new owners, ahead of the record that says so.
	Settled struct{ Ranges []SettledRange }
	// Crash says that a server was lost while a request ran there.
	Crash struct {
		Print  uint64
		Server string
		// Cleared says the contrary: the request had an answer.
		Cleared bool
	}
)

// SettledRange is a range that has come to its new owner, by its first key and its fence.
type SettledRange struct {
	Service string
	From    uint16
	Fence   uint64
}

func (Heartbeat) kind() byte { return 1 }
func (Ask) kind() byte       { return 2 }
func (Verdict) kind() byte   { return 3 }
func (Done) kind() byte      { return 4 }
func (Withdraw) kind() byte  { return 5 }
func (Loads) kind() byte     { return 6 }
func (Crash) kind() byte     { return 7 }
func (Owners) kind() byte    { return 8 }
func (Settled) kind() byte   { return 9 }
func (News) kind() byte      { return 10 }
func (Check) kind() byte     { return 11 }
func (Behind) kind() byte    { return 12 }
func (Known) kind() byte     { return 13 }
func (Register) kind() byte  { return 14 }
func (Relay) kind() byte     { return 15 }

// Received is a message with its sender's address.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// ErrMessage says that a datagram is no message.
var ErrMessage = errors.New("gram: malformed message")

// Encode returns the datagram of a message.
func Encode(m Message) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(m.kind())
	if err := pack.Encode(&out, m); err != nil {
		return nil, err
	}
	return deflate(out.Bytes())
}

// Decode reads a datagram.
func Decode(data []byte) (Message, error) {
	if len(data) > 0 && data[0] == kindDeflated {
		inner, err := inflate(data[1:])
		if err != nil {
			return nil, err
		}
		data = inner
	}
	if len(data) == 0 {
		return nil, ErrMessage
	}
	switch data[0] {
	case 1:
		return decode[Heartbeat](data[1:])
	case 2:
		return decode[Ask](data[1:])
	case 3:
		return decode[Verdict](data[1:])
	case 4:
		return decode[Done](data[1:])
	case 5:
		return decode[Withdraw](data[1:])
	case 6:
		return decode[Loads](data[1:])
	case 7:
		return decode[Crash](data[1:])
	case 8:
		return decode[Owners](data[1:])
	case 9:
		return decode[Settled](data[1:])
	case 10:
		return decode[News](data[1:])
	case 11:
		return decode[Check](data[1:])
	case 12:
		return decode[Behind](data[1:])
	case 13:
		return decode[Known](data[1:])
	case 14:
		return decode[Register](data[1:])
	case 15:
		return decode[Relay](data[1:])
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrMessage, data[0])
	}
}

func decode[M Message](body []byte) (Message, error) {
	m, err := pack.Decode[M](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return m, nil
}

// The sizes of a port.
const (
	largest  = 60 << 10
	inbound  = 1024
	readSize = 1 << 20
)

// Port sends and receives messages.
type Port struct {
	conn *net.UDPConn
	in   chan Received
	// Failed counts messages that could not be sent or understood, Lost those for which the
	// reader was too slow.
	Failed atomic.Int64
	Lost   atomic.Int64
}

// Listen opens a port on an address.
func Listen(address string) (*Port, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(readSize)
	return &Port{conn: conn, in: make(chan Received, inbound)}, nil
}

// Address returns the address that the port listens on.
func (p *Port) Address() string { return p.conn.LocalAddr().String() }

// In is the channel of messages.
func (p *Port) In() <-chan Received { return p.in }

// Send sends a message. Errors are counted: a message may be lost anyway.
func (p *Port) Send(to netip.AddrPort, m Message) {
	data, err := Encode(m)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		p.Failed.Add(1)
	}
}

// SendAll sends a message to several others. It is encoded once: for hundreds of them that is most of the
// work.
func (p *Port) SendAll(to []netip.AddrPort, m Message) {
	data, err := Encode(m)
	if err != nil {
		p.Failed.Add(1)
		return
	}
	p.SendData(to, data)
}

// SendData sends a datagram to several others.
func (p *Port) SendData(to []netip.AddrPort, data []byte) {
	for _, address := range to {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil {
			p.Failed.Add(1)
		}
	}
}

// Run receives until the context ends.
func (p *Port) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buffer := make([]byte, largest)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.Failed.Add(1)
			continue
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			p.Failed.Add(1)
			continue
		}
		select {
		case p.in <- Received{From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Message: m}:
		default:
			p.Lost.Add(1)
		}
	}
}
