package scheduler

import (
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// machine is a machine of the fleet. What follows rec is known only to the
// member that holds the machine's shard.
type machine struct {
	id          string
	rec         *registryRecord // shared by all machines of the roster
	registryKey string          // its key

	// How it stands under the claim by which the rest was learnt.
	*reconcile.Machine
	claim                *shard
	terminatesAt         int64 // steady time at which a spot notice ends; 0: none
	fullUntil            int64 // no starts before (it refused one for want of room)
	startUndelivered     bool  // the last start in a report's answer did not reach it
	failedJobs           map[string]bool
	attempts             map[attemptKey]*attempt
	byKey                []*attempt             // the attempts in order of their keys: loops over them give the same each time
	liveAttemptCount     int                    // attempts that are not over
	usage                availability.Resources // of them
	imageCache           *planner.ImageCache    // its images; nil: not of our shards
	idleSince            int64                  // steady time since when nothing runs
	plannedStarts        []plannedStart
	reservation          *reservation
	commands             []Command
	everReconciled       bool   // was squared under this claim
	cordoned             bool   // takes no more starts, by an operator's wish
	releasing            bool   // the lead is asked to return it
	addr                 string // as it last reported
	directCommandRefused bool   // it refused a direct command: none until it reports
	directCommandPending bool   // commands to the worker itself are under way
	orphanedTasks        int    // tasks on it that are not ours to keep and not gone yet
}

// plannedStart is a start that the plan wants on a machine now.
type plannedStart struct {
	taskRange         *taskRange
	count             int
	runtimeMS         int64
	fetchMS           int64
	hasStartObjective bool // a start aim or a guarantee waits for it
}

func (mc *machine) compare(id string) int { return strings.Compare(mc.id, id) }

// isSchedulable tells whether starts may go to the machine. While a note says what it
// holds, nothing else may: whoever claims its shard next goes by the note.
func (am *agentManager) isSchedulable(mc *machine) bool {
	if mc.releasing || mc.cordoned || mc.State() == reconcile.LeaseExpired || mc.IsInboundPartitioned() ||
		mc.terminatesAt != 0 ||
		am.now.MonotonicMS < mc.fullUntil ||
		am.cache.machineTypes[mc.rec.Type] == nil {
		return false
	}
	if mc.claim == nil {
		return true
	}
	_, recorded := mc.claim.reconciler.Ledger.Entry(mc.id)
	return !recorded
}

// fetchTime is how long the job's image takes on a machine, 0 if it is there.
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

// hasUnconfirmedStart tells whether a machine that did not hear of a start is trying another one. Its
// reports arrive, but it is not alive for more work than that: what was planned there
// waited for a report each time, to be started anew.
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

// mayHaveTasks tells whether an unseen machine may have tasks of a work.
func (am *agentManager) mayHaveTasks(s *shard, mc *machine, tr *taskRange) bool {
	if entry, recorded := s.reconciler.Ledger.Entry(mc.id); recorded {
		return slices.Contains(entry.Ranges, tr.name())
	}
	j := &tr.job.rec.Job
	return !(mc.rec.Spot && !j.Spot || j.Zone != "" && j.Zone != mc.rec.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, mc.rec.Type))
}
