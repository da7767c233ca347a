package load

import "time"

// Result is what a sending came to, as its caller sees it.
type Result uint8

// The results.
const (
	// ResultRan, ResultNotRun and ResultUnknown are what the answer said.
	ResultRan Result = iota
	ResultNotRun
	ResultUnknown
	// ResultNoAnswer says that the connection broke or the time was over without an answer
	// that states an outcome.
	ResultNoAnswer
	// ResultUnreached says that no connection could be made.
	ResultUnreached
	resultCount
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"ran", "not-run", "unknown", "no-answer", "unreached"}[r]
}

// record is one sending that has ended. A request may have several.
type record struct {
	planned
	result Result
	// attempt counts the sendings of a request after one another, from 1.
	attempt int
	// start is when the sending was to start, and end when its answer was whole or given up,
	// both after the start of the run.
	start time.Duration
	end   time.Duration
	// cut says that the answer broke off, and crossed that it belongs to another request.
	cut     bool
	crossed bool
}

func (r *record) latency() time.Duration {
	return r.end - r.start
}
