// Package dgram sends small messages between instances as UDP datagrams. A message may be lost,
// duplicated or delayed; the messages are designed so that none of these does harm.
package dgram

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/pack"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// Message is one of the message types below.
type Message interface{ kind() byte }

// The messages, encoded by position: fields may be renamed but keep their order and types.
type (
	// Heartbeat shows that an instance is alive and states what it knows and confirms.
	Heartbeat struct{ roster.Heartbeat }
	// AdmissionRequest asks the controller of a pool or a server to admit a request. Times are in
	// milliseconds from now, since clocks differ between machines.
	AdmissionRequest struct {
		Serial uint64
		Pool   string
		Server string
		// Domain is the failure domain whose servers are preferred.
		Domain   string
		Route    string
		Priority int
		// Returning is set if the caller was rejected before and came back.
		Returning    bool
		TargetInMs   int
		DeadlineInMs int
		// Avoid is a server that failed this request before.
		Avoid string
		// HasFallback is set if the sender can ask another pool.
		HasFallback bool
		// Caller, Origin and Retry are those of admit.Request. They are encoded in an addition, see additionOf.
		Caller uint32 `msgpack:"-"`
		Origin uint64 `msgpack:"-"`
		Retry  bool   `msgpack:"-"`
	}
	// AdmissionDecision is the controller's answer. Server is set if the request is admitted, Reason if
	// it is rejected; if both are empty, the request is queued.
	AdmissionDecision struct {
		Serial    uint64
		Server    string
		Reason    string
		RetryInMs int
		// WaitMs is the predicted wait that a rejection rests on.
		WaitMs int
		// Returns, LastTry and Kept are those of admit.Earlier, Reserved that of admit.Rejected. They are encoded in an addition.
		Returns  int  `msgpack:"-"`
		LastTry  bool `msgpack:"-"`
		Kept     bool `msgpack:"-"`
		Reserved bool `msgpack:"-"`
	}
	// Completion ends an admission and reports how the request went.
	Completion struct {
		Serial      uint64
		Pool        string
		Server      string
		Route       string
		Outcome     admit.Outcome
		DurationUs  int
		AnswerBytes int
		// Running, Waiting and Slowdown are the load that the server reported, valid if LoadKnown is set.
		Running   int
		Waiting   int
		LoadKnown bool
		// Slowdown is admit.Load.Slowdown in hundredths.
		Slowdown int
		// Limit is the rate that the server stated, valid if LimitKnown is set.
		Limit      float64
		LimitKnown bool
	}
	// Cancel cancels an AdmissionRequest or gives up the admission that followed. Pool is empty if the
	// sender no longer knows it.
	Cancel struct {
		Serial uint64
		Pool   string
	}
	// AdmissionCheck asks the holder of an admission whether it is still in use. If not, the receiver
	// answers with Cancel.
	AdmissionCheck struct{ Serial uint64 }
	// LoadReport reports to the leader how many requests of a service an instance had since its last report,
	// by key, and the capacity of servers, with the number of answers that each figure rests on.
	LoadReport struct {
		Name    string
		Service string
		// Keys and Counts are parallel slices.
		Keys   []uint16
		Counts []uint16
		// Servers, Capacities (in requests per second) and Answers are parallel slices.
		Servers    []string
		Capacities []float64
		Answers    []uint16
	}
	// ServerReport reports to the leader what its LoadReport of a service does not say, since instances of the previous release
	// decode no message with another number of fields: the requests that servers rejected while they had free slots, or
	// failed, and the number of answers by bucket of shard.WorkTimes. Those instances ignore it.
	ServerReport struct {
		Service string
		// Servers and Rejected are parallel slices.
		Servers  []string
		Rejected []uint16
		Work     []uint16
	}
	// OwnerChange announces records of owners that were written to the store, as the difference to the
	// owners before them. Offset is that of the first one; Records is their number, zero for one.
	OwnerChange struct {
		Service string
		Offset  logpos.Pos
		Fence   uint64
		Changes []shard.Range
		Records int
	}
	// RegisterUpdate announces consecutive records of the register of instances.
	RegisterUpdate struct{ Records []follow.Record }
	// Relay holds an encoded message that the receiver handles itself and forwards to the other instances
	// of its failure domain.
	Relay struct{ Data []byte }
	// ViewRequest asks a peer for its view of the owners. Only earlier releases send it. The sender knows the records before End only,
	// and cannot read the store.
	ViewRequest struct{ End logpos.Pos }
	// ViewSnapshot answers ViewRequest with the complete view of the sender: the encoded maps of owners by
	// service, and the records of instances by name, as of offset End.
	ViewSnapshot struct {
		End       logpos.Pos
		Maps      map[string][]byte
		Instances map[string][]byte
	}
	// TopicUpdate passes on what an instance read of a topic of the store. SentAt is a time of the sender's
	// lease clock.
	TopicUpdate struct {
		Topic  string
		Sender string
		SentAt int64
		follow.PeerUpdate
	}
	// CompletedMoves announces ranges whose move to a new owner is complete, before a record in the store
	// says so.
	CompletedMoves struct{ Ranges []MovedRange }
	// Digest is the heartbeat of a hub of a failure domain together with packed roster.Reports.
	Digest struct {
		roster.Heartbeat
		Reports []byte
	}
	// ServerLimit states the requests per second that a server takes from all instances together, zero for no limit.
	ServerLimit struct {
		Server string
		Rate   float64
	}
	// ServerLeave states that a server has said in a response that it leaves. It may get requests for LeaveInMs milliseconds
	// from now on, and none if that is negative.
	ServerLeave struct {
		Server    string
		LeaveInMs int
	}
	// ServerRest states that a server wants no requests of some instances for RestMs milliseconds from now on.
	ServerRest struct {
		Server string
		RestMs int64
		Asked  RestAsked
	}
	// IncarnationQuery asks an instance that may have renewed the leases of a server whether its incarnation still runs.
	IncarnationQuery struct {
		Server string
		Serial uint64
	}
	// IncarnationAnswer says that the incarnation still ran after the query with the same serial number was received.
	IncarnationAnswer struct {
		Server string
		Serial uint64
	}
	// CrashReport announces that a server was lost while it ran the request with a fingerprint, or, if
	// Cleared is set, that such a request had an answer.
	CrashReport struct {
		Fingerprint uint64
		Server      string
		Cleared     bool
	}
	// CrashQuery asks for the crashes that the receiver knows, unless their digest is the one that the sender knows.
	CrashQuery struct{ Known uint64 }
	// CrashHistory answers CrashQuery. Reports and AgesMs are parallel slices.
	CrashHistory struct {
		Reports []CrashReport
		AgesMs  []int
	}
)

// RestAsked says which instances a server wants no requests of.
type RestAsked byte

// The instances.
const (
	// AskedReceiver is the receiver of the message, which has carried the request to which the server responded.
	AskedReceiver RestAsked = iota
	// AskedSender is the sender of the message, AskedAll are all instances, as the sender believes.
	AskedSender
	AskedAll
)

// MovedRange identifies a range whose move is complete by its first key and its fencing token.
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
func (Digest) kind() byte            { return 17 } // 16 is kindDeflated
func (ServerLimit) kind() byte       { return 18 }
func (ServerLeave) kind() byte       { return 19 }
func (ServerRest) kind() byte        { return 20 }
func (ServerReport) kind() byte      { return 21 }
func (IncarnationQuery) kind() byte  { return 22 }
func (IncarnationAnswer) kind() byte { return 23 }
func (CrashQuery) kind() byte        { return 24 }
func (CrashHistory) kind() byte      { return 25 }

// Received is a message and the address of its sender.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// ErrMessage reports a datagram that does not hold a valid message.
var ErrMessage = errors.New("dgram: malformed message")

// Encode returns the datagram of a message: its kind in one byte and the packed fields, compressed if large.
func Encode(m Message) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(m.kind())
	if err := pack.Encode(&out, toWire(m)); err != nil {
		return nil, err
	}
	if a := additionOf(m); a != nil {
		if err := pack.Encode(&out, a); err != nil {
			return nil, err
		}
	}
	return deflate(out.Bytes())
}

// Decode returns the message in a datagram. Its errors wrap ErrMessage.
func Decode(data []byte) (Message, error) {
	if len(data) > 0 && data[0] == kindDeflated {
		inner, err := inflate(data[1:])
		if err != nil {
			return nil, err
		}
		data = inner
	}
	m, err := decodeKind(data)
	if err != nil {
		return nil, err
	}
	if m, err = addTo(m, data[1:]); err != nil {
		return nil, err
	}
	return fromWire(m), nil
}

// decodeKind returns the message in a datagram as it is transmitted.
func decodeKind(data []byte) (Message, error) {
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
	case 17:
		return decode[Digest](data[1:])
	case 18:
		return decode[ServerLimit](data[1:])
	case 19:
		return decode[ServerLeave](data[1:])
	case 20:
		return decode[ServerRest](data[1:])
	case 21:
		return decode[ServerReport](data[1:])
	case 22:
		return decode[IncarnationQuery](data[1:])
	case 23:
		return decode[IncarnationAnswer](data[1:])
	case 24:
		return decode[CrashQuery](data[1:])
	case 25:
		return decode[CrashHistory](data[1:])
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

// Sizes in bytes, except for queueSize, which is a number of messages.
const (
	maxDatagram = 60 << 10
	// MaxSize is the maximum size of an encoded message, which leaves room for a Relay around it.
	MaxSize          = maxDatagram - 64
	queueSize        = 1024
	socketReadBuffer = 1 << 20
)

// Port sends and receives messages on one UDP socket.
type Port struct {
	conn  *net.UDPConn
	queue chan Received
	// Failed counts messages that could not be sent, received or decoded, Dropped those that arrived while the
	// queue of Messages was full.
	Failed  atomic.Int64
	Dropped atomic.Int64
}

// Listen opens a port on an address, given as IPv4 host and port.
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

// Address returns the local address as host and port.
func (p *Port) Address() string { return p.conn.LocalAddr().String() }

// Messages returns the channel of received messages. It is never closed.
func (p *Port) Messages() <-chan Received { return p.queue }

// Send sends a message. Errors are only counted, since a message may be lost anyway.
func (p *Port) Send(to netip.AddrPort, m Message) {
	data, err := Encode(m)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		p.Failed.Add(1)
	}
}

// SendAll sends a message to several receivers. It encodes the message once, since for hundreds of receivers
// encoding would be most of the work.
func (p *Port) SendAll(to []netip.AddrPort, m Message) {
	data, err := Encode(m)
	if err != nil {
		p.Failed.Add(1)
		return
	}
	p.SendData(to, data)
}

// SendData sends an encoded message to several receivers.
func (p *Port) SendData(to []netip.AddrPort, data []byte) {
	for _, address := range to {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil {
			p.Failed.Add(1)
		}
	}
}

// Run receives messages until the context ends, then closes the socket and returns the error of the context.
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
