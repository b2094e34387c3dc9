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

// Kinds of transactions that concern a job, or a claim that is handed back.
const (
	acceptanceWrite   = "accept"
	cancellationWrite = "cancel"
	jobEndWrite       = "end of a job"
	rangeEndWrite     = "end of a range"
	moveWrite         = "move"
	handBackWrite     = "hand-back"
)

// writeClassifier finds out what a transaction is for.
type writeClassifier struct {
	rangeCounts map[string]int // of each job, when its record was last written
}

// classify returns a transaction's kind: of a change of a job's record what it does, otherwise
// what kind of key it writes.
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

// jobsWrittenBy are the jobs whose records a transaction changes.
func (sim *testSimulation) jobsWrittenBy(op scheduler.StoreOp) (jobs []*emulator.Job) {
	for _, c := range op.Changes {
		if id, ok := strings.CutPrefix(c.Key, jobKeyPrefix); ok && sim.Jobs[id] != nil {
			jobs = append(jobs, sim.Jobs[id])
		}
	}
	return jobs
}

// observeJobWrites calls onWrite for each job that a transaction changes which a member is about to send.
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

// queryRepeatedly queries a job at one random member after the other, each as soon as the last
// response is there. Some are repeated submissions instead.
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
			counts["answers 503"]++
		} else {
			counts["answers"]++
		}
		sim.ReceiveResponse(j, requestedAt, resp)
		if times > 1 {
			sim.queryRepeatedly(j, times-1, counts)
		}
	})
}

// queryConcurrently has several users query a job at once, each of them several times.
func (sim *testSimulation) queryConcurrently(j *emulator.Job, counts map[string]int) {
	const users, times, withinMS = 3, 4, 20
	for range users {
		sim.After(sim.Rand.Int64N(withinMS), func() { sim.queryRepeatedly(j, times, counts) })
	}
}

// workersByRunningJob is the machines with tasks of each job that is neither over nor cancelled.
func (sim *testSimulation) workersByRunningJob() map[string][]*emulator.Worker {
	workers := map[string][]*emulator.Worker{}
	sim.EachTask(func(worker *emulator.Worker, t *platformfake.Task) {
		if j := sim.Jobs[t.Job.ID]; j.Accepted && !j.CancelRequested && !j.ObservedState.IsTerminal() {
			workers[t.Job.ID] = append(workers[t.Job.ID], worker)
		}
	})
	return workers
}

// cancelRunningJobs cancels up to count jobs that run, within a fifth of a second, and calls
// beforeCancel for each of their machines first. It returns how many it cancels.
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

// makeUnreachable partitions a machine, in both directions or one, or hangs it.
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

// limitTeams gives both teams a limit. atLimit reports whether one of them has no room for
// another task of the usual size.
func (sim *testSimulation) limitTeams(cpus float64) (atLimit func() bool) {
	sim.Params.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: cpus, CPUs: cpus / 3}, "t1": {MaxCPUs: cpus}}
	const usualTaskCPUs = 4
	return func() bool {
		usedCPUs := map[string]float64{}
		sim.EachTask(func(_ *emulator.Worker, t *platformfake.Task) { usedCPUs[t.Job.Team] += t.Job.Request.CPUs })
		return usedCPUs["t0"] > cpus-usualTaskCPUs || usedCPUs["t1"] > cpus-usualTaskCPUs
	}
}

// submitWholeLimitTasks has each team submit, once all faults are over, one task that takes all
// of its limit: it never runs if a part of the limit leaked.
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

// overlappingRequestFaults are overlapping faults around users' requests: responses, cancellations
// and limits, while shards change owners (docs/notes/meetings.md).
var overlappingRequestFaults = map[string]faultScenario{
	// Users query all members, again and again within milliseconds, repeat the submission and
	// cancel, right after a job was accepted, ended or confirmed as cancelled, while caches
	// lag, members relay requests, and some just took over.
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
						counts["asked when "+event]++
						sim.queryConcurrently(j, counts)
					}
				}
				for _, op := range outputs.StoreOps {
					isAcceptance := op.Kind == scheduler.StoreTxn && classifier.classify(op) == acceptanceWrite
					if !isAcceptance || sim.Rand.IntN(2) == 0 {
						continue
					}
					// The same job is submitted to another member: both are about to accept it.
					for _, j := range sim.jobsWrittenBy(op) {
						counts["second acceptances"]++
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
			"asked when accepted":  200,
			"asked when done":      100,
			"asked when cancelled": 60,
			"second acceptances":   100,
			"answers":              3000,
			"relayed":              100,
		},
	},
	// A transaction is applied at once and only its response is lost, while users query all
	// members; some of its writers crash, and the caches of others lag, so that they give the
	// write up before they see it.
	"lost store responses": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, "" // so that tasks move
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			classifier := &writeClassifier{map[string]int{}}
			mirrorLagUntil := map[string]int64{} // by member
			sim.ExtraDelay = func(from, to string) int64 {
				if from == "store" && mirrorLagUntil[to] > sim.Now {
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
					lossShare = 1 // there are few
				}
				if sim.Now > faultWindowMS || sim.Rand.Float64() > lossShare {
					return false
				}
				counts["lost answer: "+kind]++
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
					mirrorLagUntil[m.Name] = sim.Now + 3000
					counts["mirror of the writer behind"]++
				}
				return true
			}
			sim.crashMembers(40_000, 15_000, 8000) // adopted, and handed back
		},
		minCounts: map[string]int{
			"mirror of the writer behind": 20,
			"lost answer: accept":         60,
			"lost answer: cancel":         20,
			"lost answer: end of a job":   60,
			"lost answer: end of a range": 4,
			"lost answer: move":           4,
			"lost answer: p/":             20,
			"lost answer: memory":         10,
			"lost answer: l/s/":           6,
			"lost answer: hand-back":      1,
			"lost answer: l/m/":           10,
			"lost answer: l/u/":           10,
			"lost answer: l/t/":           10,
		},
	},
	// Every team is at its limit while jobs are cancelled whose machines are partitioned or
	// hang, and shards change owners.
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
	// A team is at its limit when a shard changes owners, some of its machines are unreachable,
	// and a cancellation falls into the time until the new owner has reconciled them all.
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
					for at := int64(0); at < 5000; at += 300 { // some lose the first commands
						sim.After(at, func() {
							sim.SampleLiveWorkers(0.1, func(worker *emulator.Worker) {
								sim.PartitionInbound(worker, 300+sim.Rand.Int64N(3000))
							})
						})
					}
					for range 3 {
						sim.After(sim.Rand.Int64N(7000), func() {
							if reconciling[shard] {
								counts["cancelled meanwhile"] += sim.cancelRunningJobs(1, func(*emulator.Worker) {})
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
		minCounts: map[string]int{"claimed at a limit": 8, "cancelled meanwhile": 30, "tasks of a whole limit": 12},
	},
	// Jobs are cancelled in the seconds in which a shard changes owners, and while a range of
	// theirs moves from one shard to another.
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
						if sim.Rand.IntN(3) == 0 { // one of both crashes
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
	// A cancellation, a query or a repeated submission coincides with the end of a job's last
	// task, with no other fault.
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
			const upMS = 5000 // by then all members can respond
			observeOutputs := sim.Observer
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				observeOutputs(m, outputs)
				for _, resp := range outputs.UserResponses {
					if resp.Status == 503 && sim.Now > upMS {
						t.Errorf("%s gets 503 without a fault: %s", resp.ID, resp.Error)
					}
				}
			}
		},
		minCounts: map[string]int{"ends": 100, "cancelled at the end": 50, "answers": 1000},
	},
}
