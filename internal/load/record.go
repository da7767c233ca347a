package load

import "time"

// Result is the result of a submission as its caller sees it.
type Result uint8

// Values of Result.
const (
	// ResultRan, ResultNotRun and ResultUnknown are the outcomes that a response states.
	ResultRan Result = iota
	ResultNotRun
	ResultUnknown
	// ResultNoAnswer says that no response with an outcome arrived before the connection broke or the
	// time was over, or that the response states none.
	ResultNoAnswer
	// ResultUnreached says that the request was not sent, mostly because no connection could be
	// made.
	ResultUnreached
	resultCount
)

// String returns the name of the result in reports.
func (r Result) String() string {
	return [...]string{"ran", "not-run", "unknown", "no-answer", "unreached"}[r]
}

// record is one submission that has ended. A request may have several.
type record struct {
	planned
	result Result
	// attempt is 1 for the first submission and increases with each resend. It starts at 1 for
	// each of two twins.
	attempt int
	// start is the intended start, and end the time at which the response was complete or the sender
	// gave up, both relative to the start of the load run.
	start time.Duration
	end   time.Duration
	// cut says that the response is truncated, and crossed that it belongs to another request.
	cut     bool
	crossed bool
}

func (r *record) latency() time.Duration {
	return r.end - r.start
}
