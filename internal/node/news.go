package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/worker"
)

const (
	// maxStartFetchTime is how long a starting instance waits for others, which may be starting as well, before it looks
	// for others to ask. It varies up to twice that, so that those that give up do not do so together.
	maxStartFetchTime = 10 * time.Second
	// peerSilence is how long an instance that is asked for a topic may show no progress before another one is asked as
	// well: the time for which it holds the request, and as much again. Instances that start answer later. After
	// silenceFactor times that the request fails.
	peerSilence   = 2 * maxHoldTime
	startSilence  = 700 * time.Millisecond
	silenceFactor = 2
	// maxPendingTime is how long it counts as progress that a running instance waits for the topic itself.
	maxPendingTime = 400 * time.Millisecond
	// maxSources is the number of instances that are asked for a topic.
	maxSources = 3
)

// silenceOf returns how long an instance may show no progress with a request. What this instance sends late is answered late.
func (n *Node) silenceOf(r follow.PeerRequest) time.Duration {
	silence := peerSilence
	if r.Starting {
		silence = startSilence
	}
	return silence + n.sendDelay.Allowance(time.Now())
}

// Fetch implements follow.PeerSource. It asks the instances that the place of this one in its failure domain names, or
// at the start those that a seed has named and then those whose heartbeats say that they know the topic.
func (n *Node) Fetch(ctx context.Context, r follow.PeerRequest) (follow.PeerUpdate, error) {
	var sources []string
	if r.Starting {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxStartFetchTime+rand.N(maxStartFetchTime))
		defer cancel()
		sources = slices.Concat(n.joinSources(ctx), n.heard.sources(r.Topic, r.MinEnd, time.Now()))
	} else {
		sources = n.newsSources(r)
	}
	return firstAnswer(ctx, sources, n.silenceOf(r), func(ctx context.Context, address string, progress func()) (follow.PeerUpdate, error) {
		startedAt := n.leases.Clock.Now()
		p, err := n.fetchFrom(ctx, address, r, progress)
		n.recordFetch(r, address, p, n.leases.Clock.Now().Sub(startedAt), err)
		return p, err
	})
}

// firstAnswer asks sources in turn and returns the first answer. The next source is asked as soon as one has failed, or
// the last one has shown no progress for some time; those asked before may still answer. It returns the last error if all
// fail, and errNoPeer without sources.
func firstAnswer[T any](ctx context.Context, sources []string, silence time.Duration, ask func(ctx context.Context, source string, progress func()) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	answers, running := make(chan answer, len(sources)), 0
	defer func() {
		cancel()
		for range running {
			<-answers
		}
	}()
	last := answer{err: errNoPeer}
	for {
		stall := time.NewTimer(silence)
		if len(sources) > 0 {
			source := sources[0]
			sources, running = sources[1:], running+1
			go func() {
				value, err := ask(ctx, source, func() { stall.Reset(silence) })
				answers <- answer{value, err}
			}()
		}
		if running == 0 {
			return last.value, last.err
		}
		stalled := stall.C
		if len(sources) == 0 {
			stalled = nil
		}
		select {
		case last = <-answers:
			running--
			if last.err == nil {
				return last.value, nil
			}
		case <-stalled:
		case <-ctx.Done():
			return last.value, ctx.Err()
		}
	}
}

// newsSources returns the addresses of the instances to ask for a topic: those above this one in the tree of its failure
// domain, and the one that was last seen to know more. That one comes first unless so many instances may ask it that the
// parent, which may have to ask as well, is faster.
//
// The leader is not asked whether anything is new, since its heartbeats would have said so.
func (n *Node) newsSources(r follow.PeerRequest) []string {
	place := n.place()
	var out []string
	switch {
	case n.leases.Registered():
		for _, p := range place.Ancestors {
			if r.MaxStaleness == 0 || p.Name != place.Leader.Name {
				out = append(out, p.Address)
			}
		}
	case len(n.joinedParents()) > 0:
		out = append(out, n.joinedParents()[0])
	}
	if name, found := n.peersAhead.LoadAndDelete(r.Topic); found {
		if p, known := n.roster.Peer(name.(string)); known && !slices.Contains(out, p.Address) {
			position := min(len(out), 1)
			if !n.roster.LargeDomain(n.settings.Domain) {
				position = 0
			}
			out = slices.Insert(out, position, p.Address)
		}
	}
	return out[:min(len(out), maxSources)]
}

// fetchFrom asks one instance for a topic. While that instance waits for the topic itself, it is asked again.
func (n *Node) fetchFrom(ctx context.Context, address string, r follow.PeerRequest, progress func()) (follow.PeerUpdate, error) {
	startedAt := time.Now()
	for {
		p, err := n.callPeer(ctx, address, r, progress)
		if !errors.Is(err, errTopicPending) {
			return p, err
		}
		if r.Starting || time.Since(startedAt) < maxPendingTime {
			progress()
		}
		if !worker.Sleep(ctx, topicPollInterval) {
			return p, err
		}
	}
}

var (
	// errTopicPending means that a peer waits for a topic as well.
	errTopicPending = errors.New("node: peer waits for the topic itself")
	// errPeerSilent means that a peer has shown no progress for too long.
	errPeerSilent = errors.New("node: no data from the peer in time")
)

// callPeer sends one request for a topic to an instance.
func (n *Node) callPeer(ctx context.Context, address string, r follow.PeerRequest, progress func()) (follow.PeerUpdate, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := silenceFactor * n.silenceOf(r)
	timer := time.AfterFunc(silence, func() { cancel(errPeerSilent) })
	defer timer.Stop()
	sentAt := n.leases.Clock.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathTopics+"?"+topicQuery(r, maxHoldTime).Encode(), nil)
	if err != nil {
		return follow.PeerUpdate{}, err
	}
	response, err := n.peerClient.Do(request)
	if err != nil {
		return follow.PeerUpdate{}, errors.Join(err, context.Cause(ctx))
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case statusTopicPending:
		return follow.PeerUpdate{}, errTopicPending
	default:
		return follow.PeerUpdate{}, fmt.Errorf("node: peer answered with status %d", response.StatusCode)
	}
	response.Body = &progressBody{ReadCloser: response.Body, progress: func() {
		timer.Reset(silence)
		progress()
	}}
	p, err := decodeTopic(response, sentAt)
	p = p.In(max(r.From, r.MinEnd).Era())
	if err != nil {
		err = errors.Join(err, context.Cause(ctx))
	}
	return p, err
}

// progressBody is a body that reports each part that arrives.
type progressBody struct {
	io.ReadCloser
	progress func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	size, err := b.ReadCloser.Read(p)
	if size > 0 {
		b.progress()
	}
	return size, err
}

// recordFetch counts and logs a request for a topic to another instance, which took some time.
func (n *Node) recordFetch(r follow.PeerRequest, address string, p follow.PeerUpdate, took time.Duration, err error) {
	n.storeTimes.Record("peer "+r.Topic, took)
	if err != nil {
		n.storeCalls.Add("peer-failed "+r.Topic, 1)
		n.events.Record(event.StateChange, "topic-not-fetched", "topic", r.Topic, "from", r.From, "min-end", r.MinEnd, "max-age", r.MaxStaleness,
			"peer", address, "took", took, "error", err)
		return
	}
	n.storeCalls.Add("peer "+r.Topic, 1)
	n.events.Record(event.StateChange, "topic-fetched", "topic", r.Topic, "from", r.From, "min-end", r.MinEnd, "max-age", r.MaxStaleness,
		"peer", address, "took", took, "end", p.End, "records", len(p.Records), "whole", p.Snapshot, "age-ms", p.Staleness)
}
