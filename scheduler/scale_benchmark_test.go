package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
)

// newControllerWithFleet returns a member that owns a shard of busy machines and a backlog of jobs, for
// the benchmarks. At most two tasks run on each machine, and at least twenty tasks of each job wait.
func newControllerWithFleet(tb testing.TB, machines, jobs int) (*Controller, *shard) {
	tb.Helper()
	params := testParams("m0", "m1")
	params.Objectives = map[string][]Objective{
		"quick": {{Kind: "wait", WithinS: 3}},
		"batch": {{Kind: "finished", WithinS: 300}},
	}
	ctrl := New(params, 1, Now{1, 1})
	ctrl.cache.appliedRevision, ctrl.now = 10, Now{100_000, 100_000}
	ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
	ctrl.cache.setMachineTypes([]MachineType{
		{
			Name:           "small",
			Resources:      availability.Resources{CPUs: 8, MemoryGB: 64, DiskGB: 30},
			ImageFetchGBps: 1,
			BootS:          10,
			Zones:          []string{"a", "b"},
		},
		{
			Name:           "large",
			Resources:      availability.Resources{CPUs: 32, MemoryGB: 128, DiskGB: 50},
			ImageFetchGBps: 1,
			BootS:          10,
			Zones:          []string{"a"},
		},
	})
	s := ctrl.shards.newShard("m0", 7, 5)
	s.ready = true
	ctrl.shards.ownedShards["m0"] = s
	rng := rand.New(rand.NewPCG(1, 2))
	rev := uint64(20)
	put := func(key string, v any) {
		rev++
		ctrl.cache.applyChange(KeyValue{Key: key, Value: mustEncode(v), Rev: rev})
	}
	for i := range jobs {
		j := Job{
			ID:        fmt.Sprintf("job-%06d", i),
			Class:     "batch",
			Kind:      Array,
			Priority:  Normal,
			Tasks:     40,
			Spot:      true,
			EstimateS: 20 + 60*rng.Float64(),
			Request:   availability.Resources{CPUs: 4, MemoryGB: 14, DiskGB: 2},
			Image:     fmt.Sprintf("img-%d", i%10),
		}
		if i%3 == 0 {
			j.Class, j.Priority, j.DeadlineS = "quick", High, 60+60*rng.Float64()
		}
		put(jobKey(j.ID), jobRecord{Job: j, AcceptedAtMS: 90_000, Ranges: []Range{{Lo: 0, Hi: 40, Shard: "m0"}}})
	}
	for i := range machines {
		typeName := "small"
		if i%4 == 0 {
			typeName = "large"
		}
		id := fmt.Sprintf("i-%06d", i)
		page := registryRecord{Shard: "m0", Type: typeName, Zone: "a", Spot: i%2 == 0, MachineIDs: []string{id}}
		put(registryPrefix+id, page)
		put(liveMachinesPrefix+"m0/"+id, liveMachinesRecord{[]string{id}})
		mc := ctrl.registry.machines[id]
		s.reconciler.ReceiveHeartbeat(mc.Machine, ctrl.now.MonotonicMS, 1, 1, s.claimRev)
		mc.everReconciled = true
		for k := range 2 {
			if len(s.taskRanges) == 0 {
				break
			}
			tr := s.taskRanges[(2*i+k)%len(s.taskRanges)]
			if n := tr.nextTask(); n >= 0 && tr.assignedCount < 20 {
				start := taskStart{taskRange: tr, taskIndex: n, runtimeMS: 20_000 + rng.Int64N(40_000)}
				ctrl.agents.startTask(s, mc, &Heartbeat{Incarnation: 1, Seq: 1}, start)
			}
		}
	}
	return ctrl, s
}

var fleetSizes = []struct{ machines, jobs int }{{10, 10}, {100, 30}, {300, 100}, {300, 300}, {1500, 300}}

func BenchmarkPlan(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
			b.ReportAllocs()
			for b.Loop() {
				ctrl.placer.planShard(s)
			}
			b.ReportMetric(float64(s.planSteps), "steps")
		})
	}
}

// BenchmarkPlanSeveralRanges plans a fleet with one more job of 100,000 tasks, which has several ranges in the shard.
func BenchmarkPlanSeveralRanges(b *testing.B) {
	for name, constrain := range map[string]func(*Job){
		"no constraint": func(*Job) {},
		"one zone":      func(j *Job) { j.OneZone = true },
		"spread":        func(j *Job) { j.Spread = true },
	} {
		b.Run(name, func(b *testing.B) {
			ctrl, s := newControllerWithFleet(b, 300, 100)
			rec := jobRecord{Job: ctrl.cache.jobs["job-000001"].rec.Job, AcceptedAtMS: 90_000}
			rec.Job.ID, rec.Job.Tasks = "job-000412", 100_000
			constrain(&rec.Job)
			rec.Ranges = ctrl.peers.splitIntoRanges([]shardShare{{"m0", rec.Job.Tasks}}, "m0")
			putRecord(ctrl, jobKey(rec.Job.ID), rec, 90_000)
			b.ReportAllocs()
			for b.Loop() {
				ctrl.placer.planShard(s)
			}
			b.ReportMetric(float64(len(rec.Ranges)), "ranges")
		})
	}
}

// changingFleet is a fleet that changes by 1 % per step: a second passes, and the tasks of 1 % of the
// machines are replaced by new ones.
type changingFleet struct {
	ctrl  *Controller
	s     *shard
	rng   *rand.Rand
	steps int
}

func (fleet *changingFleet) step(b *testing.B, machines, jobs int) {
	if fleet.ctrl == nil || fleet.steps == 20 {
		fleet.ctrl, fleet.s = newControllerWithFleet(b, machines, jobs)
		fleet.rng, fleet.steps = rand.New(rand.NewPCG(3, 4)), 0
		fleet.ctrl.placer.planShard(fleet.s)
		fleet.ctrl.placer.availabilitySummary(fleet.s)
	}
	fleet.steps++
	fleet.ctrl.now.WallMS += 1000
	fleet.ctrl.now.MonotonicMS += 1000
	for range max(1, machines/100) {
		mc := fleet.s.machines[fleet.rng.IntN(len(fleet.s.machines))]
		for _, att := range mc.attempts {
			att.placedAt, att.expectedRuntimeMS = fleet.ctrl.now.WallMS, 20_000+fleet.rng.Int64N(40_000)
		}
	}
}

// BenchmarkPlanChanged measures a plan after a change of 1 % of the machines.
func BenchmarkPlanChanged(b *testing.B) { benchmarkChanged(b, true) }

// BenchmarkSummaryChanged measures the summary after such a plan.
func BenchmarkSummaryChanged(b *testing.B) { benchmarkChanged(b, false) }

func benchmarkChanged(b *testing.B, plan bool) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			var fleet changingFleet
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				fleet.step(b, c.machines, c.jobs)
				if plan {
					b.StartTimer()
					fleet.ctrl.placer.planShard(fleet.s)
					continue
				}
				fleet.ctrl.placer.planShard(fleet.s)
				b.StartTimer()
				fleet.ctrl.placer.availabilitySummary(fleet.s)
			}
		})
	}
}

// BenchmarkSummary also reports the capacity that the limits on functions and samples preserve. The
// metric is the share of the tasks in a summary without limits that the limited summary still offers.
// It is reported for tasks that must start now and for tasks with later deadlines.
func BenchmarkSummary(b *testing.B) {
	for _, c := range fleetSizes {
		for _, limit := range [][2]int{{125, 10}, {60, 10}, {30, 10}, {125, 4}} {
			b.Run(fmt.Sprintf("%dx%d/%dx%d", c.machines, c.jobs, limit[0], limit[1]), func(b *testing.B) {
				ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
				ctrl.placer.planShard(s)
				ctrl.cache.settings.Functions, ctrl.cache.settings.Samples = limit[0], limit[1]
				b.ReportAllocs()
				for b.Loop() {
					ctrl.placer.availabilitySummary(s)
				}
				b.ReportMetric(float64(len(ctrl.placer.availabilitySummary(s))), "functions")
				offered := func(functions, samples int, withinMS int64) float64 {
					ctrl.cache.settings.Functions, ctrl.cache.settings.Samples = functions, samples
					n := 0
					for _, f := range ctrl.placer.availabilitySummary(s) {
						request := availability.Resources{CPUs: 4, MemoryGB: 14}
						n += f.TaskCapacity(request, ctrl.now.WallMS+withinMS, 20_000, 1<<30)
					}
					return float64(n)
				}
				for _, withinMS := range []int64{25_000, 100_000, 400_000} {
					if unlimited := offered(1<<20, 1<<10, withinMS); unlimited > 0 {
						share := offered(limit[0], limit[1], withinMS) / unlimited
						b.ReportMetric(share, fmt.Sprintf("kept@%ds", withinMS/1000))
					}
				}
			})
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
			ctrl.placer.planShard(s)
			mc := s.machines[0]
			mc.plannedStarts = nil
			seq := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				hb := Heartbeat{
					Machine:     mc.id,
					Addr:        "x",
					Type:        mc.rec.Type,
					Zone:        "a",
					Spot:        mc.rec.Spot,
					Incarnation: 1,
					Seq:         seq,
					Token:       s.token,
				}
				for key := range mc.attempts {
					hb.Tasks = append(hb.Tasks, TaskStatus{Task: key.task, Attempt: key.attempt, State: "running"})
				}
				ctrl.HandleHeartbeat(ctrl.now, seq, hb)
				ctrl.TakeOutputs()
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
			ctrl.placer.planShard(s)
			b.ReportAllocs()
			for b.Loop() {
				s.plannedAt = ctrl.now.MonotonicMS // the tick then does not plan
				ctrl.shards.tickShard(s)
				ctrl.TakeOutputs()
			}
		})
	}
}

// BenchmarkSubmit measures a submission that the state service accepts at once, including the assignment
// of its tasks to shards.
func BenchmarkSubmit(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
			ctrl.placer.planShard(s)
			ctrl.params.Teams = map[string]Team{"": {}}
			rev := uint64(1 << 20)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				rev++
				j := ctrl.cache.jobs["job-000000"].rec.Job
				j.ID = fmt.Sprintf("job-9%08d", n)
				ctrl.HandleUserRequest(ctrl.now, uint64(n), UserRequest{Kind: SubmitJob, ID: j.ID, Job: &j})
				for _, op := range ctrl.TakeOutputs().StoreOps {
					ctrl.HandleStoreResult(ctrl.now, op.ID, StoreResult{Rev: rev})
				}
				if resp := ctrl.TakeOutputs().UserResponses[uint64(n)]; resp.Status != 201 {
					b.Fatalf("response %+v, want 201", resp)
				}
				ctrl.cache.applyChange(KeyValue{Key: jobKey(j.ID), Rev: rev + 1})
				rev++
			}
		})
	}
}

// BenchmarkRecovery measures the takeover of a shard with one page of 500 live jobs.
func BenchmarkRecovery(b *testing.B) {
	ctrl, _ := newControllerWithFleet(b, 0, 500)
	var items []KeyValue
	for id, j := range sortedByKey(ctrl.cache.jobs) {
		items = append(items, KeyValue{Key: jobKey(id), Value: mustEncode(j.rec), Rev: j.rev})
	}
	b.ReportAllocs()
	for b.Loop() {
		restarted := New(ctrl.params, 1, Now{1, 1})
		for _, item := range items {
			restarted.cache.applyChange(item)
		}
		restarted.shards.ownedShards["m0"] = restarted.shards.newShard("m0", 7, 5)
		restarted.shards.takeOverShard(restarted.shards.ownedShards["m0"])
		if len(restarted.shards.ownedShards["m0"].taskRanges) != len(items) {
			b.Fatal("the shard has no task range for some jobs after the takeover")
		}
	}
}

// BenchmarkFleetRestart measures a member whose machines all report a new incarnation at once, and thus
// the loss of their tasks. It measures all heartbeats and the plan that follows, and reports the number
// of store operations.
func BenchmarkFleetRestart(b *testing.B) {
	for _, c := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", c.machines, c.jobs), func(b *testing.B) {
			b.ReportAllocs()
			var ops, changes, plans int
			for b.Loop() {
				b.StopTimer()
				ctrl, s := newControllerWithFleet(b, c.machines, c.jobs)
				ctrl.placer.planShard(s)
				ctrl.TakeOutputs()
				replans := ctrl.Counters.Replans
				b.StartTimer()
				for i, mc := range s.machines {
					ctrl.HandleHeartbeat(ctrl.now, uint64(i), Heartbeat{
						Machine:     mc.id,
						Addr:        "x",
						Type:        mc.rec.Type,
						Zone:        "a",
						Spot:        mc.rec.Spot,
						Incarnation: 2,
						Seq:         1,
						Token:       s.token,
					})
				}
				ctrl.now.MonotonicMS += 1000
				ctrl.shards.tickShard(s)
				b.StopTimer()
				if i := slices.IndexFunc(s.machines, func(mc *machine) bool { return mc.Incarnation != 2 }); i >= 0 {
					b.Fatalf("machine %s is not in its new incarnation", s.machines[i].id)
				}
				for _, op := range ctrl.TakeOutputs().StoreOps {
					ops++
					changes += len(op.Changes)
				}
				plans += int(ctrl.Counters.Replans - replans)
				b.StartTimer()
			}
			b.ReportMetric(float64(ops)/float64(b.N), "requests")
			b.ReportMetric(float64(changes)/float64(b.N), "changes")
			b.ReportMetric(float64(plans)/float64(b.N), "plans")
		})
	}
}

// BenchmarkTeams measures the cost of teams for a member: up to 300 teams with limits and guarantees,
// each with a job, on 1,500 machines. It measures a plan, the usage snapshot for peers, and the
// proposals of allocations. Proposals are made every quarter of a second; none of them needs a write.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{1, 12, 300} {
		ctrl, s := newControllerWithFleet(b, 1500, 300)
		ctrl.params.Quota, ctrl.params.Teams = true, map[string]Team{}
		for i := range teams {
			ctrl.params.Teams[fmt.Sprintf("t%d", i)] = Team{CPUs: 80, MaxCPUs: 24_000}
		}
		ctrl.quotas.initTeamLedgers()
		for i, id := range slices.Sorted(maps.Keys(ctrl.cache.jobs)) {
			ctrl.cache.jobs[id].rec.Job.Team = fmt.Sprintf("t%d", i%teams)
		}
		ctrl.quotas.guaranteeStatus.valid = false
		b.Run(fmt.Sprintf("plan/%d", teams), func(b *testing.B) {
			for b.Loop() {
				ctrl.placer.planShard(s)
			}
		})
		b.Run(fmt.Sprintf("proposals/%d", teams), func(b *testing.B) {
			for b.Loop() {
				s.nextProposalAt = 0
				ctrl.quotas.proposeAllocations(s)
				ctrl.TakeOutputs()
			}
		})
		b.Run(fmt.Sprintf("usage/%d", teams), func(b *testing.B) {
			for b.Loop() {
				ctrl.quotas.usageSnapshot()
			}
		})
	}
}
