package shard

// ServerState describes a server to the planner.
type ServerState struct {
	// ID identifies an incarnation of the server.
	ID      string
	Address string
	// Capacity is the number of requests that the server can complete per second, Slots the number
	// that it processes at the same time.
	Capacity float64
	Slots    int
	// Usable says that the server may get keys, Lost that it must give up the keys that it has.
	Usable bool
	Lost   bool
	// Capped says that the server rejects requests beyond Capacity instead of queueing them. If it
	// has been restarted, it therefore gets its former keys back only up to Capacity.
	Capped bool
	// RejectRate is the share of requests that the server rejects while it has free slots, or fails.
	RejectRate float64
}

// Input is the state of a service from which a plan is made.
type Input struct {
	Map     *Map
	Servers []ServerState
	// Load holds the requests per second for each key. If it does not have NumKeys elements, no load
	// is known.
	Load []float64
	// TargetLatency is the time within which requests should be answered, in seconds.
	TargetLatency float64
	// Addresses holds the address of each server that owns keys, by id, including servers that left.
	Addresses map[string]string
	// Restarted maps the id of each incarnation that ended with a restart of its server to the id of
	// the current incarnation.
	Restarted map[string]string
	// SpeedRanges says that losses at servers that are slow or reject requests count, and that the ranges of former
	// busy keys are joined again. Work is the distribution of service times; if nil, no request is slow.
	SpeedRanges bool
	Work        *WorkTimes
}

// Limits and weights of the planner.
const (
	// initialRangesPerServer is the number of ranges that a server gets in the first division. With
	// several short ranges, neighbouring busy keys are spread over servers before any load is known;
	// each range costs one more lease renewal. There are maxInitialRanges at most, or one per server if that is more:
	// ranges of a few keys spread them well enough, and the record of the owners must fit into the store.
	initialRangesPerServer = 4
	maxInitialRanges       = 4096
	// A plan makes at most moveLimitShare times the number of usable servers moves, or minMoveLimit if
	// that is more. During a move the keys have no owner until the old one has completed its requests
	// in progress, which takes some 0.2 to 0.5 s.
	minMoveLimit   = 6
	moveLimitShare = 0.34
	// A plan considers moves from the servers with the highest loss rate: sourcesShare of the usable
	// servers, or minSources if that is more.
	minSources   = 4
	sourcesShare = 0.06
	// gainSeconds is the period over which the gain of a move is counted. Single keys stay busy for
	// some 5 seconds; differences in speed, and most of the load, last for minutes.
	gainSeconds = 15
	// moveCostSeconds is the cost of a move in seconds of the moved load. The requests for the moved
	// keys wait until the requests in progress are completed, which makes about half of them late.
	moveCostSeconds = 0.15
	// churnCost is the cost of moving all keys of a service once, as a number of requests. It makes
	// moves that gain little not worthwhile, because operators want little churn: a move of a sixtieth
	// of the keys must gain a quarter of a request.
	churnCost = 15
	// moveCost is the cost of any move with Input.SpeedRanges, as a number of requests: it takes two calls to servers and
	// a part of a record. minGainShare is the share of the moved load whose loss a move must prevent, so that small
	// errors of measured speeds and rejections move nothing.
	moveCost     = 1
	minGainShare = 0.02
	// With Input.SpeedRanges, moves are considered from more servers, up to a number that bounds the time of a plan: while
	// the load does not match the speeds yet, a third of the servers is too slow for its keys.
	// A plan then makes at most busyMoveShare times the number of usable servers moves: two plans must be enough for the
	// pieces of a run of busy keys.
	slowSourcesShare = 0.2
	maxSlowSources   = 40
	busyMoveShare    = 0.5
	// maxMeanRanges is the mean number of ranges per usable server from which on ranges are not split
	// further to balance the load: the lease of each range is renewed up to twice a second.
	maxMeanRanges = 8
	// baseLoadShare is the load that is assumed for all keys together in addition to the known load, as
	// a share of the capacity of all servers. It spreads keys that get no requests, too.
	baseLoadShare = 0.02
	// maxTargets is the number of servers with the most headroom, and of those with the lowest
	// utilization, that are compared as targets of a move. Comparing all servers makes the time of a
	// plan grow with the square of their number: it takes seconds for some hundred servers, during
	// which busy keys stay on servers that reject their requests.
	maxTargets = 8
	// headroomShare is the share of a server's headroom that a moved run of keys may use. The rest is
	// left for bursts.
	headroomShare = 0.8
	// busyKeyShare is the load, as a share of a server's capacity, from which on the busiest key of a
	// range is considered for a move of its own.
	busyKeyShare = 0.1
)

// Plan returns the map that should replace the current one, or nil if that should stay.
func Plan(in Input) *Map {
	next, _ := PlanWithReport(in)
	return next
}

// PlanWithReport returns the result of Plan and what it rests on.
func PlanWithReport(in Input) (*Map, Report) {
	if in.SpeedRanges {
		// Joined ranges become one when their moves are complete.
		in.Map = in.Map.Clone()
		in.Map.MergeAdjacent()
	}
	p := newPlanner(in)
	if len(p.usable) == 0 {
		return nil, Report{}
	}
	report := p.report()
	if len(in.Map.Ranges) == 0 {
		p.divide()
		return p.result(), report
	}
	before := p.fence
	p.reassignLost()
	if !p.blind() {
		p.joinRanges()
		p.rebalance()
	}
	if p.fence == before {
		return nil, report
	}
	report.Moves = p.moves
	return p.result(), report
}

// ServerLoad is the load and the capacity of a server, both in requests per second.
type ServerLoad struct {
	Server   string
	Load     float64
	Capacity float64
}

// ServerLoads returns the load and the capacity of each usable server, in descending order of the loss
// rate.
func ServerLoads(in Input) []ServerLoad {
	var out []ServerLoad
	for _, s := range newPlanner(in).byLoss() {
		out = append(out, ServerLoad{Server: s.ID, Load: s.load, Capacity: s.capacity})
	}
	return out
}
