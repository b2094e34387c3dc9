package scheduler

import (
	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// inDoubtWrite is a conditional write that is sent until its outcome is certain (package
// indoubt). onSent and onRead decide the next step after an attempt and after reading the
// key back:
//
//	step            then
//	indoubt.Settled onSettled; the write is over
//	indoubt.Resend  send again, then onSent
//	otherwise       read the key, then onRead
//
// Before the second and third, a claim that is not valid any more ends the write with
// onClaimLost. Exactly one of onSettled and onClaimLost is called, once.
type inDoubtWrite struct {
	isClaimValid func() bool // the claim under which it was sent is still this member's
	send         func(done func(StoreResult))
	onSent       func(Outcome) indoubt.NextStep
	onRead       func(StoreResult) indoubt.NextStep
	onSettled    func()
	onClaimLost  func() // the outcome stays unknown here; the cache shows it in time
}

// retryPauseDivisor divides the request timeout to give the pause before an in-doubt write
// goes on that the state service refused or did not answer: retried at once, an outage
// would consist of requests.
const retryPauseDivisor = 6

// sendUntilSettled sends a write, and repeats or rereads it until it is settled or its
// claim is lost.
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

// continueAfter resumes at once if the service processed the request, and after a pause
// otherwise.
func (sc *storeClient) continueAfter(outcome Outcome, resume func()) {
	if outcome.ProcessedByService() {
		resume()
		return
	}
	pauseMS := access.RequestTimeout.Milliseconds() / retryPauseDivisor
	sc.delayedSteps = append(sc.delayedSteps, delayedStep{dueAtMS: sc.now.MonotonicMS + pauseMS, resume: resume})
}

// delayedStep is what resumes at a time.
type delayedStep struct {
	dueAtMS int64 // monotonic time
	resume  func()
}

// runDueSteps resumes the steps whose time has come, in the order in which they paused.
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
