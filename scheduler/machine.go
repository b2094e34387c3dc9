package scheduler

import (
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// machine is a machine of the fleet. What follows registryKey is known only to the member that owns the
// machine's shard, and was learnt under claim.
type machine struct {
	id          string
	rec         *registryRecord // shared by all machines of the registry page
	registryKey string          // the page's key

	*reconcile.Machine
	claim *shard
	addr  string // of the worker, as it last reported

	machineCondition
	machineLoad
	machineDispatch
}

// machineCondition is what speaks against work on a machine.
type machineCondition struct {
	terminatesAt     int64           // monotonic ms at which a spot termination notice ends; 0: none
	fullUntil        int64           // monotonic ms; no starts before (it refused one for want of room)
	startUndelivered bool            // the last start that went with a heartbeat's answer did not reach it
	failedJobs       map[string]bool // jobs whose errors may be the machine's
	everReconciled   bool            // was reconciled under this claim
	cordoned         bool            // takes no more starts, by an operator's wish or a rollout's
	releasing        bool            // the leader is asked to release it
	orphanedTasks    int             // tasks on it that are not ours to keep and not gone yet
}

// acceptsStarts reports whether nothing of the condition forbids a start now.
func (mc *machineCondition) acceptsStarts(monotonicMS int64) bool {
	return !mc.releasing && !mc.cordoned && mc.terminatesAt == 0 && monotonicMS >= mc.fullUntil
}

// machineLoad is what is on a machine. Loops go over byKey, which gives the same order each time.
type machineLoad struct {
	attempts         map[attemptKey]*attempt
	byKey            []*attempt             // the attempts in order of their keys
	liveAttemptCount int                    // attempts that are not over
	usage            availability.Resources // of the live attempts
	imageCache       *planner.ImageCache    // nil: the machine is not of an owned shard
	idleSince        int64                  // monotonic ms since when no attempt is live
}

// add indexes an attempt, whose resources allocate counts.
func (load *machineLoad) add(a *attempt) {
	if load.attempts == nil {
		// Most machines of the cache are other members', which run nothing here.
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
		load.usage = availability.Resources{} // without the rounding errors of many sums
		load.idleSince = monotonicMS
	}
}

// machineDispatch is what is to go to a machine's worker.
type machineDispatch struct {
	plannedStarts        []plannedStart
	reservation          *reservation
	commands             []Command // gathered for the next answer or direct command
	directCommandRefused bool      // no direct command until the next heartbeat
	directCommandPending bool      // a direct command is unanswered
}

// plannedStart is a start that the plan wants on a machine now.
type plannedStart struct {
	taskRange         *taskRange
	count             int
	runtimeMS         int64
	fetchMS           int64
	hasStartObjective bool // a start objective or a guarantee waits for it
}

func (mc *machine) compare(id string) int { return strings.Compare(mc.id, id) }

// isSchedulable reports whether starts may go to the machine. While the ledger has an entry of what it runs,
// nothing else may start: whoever claims its shard next relies on the entry.
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

// fetchTime is how long the job's image takes to come to a machine, in milliseconds; 0 if it is there.
func (am *agentManager) fetchTime(j *Job, mc *machine, t *MachineType) int64 {
	if t == nil || mc.imageCache.Has(j.Image) {
		return 0
	}
	return am.cache.imageFetchMS(j, t.Name)
}

// freeResources is what a machine's live attempts leave of it.
func (am *agentManager) freeResources(mc *machine) availability.Resources {
	return resourcesOf(am.cache.machineTypes[mc.rec.Type]).Sub(mc.usage)
}

// hasUnconfirmedStart reports whether a machine that a start did not reach is being tried with another one.
// Its heartbeats arrive, but it gets no more work than that: what was planned there waited for a heartbeat
// each time, to be started anew.
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

// resetOrphanCount counts a machine's orphaned tasks from none again.
func (s *shard) resetOrphanCount(mc *machine) {
	if mc.orphanedTasks > 0 {
		mc.orphanedTasks = 0
		s.machinesWithOrphans--
	}
}

// mayHaveTasks reports whether an unreported machine may have tasks of a range: those that the ledger names,
// or without an entry any that the machine's offering allows.
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
