package fair

import (
	"container/heap"
	"time"
)

const (
	// maxCallers is the number of callers with an account of their own, sharedAccounts that of the
	// accounts that all other callers share. At most maxPruned accounts are pruned in a call of
	// Arrive or Serve, which bounds its cost.
	maxCallers     = 4096
	sharedAccounts = 256
	maxPruned      = 16
	// rejectedShare is the part of the work of a rejected request that its caller is charged.
	// maxRejectedShare is the largest part of a caller's share that goes to such charges, and
	// maxRejectedBurst the largest sum of them at once, in requests. Without these bounds the
	// charges of a caller that is rejected four times as often as served grow faster than the
	// virtual time, and it is never served again.
	rejectedShare    = 0.25
	maxRejectedShare = 0.5
	maxRejectedBurst = 1
	// latestWeight is the weight of a request that is served in the work that known and unknown
	// callers had lately.
	latestWeight = 1. / 32
)

// Shares assigns start tags to the requests of callers. The unit of tags is a second of work.
//
// A caller has an account while its finish tag, that of its latest request, is ahead of the virtual
// time. Callers that arrive while there are 4,096 accounts share 256 more by a hash, and with them
// their share of the server.
//
// Caller 0 stands for all unknown callers, as requests from instances of the previous release
// have no identity. Together they count as much as all callers that have an account, so that
// neither kind starves the other: each can have half of the server, and what the other kind leaves.
// While unknown callers have had less than the others, each of their requests counts as one of a
// caller of its own, which starts at once and is not charged for a rejection.
type Shares struct {
	// virtualTime is the largest tag served so far.
	virtualTime float64
	accounts    accountHeap
	// shared holds the accounts of the callers beyond the limit, nil until there is one.
	shared []account
	// unknown is the account of caller 0.
	unknown account
	// knownWork and unknownWork are the work, in seconds, that known and unknown callers had lately or wait for.
	knownWork, unknownWork float64
}

// account is the state of a caller.
type account struct {
	// finish is the finish tag of its latest request.
	finish float64
	// chargedUntil is the virtual time at which its charges for rejected requests are within its
	// allowance again.
	chargedUntil float64
	caller       uint32
}

// NewShares returns Shares without callers.
func NewShares() *Shares {
	return &Shares{accounts: accountHeap{position: map[uint32]int32{}}}
}

// Arrive returns the start tag of a request that arrives now. Serve or Reject has to follow.
func (s *Shares) Arrive(caller uint32, work time.Duration) (tag float64) {
	s.prune(maxPruned)
	a, _ := s.account(caller)
	tag = max(s.virtualTime, a.finish)
	a.finish = tag + s.amount(caller, work)
	s.put(a)
	if caller == 0 && s.unknownIsBehind() {
		tag = s.virtualTime
	}
	*s.workOf(caller) += seconds(work)
	return tag
}

// Serve takes in that the request with the tag is sent to a server.
func (s *Shares) Serve(tag float64) {
	if tag > s.virtualTime {
		s.virtualTime = tag
	}
	s.knownWork *= 1 - latestWeight
	s.unknownWork *= 1 - latestWeight
	s.prune(maxPruned)
}

// Advance raises the virtual time by some work, to which every caller that has had more than the others is entitled.
func (s *Shares) Advance(work time.Duration) {
	s.virtualTime += seconds(work)
	s.prune(maxPruned)
}

// Reject takes in that a request that arrived is not served. Its caller gets back the work except
// for a quarter, or all of it if its latest requests were rejected as well: it keeps half of its
// share however often it asks. Unknown callers that have had less than the others get back all.
func (s *Shares) Reject(caller uint32, work time.Duration) {
	had := s.workOf(caller)
	*had = max(*had-seconds(work), 0)
	a, found := s.account(caller)
	if !found {
		return
	}
	amount := s.amount(caller, work)
	charge := rejectedShare * amount
	if caller == 0 && s.unknownIsBehind() {
		charge = 0
	}
	a.finish -= amount
	a.chargedUntil = max(a.chargedUntil, s.virtualTime)
	if a.chargedUntil+charge/maxRejectedShare <= s.virtualTime+maxRejectedBurst*amount/maxRejectedShare {
		a.chargedUntil += charge / maxRejectedShare
		a.finish += charge
	}
	s.put(a)
}

// Callers returns the number of callers that have an account of their own. It costs O(n log n) if
// many accounts are outdated.
func (s *Shares) Callers() int {
	s.prune(maxCallers)
	return s.accounts.Len()
}

// amount returns by how much work moves the finish tag of a caller.
func (s *Shares) amount(caller uint32, work time.Duration) float64 {
	if caller == 0 {
		return seconds(work) / float64(max(s.accounts.Len(), 1))
	}
	return seconds(work)
}

// unknownIsBehind reports whether unknown callers have had less than the known ones.
func (s *Shares) unknownIsBehind() bool { return s.unknownWork < s.knownWork }

// workOf returns what callers like this one, known or unknown, had lately or wait for.
func (s *Shares) workOf(caller uint32) *float64 {
	if caller == 0 {
		return &s.unknownWork
	}
	return &s.knownWork
}

// account returns the account of a caller, false and an empty one if it has none.
func (s *Shares) account(caller uint32) (account, bool) {
	if caller == 0 {
		return s.unknown, true
	}
	if i, found := s.accounts.position[caller]; found {
		return s.accounts.accounts[i], true
	}
	if s.accounts.Len() < maxCallers || s.shared == nil {
		return account{caller: caller}, false
	}
	a := s.shared[sharedIndex(caller)]
	a.caller = caller
	return a, true
}

func (s *Shares) put(a account) {
	i, found := s.accounts.position[a.caller]
	switch {
	case a.caller == 0:
		s.unknown = a
	case found:
		s.accounts.accounts[i] = a
		heap.Fix(&s.accounts, int(i))
	case s.accounts.Len() < maxCallers:
		heap.Push(&s.accounts, a)
	default:
		if s.shared == nil {
			s.shared = make([]account, sharedAccounts)
		}
		s.shared[sharedIndex(a.caller)] = a
	}
}

// prune removes up to n accounts whose finish tag is not ahead of the virtual time.
func (s *Shares) prune(n int) {
	for ; n > 0 && s.accounts.Len() > 0 && s.accounts.accounts[0].finish <= s.virtualTime; n-- {
		heap.Pop(&s.accounts)
	}
}

// sharedIndex returns the shared account of a caller, by Fibonacci hashing.
func sharedIndex(caller uint32) uint64 { return uint64(caller*2654435769) * sharedAccounts >> 32 }

func seconds(work time.Duration) float64 { return max(work, 0).Seconds() }

// accountHeap holds accounts, that with the smallest finish tag first. It implements
// heap.Interface.
type accountHeap struct {
	accounts []account
	// position maps each caller to its index in accounts.
	position map[uint32]int32
}

func (h *accountHeap) Len() int           { return len(h.accounts) }
func (h *accountHeap) Less(i, j int) bool { return h.accounts[i].finish < h.accounts[j].finish }

func (h *accountHeap) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.position[h.accounts[i].caller], h.position[h.accounts[j].caller] = int32(i), int32(j)
}

func (h *accountHeap) Push(x any) {
	a := x.(account)
	h.position[a.caller] = int32(len(h.accounts))
	h.accounts = append(h.accounts, a)
}

func (h *accountHeap) Pop() any {
	last := h.accounts[len(h.accounts)-1]
	h.accounts = h.accounts[:len(h.accounts)-1]
	delete(h.position, last.caller)
	return last
}
