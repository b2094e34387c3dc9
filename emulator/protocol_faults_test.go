package emulator

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// runWithFault runs a scenario with one fault that begins after 20 s, and with crashes of members.
func runWithFault(seed uint64, inject func(*Simulation)) *Simulation {
	const bootS, capacity = 4, 6
	options := smallClusterOptions(seed, bootS, capacity)
	options.Params.Teams = map[string]scheduler.Team{"ops": {}}
	options.Params.Recovery, options.Params.Quota = true, true
	options.Params.Objectives = map[string][]scheduler.Objective{"quick": {{Kind: "wait", WithinS: 3}}}
	sim := New(options)
	for n := range 60 {
		sim.After(500+sim.Rand.Int64N(50_000), func() {
			sim.Submit(
				NewJob(
					scheduler.Job{
						ID:        fmt.Sprintf("job-%06d", n),
						Class:     "quick",
						Team:      "ops",
						Kind:      scheduler.Array,
						Priority:  scheduler.High,
						Tasks:     1 + sim.Rand.IntN(6),
						Request:   availability.Resources{CPUs: 4, MemoryGB: 8},
						Spot:      true,
						EstimateS: 5,
					},
				),
			)
		})
	}
	for i, m := range sim.Members {
		sim.After(25_000+int64(i)*9000, func() { m.Crash(1000) })
	}
	sim.After(20_000, func() { inject(sim) })
	sim.Run(90_000, func() bool { return false })
	return sim
}

const faultMS = 40_000

// faultSeeds are the seeds that each fault is played with. On a single one, a rare fault takes effect
// once or ten times, depending on unrelated events.
var faultSeeds = []uint64{3, 4, 5, 6, 7, 8, 9, 10}

// TestFaultsTakeEffectAndBreakNoRule checks that each fault takes effect as often as required, on
// average over the seeds, and that no rule is violated under it.
func TestFaultsTakeEffectAndBreakNoRule(t *testing.T) {
	for name, c := range map[string]struct {
		inject   func(*Simulation)
		count    func(*Simulation) int
		minCount int
	}{
		"responses are lost": {
			func(sim *Simulation) { sim.LoseResponses(0.3, faultMS) },
			func(sim *Simulation) int { return sim.LostResponseCount }, 20,
		},
		"transactions are applied late": {
			func(sim *Simulation) { sim.DelayWrites(0.3, faultMS) },
			func(sim *Simulation) int { return sim.LateWriteCounts["l/j/"] + sim.LateWriteCounts["p/"] }, 5,
		},
		"heartbeats are replayed": {
			func(sim *Simulation) { sim.ReplayHeartbeats(0.3, faultMS) },
			func(sim *Simulation) int { return sim.DuplicateCounts["all"] }, 20,
		},
		"heartbeats are replayed at the next claim": {
			func(sim *Simulation) { sim.ReplayHeartbeatsAtClaim(0.5, faultMS) },
			func(sim *Simulation) int { return sim.DuplicateCounts["at a claim"] }, 50,
		},
		"heartbeats arrive after a new owner acted": {
			func(sim *Simulation) { sim.DelayHeartbeatsUntilNewOwnerActs(0.2, faultMS) },
			func(sim *Simulation) int { return sim.DuplicateCounts["after a new owner acted"] }, 20,
		},
		"commands arrive late": {
			func(sim *Simulation) { sim.DelayCommands(0.5, faultMS) },
			func(sim *Simulation) int { return sim.DuplicateCounts["late commands"] }, 3,
		},
		"machines cannot connect to members": {
			func(sim *Simulation) {
				sim.SampleLiveWorkers(0.9, func(worker *Worker) { sim.PartitionOutbound(worker, faultMS) })
			},
			func(sim *Simulation) int { return sim.FailedConnections }, 10,
		},
		"jobs are cancelled together, machines hang": {
			func(sim *Simulation) { sim.CancelRunningJobs(4, 5000) },
			func(sim *Simulation) int { return min(sim.countCancelledJobs(), sim.countHungWorkers()) }, 1,
		},
		"jobs are cancelled as they end": {
			func(sim *Simulation) { sim.CancelAtEnd(1, faultMS) },
			(*Simulation).countCancelledJobs, 10,
		},
		"users send invalid requests": {
			func(sim *Simulation) { sim.SendInvalidRequests(faultMS) },
			func(sim *Simulation) int { return sim.invalidJobCount }, 20,
		},
		"users query all members concurrently": {
			func(sim *Simulation) { sim.ReadConcurrently(faultMS) },
			func(sim *Simulation) int { return sim.ConcurrentReads }, 20,
		},
		"a zone is partitioned with a member": {
			func(sim *Simulation) { sim.PartitionZoneWithMember("a", sim.Members[1], 12_000, true) },
			func(sim *Simulation) int { return len(sim.Partitions) }, 5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			count := 0
			for _, seed := range faultSeeds {
				sim := runWithFault(seed, c.inject)
				for rule, violation := range sim.Violations {
					t.Errorf("seed %d: %s: %s", seed, rule, violation)
				}
				count += c.count(sim)
			}
			if minCount := c.minCount * len(faultSeeds); count < minCount {
				t.Errorf("the fault took effect %d times, want at least %d", count, minCount)
			}
		})
	}
}

func (sim *Simulation) countCancelledJobs() int {
	n := 0
	for _, j := range sim.Jobs {
		if j.CancelRequested {
			n++
		}
	}
	return n
}

func (sim *Simulation) countHungWorkers() int {
	n := 0
	for _, worker := range sim.Workers {
		if worker.HangUntil > 0 {
			n++
		}
	}
	return n
}

// TestOutboundPartitionedWorkerTakesCommands checks that heartbeats of a machine with an outbound
// partition reach no member, while direct commands reach the machine.
func TestOutboundPartitionedWorkerTakesCommands(t *testing.T) {
	const token = 1 << 60
	var partitioned *Worker
	sim := runWithFault(4, func(sim *Simulation) {
		sim.SampleLiveWorkers(1, func(worker *Worker) {
			if partitioned != nil {
				return
			}
			partitioned = worker
			sim.PartitionOutbound(worker, faultMS)
			sim.After(1000, func() {
				acknowledgedAt, m := worker.AcknowledgedAt, sim.Members[0]
				sim.runDirectCommand(
					m,
					m.epoch,
					worker,
					scheduler.DirectCommand{
						Machine:     worker.Instance.ID,
						Incarnation: worker.Agent.Incarnation,
						Token:       token,
					},
				)
				if got := worker.Agent.Heartbeat().Token; got != token {
					t.Errorf("direct command not applied: got token %d, want %d", got, uint64(token))
				}
				sim.After(10_000, func() {
					if worker.AcknowledgedAt != acknowledgedAt || worker.Agent.Incarnation == 1 {
						t.Errorf("last acknowledged at %d ms, incarnation %d; want %d ms and a new incarnation",
							worker.AcknowledgedAt, worker.Agent.Incarnation, acknowledgedAt)
					}
				})
			})
		})
	})
	if partitioned == nil || sim.FailedConnections == 0 {
		t.Errorf("got %d failed connections, want at least one", sim.FailedConnections)
	}
}
