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

// Limits of exchanges.
const (
	// exchangeLimit is well below a lease, so that an exchange on a connection that went silent
	// is given up, and the next one on a new connection still renews the lease.
	exchangeLimit  = 250 * time.Millisecond
	maxExchanges   = 256
	maxAnswerBytes = 4 << 20
	exchangeIdle   = 1
)

// Errors of exchanges.
var (
	errNoServer = errors.New("entry: no such server in the bundle")
	errNoVia    = errors.New("entry: no link to the instance that holds the grant")
	errTooLate  = errors.New("entry: exchange no longer valid")
	errStatus   = errors.New("entry: exchange refused")
)

// exchanged is an exchange that has ended.
type exchanged struct {
	send   leader.Send
	answer grant.Answer
	err    error
}

// seat names where an exchange goes.
type seat struct {
	server string
	via    string
}

// runExchanges carries the core's exchanges to servers and gates, one at a time to each.
func (e *Entry) runExchanges(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: exchangeIdle, DisableCompression: true}}
	ended := make(chan exchanged, maxExchanges)
	busy := make(map[seat]bool)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-e.sends:
			at := seat{server: s.Server, via: s.Gate}
			if busy[at] || len(busy) >= maxExchanges {
				continue
			}
			busy[at] = true
			go e.exchange(ctx, client, s, ended)
		case x := <-ended:
			delete(busy, seat{server: x.send.Server, via: x.send.Gate})
			e.exchangeEnded(ctx, x)
		}
	}
}

func (e *Entry) exchangeEnded(ctx context.Context, x exchanged) {
	e.meter.ExchangesSent.Add(1)
	if x.err != nil {
		e.meter.ExchangesFailed.Add(1)
		e.deps.Logger.Debug("exchange-failed", "server", x.send.Server, "error", x.err)
		return
	}
	e.tell(ctx, leader.Answered{
		Server:  x.send.Server,
		Gate:    x.send.Gate,
		AskedAt: x.send.AskedAt,
		Answer:  x.answer,
	})
}

func (e *Entry) exchange(ctx context.Context, client *http.Client, s leader.Send, ended chan<- exchanged) {
	bounded, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	answer, err := e.carry(bounded, client, s)
	select {
	case ended <- exchanged{send: s, answer: answer, err: err}:
	case <-ctx.Done():
	}
}

// carry sends an exchange to wherever the server's grant is held.
func (e *Entry) carry(ctx context.Context, client *http.Client, s leader.Send) (grant.Answer, error) {
	via := s.Gate
	if s.Exchange.Service == voterService {
		via = s.Server
	}
	if e.now() > s.SendBefore {
		return grant.Answer{}, errTooLate
	}
	switch via {
	case "":
		return e.post(ctx, client, s)
	case e.deps.Settings.Name:
		return e.holders.exchange(s.Exchange), nil
	default:
		return e.callHolder(ctx, via, s.Exchange)
	}
}

func (e *Entry) callHolder(ctx context.Context, via string, x grant.Exchange) (grant.Answer, error) {
	c := e.peers.client(via)
	if c == nil {
		return grant.Answer{}, fmt.Errorf("%w: %s", errNoVia, via)
	}
	result, err := call[ExchangeCall, ExchangeResult](ctx, c, exchangeLimit, methodExchange, ExchangeCall{Exchange: x})
	return result.Answer, err
}

func (e *Entry) post(ctx context.Context, client *http.Client, s leader.Send) (grant.Answer, error) {
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
		return answer, fmt.Errorf("entry: making an exchange: %w", err)
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
		return answer, fmt.Errorf("entry: reading an answer: %w", err)
	}
	e.meter.ExchangeBytes.Add(int64(len(body) + len(data)))
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("entry: decoding an answer: %w", err)
	}
	return answer, nil
}

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
