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

// writeClassifier tells kinds of transactions apart.
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
	preconditionWithPrefix := func(prefix string) *scheduler.Precondition {
		i := slices.IndexFunc(
			op.Preconditions,
			func(precondition scheduler.Precondition) bool { return strings.HasPrefix(precondition.Key, prefix) },
		)
		if i < 0 {
			return nil
		}
		return &op.Preconditions[i]
	}
	switch {
	case preconditionWithPrefix(claimKeyPrefix) == nil && change.Value == nil:
		return cancellationWrite
	case preconditionWithPrefix(claimKeyPrefix) == nil:
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

// observeJobWrites calls f for each transaction about a job that a member is about to send.
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

// queryRepeatedly asks about a job at one member after the other, so many times, each time as soon
// as the last answer is there. Some questions are repeated submissions.
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

// queryConcurrently has several users ask about a job at once, each of them again and again.
func (sim *testSimulation) queryConcurrently(j *emulator.Job, counts map[string]int) {
	const users, times, withinMS = 3, 4, 20
	for range users {
		sim.After(sim.Rand.Int64N(withinMS), func() { sim.queryRepeatedly(j, times, counts) })
	}
}

// workersByRunningJob tells on which machines tasks of each job are that its user goes on with.
func (sim *testSimulation) workersByRunningJob() map[string][]*emulator.Worker {
	workers := map[string][]*emulator.Worker{}
	sim.EachTask(func(worker *emulator.Worker, t *platformfake.Task) {
		if j := sim.Jobs[t.Job.ID]; j.Accepted && !j.CancelRequested && !j.ObservedState.IsTerminal() {
			workers[t.Job.ID] = append(workers[t.Job.ID], worker)
		}
	})
	return workers
}

// cancelRunningJobs cancels up to so many jobs that run, within a fifth of a second, and does
// something to their machines before. It returns how many.
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

// makeUnreachable cuts a machine off, hangs it, or has it hear nothing or reach nobody, for so long.
func (sim *testSimulation) makeUnreachable(worker *emulator.Worker, durationMS int64) {
	switch sim.Rand.IntN(4) {
	case 0:
		sim.Partitions = append(sim.Partitions, emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + durationMS})
	case 1:
		worker.HangUntil = sim.Now + durationMS
	case 2:
		sim.PartitionInbound(worker, durationMS)
	default:
		sim.PartitionOutbound(worker, durationMS)
	}
}

// limitTeams gives both teams a limit, and tells whether one of them has room for no
// further task of the usual size.
func (sim *testSimulation) limitTeams(cpus float64) (atLimit func() bool) {
	sim.Params.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: cpus, CPUs: cpus / 3}, "t1": {MaxCPUs: cpus}}
	const usualTaskCPUs = 4
	return func() bool {
		usedCPUs := map[string]float64{}
		sim.EachTask(func(_ *emulator.Worker, t *platformfake.Task) { usedCPUs[t.Job.Team] += t.Job.Request.CPUs })
		return usedCPUs["t0"] > cpus-usualTaskCPUs || usedCPUs["t1"] > cpus-usualTaskCPUs
	}
}

// submitWholeLimitTasks has each team submit, once all troubles are over, one task that takes all
// of its limit: it never runs if anything that was held of the limit was not given back.
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

// observeLogs calls f for each line that a member logs.
func (sim *testSimulation) observeLogs(onLine func(m *emulator.Member, line scheduler.LogLine)) {
	sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
		for _, line := range outputs.Logs {
			onLine(m, line)
		}
	}
}

// overlappingRequestFaults are the meetings about what users ask: answers, cancellations and
// limits, while controllers change (docs/notes/meetings.md).
var overlappingRequestFaults = map[string]faultScenario{
	// Users ask at all members, again and again within milliseconds, repeat the submission
	// and cancel, right after a job was accepted, ended or confirmed as cancelled, while
	// mirrors are behind, members pass questions on, and some just took over.
	"close looks at all members": {
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
					if op.Kind != scheduler.StoreTxn || classifier.classify(op) != acceptanceWrite || sim.Rand.IntN(2) == 0 {
						continue
					}
					for _, j := range sim.jobsWrittenBy(op) { // the same job at another member: both are about to accept it
						counts["second acceptances"]++
						resubmitted, requestedAt := j.Spec, sim.Now
						sim.SendRequestTo(
							sim.randomMember(),
							scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &resubmitted},
							func(resp scheduler.UserResponse, ok bool) {
								if ok {
									sim.ReceiveResponse(j, requestedAt, resp)
								}
							},
						)
					}
				}
			}
			sim.repeatAtRandom(15_000, faultWindowMS, func() { sim.SlowStore(1500, 6000) })
			sim.repeatAtRandom(
				12_000,
				faultWindowMS,
				func() { sim.StartOutage(sim.randomMember().Name, 1000+sim.Rand.Int64N(5000)) },
			)
			sim.repeatAtRandom(20_000, faultWindowMS, func() { sim.randomMember().Crash(300 + sim.Rand.Int64N(18_000)) })
			sim.repeatAtRandom(
				25_000,
				faultWindowMS,
				func() { sim.Lags[sim.randomMember().Name] = emulator.Lag{Until: sim.Now + 5000, MaxDelayMS: 1500} },
			)
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
	// A transaction is carried out at once and only its answer is lost, while users ask at
	// all members; some of its writers end, and the mirrors of others are behind, so that
	// they give the write up before they see it.
	"only the answer is lost": {
		adjustJob: func(sim *testSimulation, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, "" // so that tasks move
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		inject: func(t *testing.T, sim *testSimulation, counts map[string]int) {
			classifier := &writeClassifier{map[string]int{}}
			mirrorLagUntil := map[string]int64{} // by member, until when
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
			sim.repeatAtRandom(
				40_000,
				faultWindowMS,
				func() { sim.randomMember().Crash(15_000 + sim.Rand.Int64N(8000)) },
			) // adopted, and handed back
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
	// Every team is at its limit while jobs are cancelled whose machines are cut off or
	// hang, and the leader changes.
	"at the limit, cancelled on machines out of reach": {
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
				counts["cancelled"] += sim.cancelRunningJobs(
					1+sim.Rand.IntN(3),
					func(worker *emulator.Worker) { sim.makeUnreachable(worker, unreachableMS) },
				)
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
	// A team is at its limit when the leader changes, some of its machines can't be asked,
	// and a cancellation falls into the time until the new leader has heard them all.
	"at the limit, cancelled before all machines are heard": {
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
					sim.SampleLiveWorkers(
						0.3,
						func(worker *emulator.Worker) { sim.makeUnreachable(worker, 1000+sim.Rand.Int64N(15_000)) },
					)
					sim.SampleLiveWorkers(0.3, func(worker *emulator.Worker) {
						sim.DelayWorkerCommands(worker, 1000+sim.Rand.Int64N(9000), sim.Rand.IntN(2) == 0)
					})
					for at := int64(0); at < 5000; at += 300 { // what they are told first is lost to some
						sim.After(at, func() {
							sim.SampleLiveWorkers(
								0.1,
								func(worker *emulator.Worker) { sim.PartitionInbound(worker, 300+sim.Rand.Int64N(3000)) },
							)
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
			sim.repeatAtRandom(15_000, faultWindowMS, func() { sim.randomMember().Crash(200 + sim.Rand.Int64N(2500)) })
			sim.repeatAtRandom(40_000, faultWindowMS, func() { sim.randomMember().Crash(14_000 + sim.Rand.Int64N(6000)) })
		},
		minCounts: map[string]int{"claimed at a limit": 8, "cancelled meanwhile": 30, "tasks of a whole limit": 12},
	},
	// Jobs are cancelled in the seconds in which one controller's work changes hands, and
	// while a range of theirs moves from one shard to another.
	"cancelled while work changes hands": {
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
					if event != "shard claimed" && event != "shard adopted" && event != "shard handed back" && event != "shard ready" {
						continue
					}
					counts[event]++
					sim.After(sim.Rand.Int64N(2500), func() { counts["cancelled at "+event] += sim.cancelRunningJobs(1, mayHang) })
				}
				for _, op := range outputs.StoreOps {
					if op.Kind != scheduler.StoreTxn || classifier.classify(op) != moveWrite || sim.Rand.IntN(3) > 0 {
						continue
					}
					for _, j := range sim.jobsWrittenBy(op) {
						counts["cancelled at a move"]++
						sim.After(sim.Rand.Int64N(60), func() { sim.CancelJob(j) })
						if sim.Rand.IntN(3) == 0 { // one of both ends
							sim.After(sim.Rand.Int64N(300), func() { sim.randomMember().Crash(200 + sim.Rand.Int64N(2000)) })
						}
					}
				}
			}
			sim.repeatAtRandom(14_000, faultWindowMS, func() { sim.randomMember().Crash(14_000 + sim.Rand.Int64N(5000)) })
			sim.repeatAtRandom(25_000, faultWindowMS, func() { sim.randomMember().Crash(200 + sim.Rand.Int64N(2500)) })
		},
		minCounts: map[string]int{
			"cancelled at shard claimed":     10,
			"cancelled at shard adopted":     10,
			"cancelled at shard handed back": 5,
			"cancelled at a move":            10,
		},
	},
	// A cancellation, a question or a repeated submission meets the end of a job's last
	// task, with no other trouble.
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
			const upMS = 5000 // by then all members can answer
			observeOutputs := sim.Observer
			sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
				observeOutputs(m, outputs)
				for _, resp := range outputs.UserResponses {
					if resp.Status == 503 && sim.Now > upMS {
						t.Errorf("%s gets 503 with no trouble: %s", resp.ID, resp.Error)
					}
				}
			}
		},
		minCounts: map[string]int{"ends": 100, "cancelled at the end": 50, "answers": 1000},
	},
}
