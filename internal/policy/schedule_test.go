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

// This file simulates callers who submit requests and resend them before they get a response,
// through any of four instances, each of which may be the gate. Forwarded requests are delayed
// and arrive out of order, the gate moves or crashes, and servers fail before and after running
// a request. For comparison, it counts what a gate without an idempotency table would run.

// event is a function that runs at a simulated time.
type event struct {
	at    Time
	order int
	do    func()
}

// eventHeap implements heap.Interface. Events at the same time are in the order of creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is one run of a random schedule.
type simulation struct {
	t           *testing.T
	random      *rand.Rand
	now         Time
	events      eventHeap
	lastOrder   int
	cores       []*Core
	gate        int
	lastTicket  Ticket
	submissions map[Ticket]*submission
	// runs counts the runs of each request, and runsWithoutTable those that a gate without an
	// idempotency table would have made.
	runs, runsWithoutTable map[string]int
}

// submission is one submission of a request by its caller.
type submission struct {
	requestID string
	entry     int
	gate      int
	// informed holds the instances that have a record of the submission because they forwarded
	// it or got the record from another instance.
	informed []int
	request  *Request
	ran      bool
	outcome  caller.Outcome
}

// after schedules a function in d milliseconds.
func (sim *simulation) after(d int, do func()) {
	sim.lastOrder++
	heap.Push(&sim.events, event{at: sim.now + Time(d)*ms, order: sim.lastOrder, do: do})
}

// firstLive returns the first instance from i on that has not crashed.
func (sim *simulation) firstLive(i int) int {
	for sim.cores[i%len(sim.cores)] == nil {
		i++
	}
	return i % len(sim.cores)
}

// submit submits a request through a random instance, and resends it later up to resends times.
func (sim *simulation) submit(requestID string, resends int) {
	sim.lastTicket++
	s := &submission{requestID: requestID, entry: sim.firstLive(sim.random.IntN(len(sim.cores))), gate: -1}
	s.request = &Request{
		Ticket: sim.lastTicket, RequestID: HashRequestID("oddaja", "", requestID), SubmissionID: HashRequestID("", "", fmt.Sprint(sim.lastTicket)),
		Caller: fmt.Sprint(sim.random.IntN(3)), Deadline: sim.now + Time(50+sim.random.IntN(500))*ms, Fingerprint: 1, Replayable: true,
	}
	sim.submissions[sim.lastTicket] = s
	sim.runsWithoutTable[requestID]++
	sim.arrive(s, s.entry, 0)
	if resends > 0 {
		sim.after(sim.random.IntN(400), func() { sim.submit(requestID, resends-1) })
	}
}

// arrive delivers a submission to an instance: its entry instance, or the one that was the gate
// when the submission was forwarded. An instance that is not the gate forwards it.
func (sim *simulation) arrive(s *submission, instance, hops int) {
	switch {
	case sim.cores[instance] == nil:
		sim.setOutcome(s, caller.Unknown)
		return
	case instance != sim.gate && hops > 2:
		sim.setOutcome(s, caller.NotRun)
		return
	case instance != sim.gate:
		sim.forward(s, instance, hops)
		return
	}
	s.gate = instance
	if hops == 0 {
		sim.addRecord(s, sim.firstLive(instance+1))
	}
	sim.apply(instance, sim.cores[instance].Admit(sim.now, s.request))
}

// forward records a submission at an instance and sends it to the gate with a delay.
func (sim *simulation) forward(s *submission, instance, hops int) {
	sim.addRecord(s, instance)
	target := sim.gate
	sim.after(sim.random.IntN(60), func() { sim.arrive(s, target, hops+1) })
}

// addRecord adds the record of a submission to an instance.
func (sim *simulation) addRecord(s *submission, instance int) {
	s.informed = append(s.informed, instance)
	sim.cores[instance].AddRecord(sim.now, sim.cores[instance].RecordOf(s.request, caller.Unknown))
}

// apply acts on the decisions of a gate.
func (sim *simulation) apply(gate int, decisions []Decision) {
	for _, d := range append([]Decision{}, decisions...) {
		switch d := d.(type) {
		case Admitted:
			s := sim.submissions[d.Ticket]
			slot := sim.cores[gate].SlotOf(s.request, d.Server)
			sim.after(0, func() { sim.send(s, gate, slot) })
		case Rejected:
			sim.setOutcome(sim.submissions[d.Ticket], caller.NotRun)
		case CheckFailed:
			switch d.Result.(type) {
			case AlreadyRan:
				sim.setOutcome(sim.submissions[d.Ticket], caller.Ran)
			default:
				sim.setOutcome(sim.submissions[d.Ticket], caller.Unknown)
			}
		case Moved:
			sim.forward(sim.submissions[d.Ticket], gate, 1)
		case Queued:
			s := sim.submissions[d.Ticket]
			sim.after(int(s.request.Deadline-sim.now)/int(ms)+1, func() { sim.expire(s, gate) })
			sim.after(100, func() { sim.advance(gate) })
		}
	}
}

// expire dequeues a submission that waited until its deadline.
func (sim *simulation) expire(s *submission, gate int) {
	if core := sim.cores[gate]; core != nil && core.Dequeue(s.request) {
		sim.setOutcome(s, caller.NotRun)
	}
}

// advance calls Advance of a gate that has not crashed.
func (sim *simulation) advance(gate int) {
	if core := sim.cores[gate]; core != nil {
		sim.apply(gate, core.Advance(sim.now))
	}
}

// send sends a submission to a server, unless the gate moved meanwhile.
func (sim *simulation) send(s *submission, gate int, slot Slot) {
	core := sim.cores[gate]
	if core == nil {
		return
	}
	if gate != sim.gate {
		core.Cancel(s.request)
		sim.apply(gate, core.Release(sim.now, slot, 0))
		sim.forward(s, gate, 1)
		return
	}
	fault := Fault(sim.random.IntN(8))
	ran := fault > ConnectionLost || (fault == InDoubt || fault == ConnectionLost) && sim.random.IntN(2) == 0
	if ran {
		sim.runs[s.requestID]++
		s.ran = true
	}
	sim.after(1+sim.random.IntN(30), func() { sim.finishAttempt(s, gate, slot, fault) })
}

// finishAttempt handles the response or fault of an attempt. A fault beyond ConnectionLost means
// that there was none.
func (sim *simulation) finishAttempt(s *submission, gate int, slot Slot, fault Fault) {
	core := sim.cores[gate]
	if core == nil {
		return
	}
	if fault > ConnectionLost {
		core.Complete(sim.now, s.request, 201, nil)
		sim.setOutcome(s, caller.Ran)
		sim.apply(gate, core.Release(sim.now, slot, 10*1e6))
		return
	}
	switch d := core.HandleFault(sim.now, s.request, slot, fault).(type) {
	case Final:
		sim.setOutcome(s, d.Outcome)
		sim.apply(gate, core.Release(sim.now, slot, 0))
	case Retry:
		sim.apply(gate, core.Release(sim.now, slot, 0))
		if gate != sim.gate {
			core.Cancel(s.request)
			sim.arrive(s, gate, 1)
			return
		}
		sim.apply(gate, core.Admit(sim.now, s.request))
	}
}

// setOutcome sets the outcome of a submission and updates the records at other instances.
func (sim *simulation) setOutcome(s *submission, o caller.Outcome) {
	if s.outcome != "" {
		sim.t.Fatalf("request %s: second outcome %s after %s", s.requestID, o, s.outcome)
	}
	s.outcome = o
	for _, instance := range s.informed {
		if core := sim.cores[instance]; core != nil {
			core.AddRecord(sim.now, core.RecordOf(s.request, o))
		}
	}
}

// moveGate makes another instance the gate, which gets the records of all other instances. If
// crash is set, the old gate crashes.
func (sim *simulation) moveGate(crash bool) {
	old := sim.gate
	sim.gate = (old + 1 + sim.random.IntN(len(sim.cores)-1)) % len(sim.cores)
	if sim.cores[sim.gate] == nil {
		sim.gate = old
		return
	}
	if crash {
		sim.crashInstance(old)
	} else if sim.random.IntN(2) == 0 {
		sim.apply(old, sim.cores[old].DequeuePool(""))
	}
	for _, core := range sim.cores {
		if core == nil || core == sim.cores[sim.gate] {
			continue
		}
		for _, r := range core.Records(sim.now, keys.Full) {
			if !sim.cores[sim.gate].AddRecord(sim.now, r) {
				sim.t.Fatal("no room for a record")
			}
		}
	}
}

// crashInstance crashes an instance. The outcome of the submissions that it handled is unknown.
func (sim *simulation) crashInstance(instance int) {
	sim.cores[instance] = nil
	for _, s := range sim.submissions {
		if s.outcome == "" && s.gate == instance && s.request.recorded {
			s.outcome = caller.Unknown
		}
	}
}

// run creates a random schedule and runs it to its end.
func (sim *simulation) run() {
	for i := range 40 {
		sim.after(sim.random.IntN(1500), func() { sim.submit(fmt.Sprint(i), sim.random.IntN(4)) })
	}
	for range 3 {
		sim.after(sim.random.IntN(1500), func() { sim.moveGate(false) })
	}
	sim.after(sim.random.IntN(1500), func() { sim.moveGate(true) })
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
}

// A caller resends a non-idempotent request through different instances while the gate moves or
// crashes and servers fail. In none of 2,000 random schedules may a request run twice or a
// submission that ran get the outcome "not run". A gate without an idempotency table would run
// many of the requests twice.
func TestAtMostOnceUnderRandomSchedules(t *testing.T) {
	is := is.New(t)
	ran, duplicatesWithoutTable, notRun, unknown := 0, 0, 0, 0
	for seed := range uint64(2000) {
		sim := &simulation{
			t: t, random: rand.New(rand.NewPCG(seed, 4)), submissions: map[Ticket]*submission{},
			runs: map[string]int{}, runsWithoutTable: map[string]int{},
		}
		for range 4 {
			c := NewCore("oddaja", TableLimits{MaxRecords: 1000}, 0)
			c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
			sim.cores = append(sim.cores, c)
		}
		sim.run()
		for requestID, runs := range sim.runs {
			if runs > 1 {
				t.Fatalf("seed %d: request %s ran %d times", seed, requestID, runs)
			}
			ran++
		}
		for _, runs := range sim.runsWithoutTable {
			if runs > 1 {
				duplicatesWithoutTable++
			}
		}
		for _, s := range sim.submissions {
			switch s.outcome {
			case caller.NotRun:
				notRun++
				if s.ran {
					t.Fatalf("seed %d: request %s ran and has the outcome not run", seed, s.requestID)
				}
			case caller.Unknown:
				unknown++
			case caller.Ran:
				if sim.runs[s.requestID] == 0 {
					t.Fatalf("seed %d: request %s has the outcome ran and did not run", seed, s.requestID)
				}
			default:
				t.Fatalf("seed %d: a submission of request %s has no outcome", seed, s.requestID)
			}
		}
	}
	t.Logf("ran %d, duplicates without table %d, not run %d, unknown %d", ran, duplicatesWithoutTable, notRun, unknown)
	is.True(ran > 10_000)
	is.True(duplicatesWithoutTable > 10_000)
	is.True(notRun > 1000)
}
