package scheduler

import (
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/quota"
)

// guaranteeStatus is the set of live jobs that are within their teams' guarantees, and the total
// request of each team's live jobs. It is computed on demand after the live jobs have changed.
type guaranteeStatus struct {
	valid          bool
	guaranteedJobs map[string]bool
	requestsByTeam map[string]quota.Amounts
}

func guaranteeOf(t Team) quota.Amounts { return quota.Amounts{CPUs: t.CPUs, GPUs: t.GPUs} }

// totalRequest returns the amounts of all tasks of a job that count against limits and guarantees.
func totalRequest(j *Job) quota.Amounts {
	return amountsOf(j.Request).Scale(float64(j.Tasks))
}

// isWithinGuarantee reports whether a job is within its team's guarantee, based on the jobs in the
// cache. A job that is not accepted yet counts as the team's newest.
func (qm *quotaManager) isWithinGuarantee(j *Job) bool {
	guarantee := guaranteeOf(qm.params.Teams[j.Team])
	if guarantee == (quota.Amounts{}) {
		return false
	}
	if !qm.guaranteeStatus.valid {
		qm.guaranteeStatus = qm.computeGuaranteeStatus()
	}
	status := &qm.guaranteeStatus
	if qm.cache.jobs[j.ID] != nil {
		return status.guaranteedJobs[j.ID]
	}
	return guarantee.Contains(status.requestsByTeam[j.Team].Add(totalRequest(j)))
}

func (qm *quotaManager) computeGuaranteeStatus() guaranteeStatus {
	byTeam := map[string][]quota.Job{}
	for id, o := range qm.cache.jobs {
		team := o.rec.Job.Team
		if guaranteeOf(qm.params.Teams[team]) == (quota.Amounts{}) {
			continue
		}
		job := quota.Job{ID: id, AcceptedMS: o.rec.AcceptedAtMS, Size: totalRequest(&o.rec.Job)}
		byTeam[team] = append(byTeam[team], job)
	}
	status := guaranteeStatus{true, map[string]bool{}, map[string]quota.Amounts{}}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, quota.Job.Compare) // floating-point sums depend on the order
		for id := range quota.JobsWithinGuarantee(guaranteeOf(qm.params.Teams[team]), jobs) {
			status.guaranteedJobs[id] = true
		}
		for _, job := range jobs {
			status.requestsByTeam[team] = status.requestsByTeam[team].Add(job.Size)
		}
	}
	return status
}

// amountsOf returns the amounts of a request that count against limits and guarantees.
func amountsOf(r availability.Resources) quota.Amounts {
	return quota.Amounts{CPUs: r.CPUs, GPUs: r.GPUs}
}

// localUsage returns a team's usage in this member's shards, without tasks that are being stopped
// for a guarantee.
func (qm *quotaManager) localUsage(team string) (usage quota.Amounts) {
	for _, s := range sortedByKey(qm.shards.ownedShards) {
		usage = usage.Add(amountsOf(s.usage[team])).Sub(s.reclaimedUsage[team])
	}
	return usage.Max(quota.Amounts{})
}

// localUsageByTeam returns the usage of teams in this member's shards, and the requests of their
// waiting tasks there.
func (qm *quotaManager) localUsageByTeam() (usage, waiting map[string]quota.Amounts) {
	usage, waiting = map[string]quota.Amounts{}, map[string]quota.Amounts{}
	for _, s := range sortedByKey(qm.shards.ownedShards) {
		for team := range s.usage {
			if teamUsage := qm.localUsage(team); teamUsage != (quota.Amounts{}) {
				usage[team] = teamUsage
			}
		}
		for _, tr := range s.taskRanges {
			n := tr.pending()
			if n <= 0 {
				continue
			}
			j := &tr.job.rec.Job
			waiting[j.Team] = waiting[j.Team].Add(amountsOf(j.Request).Scale(float64(n)))
		}
	}
	return usage, waiting
}

// clusterUsage returns the usage of teams with running or waiting work, over this member and all
// peers with a recent usage snapshot.
func (qm *quotaManager) clusterUsage() map[string]quota.Amounts {
	localUsage, localWaiting := qm.localUsageByTeam()
	since := qm.peerMessagesSince()
	usage := map[string]quota.Amounts{}
	for team := range qm.params.Teams {
		peerUsage, peerWaiting, _ := qm.usageMonitor.PeerUsage(team, qm.now.MonotonicMS, since)
		teamUsage, waiting := peerUsage.Add(localUsage[team]), peerWaiting.Add(localWaiting[team])
		if teamUsage != (quota.Amounts{}) || waiting != (quota.Amounts{}) {
			usage[team] = teamUsage
		}
	}
	return usage
}

// peerMessagesSince returns the monotonic time before which messages of peers are too old to count.
func (qm *quotaManager) peerMessagesSince() int64 {
	return qm.now.MonotonicMS - qm.cache.maxMessageAgeMS()
}

// assignQuotaTiers sets the quota tier of each group that is not within its team's guarantee. The
// tier is how far the team's usage exceeds the guarantee; usage includes all members and the groups
// before it in this shard. Capacity beyond the guarantees thus goes to the teams that use the least,
// not to those that request first or most. It reports whether any two tiers differ.
func (qm *quotaManager) assignQuotaTiers(groups []*taskGroup) bool {
	usage := qm.clusterUsage()
	if len(usage) < 2 {
		return false
	}
	capacity := qm.liveCapacity()
	differ := false
	for _, g := range groups {
		team := g.job.Team
		if !g.WithinGuarantee {
			g.QuotaTier = quota.Tier(usage[team], guaranteeOf(qm.params.Teams[team]), capacity, len(usage))
		}
		usage[team] = usage[team].Add(amountsOf(g.job.Request).Scale(float64(g.Remaining)))
		differ = differ || g.QuotaTier != groups[0].QuotaTier
	}
	return differ
}

// capacitySnapshot is the capacity of all live machines at a point in time.
type capacitySnapshot struct {
	takenAt int64 // monotonic milliseconds; 0: never
	total   quota.Amounts
}

// liveCapacity returns the capacity of all live machines of all members, at most one summary
// interval old. Computing it for each plan meant a pass over the whole fleet several times a second.
// Shares of the capacity need not be more exact.
func (qm *quotaManager) liveCapacity() quota.Amounts {
	takenAt, now := qm.capacitySnapshot.takenAt, qm.now.MonotonicMS
	if takenAt == 0 || now-takenAt > secondsToMS(qm.cache.settings.SummaryS) {
		qm.capacitySnapshot = capacitySnapshot{now, qm.computeLiveCapacity()}
	}
	return qm.capacitySnapshot.total
}

func (qm *quotaManager) computeLiveCapacity() (total quota.Amounts) {
	countByType := map[string]int{}
	for _, mc := range qm.registry.machines {
		if mc.Up {
			countByType[mc.rec.Type]++
		}
	}
	for name, n := range sortedByKey(countByType) { // floating-point sums depend on the order
		if t := qm.cache.machineTypes[name]; t != nil {
			total = total.Add(amountsOf(t.Resources).Scale(float64(n)))
		}
	}
	return total
}

// usageSnapshot returns the usage of teams in this member's shards, as sent to peers. It is empty
// without authority, because this member's view of the teams may then be incomplete.
func (qm *quotaManager) usageSnapshot() quota.UsageSnapshot {
	if !qm.store.hasAuthority() {
		return quota.UsageSnapshot{}
	}
	usage, waiting := qm.localUsageByTeam()
	return qm.usageMonitor.Snapshot(qm.now.WallMS, usage, waiting)
}
