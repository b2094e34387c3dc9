package scheduler_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

const (
	jobKeyPrefix   = "l/j/"
	claimKeyPrefix = "l/s/"
)

// The kinds of transactions that change a job record or hand a claim back.
const (
	acceptanceWrite   = "accept"
	cancellationWrite = "cancel"
	jobEndWrite       = "end of a job"
	rangeEndWrite     = "end of a range"
	moveWrite         = "move"
	handBackWrite     = "hand-back"
)

// writeClassifier determines the purpose of a transaction.
type writeClassifier struct {
	rangeCounts map[string]int // task ranges in the last written record, by job key
}

// classify returns the kind of a transaction. For a change of a job record it is the purpose, otherwise the kind
// of the key.
func (classifier *writeClassifier) classify(op scheduler.StoreOp) string {
	change := op.Changes[0]
	kind := emulator.KeyKind(change.Key)
	switch {
	case kind == claimKeyPrefix && change.Value == nil:
		return handBackWrite
	case strings.HasSuffix(change.Key, "/memory"):
		return "memory"
	case kind != jobKeyPrefix:
		return kind
	}
	var rec struct{ Ranges []any }
	if change.Value != nil {
		if err := json.Unmarshal(change.Value, &rec); err != nil {
			return "unreadable"
		}
	}
	rangesBefore := classifier.rangeCounts[change.Key]
	classifier.rangeCounts[change.Key] = len(rec.Ranges)
	needsShardClaim := slices.ContainsFunc(op.Preconditions, func(precondition scheduler.Precondition) bool {
		return strings.HasPrefix(precondition.Key, claimKeyPrefix)
	})
	switch {
	case !needsShardClaim && change.Value == nil:
		return cancellationWrite
	case !needsShardClaim:
		return acceptanceWrite
	case change.Value == nil:
		return jobEndWrite
	case len(rec.Ranges) > rangesBefore:
		return moveWrite
	case len(rec.Ranges) < rangesBefore:
		return rangeEndWrite
	}
	return "begun"
}

// jobsWrittenBy returns the jobs whose records a transaction changes.
func (sim *testSimulation) jobsWrittenBy(op scheduler.StoreOp) (jobs []*emulator.Job) {
	for _, c := range op.Changes {
		if id, ok := strings.CutPrefix(c.Key, jobKeyPrefix); ok && sim.Jobs[id] != nil {
			jobs = append(jobs, sim.Jobs[id])
		}
	}
	return jobs
}

// observeJobWrites calls onWrite for each job whose record a transaction changes, before the member sends it.
func (sim *testSimulation) observeJobWrites(onWrite func(m *emulator.Member, kind string, j *emulator.Job)) {
	classifier := &writeClassifier{map[string]int{}}
	sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
		for _, op := range outputs.StoreOps {
			if op.Kind != scheduler.StoreTxn || !strings.HasPrefix(op.Changes[0].Key, jobKeyPrefix) {
				continue
			}
			kind := classifier.classify(op)
			for _, j := range sim.jobsWrittenBy(op) {
				onWrite(m, kind, j)
			}
		}
	}
}

// queryRepeatedly queries a job at random members. It sends each query when it receives the response to the
// previous one. A quarter of the requests are repeated submissions instead.
func (sim *testSimulation) queryRepeatedly(j *emulator.Job, times int, counts map[string]int) {
	request := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
	if sim.Rand.IntN(4) == 0 {
		resubmitted := j.Spec
		request.Kind, request.Job = scheduler.SubmitJob, &resubmitted
	}
	requestedAt := sim.Now
	sim.SendRequestTo(sim.randomMember(), request, func(resp scheduler.UserResponse, ok bool) {
		if !ok {
			return
		}
		if resp.Status == 503 {
			counts["503 responses"]++
		} else {
			counts["responses"]++
		}
		sim.ReceiveResponse(j, requestedAt, resp)
		if times > 1 {
			sim.queryRepeatedly(j, times-1, counts)
		}
	})
}

// queryConcurrently makes several users query a job at the same time, each of them several times.
func (sim *testSimulation) queryConcurrently(j *emulator.Job, counts map[string]int) {
	const users, times, withinMS = 3, 4, 20
	for range users {
		sim.After(sim.Rand.Int64N(withinMS), func() { sim.queryRepeatedly(j, times, counts) })
	}
}

// workersByRunningJob returns the machines that run tasks of each active job, by job ID. A machine is listed
// once for each task.
func (sim *testSimulation) workersByRunningJob() map[string][]*emulator.Worker {
	workers := map[string][]*emulator.Worker{}
	sim.EachTask(func(worker *emulator.Worker, t *platformfake.Task) {
		if j := sim.Jobs[t.Job.ID]; j.Accepted && !j.CancelRequested && !j.ObservedState.IsTerminal() {
			workers[t.Job.ID] = append(workers[t.Job.ID], worker)
		}
	})
	return workers
}

// cancelRunningJobs cancels up to count random running jobs within 200 ms. Before that, it calls beforeCancel
// once for each of their machines. It returns the number of jobs that it cancels.
func (sim *testSimulation) cancelRunningJobs(count int, beforeCancel func(*emulator.Worker)) int {
	workers, prepared := sim.workersByRunningJob(), map[*emulator.Worker]bool{}
	n := 0
	for _, id := range sim.JobIDs {
		if len(workers[id]) == 0 || n == count || sim.Rand.IntN(2) == 0 {
			continue
		}
		n++
		for _, worker := range workers[id] {
			if !prepared[worker] {
				prepared[worker] = true
				beforeCancel(worker)
			}
		}
		sim.After(sim.Rand.Int64N(200), func() { sim.CancelJob(sim.Jobs[id]) })
	}
	return n
}

// makeUnreachable partitions a machine in one or both directions, or hangs it, for durationMS.
func (sim *testSimulation) makeUnreachable(worker *emulator.Worker, durationMS int64) {
	switch sim.Rand.IntN(4) {
	case 0:
		sim.partition(emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + durationMS})
	case 1:
		worker.HangUntil = sim.Now + durationMS
	case 2:
		sim.PartitionInbound(worker, durationMS)
	default:
		sim.PartitionOutbound(worker, durationMS)
	}
}

// limitTeams sets a CPU limit for both teams. atLimit reports whether the unused part of a team's limit is too
// small for another task of the usual size.
func (sim *testSimulation) limitTeams(cpus float64) (atLimit func() bool) {
	sim.Params.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: cpus, CPUs: cpus / 3}, "t1": {MaxCPUs: cpus}}
	const usualTaskCPUs = 4
	return func() bool {
		usedCPUs := map[string]float64{}
		sim.EachTask(func(_ *emulator.Worker, t *platformfake.Task) { usedCPUs[t.Job.Team] += t.Job.Request.CPUs })
		return usedCPUs["t0"] > cpus-usualTaskCPUs || usedCPUs["t1"] > cpus-usualTaskCPUs
	}
}

// submitWholeLimitTasks submits one task per team, 60 s after the last fault, that needs the team's whole limit.
// The task never runs if a part of the limit was leaked.
func (sim *testSimulation) submitWholeLimitTasks(cpus float64, counts map[string]int) {
	const quiescentMS = 60_000
	for _, team := range []string{"t0", "t1"} {
		sim.After(faultWindowMS+quiescentMS, func() {
			j := emulator.NewJob(
				scheduler.Job{
					ID:        "job-limit-" + team,
					Class:     "whole limit",
					Team:      team,
					Kind:      scheduler.Array,
					Priority:  scheduler.Normal,
					Tasks:     1,
					Request:   availability.Resources{CPUs: cpus, MemoryGB: 8, DiskGB: 1},
					Image:     "img-0",
					EstimateS: 5,
				},
			)
			sim.Submit(j)
			counts["tasks of a whole limit"]++
		})
	}
}

// overlappingRequestFaults are overlapping faults that affect users' requests, cancellations and team limits,
// while shards change owners (docs/notes/meetings.md).
var overlappingRequestFaults = map[string]faultScenario{
	// Right after a job is accepted, ends or is confirmed as cancelled, users query all members repeatedly
	// within milliseconds, repeat the submission and cancel. Meanwhile state caches lag, members relay
	// requests, and some members have just adopted a shard.
	"concurrent reads at all members": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.ReadConcurrently(faultWindowMS)
			reported := map[string]bool{}
			classifier := &writeClassifier{map[string]int{}}
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				for _, resp := range outputs.UserResponses {
					j, event := sim.Jobs[resp.ID], string(resp.State)
					if resp.Status == 201 {
						event = "accepted"
					} else if !resp.State.IsTerminal() {
						continue
					}
					if j != nil && !reported[resp.ID+event] && sim.Now < faultWindowMS {
						reported[resp.ID+event] = true
						counts["queried when "+event]++
						sim.queryConcurrently(j, counts)
					}
				}
				for _, op := range outputs.StoreOps {
					isAcceptance := op.Kind == scheduler.StoreTxn && classifier.classify(op) == acceptanceWrite
					if !isAcceptance || sim.Rand.IntN(2) == 0 {
						continue
					}
					// The same job is submitted to a random member, so that two members may accept it concurrently.
					for _, j := range sim.jobsWrittenBy(op) {
						counts["concurrent submissions"]++
						resubmitted := j.Spec
						request := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &resubmitted}
						sim.sendAndReceive(sim.randomMember(), j, request, func(scheduler.UserResponse) {})
					}
				}
			}
			sim.repeatAtRandom(15_000, faultWindowMS, func() { sim.SlowStore(1500, 6000) })
			sim.startMemberOutages(12_000, 1000, 5000)
			sim.crashMembers(20_000, 300, 18_000)
			sim.repeatAtRandom(25_000, faultWindowMS, func() {
				sim.Lags[sim.randomMember().Name] = emulator.Lag{Until: sim.Now + 5000, MaxDelayMS: 1500}
			})
		},
		minCounts: map[string]int{
			"queried when accepted":  200,
			"queried when done":      100,
			"queried when cancelled": 60,
			"concurrent submissions": 100,
			"responses":              3000,
			"relayed":                100,
		},
	},
	// A transaction is applied at once and only its response is lost, while users query all members. Some of
	// the writers crash. The state caches of other writers lag, so that these members stop waiting for the
	// write before their cache contains it.
	"lost store responses": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, "" // so that task ranges can move
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			classifier := &writeClassifier{map[string]int{}}
			cacheLagUntil := map[string]int64{} // end of the state cache's lag, by member
			sim.ExtraDelay = func(from, to string) int64 {
				if from == "store" && cacheLagUntil[to] > sim.Now {
					return 1500 + sim.Rand.Int64N(2500)
				}
				return 0
			}
			sim.LosesResponse = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind, jobs := classifier.classify(op), sim.jobsWrittenBy(op)
				lossShare := 0.25
				switch {
				case len(jobs) > 0:
					lossShare = 0.6
				case kind == handBackWrite:
					lossShare = 1 // hand-backs are rare
				}
				if sim.Now > faultWindowMS || sim.Rand.Float64() > lossShare {
					return false
				}
				counts["lost response: "+kind]++
				for _, j := range jobs {
					sim.queryConcurrently(j, counts)
					if kind == acceptanceWrite && sim.Rand.IntN(5) == 0 {
						sim.After(sim.Rand.Int64N(300), func() { sim.CancelJob(j) })
					}
				}
				switch sim.Rand.IntN(12) {
				case 0:
					sim.After(sim.Rand.Int64N(400), func() { m.Crash(150 + sim.Rand.Int64N(1500)) })
				case 1, 2:
					cacheLagUntil[m.Name] = sim.Now + 3000
					counts["lagging state cache of the writer"]++
				}
				return true
			}
			sim.crashMembers(40_000, 15_000, 8000) // long enough that shards are adopted and handed back
		},
		minCounts: map[string]int{
			"lagging state cache of the writer": 20,
			"lost response: accept":             60,
			"lost response: cancel":             20,
			"lost response: end of a job":       60,
			"lost response: end of a range":     4,
			"lost response: move":               4,
			"lost response: p/":                 20,
			"lost response: memory":             10,
			"lost response: l/s/":               6,
			"lost response: hand-back":          1,
			"lost response: l/m/":               10,
			"lost response: l/u/":               10,
			"lost response: l/t/":               10,
		},
	},
	// Teams are at their limits while users cancel jobs on machines that are partitioned or hang. Meanwhile
	// shards change owners.
	"quota exhausted, cancellations on unreachable machines": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) { j.OneZone, j.Spread = false, false },
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			const limit = 64
			atLimit := sim.limitTeams(limit)
			sim.submitWholeLimitTasks(limit, counts)
			sim.observeLogs(func(_ *emulator.Member, l scheduler.LogLine) { counts[l.Message]++ })
			sim.repeatAtRandom(11_000, faultWindowMS, func() {
				if atLimit() {
					counts["at a limit"]++
				}
				unreachableMS := 2000 + sim.Rand.Int64N(22_000)
				makeUnreachable := func(worker *emulator.Worker) { sim.makeUnreachable(worker, unreachableMS) }
				counts["cancelled"] += sim.cancelRunningJobs(1+sim.Rand.IntN(3), makeUnreachable)
				downMS := 200 + sim.Rand.Int64N(2500)
				if sim.Rand.IntN(3) == 0 {
					downMS = 14_000 + sim.Rand.Int64N(6000)
				}
				sim.After(sim.Rand.Int64N(3000), func() { sim.randomMember().Crash(downMS) })
			})
		},
		minCounts: map[string]int{
			"at a limit":                   10,
			"cancelled":                    60,
			"shard claimed":                40,
			"machine lease expired":        20,
			"machine in a new incarnation": 20,
			"tasks of a whole limit":       12,
		},
	},
	// A team is at its limit when a shard changes owners, and some of the shard's machines are unreachable.
	// Users cancel jobs before the new owner has reconciled all machines.
	"quota exhausted, cancellations before reconciliation": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) { j.OneZone, j.Spread = false, false },
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			const limit = 64
			atLimit := sim.limitTeams(limit)
			sim.submitWholeLimitTasks(limit, counts)
			reconciling := map[string]bool{}
			sim.observeLogs(func(_ *emulator.Member, l scheduler.LogLine) {
				counts[l.Message]++
				switch l.Message {
				case "shard claimed":
					shard := l.Args[1].(string)
					reconciling[shard] = true
					if sim.Now < 12_000 || sim.Now > faultWindowMS {
						return
					}
					if atLimit() {
						counts["claimed at a limit"]++
					}
					sim.SampleLiveWorkers(0.3, func(worker *emulator.Worker) {
						sim.makeUnreachable(worker, 1000+sim.Rand.Int64N(15_000))
					})
					sim.SampleLiveWorkers(0.3, func(worker *emulator.Worker) {
						sim.DelayWorkerCommands(worker, 1000+sim.Rand.Int64N(9000), sim.Rand.IntN(2) == 0)
					})
					for at := int64(0); at < 5000; at += 300 { // some machines do not receive the first commands
						sim.After(at, func() {
							sim.SampleLiveWorkers(0.1, func(worker *emulator.Worker) {
								sim.PartitionInbound(worker, 300+sim.Rand.Int64N(3000))
							})
						})
					}
					for range 3 {
						sim.After(sim.Rand.Int64N(7000), func() {
							if reconciling[shard] {
								counts["cancelled before reconciliation"] +=
									sim.cancelRunningJobs(1, func(*emulator.Worker) {})
							}
						})
					}
				case "shard reconciled":
					reconciling[l.Args[1].(string)] = false
				}
			})
			sim.crashMembers(15_000, 200, 2500)
			sim.crashMembers(40_000, 14_000, 6000)
		},
		minCounts: map[string]int{
			"claimed at a limit":              8,
			"cancelled before reconciliation": 30,
			"tasks of a whole limit":          12,
		},
	},
	// Users cancel jobs within seconds of an ownership change of a shard, and while a task range of the job
	// moves from one shard to another.
	"cancellations while a shard changes owners": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, ""
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			classifier := &writeClassifier{map[string]int{}}
			mayHang := func(worker *emulator.Worker) {
				if sim.Rand.IntN(4) == 0 {
					worker.HangUntil = sim.Now + 1000 + sim.Rand.Int64N(9000)
				}
			}
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				if sim.Now < 12_000 || sim.Now > faultWindowMS {
					return
				}
				for _, l := range outputs.Logs {
					event := l.Message
					if event == "shard claimed" && l.Args[1] != m.Name {
						event = "shard adopted"
					}
					switch event {
					case "shard claimed", "shard adopted", "shard handed back", "shard ready":
					default:
						continue
					}
					counts[event]++
					sim.After(sim.Rand.Int64N(2500), func() {
						counts["cancelled at "+event] += sim.cancelRunningJobs(1, mayHang)
					})
				}
				for _, op := range outputs.StoreOps {
					if op.Kind != scheduler.StoreTxn || classifier.classify(op) != moveWrite || sim.Rand.IntN(3) > 0 {
						continue
					}
					for _, j := range sim.jobsWrittenBy(op) {
						counts["cancelled at a move"]++
						sim.After(sim.Rand.Int64N(60), func() { sim.CancelJob(j) })
						if sim.Rand.IntN(3) == 0 { // a random member crashes, possibly one of the two owners
							sim.After(sim.Rand.Int64N(300), func() {
								sim.randomMember().Crash(200 + sim.Rand.Int64N(2000))
							})
						}
					}
				}
			}
			sim.crashMembers(14_000, 14_000, 5000)
			sim.crashMembers(25_000, 200, 2500)
		},
		minCounts: map[string]int{
			"cancelled at shard claimed":     10,
			"cancelled at shard adopted":     10,
			"cancelled at shard handed back": 5,
			"cancelled at a move":            10,
		},
	},
	// A cancellation, a query or a repeated submission coincides with the end of a job's last task. No other
	// fault is injected.
	"requests at the end of the last task": {
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			sim.MessageLoss = 0
			sim.CancelAtEnd(0.3, faultWindowMS)
			sim.ReadConcurrently(faultWindowMS)
			sim.observeJobWrites(func(_ *emulator.Member, kind string, j *emulator.Job) {
				if kind != jobEndWrite || sim.Now > faultWindowMS {
					return
				}
				counts["ends"]++
				sim.queryConcurrently(j, counts)
				if sim.Rand.IntN(2) == 0 {
					counts["cancelled at the end"]++
					sim.After(sim.Rand.Int64N(25), func() { sim.CancelJob(j) })
				}
			})
			const startupMS = 5000 // time after which all members can respond
			observeOutputs := sim.Observer
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				observeOutputs(m, outputs)
				for _, resp := range outputs.UserResponses {
					if resp.Status == 503 && sim.Now > startupMS {
						t.Errorf("%s: got status 503 without an injected fault: %s", resp.ID, resp.Error)
					}
				}
			}
		},
		minCounts: map[string]int{"ends": 100, "cancelled at the end": 50, "responses": 1000},
	},
}
