package scheduler

import (
	"github.com/grebedock/grebedock/quota"
)

// teamUsage is an upper bound on what a team's tasks use on the machines of a shard, by what is known of them.
//
// Invariant: for each team and each ready shard with authority, the total is never less than what the team's tasks on
// the shard's machines use. A start adds to it before its command is sent. It falls only by evidence: a worker's report
// under the claim's token, a refused start, the end of a worker's lease, or a machine that no longer exists. No
// decision of this member lowers it.
type teamUsage struct {
	Attempts   quota.Amounts // of live attempts
	Unreported quota.Amounts // held back for machines that have sent no heartbeat under this claim
	Orphaned   quota.Amounts // held back for orphaned tasks
}

// total returns the upper bound.
func (usage teamUsage) total() quota.Amounts {
	return usage.Attempts.Add(usage.heldBack())
}

// heldBack returns the part that no known attempt uses.
func (usage teamUsage) heldBack() quota.Amounts { return usage.Unreported.Add(usage.Orphaned) }

// teamUsage returns the upper bound on a team's usage of a shard's machines. A machine that has not sent a heartbeat
// since the claim uses at most the amount of its entry in the ledger of unreachable machines, or without an entry its
// capacity. The team of an orphaned task is unknown, so what it may use counts for every team until it has ended.
func (qm *quotaManager) teamUsage(s *shard, team string) teamUsage {
	usage := teamUsage{Attempts: amountsOf(s.usage[team])}
	for _, unreported := range s.reconciler.Unreported() {
		if entry, recorded := s.reconciler.Ledger.Entry(unreported.ID); recorded {
			recordedUsage := entry.UsageByTeam[team]
			usage.Unreported = usage.Unreported.Add(quota.Amounts{CPUs: recordedUsage.CPUs, GPUs: recordedUsage.GPUs})
			continue
		}
		capacity := qm.cache.machineCapacity(qm.registry.machines[unreported.ID])
		usage.Unreported = usage.Unreported.Add(amountsOf(capacity))
	}
	if s.machinesWithOrphans == 0 {
		return usage
	}
	for _, mc := range s.machines {
		if mc.IsReconciled() {
			usage.Orphaned = usage.Orphaned.Add(amountsOf(qm.agents.maxOrphanedUsage(mc)))
		}
	}
	return usage
}

// checkAllocations warns when a machine's report shows that a team uses more of a shard than its allocation.
func (qm *quotaManager) checkAllocations(s *shard, mc *machine) {
	checked := ""
	for _, a := range mc.byKey {
		if team := a.job.Team; team != checked {
			checked = team
			qm.checkAllocation(s, team, mc)
		}
	}
}

// checkAllocation warns once while a team's live attempts use more of a shard than the team's allocation.
func (qm *quotaManager) checkAllocation(s *shard, team string, mc *machine) {
	allocation, settings, limited := qm.teamAllocation(s, team)
	if !limited {
		return
	}
	used := limitedUsage(settings, amountsOf(s.usage[team]))
	exceeds := !allocation.Contains(used)
	if exceeds && !s.overAllocation[team] {
		qm.Counters.OverAllocations++
		qm.log(Warn, "team uses more than its allocation", "team", team, "shard", s.name, "token", s.token,
			"used", used, "allocation", allocation, "machine", mc.id)
	}
	if exceeds {
		s.overAllocation[team] = true
	} else {
		delete(s.overAllocation, team)
	}
}

// limitedUsage returns the part of a usage to which a team's limit applies.
func limitedUsage(settings Team, used quota.Amounts) quota.Amounts {
	if settings.MaxCPUs <= 0 {
		used.CPUs = 0
	}
	if settings.MaxGPUs <= 0 {
		used.GPUs = 0
	}
	return used
}

// TeamShardUsage is a team's limit and allocation in a shard, and the upper bound on its usage of the shard's machines.
type TeamShardUsage struct {
	Team       string        `json:"team"`
	Limit      quota.Amounts `json:"limit"` // 0: no limit
	Allocation quota.Amounts `json:"allocation"`
	Used       quota.Amounts `json:"used"`       // by live attempts
	Unreported quota.Amounts `json:"unreported"` // held back for machines without a heartbeat since the claim
	Orphaned   quota.Amounts `json:"orphaned"`   // held back for tasks that this claim stops
}

// Total returns the upper bound on the team's usage.
func (usage *TeamShardUsage) Total() quota.Amounts {
	return usage.Used.Add(usage.Unreported).Add(usage.Orphaned)
}

// shardUsageOf returns a team's usage of a shard for operators.
func (qm *quotaManager) shardUsageOf(s *shard, team string) TeamShardUsage {
	usage := qm.teamUsage(s, team)
	allocation, settings, _ := qm.teamAllocation(s, team)
	return TeamShardUsage{
		Team:       team,
		Limit:      quota.Amounts{CPUs: settings.MaxCPUs, GPUs: settings.MaxGPUs},
		Allocation: allocation,
		Used:       usage.Attempts,
		Unreported: usage.Unreported,
		Orphaned:   usage.Orphaned,
	}
}

// ShardUsage is the upper bound on the teams' usage of a shard's machines, as simulations check it.
type ShardUsage struct {
	Shard    string
	Machines []string
	Teams    []TeamShardUsage
}

// ShardUsages returns the usage of the ready shards for which this member has authority at the given monotonic time.
func (c *Controller) ShardUsages(monotonicMS int64) []ShardUsage {
	if !c.store.storeAccess.HasAuthority(monotonicMS) {
		return nil
	}
	var usages []ShardUsage
	for name, s := range sortedByKey(c.shards.ownedShards) {
		if !s.ready || s.releasing {
			continue
		}
		shardUsage := ShardUsage{Shard: name}
		for _, mc := range s.machines {
			shardUsage.Machines = append(shardUsage.Machines, mc.id)
		}
		for team := range sortedByKey(c.params.Teams) {
			shardUsage.Teams = append(shardUsage.Teams, c.quotas.shardUsageOf(s, team))
		}
		usages = append(usages, shardUsage)
	}
	return usages
}

// MachineTeamUsage returns what a team's live attempts use on a machine, as far as this member knows.
func (c *Controller) MachineTeamUsage(machineID, team string) (usage quota.Amounts) {
	mc := c.registry.machines[machineID]
	if mc == nil {
		return quota.Amounts{}
	}
	for _, a := range mc.byKey {
		if !a.exited && a.job.Team == team {
			usage = usage.Add(amountsOf(a.job.Request))
		}
	}
	return usage
}
