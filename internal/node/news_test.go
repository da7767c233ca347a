package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// pollStore is a store with one topic. It holds reads that wait for records.
type pollStore struct {
	mu      sync.Mutex
	records []follow.Record
	calls   int
	// era counts the returns of the store from copies.
	era logpos.Era
}

// returnFrom makes the store come back from a copy with some of its records.
func (s *pollStore) returnFrom(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:records:records]
	s.era++
}

// pollAnswerTime is how long the store takes to answer.
const pollAnswerTime = 20 * time.Millisecond

func (s *pollStore) put(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: "config", Value: []byte(value), Offset: logpos.Pos(len(s.records))})
}

// count returns the number of calls so far.
func (s *pollStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// from returns the records from an offset on.
func (s *pollStore) from(offset logpos.Pos) follow.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := follow.Batch{End: logpos.At(s.era, int64(len(s.records)))}
	for i := offset.Offset(); i < int64(len(s.records)); i++ {
		r := s.records[i]
		r.Offset = logpos.At(s.era, i)
		batch.Records = append(batch.Records, r)
	}
	return batch
}

func (s *pollStore) Append(context.Context, string, []follow.Record, logpos.Pos) (logpos.Pos, error) {
	return 0, follow.ErrNotDone
}

func (s *pollStore) Newest(ctx context.Context, _ string) (follow.Batch, error) {
	batch, err := s.read(ctx, 0, 0)
	if n := len(batch.Records); n > 0 {
		batch.Records = batch.Records[n-1:]
	}
	return batch, err
}

func (s *pollStore) Read(ctx context.Context, _ string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	batch, err := s.read(ctx, from, wait)
	if err == nil && batch.End.Era() != from.Era() {
		return follow.Batch{End: logpos.At(batch.End.Era(), 0)}, follow.ErrReturned
	}
	return batch, err
}

func (s *pollStore) read(ctx context.Context, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	deadline := time.Now().Add(wait)
	if !worker.Sleep(ctx, pollAnswerTime) {
		return follow.Batch{}, ctx.Err()
	}
	for s.from(from).End <= from && time.Now().Before(deadline) {
		if !worker.Sleep(ctx, 5*time.Millisecond) {
			return follow.Batch{}, ctx.Err()
		}
	}
	return s.from(from), nil
}

// peerFault is a fault of an instance that others ask for a topic.
type peerFault int

// The faults. A frozen instance accepts connections and does nothing, a silent one is behind a cut, a cut one answers
// with a header and no more, a slow one sends its answer over slowTime, a thawing one is frozen for thawTime, a waiting
// one never gets the topic.
const (
	healthy peerFault = iota
	frozen
	silent
	cutAfterHeader
	slow
	thawing
	waiting
)

const (
	slowTime = 3 * time.Second
	thawTime = 400 * time.Millisecond
)

// newsCluster is a set of running instances. It carries the calls and heartbeats between them.
type newsCluster struct {
	store   *pollStore
	nodes   []*Node
	leader  *Node
	address map[string]*Node
	// lossy loses the leader's announcements, silent all heartbeats.
	lossy  bool
	silent atomic.Bool
	mu     sync.Mutex
	faults map[*Node]peerFault
	// thawedAt is when the thawing instances go on.
	thawedAt time.Time
	// knownAt is when each instance had the newest record.
	knownAt map[*Node]time.Time
}

// setFault gives an instance a fault.
func (c *newsCluster) setFault(n *Node, f peerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[n] = f
	c.thawedAt = time.Now().Add(thawTime)
}

// fault returns the fault of an instance, and how long it stands still.
func (c *newsCluster) fault(n *Node) (f peerFault, stands time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f = c.faults[n]; f {
	case frozen, silent:
		stands = time.Hour
	case thawing:
		stands = time.Until(c.thawedAt)
	}
	return f, stands
}

// errNoConnection stands for a connection that cannot be established.
var errNoConnection = errors.New("dial: i/o timeout")

// RoundTrip implements http.RoundTripper by the handlers of the addressed instance.
func (c *newsCluster) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, n := r.Context(), c.address[r.URL.Host]
	f, stands := c.fault(n)
	if f == silent {
		worker.Sleep(ctx, peerDialTimeout)
		return nil, errNoConnection
	}
	if !worker.Sleep(ctx, 3*time.Millisecond+max(stands, 0)) {
		return nil, ctx.Err()
	}
	w := httptest.NewRecorder()
	switch {
	case r.URL.Path == pathJoin:
		n.handleJoin(w, r)
	case f == waiting:
		worker.Sleep(ctx, maxHoldTime)
		w.WriteHeader(statusTopicPending)
	default:
		n.handleTopic(w, r)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	response := w.Result()
	if response.StatusCode == http.StatusOK && f == cutAfterHeader {
		response.Body = io.NopCloser(&slowReader{ctx: ctx, pause: time.Hour, Reader: response.Body})
	}
	if response.StatusCode == http.StatusOK && f == slow {
		pause := slowTime / time.Duration(max(w.Body.Len(), 1))
		response.Body = io.NopCloser(&slowReader{ctx: ctx, pause: pause, Reader: response.Body})
	}
	return response, nil
}

// slowReader reads one byte after each pause.
type slowReader struct {
	io.Reader
	ctx   context.Context
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if !worker.Sleep(r.ctx, r.pause) {
		return 0, r.ctx.Err()
	}
	return r.Reader.Read(p[:min(len(p), 1)])
}

// newNewsCluster starts instances in six failure domains, which are registered and know one configuration.
func newNewsCluster(instances, leader int, lossy bool, group *worker.Group) *newsCluster {
	c := &newsCluster{lossy: lossy, store: &pollStore{}, address: map[string]*Node{}, faults: map[*Node]peerFault{}, knownAt: map[*Node]time.Time{}}
	c.store.put("1")
	sc := &startCluster{store: &limitedStore{topics: map[string][]follow.Record{}}, nodes: c.address}
	var register []follow.Record
	for i := range instances {
		n := sc.newStarter(i, 0)
		close(n.joined)
		n.peerClient = &http.Client{Transport: c}
		n.lag = map[string]*lagDetector{"config": {}}
		n.topics["servers"].apply(follow.Update{Snapshot: true, Batch: follow.Batch{End: 1}})
		entry, _ := n.entry(false).Encode()
		register = append(register, follow.Record{Key: lease.InstanceKey(n.settings.Name), Value: entry, Offset: logpos.Pos(i)})
		c.nodes = append(c.nodes, n)
	}
	c.leader = c.nodes[leader]
	for _, n := range c.nodes {
		group.Go("leases", n.leases.Run)
		n.leases.StoreUpdates() <- follow.Update{Topic: "owners", Snapshot: true, Batch: follow.Batch{Records: register, End: logpos.Pos(instances)}}
		synctest.Wait()
		watch := n.watches["config"]
		watch.Store, watch.ReadsStore = c.store, func() bool { return n == c.leader }
		if n == c.leader {
			watch.PollTimeout = n.leaderPollTimeout
		}
		group.Go("config", watch.Run)
		group.Go("updates", func(ctx context.Context) error { return c.applyUpdates(ctx, n) })
		group.Go("events", n.events.Run)
	}
	group.Go("heartbeats", c.sendHeartbeats)
	return c
}

// applyUpdates applies the updates of an instance. The leader announces what it has read, without the records.
func (c *newsCluster) applyUpdates(ctx context.Context, n *Node) error {
	for {
		select {
		case u := <-n.updates["config"]:
			n.topics["config"].apply(u)
			n.watches["config"].MarkApplied(u)
			if u.Err == nil && u.End == c.store.from(0).End {
				c.mu.Lock()
				if _, known := c.knownAt[n]; !known {
					c.knownAt[n] = time.Now()
				}
				c.mu.Unlock()
			}
			if _, stands := c.fault(n); stands <= 0 && !c.lossy && u.Err == nil && u.StartedAt != 0 && len(u.Records) > 0 && (n == c.leader || u.Overdue) {
				c.announce(n, u.End)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announce tells all instances the end of the topic.
func (c *newsCluster) announce(sender *Node, end logpos.Pos) {
	for _, n := range c.nodes {
		if _, stands := c.fault(n); n == sender || stands > 0 {
			continue
		}
		select {
		case n.peerUpdates["config"] <- follow.PeerUpdate{From: end, Staleness: -1, Batch: follow.Batch{End: end}}:
		default:
		}
	}
}

// sendHeartbeats gives each instance the heartbeats of all others, those of its failure domain and of the leader more often.
func (c *newsCluster) sendHeartbeats(ctx context.Context) error {
	nextAt, nextInDomainAt := map[*Node]time.Time{}, map[*Node]time.Time{}
	for worker.Sleep(ctx, 50*time.Millisecond) {
		if c.silent.Load() {
			continue
		}
		now := time.Now()
		for _, sender := range c.nodes {
			if _, stands := c.fault(sender); stands > 0 || now.Before(nextAt[sender]) && now.Before(nextInDomainAt[sender]) {
				continue
			}
			toAll := !now.Before(nextAt[sender])
			nextInDomainAt[sender] = now.Add(sender.roster.DomainHeartbeatInterval())
			if toAll {
				nextAt[sender] = now.Add(sender.roster.HeartbeatInterval())
			}
			if sender == c.leader {
				nextAt[sender] = now.Add(sender.roster.LeaderHeartbeatInterval())
			}
			end, asOf := sender.watches["config"].Known()
			h := roster.Heartbeat{
				Name: sender.settings.Name, Incarnation: sender.incarnation, ConfigEnd: end,
				StoreOK: sender == c.leader, StoreAnswered: sender == c.leader, Leads: sender == c.leader,
			}
			for _, n := range c.nodes {
				if _, stands := c.fault(n); stands > 0 || n == sender || !toAll && n.settings.Domain != sender.settings.Domain {
					continue
				}
				n.roster.RecordHeartbeat(h, now)
				known, _ := n.watches["config"].Known()
				n.checkLag("config", h.Name, end, known, now)
				n.watches["config"].ConfirmCurrent(end, asOf)
			}
		}
	}
	return ctx.Err()
}

// stopHeartbeats loses all heartbeats from now on.
func (c *newsCluster) stopHeartbeats() { c.silent.Store(true) }

// Guards against instances that never take the next record after the store has come back from a copy, and against all of them
// reading the store then.
func TestReturnOfTheStoreReachesAllThroughFewReads(t *testing.T) {
	const (
		bound    = 2 * time.Second
		maxCalls = 50 // in five seconds
	)
	for _, instances := range []int{6, 72, 300} {
		for name, kept := range map[string]int{"lower end": 1, "equal end with the next": 4} {
			t.Run(fmt.Sprintf("%d, %s", instances, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					group := worker.New(ctx, 8*instances)
					c := newNewsCluster(instances, 0, false, group)
					for i := range 4 {
						time.Sleep(3 * time.Second)
						c.store.put(strconv.Itoa(i + 2))
					}
					time.Sleep(3 * time.Second)
					calls := c.store.count()
					c.store.returnFrom(kept)
					time.Sleep(700 * time.Millisecond)
					c.mu.Lock()
					clear(c.knownAt)
					c.mu.Unlock()
					c.store.put("next")
					putAt := time.Now()
					time.Sleep(5 * time.Second)
					cancel()
					_ = group.Wait(0)
					latest := time.Duration(0)
					for _, n := range c.nodes {
						end, _ := n.watches["config"].Known()
						is.Equal(end, c.store.from(0).End)
						latest = max(latest, c.knownAt[n].Sub(putAt))
					}
					t.Logf("in force everywhere after %v, %d calls", latest, c.store.count()-calls)
					is.True(latest <= bound)
					is.True(c.store.count()-calls <= maxCalls)
				})
			})
		}
	}
}

// inDomain returns the instance of a failure domain at an index in its tree.
func (c *newsCluster) inDomain(domain, index int) *Node { return c.nodes[domain+6*index] }

// Guards against waits for other instances that outlast the two seconds within which a change must be in force.
func TestNewsIsInForceInTime(t *testing.T) {
	const bound = 2 * time.Second
	tests := map[string]struct {
		leader int
		// faults holds the faults that begin shortly before the change, later those that begin after the leader has read it.
		faults func(c *newsCluster) map[*Node]peerFault
		later  func(c *newsCluster) map[*Node]peerFault
		lossy  bool
	}{
		"no fault":             {},
		"announcement lost":    {lossy: true},
		"leader has a parent":  {leader: 6},
		"leader frozen":        {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.leader: frozen} }},
		"leader cut off":       {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.leader: silent} }},
		"leader frozen, later": {later: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.leader: frozen} }},
		"leader thaws":         {later: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.leader: thawing} }},
		"leader and its domain frozen, later": {later: func(c *newsCluster) map[*Node]peerFault {
			return map[*Node]peerFault{c.leader: frozen, c.inDomain(0, 1): frozen}
		}},
		"parent frozen":           {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.inDomain(1, 0): frozen} }},
		"parent cut off":          {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.inDomain(1, 0): silent} }},
		"parent cut after header": {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.inDomain(1, 0): cutAfterHeader} }},
		"parent slow":             {faults: func(c *newsCluster) map[*Node]peerFault { return map[*Node]peerFault{c.inDomain(1, 0): slow} }},
		"parents frozen": {faults: func(c *newsCluster) map[*Node]peerFault {
			return map[*Node]peerFault{c.inDomain(1, 0): frozen, c.inDomain(2, 0): frozen, c.inDomain(0, 1): frozen}
		}},
		"leader and parent frozen, later": {later: func(c *newsCluster) map[*Node]peerFault {
			return map[*Node]peerFault{c.leader: frozen, c.inDomain(1, 0): frozen}
		}},
		"leader and parent frozen": {faults: func(c *newsCluster) map[*Node]peerFault {
			return map[*Node]peerFault{c.leader: frozen, c.inDomain(1, 0): frozen}
		}},
	}
	for name, test := range tests {
		for _, instances := range []int{12, 70} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				for phase := time.Duration(0); phase < 900*time.Millisecond; phase += 300 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						ctx, cancel := context.WithCancel(t.Context())
						group := worker.New(ctx, 8*instances)
						c := newNewsCluster(instances, test.leader, test.lossy, group)
						time.Sleep(3*time.Second + phase)
						begin := func(faults func(c *newsCluster) map[*Node]peerFault) {
							if faults != nil {
								for n, f := range faults(c) {
									c.setFault(n, f)
								}
							}
						}
						begin(test.faults)
						c.mu.Lock()
						clear(c.knownAt)
						c.mu.Unlock()
						c.store.put("2")
						changedAt := time.Now()
						time.Sleep(pollAnswerTime + 2*time.Millisecond)
						begin(test.later)
						time.Sleep(8 * time.Second)
						cancel()
						_ = group.Wait(0)
						latest := time.Duration(0)
						for _, n := range c.nodes {
							if c.faults[n] == frozen || c.faults[n] == silent {
								continue
							}
							at, known := c.knownAt[n]
							is.True(known)
							latest = max(latest, at.Sub(changedAt))
						}
						t.Logf("phase %v: in force everywhere after %v, %d calls", phase, latest, c.store.calls)
						is.True(latest <= bound)
					})
				}
			})
		}
	}
}

// Guards against a starting instance that forgets which other one knows more before it may ask that one.
func TestStartKeepsThePeerAhead(t *testing.T) {
	is := is.New(t)
	n := newFollower(&hangingStore{}, 1)
	n.peersAhead.Store("config", "i1")
	_, err := n.Fetch(t.Context(), follow.PeerRequest{Topic: "config", From: -1, Starting: true})
	is.Equal(err, errNoPeer)
	is.Equal(len(n.newsSources(follow.PeerRequest{Topic: "config"})), 1)
}

// maxStartTime is how long after its start an instance must know the configuration.
const maxStartTime = 3 * time.Second

// Guards against an instance that starts late because the instances that it asks stand still.
func TestStartWithFrozenPeers(t *testing.T) {
	tests := map[string]struct {
		frozen []int
		within time.Duration
	}{
		"no fault":                    {nil, 100 * time.Millisecond},
		"a seed frozen":               {[]int{0}, seedSilence + 100*time.Millisecond},
		"two seeds frozen":            {[]int{0, 1}, 2*seedSilence + 100*time.Millisecond},
		"all seeds frozen":            {[]int{0, 1, 2}, maxStartTime},
		"first named instance frozen": {[]int{11}, startSilence + 100*time.Millisecond},
		"named instances frozen":      {[]int{5, 11}, 2*startSilence + 100*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(startBeside(t, frozen, test.frozen) <= test.within)
		})
	}
}

// Guards against an instance that starts late because those that it asks wait for others themselves.
func TestStartWhileThoseAskedWait(t *testing.T) {
	is.New(t).True(startBeside(t, waiting, []int{0, 1, 2, 5, 11}) <= maxStartTime)
}

// Guards against a start that depends on which of the others wait themselves.
func TestStartWhileOthersWait(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	for name, waits := range map[string][]int{"the named instances": {5, 11}, "the seeds": {0, 1, 2}, "all but two": all[:10], "all": all} {
		t.Run(name, func(t *testing.T) { is.New(t).True(startBeside(t, waiting, waits) <= maxStartTime) })
	}
}

// startBeside starts an instance beside running ones, some of which have a fault, and returns after what time it knows the
// configuration.
func startBeside(t *testing.T, fault peerFault, faulty []int) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group := worker.New(ctx, 256)
		c := newNewsCluster(12, 0, false, group)
		time.Sleep(3 * time.Second)
		for _, i := range faulty {
			c.setFault(c.nodes[i], fault)
		}
		starter := c.addStarter(17, group)
		begun := time.Now()
		for known := false; !known && time.Since(begun) < 30*time.Second; _, known = starter.topics["config"].known() {
			time.Sleep(5 * time.Millisecond)
		}
		took = time.Since(begun)
		cancel()
		_ = group.Wait(0)
		t.Logf("known after %v", took)
	})
	return took
}

// addStarter starts another instance, whose seeds are the first three.
func (c *newsCluster) addStarter(i int, group *worker.Group) *Node {
	sc := &startCluster{store: &limitedStore{topics: map[string][]follow.Record{}}, nodes: c.address}
	n := sc.newStarter(i, 3)
	n.peerClient, n.incarnation = &http.Client{Transport: c}, 3 // asks the seeds in order
	n.settings.FirstStart = true
	n.watches["config"].Store = c.store
	group.Go("join", n.joinLoop)
	group.Go("config", n.watches["config"].Run)
	group.Go("events", n.events.Run)
	group.Go("updates", func(ctx context.Context) error { return c.applyUpdates(ctx, n) })
	return n
}
