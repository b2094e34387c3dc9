package reconcile

// AttemptIDs assigns IDs to the attempts that a claim starts. An ID consists of a revision of the
// claim in the high bits, and of the wall clock time of the start and a counter in the low bits. So
// IDs are unique, a start needs no write, and an owner that later adopts the attempt knows its start
// time, which heartbeats do not contain. Without that time an adopted task appears to start at its
// adoption, the run time of its class is underestimated, and too little capacity is provisioned.
//
// The zero value must be given a revision with Rebase before its first use.
type AttemptIDs struct {
	revision uint64
	first    uint64
	last     uint64
}

// The low bits of an ID are half seconds of wall clock time, modulo three days, and a counter within
// each half second. When the counter overflows, the next start takes an ID of the following half second.
const (
	idTimeStepMS = 500
	idCountBits  = 9
	idTimeBits   = 19
	idOffsetBits = idCountBits + idTimeBits
	idOffsetMask = 1<<idOffsetBits - 1
)

// Rebase continues under a later revision of the same claim, or under a new claim. Revisions only
// grow: a revision that is not later than the current one is ignored.
func (n *AttemptIDs) Rebase(revision uint64, wallMS int64) {
	if revision > n.revision {
		n.revision, n.first, n.last = revision, timeOffset(wallMS), 0
	}
}

func timeOffset(wallMS int64) uint64 { return uint64(max(wallMS, 0)/idTimeStepMS) << idCountBits }

// Next returns a unique ID. The caller checks IsExhausted first.
func (n *AttemptIDs) Next(wallMS int64) uint64 {
	n.last = max(n.last+1, timeOffset(wallMS), n.first)
	return n.revision<<idOffsetBits | n.last&idOffsetMask
}

// IsHalfExhausted reports whether half of the IDs under the current revision are used. The caller then
// raises the claim's fencing token, and IDs continue under the new revision.
func (n *AttemptIDs) IsHalfExhausted(wallMS int64) bool {
	return max(n.last, timeOffset(wallMS)) >= n.first+1<<(idOffsetBits-1)
}

// IsExhausted reports whether all IDs under the current revision are used.
func (n *AttemptIDs) IsExhausted(wallMS int64) bool {
	return max(n.last+1, timeOffset(wallMS)) >= n.first+1<<idOffsetBits
}

// AttemptRevision returns the revision of the claim under which an ID was assigned.
func AttemptRevision(attemptID uint64) uint64 { return attemptID >> idOffsetBits }

// AttemptStartedAt returns the wall clock time, in milliseconds, at which the attempt with an ID was
// started, if that is at most a day and a half ago. For a time that appears to be in the future it
// returns wallMS, the current time.
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
