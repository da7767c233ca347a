package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/join"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/worker"
)

const (
	// joinTimeout is how long a starting instance asks seeds before it reads the store: it must know the configuration
	// three seconds after its start. A seed asks the others only for seedCallTimeout.
	joinTimeout       = 2 * time.Second
	joinCallTimeout   = 700 * time.Millisecond
	seedCallTimeout   = 150 * time.Millisecond
	joinRetryInterval = 40 * time.Millisecond
	// seedSilence is how long a seed may take to answer before the next one is asked as well.
	seedSilence = 350 * time.Millisecond
	// registerBatchInterval is the time between two appends of the registrations of starting instances, maxRegisterBatch
	// the maximum number in one.
	registerBatchInterval = 200 * time.Millisecond
	maxRegisterBatch      = 500
)

const (
	// startBound is how long after its start an instance must know the configuration.
	startBound = 3 * time.Second
	// startReadReserve is the part of startBound for a read of the store that may fail once.
	startReadReserve = time.Second
	// configReadInterval and stateReadInterval are the times between the reads of two instances that start together and
	// were not given the configuration, or the directory or the owners, by others. Three seeds number the instances, and
	// a large configuration takes the store 3 ms. The directory of 10,000 servers takes it 50 ms.
	configReadInterval = 10 * time.Millisecond
	stateReadInterval  = 150 * time.Millisecond
)

// start is what an instance knows about how it gets its state at its start.
type start struct {
	join.Reply
	// reader says that the instance reads the store for others, as few do.
	reader bool
	// storeSlow says that the store took longer than slowStoreTime for its first answer.
	storeSlow bool
	// begunAt is when the instance started.
	begunAt time.Time
}

// slowStoreTime is the time from which on an answer of the store counts as slow, also for an instance with a small share of
// a core.
const slowStoreTime = 120 * time.Millisecond

// joinLoop asks a seed for the instances from which this one gets its state. Then it waits for the end of the context,
// since the end of a worker ends the instance.
func (n *Node) joinLoop(ctx context.Context) error {
	begunAt := time.Now()
	n.start = n.findParents(ctx)
	n.start.begunAt = begunAt
	close(n.joined)
	<-ctx.Done()
	return ctx.Err()
}

// findParents asks the seeds until one answers. The result names no parents if none does in time, or if this
// instance is to read the store.
func (n *Node) findParents(ctx context.Context) start {
	seeds := slices.DeleteFunc(slices.Clone(n.settings.Seeds), func(s string) bool { return s == n.settings.ControlAddress })
	// When the system starts for the first time, the directory says nothing about its size yet.
	if len(seeds) == 0 {
		return start{}
	}
	if !n.settings.FirstStart {
		if small, took := n.directoryIsSmall(ctx); small {
			return start{storeSlow: took > slowStoreTime}
		}
	}
	if len(seeds) < len(n.settings.Seeds) {
		reply := n.findLoadedSeed(ctx, seeds)
		return start{Reply: reply, reader: len(reply.Parents) == 0}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if reply, err := n.askSeeds(ctx, seeds); err == nil {
			return start{Reply: reply, reader: len(reply.Parents) == 0}
		}
		worker.Sleep(ctx, joinRetryInterval)
	}
	return start{}
}

// askSeeds asks one seed to name parents and to register this instance, and others as well if it does not answer. Not all
// instances ask the same one first.
func (n *Node) askSeeds(ctx context.Context, seeds []string) (join.Reply, error) {
	if len(seeds) > 0 {
		first := n.incarnation % uint64(len(seeds))
		seeds = slices.Concat(seeds[first:], seeds[:first])
	}
	return firstAnswer(ctx, seeds, seedSilence, func(ctx context.Context, seed string, _ func()) (join.Reply, error) {
		return n.askSeed(ctx, seed, true, joinCallTimeout)
	})
}

const (
	// smallDirectoryEnd is the number of records up to which the directory is small enough for every instance to read
	// it from the store, which is faster than to wait for seeds that may be starting as well.
	smallDirectoryEnd = 2000
)

// directoryIsSmall reports whether few records were ever written to the directory, so that the system is small, and how
// long the store took to answer.
func (n *Node) directoryIsSmall(ctx context.Context) (small bool, took time.Duration) {
	askedAt := time.Now()
	batch, err := n.platform.Store.Read(ctx, n.platform.ServersTopic, logpos.EndOnly, 0)
	took = time.Since(askedAt)
	n.events.Record(event.StateChange, "store-read", "topic", n.platform.ServersTopic, "reason", "size", "end", batch.End, "took", took, "error", err)
	n.storeCalls.Add("read "+n.platform.ServersTopic+" size", 1)
	return err == nil && batch.End.Offset() <= smallDirectoryEnd, took
}

// findLoadedSeed asks the other seeds at the same time. A seed uses the reply of one that has the state; seeds that start
// together read the store for all.
func (n *Node) findLoadedSeed(ctx context.Context, seeds []string) join.Reply {
	replies := make(chan join.Reply, len(seeds))
	for _, seed := range seeds {
		go func() {
			reply, _ := n.askSeed(ctx, seed, false, seedCallTimeout) // logged there
			replies <- reply
		}()
	}
	for range seeds {
		if reply := <-replies; reply.Loaded {
			return reply
		}
	}
	return join.Reply{}
}

// askSeed sends a join.Request to a seed and logs the result.
func (n *Node) askSeed(ctx context.Context, seed string, register bool, timeout time.Duration) (join.Reply, error) {
	reply, err := n.callSeed(ctx, seed, register, timeout)
	if err != nil {
		n.events.Record(event.StateChange, "seed-unreachable", "seed", seed, "error", err)
		return join.Reply{}, err
	}
	n.events.Record(event.StateChange, "joined", "seed", seed, "parents", strings.Join(reply.Parents, ","), "registers", reply.Registers, "loaded", reply.Loaded,
		"position", reply.Position, "starters", reply.Starters)
	// Each seed knows those that have asked it.
	n.starters.Store(int64(reply.Starters * len(n.settings.Seeds)))
	return reply, nil
}

// joinRequest returns the request of this instance to a seed.
func (n *Node) joinRequest(register bool) join.Request {
	known := n.leases.Read().End
	return join.Request{Name: n.settings.Name, Entry: n.entry(false), Register: register, KnownOffset: known.Offset(), KnownEra: known.Era()}
}

// callSeed sends a join.Request to a seed.
func (n *Node) callSeed(ctx context.Context, seed string, register bool, timeout time.Duration) (join.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(n.joinRequest(register))
	if err != nil {
		return join.Reply{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seed+pathJoin, bytes.NewReader(body))
	if err != nil {
		return join.Reply{}, err
	}
	response, err := n.peerClient.Do(request)
	if err != nil {
		return join.Reply{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return join.Reply{}, fmt.Errorf("node: seed answered with status %d", response.StatusCode)
	}
	var reply join.Reply
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, err
}

// joinSources waits until a seed has answered or cannot be reached, and returns the instances that it named.
func (n *Node) joinSources(ctx context.Context) []string {
	select {
	case <-n.joined:
		return n.start.Parents
	case <-ctx.Done():
		return nil
	}
}

// knownStart returns how this instance gets its state, false before a seed has answered.
func (n *Node) knownStart() (start, bool) {
	select {
	case <-n.joined:
		return n.start, true
	default:
		return start{}, false
	}
}

// joinedParents returns the instances that a seed has named, none before it has answered.
func (n *Node) joinedParents() []string {
	s, _ := n.knownStart()
	return s.Parents
}

// startsAsReader reports whether this instance is one of the few that read the store for others at a start.
func (n *Node) startsAsReader() bool {
	s, _ := n.knownStart()
	return s.reader
}

// startDeadline returns when the store is read for a topic that is not known yet although other instances were asked. Of
// those that start together, each reads later than the one before it: most of them get the topic from one that has read.
//
// A start must not wait long for the configuration. The directory is too large for many to read it: a read that others
// delay counts as failed and is repeated, so that the store answers none of them in time.
func (n *Node) startDeadline(topic string) time.Time {
	s, known := n.knownStart()
	switch {
	case !known:
		return time.Now().Add(maxStartFetchTime)
	case topic == n.platform.ConfigTopic:
		return s.begunAt.Add(startBound - startReadReserve + time.Duration(s.Position)*configReadInterval)
	default:
		return s.begunAt.Add(maxStartFetchTime + time.Duration(s.Position)*stateReadInterval)
	}
}

// registerStartersLoop writes the registrations of the instances that have asked this seed, many in one call.
func (n *Node) registerStartersLoop(ctx context.Context) error {
	for worker.Sleep(ctx, registerBatchInterval) {
		batch := n.takeRegistrations(time.Now())
		if len(batch) == 0 || n.isStopping() {
			continue
		}
		end, err := n.registerStarters(ctx, batch)
		n.finishRegistrations(batch, end, err, time.Now())
		if err != nil {
			worker.Sleep(ctx, n.retryDelay(0))
		}
	}
	return ctx.Err()
}

// finishRegistrations records the result of a write of registrations: the offset after them, or an error. If the outcome is
// unknown they count as written: instances that find theirs missing in the register ask again.
func (n *Node) finishRegistrations(batch []join.Request, end logpos.Pos, err error, now time.Time) {
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	if errors.Is(err, follow.ErrNotDone) {
		n.joinBook.Return(batch)
		return
	}
	n.joinBook.Written(batch, end, now)
}

// takeRegistrations takes registrations that are to be written, and drops those whose time is over.
func (n *Node) takeRegistrations(now time.Time) []join.Request {
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	if dropped := n.joinBook.DropUnwritten(now); dropped > 0 {
		n.events.Record(event.StateChange, "registrations-not-written", "count", dropped)
	}
	return n.joinBook.Take(maxRegisterBatch)
}

// registerStarters writes registrations to the register and returns the offset after them, zero with an error. A registration
// that is written twice changes nothing.
func (n *Node) registerStarters(ctx context.Context, batch []join.Request) (logpos.Pos, error) {
	records := make([]follow.Record, 0, len(batch))
	for _, r := range batch {
		value, err := r.Entry.Encode()
		if err != nil {
			n.events.Record(event.StateChange, "join-malformed", "instance", r.Name, "error", err)
			continue
		}
		records = append(records, follow.Record{Key: lease.InstanceKey(r.Name), Value: value})
	}
	if len(records) == 0 {
		return 0, nil
	}
	offset, err := n.platform.Store.Append(ctx, n.platform.OwnersTopic, records, -1)
	if err != nil {
		return 0, err
	}
	if n.leases.Leads() {
		n.requestRead(n.platform.OwnersTopic)
	}
	return offset + logpos.Pos(len(records)), nil
}
