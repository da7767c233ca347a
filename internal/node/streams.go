package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/join"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
)

// The calls between instances over TCP, for what does not fit into messages.
const (
	pathJoin   = "/join"
	pathTopics = "/topics"
	// headerFormat states the version of the format of topics.
	headerFormat   = "Mustardring-Format"
	formatTopics   = "1"
	headerFrom     = "Mustardring-From"
	headerEnd      = "Mustardring-End"
	headerSnapshot = "Mustardring-Snapshot"
	// headerStaleness is follow.PeerUpdate.Staleness, headerHeld how long the peer had the request when it answered.
	headerStaleness = "Mustardring-Staleness-Ms"
	headerHeld      = "Mustardring-Held-Ms"
	// queryInForce asks for the owners on which the receiver acts.
	queryInForce = "in-force"
	// headerEra is the era of the positions in an answer. Instances that do not know eras state offsets only.
	headerEra = "Mustardring-Era"
)

// The timeouts of calls between instances.
const (
	peerDialTimeout = 300 * time.Millisecond
	peerUserTimeout = time.Second
	// maxHoldTime is how long an instance holds a request for a topic that it does not have yet. Then it answers that it
	// waits for the topic itself, by which the sender tells it from one that stands still.
	maxHoldTime = 100 * time.Millisecond
	// topicPollInterval is the time between two checks whether a topic is there. What a watch applies is noticed at once.
	topicPollInterval = 20 * time.Millisecond
	// topicReadInterval is the minimum time between two reads that peers cause.
	topicReadInterval = 200 * time.Millisecond
	// maxTopicCalls is the number of peers that may be waiting for topics at the same time.
	maxTopicCalls = 64
	// maxPeerHead bounds the head of an answer of another instance in bytes.
	maxPeerHead = 64 << 10
	// peerIdleTimeout is how long idle connections between instances are kept.
	peerIdleTimeout = 3 * time.Second
)

// errNoPeer means that no other instance is known that may have a topic.
var errNoPeer = errors.New("node: no instance to ask")

// clockDriftFactor makes up for the drift between the clocks of instances.
const clockDriftFactor = 1.02

// newPeerClient returns a client for calls to other instances, which opens connections with dial.
func newPeerClient(dial upstr.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxPeerHead,
	}}
}

// newPeerDialer returns a dialer for connections to other instances.
func newPeerDialer() *net.Dialer {
	return &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1, Control: upstr.UserTimeout(peerUserTimeout)}
}

// dialPeer connects to another instance.
func (n *Node) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	dialer := newPeerDialer()
	dialer.Timeout += n.sendDelay.Allowance(startedAt)
	c, err := dialer.DialContext(ctx, network, address)
	if err == nil {
		n.sendDelay.Observe(time.Since(startedAt), time.Now())
	}
	return c, err
}

// servePeers returns the worker that answers the calls of other instances at an address.
func (n *Node) servePeers(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error { return serveHTTP(ctx, address, n.peerHandler(ctx)) }
}

// peerHandler returns the handler of the calls of other instances. The tunnels that it carries end with the context.
func (n *Node) peerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathJoin, n.handleJoin)
	mux.HandleFunc("GET "+pathTopics, n.handleTopic)
	mux.HandleFunc("POST "+tunnel.Path, func(w http.ResponseWriter, r *http.Request) { n.handleTunnel(ctx, w, r) })
	if n.settings.Overload.ShareConnections {
		mux.HandleFunc("POST "+pathRequests, n.handleCarry)
	}
	return mux
}

// topicQuery returns the query of a request for a topic that the receiver may hold for a time.
func topicQuery(r follow.PeerRequest, wait time.Duration) url.Values {
	q := url.Values{
		"topic": {r.Topic}, "from": {formatOffset(r.From)}, "min-end": {formatOffset(r.MinEnd)},
		"from-era": {formatEra(r.From)}, "min-end-era": {formatEra(r.MinEnd)},
		"max-stale-ms": {strconv.FormatInt(r.MaxStaleness.Milliseconds(), 10)},
		"wait-ms":      {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if r.InForce {
		q.Set(queryInForce, "1")
	}
	return q
}

func formatOffset(p logpos.Pos) string { return strconv.FormatInt(p.Offset(), 10) }

func formatEra(p logpos.Pos) string { return strconv.FormatUint(uint64(p.Era()), 10) }

// parsePos decodes the offset and the era of a position. The era may be missing.
func parsePos(offset, era string) (logpos.Pos, error) {
	o, err := strconv.ParseInt(offset, 10, 64)
	if err != nil || o < 0 || era == "" {
		return logpos.Pos(o), err
	}
	e, err := strconv.ParseUint(era, 10, 32)
	if err != nil || e > uint64(logpos.MaxEra) || !logpos.Valid(o) {
		return 0, errors.Join(errTopicFormat, err)
	}
	return logpos.At(logpos.Era(e), o), nil
}

// parseTopicQuery decodes the result of topicQuery. It reports whether it is complete.
func parseTopicQuery(q url.Values) (r follow.PeerRequest, wait time.Duration, ok bool) {
	numbers := map[string]int64{}
	for _, name := range []string{"max-stale-ms", "wait-ms"} {
		v, err := strconv.ParseInt(q.Get(name), 10, 64)
		if err != nil {
			return r, 0, false
		}
		numbers[name] = v
	}
	from, errFrom := parsePos(q.Get("from"), q.Get("from-era"))
	minEnd, errEnd := parsePos(q.Get("min-end"), q.Get("min-end-era"))
	if errFrom != nil || errEnd != nil {
		return r, 0, false
	}
	r = follow.PeerRequest{
		Topic: q.Get("topic"), From: from, MinEnd: minEnd,
		MaxStaleness: time.Duration(numbers["max-stale-ms"]) * time.Millisecond,
	}
	return r, min(time.Duration(numbers["wait-ms"])*time.Millisecond, maxHoldTime), true
}

// statusTopicPending says that the instance waits for what is asked for as well, so that the sender may ask again.
const statusTopicPending = http.StatusAccepted

// handleTopic answers a peer that asks for a topic. It waits a short time until this instance has what is asked for.
func (n *Node) handleTopic(w http.ResponseWriter, request *http.Request) {
	r, wait, ok := parseTopicQuery(request.URL.Query())
	if _, known := n.watches[r.Topic]; !ok || !known {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case n.topicCalls <- struct{}{}:
		defer func() { <-n.topicCalls }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	era := n.topicEra(r.Topic)
	r.From, r.MinEnd = r.From.In(era), r.MinEnd.In(era)
	if request.URL.Query().Has(queryInForce) {
		n.sendOwnersInForce(w)
		return
	}
	arrivedAt := n.leases.Clock.Now()
	if !n.awaitTopic(request.Context(), r, wait) {
		w.WriteHeader(statusTopicPending)
		return
	}
	// The age is taken before the content: content that is newer is at most as old.
	held, staleness := n.leases.Clock.Now().Sub(arrivedAt), n.topicStaleness(r.Topic)
	topic, err := n.encodeTopic(r.Topic, r.From)
	if err != nil {
		n.events.Record(event.StateChange, "topic-not-sent", "topic", r.Topic, "error", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.sendTopic(w, topic, staleness, held)
}

// sendOwnersInForce answers a peer that asks for the owners on which this instance acts, which may be of an earlier era of
// the store than what it has read.
func (n *Node) sendOwnersInForce(w http.ResponseWriter) {
	topic, err := n.ownersCopy.of(n.leases.View())
	if err != nil {
		n.events.Record(event.StateChange, "topic-not-sent", "topic", n.platform.OwnersTopic, "error", err)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.sendTopic(w, topic, -1, 0)
}

// sendTopic sends a topic, given the age in milliseconds of what this instance knows and for how long it held the request.
func (n *Node) sendTopic(w http.ResponseWriter, topic encodedTopic, staleness int64, held time.Duration) {
	h := w.Header()
	h.Set(headerFormat, formatTopics)
	h.Set(headerFrom, formatOffset(topic.from))
	h.Set(headerEnd, formatOffset(topic.end))
	h.Set(headerEra, formatEra(topic.end))
	h.Set(headerSnapshot, strconv.FormatBool(topic.snapshot))
	h.Set(headerStaleness, strconv.FormatInt(staleness, 10))
	h.Set(headerHeld, strconv.FormatInt(held.Milliseconds(), 10))
	h.Set("Content-Length", strconv.Itoa(len(topic.body)))
	_, _ = w.Write(topic.body)
}

// awaitTopic waits until this instance has what a peer asks for, and reads the topic if a peer needs newer knowledge. It
// reports whether there is something to send in time.
func (n *Node) awaitTopic(ctx context.Context, r follow.PeerRequest, wait time.Duration) bool {
	deadline := time.Now().Add(wait)
	var readAt time.Time
	for {
		changed := n.watches[r.Topic].Changed()
		end, loaded := n.topicEnd(r.Topic)
		staleness := n.topicStaleness(r.Topic)
		current := r.MaxStaleness == 0 || staleness >= 0 && time.Duration(staleness)*time.Millisecond <= r.MaxStaleness
		if loaded && staleness >= 0 && end >= max(r.MinEnd, r.From) && current {
			return true
		}
		if now := time.Now(); loaded && now.Sub(readAt) >= topicReadInterval {
			readAt = now
			n.watches[r.Topic].RequireEnd(r.MinEnd)
			if !current {
				n.watches[r.Topic].Require(n.leases.Clock.Now().Add(-r.MaxStaleness))
			}
			// That a peer needs newer knowledge does not mean that the store answers again after a failed read.
			if end < max(r.MinEnd, r.From) || !n.watches[r.Topic].LastReadFailed() {
				n.requestRead(r.Topic)
			}
		}
		if time.Now().After(deadline) {
			return false
		}
		timer := time.NewTimer(topicPollInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// topicEnd returns the end of what this instance knows of a topic, and whether it knows the topic at all.
func (n *Node) topicEnd(topic string) (logpos.Pos, bool) {
	if topic == n.platform.OwnersTopic {
		end := n.leases.Read().End
		return end, end > 0
	}
	return n.topics[topic].known()
}

// topicStaleness returns the age in milliseconds of what this instance knows of a topic, negative if that is not known.
func (n *Node) topicStaleness(topic string) int64 {
	if topic == n.platform.OwnersTopic {
		age := n.leases.ReadAge()
		if age > maxKnowledgeAge {
			return -1
		}
		return int64(float64(age.Milliseconds()+1)*clockDriftFactor) + 1
	}
	_, asOf := n.watches[topic].Known()
	return ageMillis(n.leases.Clock.Now(), asOf)
}

// encodeTopic returns what this instance knows of a topic from an offset on.
func (n *Node) encodeTopic(topic string, from logpos.Pos) (encodedTopic, error) {
	if topic != n.platform.OwnersTopic {
		return n.topics[topic].since(from)
	}
	view := n.leases.Read()
	if view.End == from {
		body, err := encodeRecords(nil)
		return encodedTopic{from: from, end: from, body: body}, err
	}
	return n.ownersCopy.of(view)
}

// placeInterval is the time between two computations of the place of this instance, which looks at all instances. It is
// computed at once if the number of registered instances has changed.
const placeInterval = 500 * time.Millisecond

// place returns the place of this instance in the tree of its failure domain.
func (n *Node) place() join.Place {
	now := time.Now()
	n.placeMu.Lock()
	defer n.placeMu.Unlock()
	if registered := n.roster.Len(); registered != n.placedAmong || now.Sub(n.placedAt) >= placeInterval {
		leader, _ := n.roster.Leader(now)
		n.placedAmong, n.placedAt = registered, now
		n.currentPlace = join.PlaceOf(n.settings.Name, n.settings.Domain, leader.Name, n.treeMembers(leader.Name, now))
	}
	return n.currentPlace
}

// treeMembers returns the instances that form the trees: those that are alive. An instance that knows no leader and hears
// none of its failure domain takes all that are registered: if it took itself for the only one, it would read the store,
// and so would all others that hear nobody.
func (n *Node) treeMembers(leader string, now time.Time) []roster.Peer {
	alive := n.roster.Alive(now)
	heard := func(p roster.Peer) bool { return p.Name != n.settings.Name && p.Domain == n.settings.Domain }
	if leader != "" || slices.ContainsFunc(alive, heard) {
		return alive
	}
	members := n.roster.Others()
	if self, registered := n.roster.Peer(n.settings.Name); registered {
		members = append(members, self)
	}
	return slices.DeleteFunc(members, func(p roster.Peer) bool { return p.Heartbeat.Stopping })
}

// errTopicFormat means that a peer sent a topic in another format.
var errTopicFormat = errors.New("node: peer sent a topic in another format")

// decodeTopic decodes the answer of a peer to a request that was sent at sentAt.
func decodeTopic(response *http.Response, sentAt clock.Instant) (follow.PeerUpdate, error) {
	h := response.Header
	from, errFrom := parsePos(h.Get(headerFrom), h.Get(headerEra))
	end, errEnd := parsePos(h.Get(headerEnd), h.Get(headerEra))
	snapshot, errSnapshot := strconv.ParseBool(h.Get(headerSnapshot))
	staleness, errStaleness := strconv.ParseInt(h.Get(headerStaleness), 10, 64)
	held, errHeld := strconv.ParseInt(h.Get(headerHeld), 10, 64)
	if err := errors.Join(errFrom, errEnd, errSnapshot, errStaleness, errHeld); err != nil || h.Get(headerFormat) != formatTopics {
		return follow.PeerUpdate{}, errors.Join(errTopicFormat, err)
	}
	records, err := decodeRecords(response.Body, end.Era())
	if err != nil {
		return follow.PeerUpdate{}, err
	}
	// The peer answered when it had held the request for that long, by its own clock.
	answeredAt := sentAt.Add(time.Duration(float64(held)/clockDriftFactor) * time.Millisecond)
	return follow.PeerUpdate{
		From: from, RecordAge: maxRecordAge.Milliseconds(), Staleness: staleness, Snapshot: snapshot, SentAt: answeredAt,
		Batch: follow.Batch{Records: records, End: end},
	}, nil
}

// maxRecordAge stands for the age of a record that is not known.
const maxRecordAge = 1000 * time.Hour

// handleJoin answers an instance that starts.
func (n *Node) handleJoin(w http.ResponseWriter, request *http.Request) {
	var r join.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxJoinSize)).Decode(&r); err != nil || r.Name == "" {
		n.events.Record(event.StateChange, "join-malformed", "from", request.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	var running []string
	for _, p := range n.roster.Alive(now) {
		if p.Domain == r.Entry.Domain && !p.HeartbeatAt.IsZero() && p.Name != r.Name {
			running = append(running, p.Address)
		}
	}
	_, loaded := n.topics[n.platform.ServersTopic].known()
	n.joinMu.Lock()
	reply := n.joinBook.Add(r, running, loaded, now)
	n.joinMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// maxJoinSize is the maximum size of a join.Request in bytes.
const maxJoinSize = 4 << 10
