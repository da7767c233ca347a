package admit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
)

// speeds runs requests one after the other at servers whose keys they have.
type speeds struct {
	*admit.Controller
	now    time.Time
	serial uint64
}

func newSpeeds(speedRanges bool) *speeds {
	s := &speeds{Controller: admit.New(rand.New(rand.NewPCG(1, 2)), admit.Options{SpeedRanges: speedRanges}), now: start}
	s.PutServer(start, server("s", "north", 3))
	s.PutServer(start, server("t", "north", 3))
	return s
}

// run runs a request of an instance at a server and reports how it ended.
func (s *speeds) run(from, server string, done admit.Completion) {
	s.serial++
	req := newRequest(s.serial, s.now)
	req.From, req.Server, req.Deadline = from, server, s.now.Add(time.Hour)
	s.Decide(s.now, req)
	s.now = s.now.Add(done.Took + time.Millisecond)
	done.ID, done.Server, done.Route = req.ID, server, "read"
	s.Complete(s.now, done)
}

func (s *speeds) answer(server string, took time.Duration) {
	s.run("a", server, admit.Completion{Took: took})
}

// Guards against a slow server that keeps the keys of one of mean speed for seconds after a start, and against one long request
// that makes a server seem slow.
func TestFirstAnswersShowSpeed(t *testing.T) {
	is := is.New(t)
	s, off := newSpeeds(true), newSpeeds(false)
	for range 4 {
		s.answer("s", 320*time.Millisecond)
		s.answer("t", 120*time.Millisecond)
		off.answer("s", 320*time.Millisecond)
	}
	first := s.ReportCapacity()
	is.True(first["t"].Rate > 1.8*first["s"].Rate)
	is.Equal(len(off.ReportCapacity()), 0)
	s.answer("t", 7*120*time.Millisecond)
	is.True(s.ReportCapacity()["t"].Rate > 0.65*first["t"].Rate)
	for range 60 {
		s.answer("t", 7*120*time.Millisecond)
	}
	is.True(s.ReportCapacity()["t"].Rate < 0.3*first["t"].Rate)
}

// Guards against estimates that drift as long requests count for less, and against a wrong distribution of service times: 3%
// of the requests take seven times as long.
func TestSpeedsWithLongRequests(t *testing.T) {
	is := is.New(t)
	s, random := newSpeeds(true), rand.New(rand.NewPCG(3, 4))
	rate, long := 0.0, 0
	for range 4000 {
		work := math.Exp(0.65*random.NormFloat64()-0.65*0.65/2) / 1.18
		if random.Float64() < 0.03 {
			work *= 7
		}
		s.answer("s", time.Duration(work*300*float64(time.Millisecond)))
		s.answer("t", 120*time.Millisecond)
		rate += s.ReportCapacity()["s"].Rate / 4000
		if work := s.ReportWork(); work != nil {
			long += int(work[8] + work[9] + work[10] + work[11]) // over four times the mean
		}
	}
	t.Logf("mean rate %.1f of 10 per second, %d long requests", rate, long)
	is.True(rate > 9 && rate < 13)
	is.True(long > 4000*2/100 && long < 4000*4/100) // 2.2% of such requests exceed four times their mean
}

// Guards against losses that are no fault of the server: it was full, or one instance alone has lost its requests.
func TestRejectionsAreCounted(t *testing.T) {
	tests := map[string]struct {
		done  admit.Completion
		count int
	}{
		"rejected with free slots": {admit.Completion{Outcome: admit.Full, Load: admit.Load{Running: 1, Known: true}}, 3},
		"rejected when full":       {admit.Completion{Outcome: admit.Full, Load: admit.Load{Running: 3, Known: true}}, 0},
		"rejected without a load":  {admit.Completion{Outcome: admit.Full}, 0},
		"failed":                   {admit.Completion{Outcome: admit.Failed}, 3},
		"lost to one instance":     {admit.Completion{Outcome: admit.Lost}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeeds(true)
			for range 3 {
				s.run("b", "s", admit.Completion{})
				s.run("a", "s", test.done)
			}
			is.New(t).Equal(s.ReportCapacity()["s"].Rejected, test.count)
		})
	}
}
