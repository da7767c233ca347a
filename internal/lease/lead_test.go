package lease

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// silentStore does not answer appends.
type silentStore struct {
	follow.Store
	appends int
}

func (s *silentStore) Append(context.Context, string, []follow.Record, logpos.Pos) (logpos.Pos, error) {
	s.appends++
	time.Sleep(follow.AnswerTimeout)
	return 0, follow.ErrUnknown
}

// Guards against decisions that wait for a store without answers once per service, which delays updates of the owners.
func TestUnansweredWriteEndsDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start, s := time.Now(), &silentStore{}
		servers := map[string]rules.Server{
			"s1": {ID: "s1", Service: "books", Address: "127.0.0.1:1", Domain: "d0", Slots: 2},
			"s2": {ID: "s2", Service: "stock", Address: "127.0.0.1:2", Domain: "d0", Slots: 2},
		}
		lm := New(Deps{
			Name: "i0", Domain: "d0", Store: s, Clock: fakeClock{start}, Roster: roster.New("i0", "d0"), Incarnation: 1,
			Events:        event.New(io.Discard, log.InfoLevel),
			Servers:       func() *rules.ServerSet { return rules.NewServerSet(servers) },
			Services:      func() []string { return []string{"books", "stock"} },
			TargetLatency: func(string) time.Duration { return time.Second },
			Load:          func(string) []float64 { return nil }, Capacities: func(string) map[string]float64 { return nil },
			LeadershipChanged: func(bool) {}, SendHeartbeat: func() {}, RereadOwners: func() {}, OwnersChanged: func() {},
		})
		entry, err := roster.Entry{Address: "127.0.0.1:3", Domain: "d0", Incarnation: 1, Share: 1}.Encode()
		is.NoErr(err)
		lm.applyUpdate(follow.Update{
			StartedAt: lm.Clock.Now(), CurrentAsOf: lm.Clock.Now(), Batch: follow.Batch{Records: []follow.Record{{Key: InstanceKey("i0"), Value: entry}}, End: 1},
		})
		lm.Roster.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1, StoreOK: true}, time.Now())
		lm.lead(t.Context(), time.Now()) // waits for more servers of the new services
		time.Sleep(firstDivisionDelay)
		lm.Roster.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1, StoreOK: true}, time.Now())
		lm.lead(t.Context(), time.Now())
		is.Equal(s.appends, 1)
		is.True(!lm.nextDecisionAt.After(time.Now())) // the wait for the store does not delay the next decision
	})
}

// Guards against keys that stay with a server which wants no requests for longer than a move takes, and against moves for less.
func TestKeysLeaveServersThatRest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	rests := map[string]time.Duration{"s0": 0, "s1": minRestToMove / 2, "s2": 3 * minRestToMove, "s3": -time.Second}
	servers := map[string]rules.Server{}
	for id, rest := range rests {
		servers[id] = rules.Server{ID: id, Service: "books", Address: "127.0.0.1:1", Domain: "d0", Slots: 2, RestsUntil: now.Add(rest)}
	}
	lm := New(Deps{
		Name: "i0", Domain: "d0", Clock: fakeClock{now}, Roster: roster.New("i0", "d0"), Incarnation: 1, Events: event.New(io.Discard, log.InfoLevel),
		Servers:       func() *rules.ServerSet { return rules.NewServerSet(servers) },
		TargetLatency: func(string) time.Duration { return time.Second },
		Capacities:    func(string) map[string]float64 { return nil },
	})
	for _, s := range lm.planInput("books", &shard.Map{}, now).Servers {
		is.Equal(s.Lost, s.ID == "s2")
	}
}

// Guards against keys that are left with, or given to, a server that has stated that it takes few requests, or beyond the rate
// of a cold one.
func TestLimitCountsAsCapacity(t *testing.T) {
	is := is.New(t)
	servers := map[string]rules.Server{}
	for i, limit := range []float64{0, 0, 2} {
		id := fmt.Sprintf("s%d", i)
		servers[id] = rules.Server{ID: id, Service: "books", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: "d0", Slots: 2, RateLimit: limit}
	}
	servers["s3"] = rules.Server{ID: "s3", Service: "books", Domain: "d0", Slots: 2, ColdRate: 2, WarmAt: time.Now().Add(time.Minute)}
	servers["s4"] = rules.Server{ID: "s4", Service: "books", Domain: "d0", Slots: 2, ColdRate: 2, WarmAt: time.Now().Add(-time.Minute)}
	lm := New(Deps{
		Name: "i0", Domain: "d0", Clock: fakeClock{time.Now()}, Roster: roster.New("i0", "d0"), Incarnation: 1, Events: event.New(io.Discard, log.InfoLevel),
		Servers:       func() *rules.ServerSet { return rules.NewServerSet(servers) },
		TargetLatency: func(string) time.Duration { return time.Second },
		Capacities:    func(string) map[string]float64 { return map[string]float64{"s0": 20, "s1": 20} },
	})
	in := lm.planInput("books", &shard.Map{}, time.Now())
	for _, s := range in.Servers {
		if s.ID == "s2" || s.ID == "s3" {
			is.True(s.Capped)
			is.Equal(s.Capacity, boundedLoadFactor*2)
			continue
		}
		is.Equal(s.Capacity, 20.0)
	}
}

// Guards against plans that ignore what servers reject, and against moves at twice the pace while little is lost.
func TestPlansFollowLosses(t *testing.T) {
	is := is.New(t)
	servers, capacities := map[string]rules.Server{}, map[string]float64{}
	for i := range 20 {
		id := fmt.Sprintf("s%02d", i)
		servers[id] = rules.Server{ID: id, Service: "books", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Domain: "d0", Slots: 3}
		capacities[id] = 15
	}
	now, rejected := time.Now(), 0.2
	lm := New(Deps{
		Name: "i0", Domain: "d0", Clock: fakeClock{now}, Roster: roster.New("i0", "d0"), Incarnation: 1, Events: event.New(io.Discard, log.InfoLevel),
		Servers:       func() *rules.ServerSet { return rules.NewServerSet(servers) },
		TargetLatency: func(string) time.Duration { return time.Second },
		Capacities:    func(string) map[string]float64 { return capacities },
		SpeedRanges:   true, Work: func(string) *shard.WorkTimes { return nil }, Planned: func(string, shard.Report) {},
		RejectRates: func(string) (map[string]float64, float64) { return map[string]float64{"s01": rejected}, 0.01 },
	})
	plan := func(after time.Duration) *shard.Map {
		in := lm.planInput("books", &shard.Map{}, now)
		in.Map = shard.Plan(in)
		in.Load = make([]float64, shard.NumKeys)
		for key := range in.Load {
			in.Load[key] = 100.0 / shard.NumKeys
		}
		at := now.Add(after)
		if !lm.balanceDue("books", at) {
			return nil
		}
		return lm.plan("books", in, false, at)
	}
	for _, s := range lm.planInput("books", &shard.Map{}, now).Servers {
		is.Equal(s.RejectRate, map[bool]float64{true: rejected, false: 0.01}[s.ID == "s01"])
	}
	is.True(plan(0) != nil)
	is.Equal(plan(balanceInterval/4), nil)
	is.Equal(plan(balanceInterval/2), nil) // 2% of the requests are lost
	is.True(plan(balanceInterval) != nil)
	rejected = 0.9
	is.True(plan(balanceInterval*3/2) != nil)
}
