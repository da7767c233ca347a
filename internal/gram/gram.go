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
	Heartbeat struct{ roster.Beat }
	// AdmissionRequest asks the keeper of a pool or a server for a permit. Times are in milliseconds
	// from now, since clocks differ between machines.
	AdmissionRequest struct {
		Serial uint64
		Pool   string
		Server string
		// Domain is the failure domain whose servers are preferred.
		Domain       string
		Route        string
		Priority     int
		Returning    bool
		TargetInMs   int
		DeadlineInMs int
		Avoid        string
		HasFallback  bool
	}
	// AdmissionDecision is the keeper's answer. Server is set if the permit is granted, Reason if it is
	// refused; else the request waits.
	AdmissionDecision struct {
		Serial    uint64
		Server    string
		Reason    string
		RetryInMs int
		WaitMs    int
	}
	// Completion gives a permit back.
	Completion struct {
		Serial      uint64
		Pool        string
		Server      string
		Route       string
		Outcome     permit.Outcome
		DurationUs  int
		AnswerBytes int
		Running     int
		Waiting     int
		LoadKnown   bool
		// Slowdown is permit.Load.Slowdown in hundredths.
		Slowdown int
	}
	// Cancel takes an Ask back. Pool is empty if the sender does not know it any more.
	Cancel struct {
		Serial uint64
		Pool   string
	}
	// AdmissionCheck asks who was granted a permit whether it still has it. Who does not answers with
	// Withdraw.
	AdmissionCheck struct{ Serial uint64 }
	// LoadReport tells the leader how many requests an instance had since the last such message, by
	// service and key, and what servers can do in a second, with the number of answers
	// that each figure rests on.
	LoadReport struct {
		Name    string
		Service string
		// Keys and Counts belong together.
		Keys       []uint16
		Counts     []uint16
		Servers    []string
		Capacities []float64
		Answers    []uint16
	}
	// OwnerChange tells of a record of owners that was written: what it changes against the record
	// before it.
	OwnerChange struct {
		Service string
		Offset  int64
		Fence   uint64
		Changes []shard.Range
	}
	// RegisterUpdate tells of records of the register of instances, which follow one another.
	RegisterUpdate struct{ Records []follow.Record }
	// Relay holds a datagram that the receiver takes as a message of its own, and passes on to the others of
	// its failure domain.
	Relay struct{ Data []byte }
	// ViewRequest says that an instance knows of the owners up to an offset only, and that the store
	// refuses it.
	ViewRequest struct{ End int64 }
	// ViewSnapshot answers Behind with all that another instance knows: the records of maps by service
	// and those of instances by name.
	ViewSnapshot struct {
		End       int64
		Maps      map[string][]byte
		Instances map[string][]byte
	}
	// TopicUpdate is what an instance read of a topic of the store, sent at a time of its lease clock.
	TopicUpdate struct {
		Topic  string
		Sender string
		SentAt int64
		follow.News
	}
	// CompletedMoves says that ranges have come to their new owners, ahead of the record that says so.
	CompletedMoves struct{ Ranges []MovedRange }
	// CrashReport says that a server was lost while a request ran there.
	CrashReport struct {
		Fingerprint uint64
		Server      string
		// Cleared says the contrary: the request had an answer.
		Cleared bool
	}
)

// MovedRange is a range that has come to its new owner, by its first key and its fence.
type MovedRange struct {
	Service string
	From    uint16
	Fence   uint64
}

func (Heartbeat) kind() byte         { return 1 }
func (AdmissionRequest) kind() byte  { return 2 }
func (AdmissionDecision) kind() byte { return 3 }
func (Completion) kind() byte        { return 4 }
func (Cancel) kind() byte            { return 5 }
func (LoadReport) kind() byte        { return 6 }
func (CrashReport) kind() byte       { return 7 }
func (OwnerChange) kind() byte       { return 8 }
func (CompletedMoves) kind() byte    { return 9 }
func (TopicUpdate) kind() byte       { return 10 }
func (AdmissionCheck) kind() byte    { return 11 }
func (ViewRequest) kind() byte       { return 12 }
func (ViewSnapshot) kind() byte      { return 13 }
func (RegisterUpdate) kind() byte    { return 14 }
func (Relay) kind() byte             { return 15 }

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
		return decode[AdmissionRequest](data[1:])
	case 3:
		return decode[AdmissionDecision](data[1:])
	case 4:
		return decode[Completion](data[1:])
	case 5:
		return decode[Cancel](data[1:])
	case 6:
		return decode[LoadReport](data[1:])
	case 7:
		return decode[CrashReport](data[1:])
	case 8:
		return decode[OwnerChange](data[1:])
	case 9:
		return decode[CompletedMoves](data[1:])
	case 10:
		return decode[TopicUpdate](data[1:])
	case 11:
		return decode[AdmissionCheck](data[1:])
	case 12:
		return decode[ViewRequest](data[1:])
	case 13:
		return decode[ViewSnapshot](data[1:])
	case 14:
		return decode[RegisterUpdate](data[1:])
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
	maxDatagram      = 60 << 10
	queueSize        = 1024
	socketReadBuffer = 1 << 20
)

// Port sends and receives messages.
type Port struct {
	conn  *net.UDPConn
	queue chan Received
	// Failed counts messages that could not be sent or understood, Lost those for which the
	// reader was too slow.
	Failed  atomic.Int64
	Dropped atomic.Int64
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
	_ = conn.SetReadBuffer(socketReadBuffer)
	return &Port{conn: conn, queue: make(chan Received, queueSize)}, nil
}

// Address returns the address that the port listens on.
func (p *Port) Address() string { return p.conn.LocalAddr().String() }

// Messages is the channel of messages.
func (p *Port) Messages() <-chan Received { return p.queue }

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
	buffer := make([]byte, maxDatagram)
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
		case p.queue <- Received{From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Message: m}:
		default:
			p.Dropped.Add(1)
		}
	}
}
