package reconcile

// AttemptIDs gives attempts their numbers: a revision of the claim, and below it the
// time of day of the start and a count. So none is ever used twice, no start needs
// a write, and whoever finds an attempt running later knows when it was started,
// which reports do not say: without it a task that was adopted seemed to begin
// then, its class seemed shorter than it is, and too little was rented.
type AttemptIDs struct {
	revision uint64
	first    uint64
	last     uint64
}

// A number's lower part: half seconds of the time of day, modulo three days, and
// a count within each. A start too many in one moment takes a number of the next.
const (
	idTimeStepMS = 500 // ms
	idCountBits  = 9   // bits
	idTimeBits   = 19
	idOffsetBits = idCountBits + idTimeBits
	idOffsetMask = 1<<idOffsetBits - 1
)

// Rebase numbers under another revision of the same claim, or under a new claim.
// Revisions grow, so it voids nothing that was given out.
func (n *AttemptIDs) Rebase(revision uint64, wallMS int64) {
	if revision > n.revision {
		n.revision, n.first, n.last = revision, timeOffset(wallMS), 0
	}
}

func timeOffset(wallMS int64) uint64 { return uint64(max(wallMS, 0)/idTimeStepMS) << idCountBits }

// Next is a new number.
func (n *AttemptIDs) Next(wallMS int64) uint64 {
	n.last = max(n.last+1, timeOffset(wallMS), n.first)
	return n.revision<<idOffsetBits | n.last&idOffsetMask
}

// IsHalfExhausted tells that the numbers under a revision are half used up: the claim's token
// is to be raised, and numbers go on under the new one.
func (n *AttemptIDs) IsHalfExhausted(wallMS int64) bool {
	return max(n.last, timeOffset(wallMS)) >= n.first+1<<(idOffsetBits-1)
}

// IsExhausted tells that none are left.
func (n *AttemptIDs) IsExhausted(wallMS int64) bool {
	return max(n.last+1, timeOffset(wallMS)) >= n.first+1<<idOffsetBits
}

// AttemptStartedAt is the time of day at which the attempt with a number was started, as far
// back as a day and a half; later than now, now.
func AttemptStartedAt(attemptID uint64, wallMS int64) int64 {
	const cycle = 1 << idTimeBits
	startStep := attemptID & idOffsetMask >> idCountBits
	currentStep := uint64(max(wallMS, 0) / idTimeStepMS)
	elapsedSteps := (currentStep - startStep) % cycle
	if elapsedSteps >= cycle/2 {
		return wallMS
	}
	return wallMS - int64(elapsedSteps)*idTimeStepMS
}
