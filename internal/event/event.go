// Package event writes one line for each decision that touches a request or changes what the
// process believes. Writing never blocks the one who decides: lines pass a bounded ring, and
// when it is full or their kind is over its rate they are dropped and counted.
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

	"example.org/mustardring/internal/duty"
)

// Class orders events by how much they are missed when dropped.
type Class int

// The classes.
const (
	// StateChange is a change of what the process believes: rare, and never thinned out.
	StateChange Class = iota
	// Failure is a request that did not end well.
	Failure
	// Success is a request that did.
	Success
)

// The bounds of what is written. A line costs some 5 microseconds of processor time, so that
// the three rates together take below 1% of a core.
const (
	ringSize     = 1024
	beliefRate   = 400
	failureRate  = 200
	successRate  = 100
	burstSeconds = 5
	// reportEvery is how often dropped lines are reported.
	reportEvery = 5 * time.Second
	// gatherTime is how long lines are gathered before they are written together. Written one by
	// one, each line costs a wake-up and a system call.
	gatherTime = 40 * time.Millisecond
	writeSize  = 32 << 10
)

type line struct {
	level log.Level
	name  string
	pairs []any
	at    time.Time
}

// Log takes events.
type Log struct {
	ring    chan line
	out     *bufio.Writer
	logger  *log.Logger
	limits  [3]*rate.Limiter
	dropped [3]atomic.Int64
	count   *expvar.Map
}

// New returns a log that writes to w. Run writes what it takes.
func New(w io.Writer, level log.Level) *Log {
	out := bufio.NewWriterSize(w, writeSize)
	l := &Log{
		ring: make(chan line, ringSize),
		out:  out,
		logger: log.NewWithOptions(out, log.Options{
			Level: level, Formatter: log.LogfmtFormatter, ReportTimestamp: true,
			TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		}),
		count: new(expvar.Map).Init(),
	}
	for i, r := range [...]float64{beliefRate, failureRate, successRate} {
		l.limits[i] = rate.NewLimiter(rate.Limit(r), int(r)*burstSeconds)
	}
	return l
}

// Record takes one event. Pairs are keys and values in turn.
func (l *Log) Record(c Class, name string, pairs ...any) {
	l.count.Add(name, 1)
	if !l.limits[c].Allow() {
		l.dropped[c].Add(1)
		return
	}
	level := log.InfoLevel
	if c == Failure {
		level = log.WarnLevel
	}
	select {
	case l.ring <- line{level: level, name: name, pairs: pairs, at: time.Now()}:
	default:
		l.dropped[c].Add(1)
	}
}

// Counts is the number of events by name.
func (l *Log) Counts() *expvar.Map { return l.count }

// Run writes events until the context ends, and then what is left in the ring.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	defer func() {
		l.drain()
		l.report()
		l.flush()
	}()
	for {
		select {
		case n := <-l.ring:
			if l.write(n); !duty.Sleep(ctx, gatherTime) {
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

// drain writes what waits in the ring.
func (l *Log) drain() {
	for len(l.ring) > 0 {
		l.write(<-l.ring)
	}
}

// flush hands the lines to the system. What cannot be written is counted: there is no other place
// to tell it.
func (l *Log) flush() {
	if err := l.out.Flush(); err != nil {
		l.count.Add("write-failed", 1)
	}
}

func (l *Log) write(n line) {
	l.logger.Log(n.level, n.name, append(n.pairs, "decided", n.at.UTC().Format("15:04:05.000"))...)
}

func (l *Log) report() {
	beliefs, failures, successes := l.dropped[0].Swap(0), l.dropped[1].Swap(0), l.dropped[2].Swap(0)
	if beliefs+failures+successes > 0 {
		l.logger.Warn("lines-dropped", "beliefs", beliefs, "failures", failures, "successes", successes)
	}
}
