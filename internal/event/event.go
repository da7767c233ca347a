// Package event writes the event log of an instance: one line for each request and for each
// change of the instance's state or view. Recording an event never blocks: lines pass through a
// bounded queue, and a line is dropped and counted if the queue is full or its class exceeds its
// rate limit.
package event

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"example.org/mustardring/internal/worker"
)

// Class is the kind of an event. Each class has its own rate limit: the more important its
// events, the higher the limit.
type Class int

// The classes.
const (
	// StateChange is a change of the instance's state or view. These events are rare, so that the
	// rate limit normally drops none.
	StateChange Class = iota
	// Failure is a request that failed.
	Failure
	// Success is a request that succeeded.
	Success
)

// Limits of what is written. Each rate is in lines per second, and a burst may have the lines of
// burstSeconds. A line costs about 5 microseconds of processor time, so that the three rates
// together use less than 1% of a core.
const (
	queueSize       = 1024
	stateChangeRate = 400
	failureRate     = 200
	successRate     = 100
	burstSeconds    = 5
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
	// batchDelay is how long lines are collected before they are written together. Written one
	// by one, each line costs a wake-up and a system call.
	batchDelay      = 40 * time.Millisecond
	writeBufferSize = 32 << 10
)

// line is an event that waits to be written. Pairs are alternating keys and values.
type line struct {
	level log.Level
	name  string
	pairs []any
	at    time.Time
}

// Log queues events for Run to write, and counts them by name. It may be used by several
// goroutines.
type Log struct {
	queue   chan line
	out     *bufio.Writer
	logger  *log.Logger
	limits  [3]*rate.Limiter
	dropped [3]atomic.Int64
	counts  *expvar.Map
}

// New returns a log that writes lines of at least the given level to w in logfmt. Nothing is
// written until Run is called.
func New(w io.Writer, level log.Level) *Log {
	out := bufio.NewWriterSize(w, writeBufferSize)
	l := &Log{
		queue: make(chan line, queueSize),
		out:   out,
		logger: log.NewWithOptions(out, log.Options{
			Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true,
			TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		}),
		counts: new(expvar.Map).Init(),
	}
	for i, r := range [...]float64{stateChangeRate, failureRate, successRate} {
		l.limits[i] = rate.NewLimiter(rate.Limit(r), int(r)*burstSeconds)
	}
	return l
}

// Record queues one event without blocking, or drops it. Pairs are alternating keys and
// values. Dropped events are counted too, both by name and by class.
func (l *Log) Record(c Class, name string, pairs ...any) {
	l.counts.Add(name, 1)
	if !l.limits[c].Allow() {
		l.dropped[c].Add(1)
		return
	}
	level := log.InfoLevel
	if c == Failure {
		level = log.WarnLevel
	}
	select {
	case l.queue <- line{level: level, name: name, pairs: pairs, at: time.Now()}:
	default:
		l.dropped[c].Add(1)
	}
}

// Counts returns the number of events by name, including those that were dropped, and the
// number of failed writes as "write-failed".
func (l *Log) Counts() *expvar.Map { return l.counts }

// Run writes events until the context ends, then those left in the queue, and returns the
// error of the context.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	defer func() {
		l.drain()
		l.report()
		l.flush()
	}()
	for {
		select {
		case n := <-l.queue:
			if l.write(n); !worker.Sleep(ctx, batchDelay) {
				return ctx.Err()
			}
			l.drain()
		case <-report.C:
			l.report()
		case <-ctx.Done():
			return ctx.Err()
		}
		l.flush()
	}
}

// drain writes the queued lines to the buffer.
func (l *Log) drain() {
	for len(l.queue) > 0 {
		l.write(<-l.queue)
	}
}

// flush writes the buffer to the output. Errors are only counted: they cannot be logged, as the
// log is what failed.
func (l *Log) flush() {
	if err := l.out.Flush(); err != nil {
		l.counts.Add("write-failed", 1)
	}
}

// write adds a line to the buffer. The logger sets "time" to the time of writing, so "decided"
// holds the time when the event was recorded.
func (l *Log) write(n line) {
	l.logger.Log(n.level, n.name, append(n.pairs, "decided", n.at.UTC().Format("15:04:05.000"))...)
}

// report logs how many lines of each class were dropped since the last report, if any.
func (l *Log) report() {
	stateChanges, failures, successes := l.dropped[0].Swap(0), l.dropped[1].Swap(0), l.dropped[2].Swap(0)
	if stateChanges+failures+successes > 0 {
		l.logger.Warn("lines-dropped", "beliefs", stateChanges, "failures", failures, "successes", successes)
	}
}
