package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

// Bounds of exchanges. An exchange sends a grant of the leader and returns the holder's answer.
const (
	// exchangeTimeout is well below the duration of a lease. After an exchange on a dead connection
	// has timed out, the next one on a new connection can still renew the lease.
	exchangeTimeout = 250 * time.Millisecond
	// maxExchanges is the maximum number of exchanges under way.
	maxExchanges         = 256
	maxAnswerBytes       = 4 << 20
	maxIdleExchangeConns = 1
)

// Errors of exchanges.
var (
	errNoServer = errors.New("entry: server not in the bundle")
	errNoPeer   = errors.New("entry: unknown instance as holder of a grant")
	errTooLate  = errors.New("entry: exchange expired before it was sent")
	errStatus   = errors.New("entry: unexpected status of an exchange")
)

// finishedExchange is an exchange that has ended, with its answer or error.
type finishedExchange struct {
	send   leader.Send
	answer grant.Answer
	err    error
}

// exchangeTarget is the destination of an exchange. The gate is empty for a server that checks
// grants itself.
type exchangeTarget struct {
	server string
	gate   string
}

// runExchanges sends the exchanges of the leader core to servers and gates, one at a time to each.
// It drops an exchange whose target is busy, since the core soon sends the next one.
func (e *Entry) runExchanges(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleExchangeConns, DisableCompression: true}}
	ended := make(chan finishedExchange, maxExchanges)
	busy := make(map[exchangeTarget]bool)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-e.sends:
			at := exchangeTarget{server: s.Server, gate: s.Gate}
			if busy[at] || len(busy) >= maxExchanges {
				continue
			}
			busy[at] = true
			go e.doExchange(ctx, client, s, ended)
		case x := <-ended:
			delete(busy, exchangeTarget{server: x.send.Server, gate: x.send.Gate})
			e.finishExchange(ctx, x)
		}
	}
}

// finishExchange passes the answer of an exchange to the leader core.
func (e *Entry) finishExchange(ctx context.Context, x finishedExchange) {
	e.meter.ExchangesSent.Add(1)
	if x.err != nil {
		e.meter.ExchangesFailed.Add(1)
		e.deps.Logger.Debug("exchange-failed", "server", x.send.Server, "error", x.err)
		return
	}
	e.notifyLeaderCore(ctx, leader.Answered{
		Server:  x.send.Server,
		Gate:    x.send.Gate,
		AskedAt: x.send.AskedAt,
		Answer:  x.answer,
	})
}

// doExchange sends one exchange and reports its end on the channel.
func (e *Entry) doExchange(ctx context.Context, client *http.Client, s leader.Send, ended chan<- finishedExchange) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := e.sendExchange(bounded, client, s)
	select {
	case ended <- finishedExchange{send: s, answer: answer, err: err}:
	case <-ctx.Done():
	}
}

// sendExchange sends an exchange to the holder of the grant: the server itself, its gate, or the
// entry instance that votes.
func (e *Entry) sendExchange(ctx context.Context, client *http.Client, s leader.Send) (grant.Answer, error) {
	holder := s.Gate
	if s.Exchange.Service == voterService {
		holder = s.Server
	}
	if e.now() > s.SendBefore {
		return grant.Answer{}, errTooLate
	}
	switch holder {
	case "":
		return e.postToServer(ctx, client, s)
	case e.deps.Settings.Name:
		return e.holders.exchange(s.Exchange), nil
	default:
		return e.callGrantHolder(ctx, holder, s.Exchange)
	}
}

func (e *Entry) callGrantHolder(ctx context.Context, holder string, x grant.Exchange) (grant.Answer, error) {
	c := e.peers.client(holder)
	if c == nil {
		return grant.Answer{}, fmt.Errorf("%w: %s", errNoPeer, holder)
	}
	result, err := call[ExchangeCall, ExchangeResult](ctx, c, exchangeTimeout, methodExchange, ExchangeCall{Exchange: x})
	return result.Answer, err
}

// postToServer sends an exchange over HTTP to a server that checks grants itself.
func (e *Entry) postToServer(ctx context.Context, client *http.Client, s leader.Send) (grant.Answer, error) {
	var answer grant.Answer
	server := findServer(e.state.bundle(), s.Exchange.Service, s.Server)
	if server == nil {
		return answer, fmt.Errorf("%w: %s", errNoServer, s.Server)
	}
	body, err := json.Marshal(s.Exchange)
	if err != nil {
		return answer, fmt.Errorf("entry: encoding an exchange: %w", err)
	}
	url := "http://" + server.Address + grant.ExchangePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("entry: creating an exchange request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return answer, fmt.Errorf("entry: sending an exchange: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer, fmt.Errorf("entry: reading the answer to an exchange: %w", err)
	}
	e.meter.ExchangeBytes.Add(int64(len(body) + len(data)))
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("entry: decoding the answer to an exchange: %w", err)
	}
	return answer, nil
}

// findServer returns a server of a service in the bundle, or nil.
func findServer(b *bundle.Bundle, service, name string) *bundle.Server {
	if b == nil {
		return nil
	}
	s := b.Service(service)
	if s == nil {
		return nil
	}
	for i := range s.Servers {
		if s.Servers[i].Name == name {
			return &s.Servers[i]
		}
	}
	return nil
}
