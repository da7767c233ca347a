package shard

// ServerState is a server as the planner sees it.
type ServerState struct {
	ID      string
	Address string
	// Capacity is how many requests the server can run in a second, Slots how many at a time.
	Capacity float64
	Slots    int
	// Usable says that the server may get keys; Lost that it must give up those it has.
	Usable bool
	Lost   bool
	// Capped says that requests beyond Power do not wait but are refused, so that the server gets no key beyond it.
	Capped bool
}

// Input is what a plan is made from.
type Input struct {
	Map     *Map
	Servers []ServerState
	// Load is the number of requests in a second for each key.
	Load []float64
	// TargetLatency is the time within which requests should be answered, in seconds.
	TargetLatency float64
	// Addresses holds the address of each server that owns keys, also of those that left.
	Addresses map[string]string
	// Restarted holds, for each life of a server that has ended because the server started again, the
	// life that it has now.
	Restarted map[string]string
}

// The thresholds of a plan.
const (
	// piecesPerServer is the number of ranges a server begins with. Several short ones spread a
	// busy run of keys over servers before any load is known; each costs one renewal more.
	piecesPerServer = 4
	// movesLeast and movesShare, of the servers, bound the moves of one plan: each leaves its
	// keys without an owner for as long as the old owner needs to end the work in progress, some
	// 0.2 to 0.5 s.
	movesLeast = 6
	movesShare = 0.34
	// sources is the number of servers, those that lose most, whose keys are considered.
	sources = 4
	// sourcesShare is the same as a share of all servers, where there are many.
	sourcesShare = 0.06
	// horizon is for how long a gain is counted, in seconds. Single keys stay busy for some 5;
	// differences in speed, and most of the load, stay for minutes.
	horizon = 15
	// gap is what a move costs, in seconds of the load that moves: its requests wait for as
	// long as the work in progress takes, and about half of them are late for it.
	gap = 0.15
	// churnCost is what it costs to move all keys of a service once, in requests. Operators
	// weigh churn; at this weight a move of a sixtieth of the keys must gain a quarter of a
	// request.
	churnCost = 15
	// rangesMost is the number of ranges a server has on average before ranges are cut no
	// further: each is renewed twice a second.
	rangesMost = 8
	// baseLoad is the load that is assumed of all keys together, as a share of all power, so
	// that keys are spread also where none is asked for.
	baseLoad = 0.02
	// targetsMost is the number of servers, of those with the most room and of those that are used least,
	// that are compared for each move. Comparing all makes the time of a plan grow with the square of their
	// number: seconds at some hundred, in which busy keys stay where they are refused.
	targetsMost = 8
	// roomShare is the part of the room of a server that a run of keys may fill: requests come unevenly.
	roomShare = 0.8
	// busyShare is the part of a server's power from which on a single key is a piece of its own.
	busyShare = 0.1
)

// Plan returns the map that should follow, nil if the present one stays.
func Plan(in Input) *Map {
	p := newPlanner(in)
	if len(p.usable) == 0 {
		return nil
	}
	if len(in.Map.Ranges) == 0 {
		p.begin()
		return p.result()
	}
	changed := p.replaceLost()
	if p.improve() {
		changed = true
	}
	if !changed {
		return nil
	}
	return p.result()
}

// Use is how much a server is asked for, and how much it can do, in requests a second.
type Use struct {
	Server string
	Load   float64
	Power  float64
}

// ServerLoads returns what the servers of a map are asked for, the one first that loses most.
func ServerLoads(in Input) []Use {
	var out []Use
	for _, s := range newPlanner(in).byLoss() {
		out = append(out, Use{Server: s.ID, Load: s.use, Power: s.power})
	}
	return out
}
