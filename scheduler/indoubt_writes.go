package scheduler

import (
	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// inDoubtWrite is a conditional write that is repeated until its outcome is known (package
// indoubt). onSent returns the next step after sending the write, onRead after reading the
// key:
//
//	step              action
//	indoubt.Settled   call onSettled; the write is complete
//	indoubt.Resend    send the write again, then call onSent
//	indoubt.ReadBack  read the key, then call onRead
//
// Before it resends the write or reads the key, the store client checks the claim. If the
// claim is no longer valid, it calls onClaimLost instead. It calls exactly one of
// onSettled and onClaimLost, once.
type inDoubtWrite struct {
	isClaimValid func() bool // the claim under which this member sent the write is still in force
	send         func(done func(StoreResult))
	onSent       func(Outcome) indoubt.NextStep
	onRead       func(StoreResult) indoubt.NextStep
	onSettled    func()
	onClaimLost  func() // the outcome remains unknown; the state cache shows it later
}

// retryDelayDivisor is the divisor of the request timeout that gives the delay after the
// state service refused or did not answer a request of an in-doubt write. Without the
// delay, the member would send requests continuously during an outage.
const retryDelayDivisor = 6

// sendUntilSettled sends a write. It then resends the write or reads the key until the
// write is settled or its claim is lost.
func (sc *storeClient) sendUntilSettled(key string, write inDoubtWrite) {
	var proceed func(indoubt.NextStep)
	proceed = func(step indoubt.NextStep) {
		switch {
		case step == indoubt.Settled:
			write.onSettled()
		case !write.isClaimValid():
			write.onClaimLost()
		case step == indoubt.Resend:
			write.send(func(result StoreResult) {
				sc.continueAfter(result.Outcome, func() { proceed(write.onSent(result.Outcome)) })
			})
		default:
			sc.rereadKey(key, func(result StoreResult) {
				sc.continueAfter(result.Outcome, func() { proceed(write.onRead(result)) })
			})
		}
	}
	write.send(func(result StoreResult) {
		if result.Outcome == Unknown {
			sc.Counters.InDoubtWrites++
			sc.log(Info, "write in doubt", "key", key)
		}
		proceed(write.onSent(result.Outcome))
	})
}

// continueAfter calls resume immediately if the state service processed the request, and
// after a delay otherwise.
func (sc *storeClient) continueAfter(outcome Outcome, resume func()) {
	if outcome.ProcessedByService() {
		resume()
		return
	}
	delayMS := access.RequestTimeout.Milliseconds() / retryDelayDivisor
	sc.delayedSteps = append(sc.delayedSteps, delayedStep{dueAtMS: sc.now.MonotonicMS + delayMS, resume: resume})
}

// delayedStep is a continuation that is due at a given time.
type delayedStep struct {
	dueAtMS int64 // monotonic time
	resume  func()
}

// runDueSteps resumes the steps that are due, in the order in which they were delayed.
func (sc *storeClient) runDueSteps() {
	steps := sc.delayedSteps
	sc.delayedSteps = nil
	for _, step := range steps {
		if sc.now.MonotonicMS >= step.dueAtMS {
			step.resume()
		} else {
			sc.delayedSteps = append(sc.delayedSteps, step)
		}
	}
}
