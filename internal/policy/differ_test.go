package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// The schedule of the differential test: works are submitted and sent again by impatient
// callers through any of three instances, each of which may be the gate. Forwarded requests
// are late and cross each other, the gate moves or is lost, servers fail before and after
// running. The naive gate runs whatever comes, in a queue without bound.

// event is something that happens at a time in a schedule.
type event struct {
	at    Time
	order int
	do    func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// world is one run of a schedule.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      Time
	events   schedule
	order    int
	cores    []*Core
	gate     int
	tickets  Ticket
	sendings map[Ticket]*sending
	// runs counts the runs of each work; naive what a gate without memory would have run.
	runs, naive map[string]int
}

// sending is one sending of a work by its caller.
type sending struct {
	work  string
	entry int
	gate  int
	// path holds the instances that passed the sending on, or were told of it.
	path    []int
	request *Request
	ran     bool
	outcome caller.Outcome
}

func (w *world) after(d int, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + Time(d)*ms, order: w.order, do: do})
}

// live returns the first instance from i on that lives.
func (w *world) live(i int) int {
	for w.cores[i%len(w.cores)] == nil {
		i++
	}
	return i % len(w.cores)
}

// submit sends a work through a random instance, and perhaps again later.
func (w *world) submit(work string, resends int) {
	w.tickets++
	s := &sending{work: work, entry: w.live(w.random.IntN(len(w.cores))), gate: -1}
	s.request = &Request{
		Ticket: w.tickets, RequestID: HashRequestID("oddaja", "", work), SubmissionID: HashRequestID("", "", fmt.Sprint(w.tickets)),
		Caller: fmt.Sprint(w.random.IntN(3)), Deadline: w.now + Time(50+w.random.IntN(500))*ms, Fingerprint: 1, Replayable: true,
	}
	w.sendings[w.tickets] = s
	w.naive[work]++
	w.arrive(s, s.entry, 0)
	if resends > 0 {
		w.after(w.random.IntN(400), func() { w.submit(work, resends-1) })
	}
}

// arrive brings a sending to an instance: its entry, or one that was the gate when it was
// sent there. An instance that passes it on remembers it.
func (w *world) arrive(s *sending, instance, hops int) {
	switch {
	case w.cores[instance] == nil:
		w.end(s, caller.Unknown)
		return
	case instance != w.gate && hops > 2:
		w.end(s, caller.NotRun)
		return
	case instance != w.gate:
		w.pass(s, instance, hops)
		return
	}
	s.gate = instance
	if hops == 0 {
		w.tell(s, w.live(instance+1))
	}
	w.take(instance, w.cores[instance].Admit(w.now, s.request))
}

// pass sends a sending on to the gate.
func (w *world) pass(s *sending, instance, hops int) {
	w.tell(s, instance)
	target := w.gate
	w.after(w.random.IntN(60), func() { w.arrive(s, target, hops+1) })
}

// tell makes an instance remember a sending.
func (w *world) tell(s *sending, instance int) {
	s.path = append(s.path, instance)
	w.cores[instance].AddRecord(w.now, w.cores[instance].RecordOf(s.request, caller.Unknown))
}

// take acts on the verdicts of a gate.
func (w *world) take(gate int, verdicts []Decision) {
	for _, v := range append([]Decision{}, verdicts...) {
		switch v := v.(type) {
		case Admitted:
			s := w.sendings[v.Ticket]
			slot := w.cores[gate].SlotOf(s.request, v.Server)
			w.after(0, func() { w.send(s, gate, slot) })
		case Rejected:
			w.end(w.sendings[v.Ticket], caller.NotRun)
		case CheckFailed:
			switch v.Result.(type) {
			case AlreadyRan:
				w.end(w.sendings[v.Ticket], caller.Ran)
			default:
				w.end(w.sendings[v.Ticket], caller.Unknown)
			}
		case Moved:
			w.pass(w.sendings[v.Ticket], gate, 1)
		case Queued:
			s := w.sendings[v.Ticket]
			w.after(int(s.request.Deadline-w.now)/int(ms)+1, func() { w.expire(s, gate) })
			w.after(100, func() { w.advance(gate) })
		}
	}
}

// expire gives up on a sending that waited until its deadline.
func (w *world) expire(s *sending, gate int) {
	if core := w.cores[gate]; core != nil && core.Dequeue(s.request) {
		w.end(s, caller.NotRun)
	}
}

// advance tells a gate that time has passed.
func (w *world) advance(gate int) {
	if core := w.cores[gate]; core != nil {
		w.take(gate, core.Advance(w.now))
	}
}

// send tries a sending at a server, unless the gate moved while it waited.
func (w *world) send(s *sending, gate int, slot Slot) {
	core := w.cores[gate]
	if core == nil {
		return
	}
	if gate != w.gate {
		core.Cancel(s.request)
		w.take(gate, core.Release(w.now, slot, 0))
		w.pass(s, gate, 1)
		return
	}
	fault := Fault(w.random.IntN(8))
	ran := fault > ConnectionLost || (fault == InDoubt || fault == ConnectionLost) && w.random.IntN(2) == 0
	if ran {
		w.runs[s.work]++
		s.ran = true
	}
	w.after(1+w.random.IntN(30), func() { w.back(s, gate, slot, fault) })
}

// back ends a try.
func (w *world) back(s *sending, gate int, slot Slot, fault Fault) {
	core := w.cores[gate]
	if core == nil {
		return
	}
	if fault > ConnectionLost {
		core.Complete(w.now, s.request, 201, nil)
		w.end(s, caller.Ran)
		w.take(gate, core.Release(w.now, slot, 10*1e6))
		return
	}
	switch d := core.HandleFault(w.now, s.request, slot, fault).(type) {
	case Final:
		w.end(s, d.Outcome)
		w.take(gate, core.Release(w.now, slot, 0))
	case Retry:
		w.take(gate, core.Release(w.now, slot, 0))
		if gate != w.gate {
			core.Cancel(s.request)
			w.arrive(s, gate, 1)
			return
		}
		w.take(gate, core.Admit(w.now, s.request))
	}
}

// end gives a sending its outcome, which the witness learns as well.
func (w *world) end(s *sending, o caller.Outcome) {
	if s.outcome != "" {
		w.t.Fatalf("work %s: second outcome %s after %s", s.work, o, s.outcome)
	}
	s.outcome = o
	for _, instance := range s.path {
		if core := w.cores[instance]; core != nil {
			core.AddRecord(w.now, core.RecordOf(s.request, o))
		}
	}
}

// move makes another instance the gate. It recalls the marks of all instances that live.
func (w *world) move(lose bool) {
	old := w.gate
	w.gate = (old + 1 + w.random.IntN(len(w.cores)-1)) % len(w.cores)
	if w.cores[w.gate] == nil {
		w.gate = old
		return
	}
	if lose {
		w.lose(old)
	} else if w.random.IntN(2) == 0 {
		w.take(old, w.cores[old].DequeuePool(""))
	}
	for _, core := range w.cores {
		if core == nil || core == w.cores[w.gate] {
			continue
		}
		for _, m := range core.Records(w.now, keys.Full) {
			if !w.cores[w.gate].AddRecord(w.now, m) {
				w.t.Fatal("no room for a mark")
			}
		}
	}
}

// lose ends an instance. Callers whose requests it held learn nothing.
func (w *world) lose(instance int) {
	w.cores[instance] = nil
	for _, s := range w.sendings {
		if s.outcome == "" && s.gate == instance && s.request.remembered {
			s.outcome = caller.Unknown
		}
	}
}

// run plays a schedule to its end.
func (w *world) run() {
	for i := range 40 {
		w.after(w.random.IntN(1500), func() { w.submit(fmt.Sprint(i), w.random.IntN(4)) })
	}
	for range 3 {
		w.after(w.random.IntN(1500), func() { w.move(false) })
	}
	w.after(w.random.IntN(1500), func() { w.move(true) })
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// A volunteer's program sends a submission again and again, through different instances,
// while the gate moves, is lost, and servers fail at each point. Two copies would set
// reviewers arguing. Against a gate without memory, which doubles in each schedule, none of
// 2,000 schedules may double, and none may tell "not run" of a sending that ran.
func TestAtMostOnceUnderRandomSchedules(t *testing.T) {
	is := is.New(t)
	ran, doubledNaive, notRun, unknown := 0, 0, 0, 0
	for seed := range uint64(2000) {
		w := &world{
			t: t, random: rand.New(rand.NewPCG(seed, 4)), sendings: map[Ticket]*sending{},
			runs: map[string]int{}, naive: map[string]int{},
		}
		for range 4 {
			c := NewCore("oddaja", TableLimits{Entries: 1000}, 0)
			c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
			w.cores = append(w.cores, c)
		}
		w.run()
		for work, runs := range w.runs {
			if runs > 1 {
				t.Fatalf("seed %d: work %s ran %d times", seed, work, runs)
			}
			ran++
		}
		for _, runs := range w.naive {
			if runs > 1 {
				doubledNaive++
			}
		}
		for _, s := range w.sendings {
			switch s.outcome {
			case caller.NotRun:
				notRun++
				if s.ran {
					t.Fatalf("seed %d: work %s ran and was told not run", seed, s.work)
				}
			case caller.Unknown:
				unknown++
			case caller.Ran:
				if w.runs[s.work] == 0 {
					t.Fatalf("seed %d: work %s was told ran and did not", seed, s.work)
				}
			default:
				t.Fatalf("seed %d: a sending of work %s has no outcome", seed, s.work)
			}
		}
	}
	t.Logf("ran %d, naive doubled %d, not run %d, unknown %d", ran, doubledNaive, notRun, unknown)
	is.True(ran > 10_000)
	is.True(doubledNaive > 10_000)
	is.True(notRun > 1000)
}
