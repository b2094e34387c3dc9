package scheduler

import (
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// machine is a machine of the fleet. The fields after registryKey are known only to the member that
// owns the machine's shard, and were learned under claim.
type machine struct {
	id          string
	rec         *registryRecord // shared by all machines of the registry page
	registryKey string          // key of the registry page

	*reconcile.Machine
	claim *shard
	addr  string // address of the worker, as last reported

	machineCondition
	machineLoad
	machineDispatch
}

// machineCondition is the state of a machine that may prevent starts on it.
type machineCondition struct {
	terminatesAt     int64           // monotonic ms at which a spot termination notice expires; 0: no notice
	fullUntil        int64           // monotonic ms; no starts before: the worker refused one for lack of resources
	startUndelivered bool            // the last start in a heartbeat response did not reach the worker
	failedJobs       map[string]bool // jobs whose errors may be caused by the machine
	everReconciled   bool            // it was reconciled under this claim
	cordoned         bool            // it accepts no more starts, because of an operator's setting or a rollout
	releasing        bool            // it is draining: its release by the leader is requested
}

// acceptsStarts reports whether no condition prevents a start now.
func (mc *machineCondition) acceptsStarts(monotonicMS int64) bool {
	return !mc.releasing && !mc.cordoned && mc.terminatesAt == 0 && monotonicMS >= mc.fullUntil
}

// machineLoad is the attempts on a machine and the resources that they use. Loops iterate over
// byKey, whose order is deterministic.
type machineLoad struct {
	attempts         map[attemptKey]*attempt
	byKey            []*attempt             // the attempts sorted by key
	liveAttemptCount int                    // attempts that have not exited
	usage            availability.Resources // resources of the live attempts
	orphans          []attemptKey           // attempts on it that this claim did not adopt and that still have to stop
	reportedUsage    availability.Resources // usage of the live attempts in the last report
	reportedTasks    int                    // attempts in the last report, including exited ones
	imageCache       *planner.ImageCache    // nil: this member does not own the machine's shard
	idleSince        int64                  // monotonic ms since which no attempt is live
}

// add indexes an attempt. Its resources are counted by allocate.
func (load *machineLoad) add(a *attempt) {
	if load.attempts == nil {
		// Most machines in the cache are owned by other members and have no attempts here.
		load.attempts = map[attemptKey]*attempt{}
	}
	load.attempts[a.key] = a
	at, ok := slices.BinarySearchFunc(load.byKey, a.key, (*attempt).compare)
	if ok {
		load.byKey[at] = a
		return
	}
	load.byKey = slices.Insert(load.byKey, at, a)
}

func (load *machineLoad) remove(a *attempt) {
	delete(load.attempts, a.key)
	if at, ok := slices.BinarySearchFunc(load.byKey, a.key, (*attempt).compare); ok {
		load.byKey = slices.Delete(load.byKey, at, at+1)
	}
}

func (load *machineLoad) allocate(request availability.Resources) {
	load.liveAttemptCount++
	load.usage = load.usage.Add(request)
}

func (load *machineLoad) release(request availability.Resources, monotonicMS int64) {
	load.liveAttemptCount--
	load.usage = load.usage.Sub(request)
	if load.liveAttemptCount == 0 {
		load.usage = availability.Resources{} // removes the accumulated rounding errors
		load.idleSince = monotonicMS
	}
}

// machineDispatch is the starts and commands to be sent to a machine's worker.
type machineDispatch struct {
	plannedStarts        []plannedStart
	reservation          *reservation
	commands             []Command             // pending for the next heartbeat response or direct command
	directCommandRefused bool                  // a direct command was refused: none is sent until the next heartbeat
	pendingCommand       *pendingDirectCommand // the direct command that is unanswered; nil: none
}

// plannedStart is a number of tasks of one range that the plan starts on a machine now.
type plannedStart struct {
	taskRange             *taskRange
	count                 int
	runtimeMS             int64
	fetchMS               int64
	canMeetStartObjective bool // at the plan, it could still meet a start objective or guarantee; not paced
}

func (mc *machine) compare(id string) int { return strings.Compare(mc.id, id) }

// isSchedulable reports whether starts may be sent to the machine. While the ledger of unreachable
// machines has an entry for it, no other task may start there, because the next owner of the shard
// relies on the entry.
func (am *agentManager) isSchedulable(mc *machine) bool {
	if !mc.acceptsStarts(am.now.MonotonicMS) || mc.State() == reconcile.LeaseExpired || mc.IsInboundPartitioned() {
		return false
	}
	if am.cache.machineTypes[mc.rec.Type] == nil {
		return false
	}
	if mc.claim == nil {
		return true
	}
	_, recorded := mc.claim.reconciler.Ledger.Entry(mc.id)
	return !recorded
}

// nonNegative returns resources with negative CPUs, GPUs and memory replaced by 0.
func nonNegative(r availability.Resources) availability.Resources {
	r.CPUs, r.GPUs, r.MemoryGB = max(0, r.CPUs), max(0, r.GPUs), max(0, r.MemoryGB)
	return r
}

// fetchTime is how long a machine takes to fetch the image of a job, in milliseconds; 0 if the
// image is cached.
func (am *agentManager) fetchTime(j *Job, mc *machine, t *MachineType) int64 {
	if t == nil || mc.imageCache.Has(j.Image) {
		return 0
	}
	return am.cache.imageFetchMS(j, t.Name)
}

// freeResources returns the resources of a machine that neither its live attempts nor its orphaned tasks may use.
func (am *agentManager) freeResources(mc *machine) availability.Resources {
	return resourcesOf(am.cache.machineTypes[mc.rec.Type]).Sub(mc.usage).Sub(am.maxOrphanedUsage(mc))
}

// hasUnconfirmedStart reports whether a machine was sent another start after one that did not reach
// its worker, and the worker has not reported that start yet. Until it does, the machine receives no
// further starts: its heartbeats arrive, but the responses may be lost. Without this limit, the tasks
// planned there waited for a heartbeat each time, only to be started again.
func (mc *machine) hasUnconfirmedStart() bool {
	if !mc.startUndelivered {
		return false
	}
	for _, a := range mc.byKey {
		if !a.observed && !a.exited {
			return true
		}
	}
	return false
}

// mayHaveTasks reports whether an unreported machine (see shard) may run tasks of a range. With a
// ledger entry it may run only the ranges that the entry lists, otherwise any range that may use
// its instance offering.
func (s *shard) mayHaveTasks(mc *machine, tr *taskRange) bool {
	if entry, recorded := s.reconciler.Ledger.Entry(mc.id); recorded {
		return slices.Contains(entry.Ranges, tr.name())
	}
	j := &tr.job.rec.Job
	if mc.rec.Spot && !j.Spot || j.Zone != "" && j.Zone != mc.rec.Zone {
		return false
	}
	return len(j.Types) == 0 || slices.Contains(j.Types, mc.rec.Type)
}
