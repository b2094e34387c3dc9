package emulator

import (
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Copies of a direct command arrive at least minCommandCopyDelayMS after it, over a time of
// commandCopyLeases leases, and up to maxCommandCopies times.
const (
	minCommandCopyDelayMS = 2000
	commandCopyLeases     = 2
	maxCommandCopies      = 3
)

// DuplicateCommands delivers a share of the direct commands again after they were executed and
// answered, for ms milliseconds from now. The worker executes a copy if its fencing token and
// incarnation still match. Its response is dropped. A call does not shorten an earlier one.
func (sim *Simulation) DuplicateCommands(probability float64, ms int64) {
	sim.commandCopies = faultRate{probability, max(sim.commandCopies.until, sim.Now+ms)}
}

// duplicateCommand may deliver copies of a direct command that the worker has executed.
func (sim *Simulation) duplicateCommand(m *Member, epoch int, worker *Worker, command scheduler.DirectCommand) {
	if len(command.Commands) == 0 || !sim.commandCopies.occurs(sim) {
		return
	}
	for range 1 + sim.Rand.IntN(maxCommandCopies) {
		delayMS := sim.randomBetween(minCommandCopyDelayMS, int64(sim.Params.LeaseS*1000*commandCopyLeases))
		sim.After(delayMS, func() {
			sim.deliverToWorker(worker, func() { sim.executeCommandCopy(m, epoch, worker, command) })
		})
	}
}

// executeCommandCopy executes a copy of a direct command at the worker.
func (sim *Simulation) executeCommandCopy(m *Member, epoch int, worker *Worker, command scheduler.DirectCommand) {
	outcome, startedAgain := worker.Agent.ApplyCommandCopy(worker.Clock(sim), command)
	sim.countCommandCopy(m, epoch, outcome)
	for _, c := range startedAgain {
		sim.recordViolation("started_by_copy", "a copy of a direct command starts %s attempt %d on %s once more",
			c.Task, c.Attempt, worker.Instance.ID)
	}
}

// countCommandCopy counts a delivered copy of a direct command by its outcome.
func (sim *Simulation) countCommandCopy(m *Member, epoch int, outcome scheduler.Outcome) {
	sim.DuplicateCounts["commands"]++
	if outcome == scheduler.Conflict {
		sim.DuplicateCounts["refused commands"]++
	}
	if epoch != m.epoch {
		sim.DuplicateCounts["commands after a crash of the member"]++
	}
}

// checkClear checks that no copy of the direct command that started a task can start it again after
// the worker has cleared it: the worker's fencing token must be higher than that of the command.
func (sim *Simulation) checkClear(worker *Worker, t *platformfake.Task) {
	if token := worker.Agent.FencingToken(); t.DirectToken > 0 && t.DirectToken >= token {
		sim.recordViolation("cleared_early", "%s attempt %d on %s is cleared under token %d, its direct start had %d",
			t.Name, t.Attempt, worker.Instance.ID, token, t.DirectToken)
	}
}
