package scheduler_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// These tests cover the first messages of a new owner to workers that run tasks of cancelled jobs. The state service
// refuses the owner of a shard alone, a peer confirms cancellations, and another member adopts the shard once the
// owner's lease has ended. A machine loses the network with the first message under the new token, at the latest
// moment at which its lease may have been renewed. The tasks must nevertheless end within cancel_s (docs/design.md,
// "The bound on cancelled tasks").

// newOwnerSeeds is the number of seeds of each scenario. A run by hand can play more.
var newOwnerSeeds = flag.Uint64("new-owner-seeds", 64, "number of seeds with cancellations before a new owner")

// Times of the scenario in milliseconds, and numbers of jobs.
const (
	ownerRefusedAtMS    = 40_000
	ownerRefusedForMS   = 60_000
	newOwnerScenarioMS  = ownerRefusedAtMS + 40_000
	longJobs            = 14
	urgentJobs          = 14
	delayedStartsFromMS = ownerRefusedAtMS - 1000 // direct starts sent from then on are delayed
)

// newOwnerRun is one run of the scenario.
type newOwnerRun struct {
	*testSimulation
	owner         *emulator.Member // refused by the state service
	newOwner      *emulator.Member // adopted its shard; nil: none yet
	scenario      newOwnerScenario
	knowsOwner    map[*emulator.Worker]bool // has received a message of the new owner
	isCut         map[*emulator.Worker]bool
	delayedStarts map[string][]scheduler.DirectCommand // direct starts of the refused owner, by machine

	exposed    int   // machines with tasks of cancelled jobs at a new owner's first message, or when they were cut
	lateStarts int   // tasks of cancelled jobs that a delayed start began while the first heartbeat was in flight
	longestMS  int64 // longest time that a task was on a machine after the confirmation
}

// newOwnerScenario is what differs between the scenarios.
type newOwnerScenario struct {
	capacityPerOffering int
	cutsAtRenewal       bool // machines lose the network with the first renewal of their lease, not the first message
	delayStarts         bool // direct starts of the refused owner arrive after the first heartbeat to the new owner
	taskRunMS           func(*emulator.Simulation, *emulator.Job, string) int64
}

var newOwnerScenarios = map[string]newOwnerScenario{
	"cut at the first message": {capacityPerOffering: 6, taskRunMS: taskRunsFor(70_000, 60_000)},
	"cut at the first renewal": {capacityPerOffering: 6, cutsAtRenewal: true, taskRunMS: taskRunsFor(70_000, 60_000)},
	"starts while the first heartbeat is in flight": {
		capacityPerOffering: 2,
		delayStarts:         true,
		taskRunMS: func(sim *emulator.Simulation, j *emulator.Job, _ string) int64 {
			if j.Spec.Class == "batch" {
				return 20_000 // so that machines are idle when the urgent jobs come
			}
			return 70_000
		},
	},
}

// newNewOwnerRun returns a simulation without jobs and faults.
func newNewOwnerRun(seed uint64, scenario newOwnerScenario) *newOwnerRun {
	params := newParams(10_000)
	params.Teams = map[string]scheduler.Team{"t0": {}}
	run := &newOwnerRun{
		scenario:      scenario,
		knowsOwner:    map[*emulator.Worker]bool{},
		isCut:         map[*emulator.Worker]bool{},
		delayedStarts: map[string][]scheduler.DirectCommand{},
	}
	options := emulator.Options{
		Seed:                seed,
		Members:             3,
		Types:               simTypes,
		CapacityPerOffering: scenario.capacityPerOffering,
		Params:              params,
		TaskRunMS:           scenario.taskRunMS,
	}
	options.InjectedFault.Heartbeat = func(hb *scheduler.Heartbeat) { run.deliverDelayedStarts(hb) }
	run.testSimulation = &testSimulation{Simulation: emulator.New(options), noRandomFaults: true}
	return run
}

// runNewOwner plays a scenario with one seed.
func runNewOwner(seed uint64, scenario newOwnerScenario) *newOwnerRun {
	run := newNewOwnerRun(9000+seed, scenario)
	run.TraceEnabled = *traceSeed == int(seed)
	run.submitLongJobs()
	for n := range urgentJobs {
		if scenario.delayStarts {
			run.After(delayedStartsFromMS+run.Rand.Int64N(700), func() { run.submitUrgentJob(longJobs + n) })
		}
	}
	run.After(ownerRefusedAtMS-1500, func() { run.owner = run.memberWithMostTasks() })
	run.After(ownerRefusedAtMS, func() { run.StartOutage(run.owner.Name, ownerRefusedForMS) })
	for n := range longJobs + urgentJobs {
		run.After(ownerRefusedAtMS+run.Rand.Int64N(100), func() { run.cancelThroughPeer(fmt.Sprintf("job-%06d", n)) })
	}
	run.OnWorkerMessage = run.observeMessage
	if scenario.delayStarts {
		run.Observer = run.observe
	}
	run.Run(newOwnerScenarioMS, func() bool { return false })
	return run
}

func (run *newOwnerRun) submitLongJobs() {
	for n := range longJobs {
		run.After(500+run.Rand.Int64N(8000), func() { run.Submit(emulator.NewJob(newLongJob(n, 1+run.Rand.IntN(10)))) })
	}
}

// submitUrgentJob submits a job whose tasks are started by direct commands.
func (run *newOwnerRun) submitUrgentJob(n int) {
	j := newLongJob(n, 1+run.Rand.IntN(3))
	j.Class, j.EstimateS, j.Priority = "quick", 6, scheduler.High
	run.Submit(emulator.NewJob(j))
}

// cancelThroughPeer cancels a job through a random peer of the refused owner.
func (run *newOwnerRun) cancelThroughPeer(id string) {
	j := run.Jobs[id]
	peer := run.randomMember()
	for peer == run.owner {
		peer = run.randomMember()
	}
	if j == nil || !j.Accepted || peer.Core == nil {
		return
	}
	j.CancelRequested = true
	requestedAt := run.Now
	peer.SendRequestDirect(scheduler.UserRequest{Kind: scheduler.CancelJob, ID: id}, func(resp scheduler.UserResponse) {
		run.ReceiveResponse(j, requestedAt, resp)
	})
}

// observeMessage cuts a machine with the first message under a new token, or with the first renewal of its lease.
func (run *newOwnerRun) observeMessage(worker *emulator.Worker, token uint64, renewsLease bool) {
	if run.Now < ownerRefusedAtMS || run.isCut[worker] {
		return
	}
	if token > worker.Agent.FencingToken() {
		run.knowsOwner[worker] = true
		if len(run.cancelledTasks(worker)) > 0 {
			run.exposed++
			run.measureCancelledTasks(worker)
		}
	}
	if run.knowsOwner[worker] && (renewsLease || !run.scenario.cutsAtRenewal) {
		run.cutMachine(worker)
	}
}

// cutMachine disconnects a machine from all members. Messages that have reached it are executed.
func (run *newOwnerRun) cutMachine(worker *emulator.Worker) {
	run.isCut[worker] = true
	run.partition(emulator.Partition{A: worker.Endpoint(), Until: run.Now + ownerRefusedForMS, DropsMessages: true})
}

// cancelledTasks returns the tasks on a machine whose jobs' cancellation was confirmed.
func (run *newOwnerRun) cancelledTasks(worker *emulator.Worker) (tasks []*platformfake.Task) {
	run.EachTaskOn(worker, func(t *platformfake.Task) {
		if run.Jobs[t.Job.ID].CancelConfirmedAt > 0 {
			tasks = append(tasks, t)
		}
	})
	return tasks
}

// measureCancelledTasks measures in steps of 50 ms how long cancelled tasks remain on a machine.
func (run *newOwnerRun) measureCancelledTasks(worker *emulator.Worker) {
	tasks := run.cancelledTasks(worker)
	for _, t := range tasks {
		run.longestMS = max(run.longestMS, run.Now-run.Jobs[t.Job.ID].CancelConfirmedAt)
	}
	if len(tasks) > 0 {
		run.After(50, func() { run.measureCancelledTasks(worker) })
	}
}

// observe finds the new owner, and takes the direct starts of the refused owner off the network.
func (run *newOwnerRun) observe(m *emulator.Member, outputs *scheduler.Outputs) {
	if run.Now < delayedStartsFromMS {
		return
	}
	if m == run.owner {
		run.delayStarts(outputs)
		return
	}
	for _, line := range outputs.Logs {
		if line.Message == "shard claimed" && line.Args[1] == run.owner.Name {
			run.newOwner = m
		}
	}
}

func (run *newOwnerRun) delayStarts(outputs *scheduler.Outputs) {
	var others []scheduler.DirectCommand
	for _, command := range outputs.DirectCommands {
		if len(command.Commands) == 0 {
			others = append(others, command)
			continue
		}
		run.delayedStarts[command.Machine] = append(run.delayedStarts[command.Machine], command)
	}
	outputs.DirectCommands = others
}

// deliverDelayedStarts delivers the held direct starts to a machine that has just sent a heartbeat to a new owner.
func (run *newOwnerRun) deliverDelayedStarts(hb *scheduler.Heartbeat) {
	worker := run.Workers[hb.Machine]
	if run.newOwner == nil || worker.MemberName(run.Simulation) != run.newOwner.Name {
		return
	}
	delayed := run.delayedStarts[hb.Machine]
	delete(run.delayedStarts, hb.Machine)
	run.After(1, func() {
		for _, command := range delayed {
			before := len(run.cancelledTasks(worker))
			worker.Agent.ApplyDirectCommand(worker.Clock(run.Simulation), command)
			run.lateStarts += max(0, len(run.cancelledTasks(worker))-before)
		}
	})
}

// newOwnerTotals adds up the runs of a scenario.
type newOwnerTotals struct {
	sync.Mutex
	played, exposed, lateStarts int
	longestMS                   int64
}

// addChecked adds a run and checks that it broke no rule.
func (totals *newOwnerTotals) addChecked(t *testing.T, run *newOwnerRun) {
	t.Helper()
	for _, line := range run.TraceLog {
		fmt.Println(line)
	}
	for rule, violation := range run.Violations {
		t.Errorf("%s: %s", rule, violation)
	}
	totals.Lock()
	defer totals.Unlock()
	totals.played++
	totals.exposed += run.exposed
	totals.lateStarts += run.lateStarts
	totals.longestMS = max(totals.longestMS, run.longestMS)
}

// check checks that the scenario occurs at least once for each seed, if all seeds were played.
func (totals *newOwnerTotals) check(t *testing.T, scenario newOwnerScenario) {
	t.Helper()
	t.Logf("%d seeds: %d machines with tasks of cancelled jobs were exposed, %d late starts",
		totals.played, totals.exposed, totals.lateStarts)
	t.Logf("their tasks were gone after %d ms at most", totals.longestMS)
	if uint64(totals.played) < *newOwnerSeeds {
		return
	}
	if totals.exposed < totals.played || scenario.delayStarts && totals.lateStarts < totals.played {
		t.Errorf("got %d machines and %d late starts, want at least one for each of %d seeds",
			totals.exposed, totals.lateStarts, totals.played)
	}
}

// Guards against ran_cancelled: the first message of a new owner renews the lease of a worker on which tasks of a
// cancelled job run or are about to start.
func TestFirstMessageOfNewOwnerExtendsNoCancelledTask(t *testing.T) {
	for name, scenario := range newOwnerScenarios {
		t.Run(name, func(t *testing.T) {
			var totals newOwnerTotals
			t.Cleanup(func() { totals.check(t, scenario) })
			for seed := range *newOwnerSeeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					totals.addChecked(t, runNewOwner(seed, scenario))
				})
			}
		})
	}
}

// runOwnerChanges plays refusals, restarts and hand-overs of owners in random order. Direct commands are late, and
// machines lose the network or hang at random messages.
func runOwnerChanges(seed uint64) *newOwnerRun {
	scenario := newOwnerScenario{capacityPerOffering: 3, taskRunMS: taskRunsFor(20_000, 60_000)}
	run := newNewOwnerRun(200_000+seed, scenario)
	run.TraceEnabled = *traceSeed == int(seed)
	run.submitLongJobs()
	for n := range urgentJobs {
		run.After(ownerRefusedAtMS-5000+run.Rand.Int64N(20_000), func() { run.submitUrgentJob(longJobs + n) })
	}
	run.After(ownerRefusedAtMS-1500, func() {
		run.owner = run.memberWithMostTasks()
		run.DelayCommands(0.4, newOwnerScenarioMS)
		run.DelayQueries(0.4, newOwnerScenarioMS)
	})
	run.After(ownerRefusedAtMS, func() { run.StartOutage(run.owner.Name, run.randomBetween(5000, ownerRefusedForMS)) })
	for n := range longJobs + urgentJobs {
		cancelAtMS := ownerRefusedAtMS + run.randomBetween(-1500, 18_000)
		run.After(cancelAtMS, func() { run.cancelThroughPeer(fmt.Sprintf("job-%06d", n)) })
	}
	for range run.Rand.IntN(4) {
		run.After(run.randomBetween(ownerRefusedAtMS, ownerRefusedAtMS+30_000), run.injectOwnerFault)
	}
	run.OnWorkerMessage = func(worker *emulator.Worker, _ uint64, renewsLease bool) {
		if run.Now < ownerRefusedAtMS || run.isCut[worker] || !renewsLease || run.Rand.IntN(25) > 0 {
			return
		}
		if len(run.cancelledTasks(worker)) > 0 {
			run.exposed++
			run.measureCancelledTasks(worker)
		}
		run.cutMachine(worker)
	}
	run.Run(newOwnerScenarioMS+20_000, func() bool { return false })
	return run
}

// injectOwnerFault restarts or refuses a random member, or delays its inputs.
func (run *newOwnerRun) injectOwnerFault() {
	m := run.randomMember()
	switch run.Rand.IntN(4) {
	case 0:
		m.Crash(run.randomBetween(200, 5000))
	case 1:
		run.StartOutage(m.Name, run.randomBetween(2000, 30_000))
	case 2:
		run.PauseMember(m, run.randomBetween(500, 9000))
	case 3:
		run.SampleLiveWorkers(0.3, func(worker *emulator.Worker) {
			worker.HangUntil = run.Now + run.randomBetween(500, 8000)
		})
	}
}

// Guards against ran_cancelled: owners change in any order while jobs are cancelled, and a machine loses the network
// after any renewal of its lease.
func TestCancelledTasksStopWithinBoundAcrossChangesOfOwner(t *testing.T) {
	var totals newOwnerTotals
	t.Cleanup(func() { totals.check(t, newOwnerScenario{}) })
	for seed := range *newOwnerSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			totals.addChecked(t, runOwnerChanges(seed))
		})
	}
}

// Guards against lost work after a claim: the network delays a share of the task queries and other direct commands
// while all members restart, and heartbeats that wait for a query are refused until leases end.
func TestLateTaskQueriesCostFewLeases(t *testing.T) {
	const (
		seeds          = 6
		lateShare      = 0.2
		maxRepeatShare = 0.02 // share of all starts
	)
	starts, repeatedStarts := 0, 0
	for seed := range uint64(seeds) {
		run := newNewOwnerRun(300_000+seed, newOwnerScenario{capacityPerOffering: 3, taskRunMS: taskRunsFor(60_000, 1)})
		run.submitLongJobs()
		for _, at := range []int64{30_000, 45_000, 60_000} {
			run.After(at, func() {
				for _, m := range run.Members {
					m.Crash(run.randomBetween(300, 3000))
				}
				run.DelayQueries(lateShare, 20_000)
				run.DelayCommands(lateShare, 20_000)
			})
		}
		run.Run(120_000, func() bool { return false })
		repeatedStarts += run.RepeatedStarts
		for _, j := range run.Jobs {
			for _, count := range j.StartCounts {
				starts += count
			}
		}
	}
	t.Logf("%d of %d starts were repeated", repeatedStarts, starts)
	if float64(repeatedStarts) > maxRepeatShare*float64(starts) {
		t.Errorf("got %d of %d starts repeated, want at most a share of %v", repeatedStarts, starts, maxRepeatShare)
	}
}
