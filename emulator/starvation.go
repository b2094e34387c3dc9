package emulator

import (
	"maps"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// After the end of all faults, no job may remain waiting while a suitable machine has capacity and
// the job's team is below its limit. The check uses the tasks on the machines, not the state of
// members.

const (
	maxStarvationMS         = 90_000
	progressCheckIntervalMS = 1000
)

// workerUsage is the free capacity of a machine, and the images that its tasks use.
type workerUsage struct {
	worker *Worker
	free   availability.Resources // without disk space, which images use
	images map[string]float64     // size in GB, by image
}

// jobPlacement is the placement of a job's tasks, including those that wait for their image.
type jobPlacement struct {
	tasks map[string]bool
	zones map[string]int
}

// clusterUsage is the usage of all machines at one point in time.
type clusterUsage struct {
	machines []workerUsage
	jobs     map[string]*jobPlacement
	teams    map[string]availability.Resources
}

// measureUsage measures all machines. Faulty machines, and those with a termination notice, are not
// listed as capacity, but their tasks count.
func (sim *Simulation) measureUsage() *clusterUsage {
	usage := &clusterUsage{jobs: map[string]*jobPlacement{}, teams: map[string]availability.Resources{}}
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		if worker.Gone || !worker.Up || worker.Agent.IsLeaseExpired(worker.Clock(sim)) {
			continue
		}
		occupancy := workerUsage{
			worker: worker,
			free:   withoutImage(worker.machineType.Resources),
			images: map[string]float64{},
		}
		for _, t := range worker.Agent.Tasks() {
			if t.State != "exited" {
				occupancy.addTask(t)
				usage.addTask(worker, t)
			}
		}
		if worker.Agent.NoticeS == nil && (sim.IsFaulty == nil || !sim.IsFaulty(worker)) {
			usage.machines = append(usage.machines, occupancy)
		}
	}
	return usage
}

// withoutImage sets disk space to 0: an image is stored once for all tasks that use it.
func withoutImage(r availability.Resources) availability.Resources {
	r.DiskGB = 0
	return r
}

func (usage *workerUsage) addTask(t *platformfake.Task) {
	usage.free = usage.free.Sub(withoutImage(t.Job.Request))
	usage.images[t.Job.Image] = t.Job.Request.DiskGB
}

func (usage *clusterUsage) addTask(worker *Worker, t *platformfake.Task) {
	placement := usage.jobs[t.Job.ID]
	if placement == nil {
		placement = &jobPlacement{tasks: map[string]bool{}, zones: map[string]int{}}
		usage.jobs[t.Job.ID] = placement
	}
	if !placement.tasks[t.Name] {
		placement.tasks[t.Name] = true
		placement.zones[worker.Instance.Zone]++
	}
	usage.teams[t.Job.Team] = usage.teams[t.Job.Team].Add(t.Job.Request)
}

// fittingCopies returns how many tasks of a job fit on the machine, at most limit.
func (usage *workerUsage) fittingCopies(j *scheduler.Job, limit int) int {
	instance := usage.worker.Instance
	if instance.Spot && !j.Spot || j.Zone != "" && j.Zone != instance.Zone ||
		len(j.Types) > 0 && !slices.Contains(j.Types, instance.Type) {
		return 0
	}
	if _, cached := usage.images[j.Image]; !cached {
		cacheGB := j.Request.DiskGB
		// Sorted, because the order of additions affects a floating-point sum.
		for _, image := range slices.Sorted(maps.Keys(usage.images)) {
			cacheGB += usage.images[image]
		}
		if cacheGB > usage.worker.machineType.Resources.DiskGB {
			return 0 // images in use leave too little space in the cache
		}
	}
	return usage.free.MaxCopies(withoutImage(j.Request), limit)
}

// findStartWorker reports whether a job's next task, or all missing tasks of a gang, could start
// now, and returns a machine on which one could.
func (usage *clusterUsage) findStartWorker(j *Job, limit scheduler.Team) (machine string, ok bool) {
	job := &j.Spec
	placement := usage.jobs[job.ID]
	if placement == nil {
		placement = &jobPlacement{}
	}
	waiting := job.Tasks - len(j.DoneTasks)
	for task := range placement.tasks {
		if !j.DoneTasks[task] {
			waiting--
		}
	}
	if waiting <= 0 {
		return "", false
	}
	required := 1
	if job.Kind == scheduler.Gang {
		required = waiting
	}
	used, copies := usage.teams[job.Team], float64(required)
	if limit.MaxCPUs > 0 && used.CPUs+copies*job.Request.CPUs > limit.MaxCPUs ||
		limit.MaxGPUs > 0 && used.GPUs+copies*job.Request.GPUs > limit.MaxGPUs {
		return "", false
	}
	// zoneLimit returns how many more tasks the job may have in a zone.
	zoneLimit := func(zone string) int {
		switch {
		case job.OneZone && len(placement.zones) > 0 && placement.zones[zone] == 0:
			return 0
		case job.Spread:
			return max(0, (job.Tasks+1)/2-placement.zones[zone])
		}
		return math.MaxInt
	}
	zones := map[string]int{}
	total := 0
	for i := range usage.machines {
		candidate := &usage.machines[i]
		zone := candidate.worker.Instance.Zone
		copies := candidate.fittingCopies(job, min(required, zoneLimit(zone)-zones[zone]))
		if copies <= 0 {
			continue
		}
		zones[zone] += copies
		total += copies
		if job.OneZone && zones[zone] >= required || !job.OneZone && total >= required {
			return candidate.worker.Instance.ID, true
		}
	}
	return "", false
}

// isQuiescent reports whether no fault is active, including faults of machines.
func (sim *Simulation) isQuiescent() bool {
	if sim.hasActiveFault() || sim.commandDelays.until > sim.Now || sim.claimReplays.until > sim.Now {
		return false
	}
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		if !worker.Gone &&
			max(
				worker.HangUntil,
				worker.inboundPartitionedUntil,
				worker.outboundPartitionedUntil,
				worker.commandsDelayedUntil,
				worker.commandResultsDelayedUntil,
			) > sim.Now {
			return false
		}
	}
	return true
}

// checkProgress checks periodically that no unfinished job waits too long although it could start.
// The wait of a job is reset when one of its tasks starts, or when none could start.
func (sim *Simulation) checkProgress() {
	sim.After(progressCheckIntervalMS, sim.checkProgress)
	if !sim.isQuiescent() {
		sim.startableSince = map[string]int64{}
		return
	}
	usage := sim.measureUsage()
	teams := sim.Params.Teams
	if sim.UpdatedTeams != nil {
		teams = sim.UpdatedTeams
	}
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		machine, canStart := "", false
		if j.Accepted && j.isUnfinished() {
			machine, canStart = usage.findStartWorker(j, teams[j.Spec.Team])
		}
		since, isWaiting := sim.startableSince[id]
		if canStart && isWaiting {
			sim.LongestStarvationMS = max(sim.LongestStarvationMS, sim.Now-since)
		}
		switch {
		case !canStart:
			delete(sim.startableSince, id)
		case !isWaiting:
			sim.startableSince[id] = sim.Now
		case sim.Now-since > maxStarvationMS:
			sim.recordViolation(
				"left_waiting",
				"%s, %d of %d tasks done, waits for %d ms, while %s, for one, has room",
				id,
				len(j.DoneTasks),
				j.Spec.Tasks,
				sim.Now-since,
				machine,
			)
		}
	}
}
