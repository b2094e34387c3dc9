package emulator

import (
	"fmt"
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/scheduler"
)

// uncountedUsageRule is the rule that an owner never counts less than what a team's tasks use on its machines. It is
// the only check that reads the state of cores: it finds an uncounted task also where no limit is near.
const uncountedUsageRule = "uncounted_usage"

// checkTeamUsage compares what every member counts for the teams in its shards with the tasks on the machines. A
// paused member is left out, because it decides nothing.
func (sim *Simulation) checkTeamUsage() {
	if sim.ChecksDisabled || sim.SweepIntervalMS > 0 {
		return
	}
	for _, m := range sim.Members {
		if m.Core == nil || m.pausedUntil >= sim.Now {
			continue
		}
		for _, shard := range m.Core.ShardUsages(m.monotonicMS()) {
			sim.checkShardUsage(m, &shard)
		}
	}
}

// checkShardUsage compares what a member counts for the teams in a shard with the tasks on the shard's machines.
func (sim *Simulation) checkShardUsage(m *Member, shard *scheduler.ShardUsage) {
	usage := map[string]quota.Amounts{}
	for _, id := range shard.Machines {
		sim.EachTaskOn(sim.Workers[id], func(t *platformfake.Task) {
			usage[t.Job.Team] = usage[t.Job.Team].Add(amountsOf(t))
		})
	}
	for i := range shard.Teams {
		counted := &shard.Teams[i]
		if used := usage[counted.Team]; !counted.Total().Contains(used) {
			sim.recordViolation(uncountedUsageRule,
				"%s uses %v of shard %s; %s counts %v, up to %v on unreported machines and %v by orphans; on %s",
				counted.Team, used, shard.Shard, m.Name, counted.Used, counted.Unreported, counted.Orphaned,
				sim.undercountedMachines(m, shard, counted.Team))
		}
	}
}

// undercountedMachines lists the machines of a shard on which a team's tasks use more than the member's attempts.
func (sim *Simulation) undercountedMachines(m *Member, shard *scheduler.ShardUsage, team string) string {
	var machines []string
	for _, id := range shard.Machines {
		var used quota.Amounts
		sim.EachTaskOn(sim.Workers[id], func(t *platformfake.Task) {
			if t.Job.Team == team {
				used = used.Add(amountsOf(t))
			}
		})
		if counted := m.Core.MachineTeamUsage(id, team); !counted.Contains(used) {
			machines = append(machines, fmt.Sprintf("%s: %v of %v", id, counted, used))
		}
	}
	return strings.Join(machines, ", ")
}

// amountsOf returns what a task uses of its team's limit.
func amountsOf(t *platformfake.Task) quota.Amounts {
	return quota.Amounts{CPUs: t.Job.Request.CPUs, GPUs: t.Job.Request.GPUs}
}
