package leader

// mutation names a guard to switch off, so that tests can show that the guard is needed and
// that the random schedules detect its absence. The zero value switches nothing off.
type mutation string

// The mutations of the leader.
const (
	mutAnswerTime     mutation = "authority-by-answer-not-asking"
	mutLeaseFromNow   mutation = "lease-from-now-not-authority"
	mutHeldBeforeWin  mutation = "held-before-winning-counts"
	mutNoWait         mutation = "no-wait-after-winning"
	mutNoConfirmation mutation = "no-majority-after-lapse"
	mutNoQuorumCheck  mutation = "authority-never-lapses"
	mutIgnoreDeadline mutation = "stated-deadline-ignored"
	mutAnswerOrder    mutation = "answers-in-any-order"
	mutProcessOrder   mutation = "processes-in-any-order"
	mutIgnoreDrift    mutation = "drift-ignored"
	mutOneVote        mutation = "one-vote-enough"
	mutNoDrainTime    mutation = "requests-end-with-lease"
	mutIgnorePending  mutation = "unacknowledged-set-ignored"
)

// mutated reports whether a mutation is in force.
func (c *Config) mutated(m mutation) bool {
	return c.mutation == m
}
