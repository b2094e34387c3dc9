package reconcile

// AttemptIDs assigns IDs to the attempts that a claim starts. An ID holds a revision of the
// claim and, below it, the wall clock time of the start and a counter. So no ID is ever used
// twice, no start needs a write, and whoever finds an attempt running later knows when it was
// started, which heartbeats do not say. Without the time an adopted task seemed to begin at
// its adoption, its class seemed shorter than it is, and too little capacity was provisioned.
//
// The zero value must be given a revision with Rebase before its first use.
type AttemptIDs struct {
	revision uint64
	first    uint64
	last     uint64
}

// The lower part of an ID: half seconds of wall clock time, modulo three days, and a counter
// within each half second. A start too many in one half second takes an ID of the next.
const (
	idTimeStepMS = 500
	idCountBits  = 9
	idTimeBits   = 19
	idOffsetBits = idCountBits + idTimeBits
	idOffsetMask = 1<<idOffsetBits - 1
)

// Rebase continues under a later revision of the same claim, or under a new claim. Revisions
// only grow: a revision that is no later than the present one changes nothing.
func (n *AttemptIDs) Rebase(revision uint64, wallMS int64) {
	if revision > n.revision {
		n.revision, n.first, n.last = revision, timeOffset(wallMS), 0
	}
}

func timeOffset(wallMS int64) uint64 { return uint64(max(wallMS, 0)/idTimeStepMS) << idCountBits }

// Next returns an ID that was never returned before. The caller checks IsExhausted first.
func (n *AttemptIDs) Next(wallMS int64) uint64 {
	n.last = max(n.last+1, timeOffset(wallMS), n.first)
	return n.revision<<idOffsetBits | n.last&idOffsetMask
}

// IsHalfExhausted reports whether half of the IDs under the present revision are used: the
// claim's fencing token should be raised now, and IDs continue under the new one.
func (n *AttemptIDs) IsHalfExhausted(wallMS int64) bool {
	return max(n.last, timeOffset(wallMS)) >= n.first+1<<(idOffsetBits-1)
}

// IsExhausted reports whether no ID is left under the present revision.
func (n *AttemptIDs) IsExhausted(wallMS int64) bool {
	return max(n.last+1, timeOffset(wallMS)) >= n.first+1<<idOffsetBits
}

// AttemptStartedAt returns the wall clock time, in milliseconds, at which the attempt with an
// ID was started, if that is no more than a day and a half ago. A time that appears to lie in
// the future is returned as wallMS, the present.
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
