package shard_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// play plays plans in virtual time: requests arrive at random, are counted with the delay of reports, wait at the owner of
// their key or for its move, and are lost if they would miss the target or do. Times are in seconds.
type play struct {
	random *rand.Rand
	in     shard.Input
	rates  *shard.Rates
	speeds []float64
	index  map[string]int
	// freeAt holds when the slots of each server are free, movedAt when the move with a fence is complete, and reported
	// the keys of the requests that are reported in each step.
	freeAt               [][]float64
	movedAt              map[uint64]float64
	reported             map[int][]uint16
	reportPace, planPace float64
	requests, lost       int
	moves                [5]int
	rate                 float64 // requests per second
}

const (
	playStep  = 0.01
	playRate  = 1074.0 // requests per second
	playWork  = 0.195  // seconds at a server of mean speed
	playSlots = 3
)

func newPlay(seed uint64, speedRanges bool) *play {
	var speeds []float64
	for i := range 140 {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	return newPlayOf(seed, speedRanges, speeds, playRate)
}

// newPlayOf returns a play of servers with the given speeds and a number of requests per second.
func newPlayOf(seed uint64, speedRanges bool, speeds []float64, rate float64) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}, movedAt: map[uint64]float64{}, reported: map[int][]uint16{},
		rates: shard.NewRates(time.Unix(0, 0)), reportPace: 0.5, planPace: 0.7, speeds: speeds, rate: rate,
	}
	var capacities []float64
	for _, speed := range speeds {
		capacities = append(capacities, playSlots*speed/playWork)
		p.freeAt = append(p.freeAt, make([]float64, playSlots))
	}
	p.in = input(&shard.Map{}, nil, testServers(capacities...))
	for i, s := range p.in.Servers {
		p.in.Servers[i].Slots, p.index[s.ID] = playSlots, i
	}
	p.in.TargetLatency = 0.7
	if speedRanges {
		p.rates, p.reportPace, p.planPace = shard.NewGroupRates(time.Unix(0, 0)), 0.25, 0.35
		p.in.SpeedRanges, p.in.Work = true, workTimes(seed)
	}
	p.in.Map = shard.Plan(p.in)
	return p
}

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// request counts and serves a request that arrives at a time.
func (p *play) request(now float64, key uint16) {
	p.requests++
	step := int((now + p.random.Float64()*p.reportPace) / playStep)
	p.reported[step] = append(p.reported[step], key)
	r := p.in.Map.Ranges[p.in.Map.Find(key)]
	slots, mean := p.freeAt[p.index[r.Server]], playWork/p.speeds[p.index[r.Server]]
	slices.Sort(slots)
	startAt := max(now, p.movedAt[r.Fence], slots[0])
	if startAt+mean-now > 0.8*p.in.TargetLatency {
		p.lost++
		return
	}
	if slots[0] = startAt + mean*drawWork(p.random); slots[0]-now > p.in.TargetLatency {
		p.lost++
	}
}

// plan makes a plan after it has ended the moves that are complete.
func (p *play) plan(now float64) {
	p.in.Map = p.in.Map.Clone()
	for i, r := range p.in.Map.Ranges {
		if now >= p.movedAt[r.Fence] {
			p.in.Map.Ranges[i].FormerOwners = nil
		}
	}
	p.in.Load = p.rates.Load(at(now))
	next, report := shard.PlanWithReport(p.in)
	if next == nil {
		return
	}
	for reason, n := range report.Moves {
		p.moves[reason] += n
	}
	for fence := p.in.Map.Fence + 1; fence <= next.Fence; fence++ {
		p.movedAt[fence] = now + 0.2 + 0.3*p.random.Float64()
	}
	p.in.Map = next
}

// step plays one step in which a run of keys gets a share of the requests.
func (p *play) step(step int, first uint16, keys int, share float64) {
	now := float64(step) * playStep
	for n := p.rate * playStep; n > p.random.Float64(); n-- {
		key := uint16(p.random.IntN(shard.NumKeys))
		if p.random.Float64() < share {
			key = first + uint16(p.random.IntN(keys))
		}
		p.request(now, key)
	}
	for _, key := range p.reported[step] {
		p.rates.Add(key, 1, at(now))
	}
	if step%int(p.planPace/playStep) == 0 && now > 1 {
		p.plan(now)
	}
}

// run plays five seconds in which a run of keys gets a share of the requests beside the others. It returns the time until less
// than 3% of the requests exceed the capacities of servers.
func (p *play) run(from float64, first uint16, keys int, share float64) float64 {
	level := math.Inf(1)
	for step := int(from / playStep); step < int((from+5)/playStep); step++ {
		now := float64(step) * playStep
		p.step(step, first, keys, share)
		if math.IsInf(level, 1) && p.excess(int(first), keys, share) < 0.03 {
			level = now - from
		}
	}
	return level
}

// excess returns the share of the requests that exceeds the capacities of the owners of their keys.
func (p *play) excess(first, keys int, share float64) float64 {
	loads := make([]float64, len(p.speeds))
	for _, r := range p.in.Map.Ranges {
		busy := max(min(int(r.To)+1, first+keys)-max(int(r.From), first), 0)
		loads[p.index[r.Server]] += (1-share)*float64(r.Len())/shard.NumKeys + share*float64(busy)/float64(keys)
	}
	out := 0.0
	for i, load := range loads {
		out += max(0, load-p.in.Servers[i].Capacity/p.rate)
	}
	return out
}

// Guards against runs of busy keys that are noticed too late, split too coarsely, or not at all once earlier ones have used up
// the number of ranges. The 200 or 60 keys change every five seconds.
func TestBusyGroupsAreSpread(t *testing.T) {
	is := is.New(t)
	play := func(speedRanges bool) (lost, slowest float64) {
		p := newPlay(3, speedRanges)
		p.run(0, 0, 1, 0)
		for i := range 8 {
			slowest = max(slowest, p.run(5+5*float64(i), uint16(5000+7001*i), []int{200, 60}[i%2], 0.4))
		}
		lost = float64(p.lost) / float64(p.requests)
		t.Logf("speed ranges %v: %.3f lost, moves by reason %v, level after at most %.2f s", speedRanges, lost, p.moves, slowest)
		return lost, slowest
	}
	lostBefore, _ := play(false)
	lost, slowest := play(true)
	is.True(slowest <= 1)
	is.True(lost < lostBefore/2)
}

// Guards against a key that asks for more than any server can do and is not alone at the fastest one.
func TestBusiestKeyIsAlone(t *testing.T) {
	is := is.New(t)
	p := newPlay(4, true)
	p.run(0, 0, 1, 0)
	p.run(5, 700, 1, 0.16)
	r := p.in.Map.Ranges[p.in.Map.Find(700)]
	others := 0
	for _, o := range p.in.Map.RangesOf(r.Server) {
		others += o.Len() - 1
	}
	is.Equal(p.speeds[p.index[r.Server]], 1.6)
	is.True(others < shard.NumKeys/len(p.speeds)/20)
}
