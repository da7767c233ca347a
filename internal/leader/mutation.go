package leader

// mutation switches one guard off, so that tests can show that the guard is needed and that
// the random schedules find its absence. The zero value breaks nothing.
type mutation string

// The mutations that break a guard of the leader.
const (
	mutAnswered  mutation = "authority-by-answer-not-asking"
	mutBound     mutation = "lease-from-now-not-authority"
	mutSeen      mutation = "held-before-winning-counts"
	mutWait      mutation = "no-wait-after-winning"
	mutConfirm   mutation = "no-majority-after-lapse"
	mutAuthority mutation = "authority-never-lapses"
	mutAdopted   mutation = "stated-deadline-ignored"
	mutOrder     mutation = "answers-in-any-order"
	mutProcesses mutation = "processes-in-any-order"
	mutStretch   mutation = "drift-ignored"
	mutOneVote   mutation = "one-vote-enough"
	mutLingers   mutation = "requests-end-with-lease"
	mutPending   mutation = "unacknowledged-set-ignored"
)

// without reports whether a guard is switched off.
func (c *Config) without(m mutation) bool {
	return c.guards == m
}
