package scheduler

import (
	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// inDoubtWrite is a guarded write that is sent until its outcome is certain (package
// indoubt): how it is sent, what its state makes of a try and of reading the key
// back, and whom it matters to.
type inDoubtWrite struct {
	isClaimValid func() bool // the claim under which it was sent is still ours
	send         func(done func(StoreResult))
	onSent       func(Outcome) indoubt.NextStep
	onRead       func(StoreResult) indoubt.NextStep
	onSettled    func()
	onClaimLost  func() // the claim went: what became of it, the mirror tells
}

// retryPauseDivisor is which part of a request's time passes until a write in doubt goes on
// that the state service did not answer or refused: asked again at once, an outage would
// be all requests.
const retryPauseDivisor = 6

// sendUntilSettled sends a write and goes on with it until it is settled.
func (sc *storeClient) sendUntilSettled(key string, write inDoubtWrite) {
	var proceed func(indoubt.NextStep)
	proceed = func(action indoubt.NextStep) {
		switch {
		case action == indoubt.Settled:
			write.onSettled()
		case !write.isClaimValid():
			write.onClaimLost()
		case action == indoubt.Resend:
			write.send(func(result StoreResult) {
				sc.continueAfter(result.Outcome, func() { proceed(write.onSent(result.Outcome)) })
			})
		default:
			sc.rereadKey(
				key,
				func(result StoreResult) { sc.continueAfter(result.Outcome, func() { proceed(write.onRead(result)) }) },
			)
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

// continueAfter goes on at once after an answer, and else in a while.
func (sc *storeClient) continueAfter(outcome Outcome, resume func()) {
	if outcome.ProcessedByService() {
		resume()
		return
	}
	sc.delayedSteps = append(
		sc.delayedSteps,
		delayedStep{sc.now.MonotonicMS + access.RequestTimeout.Milliseconds()/retryPauseDivisor, resume},
	)
}

// delayedStep is something that goes on at a time.
type delayedStep struct {
	dueAtMS int64
	resume  func()
}

// runDueSteps goes on with what paused long enough.
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
