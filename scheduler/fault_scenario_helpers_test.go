package scheduler_test

import (
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// faultWindowMS is the time after the start of a scenario at which the injection of faults ends.
const faultWindowMS = 120_000

// repeatAtRandom calls action at random times, on average every intervalMS, from 12 s until the given time.
func (sim *testSimulation) repeatAtRandom(intervalMS, until int64, action func()) {
	for at := 12_000 + sim.Rand.Int64N(intervalMS); at < until; at += intervalMS/2 + sim.Rand.Int64N(intervalMS) {
		sim.After(at, action)
	}
}

// taskRunsFor returns a function that draws the run time of a task: minMS plus up to rangeMS.
func taskRunsFor(minMS, rangeMS int64) func(*emulator.Simulation, *emulator.Job, string) int64 {
	return func(sim *emulator.Simulation, _ *emulator.Job, _ string) int64 {
		return minMS + sim.Rand.Int64N(rangeMS)
	}
}

func (sim *testSimulation) randomBetween(from, to int64) int64 {
	return from + sim.Rand.Int64N(to-from)
}

func (sim *testSimulation) randomMember() *emulator.Member {
	return sim.Members[sim.Rand.IntN(len(sim.Members))]
}

// randomJob returns a random submitted job. At least one job must have been submitted.
func (sim *testSimulation) randomJob() *emulator.Job {
	return sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]
}

// crashMembers crashes a random member about every intervalMS. It stays down for minDownMS plus up to
// rangeMS.
func (sim *testSimulation) crashMembers(intervalMS, minDownMS, rangeMS int64) {
	sim.repeatAtRandom(intervalMS, faultWindowMS, func() {
		sim.randomMember().Crash(minDownMS + sim.Rand.Int64N(rangeMS))
	})
}

// startMemberOutages makes the state service unavailable to a random member about every intervalMS, for
// minMS plus up to rangeMS.
func (sim *testSimulation) startMemberOutages(intervalMS, minMS, rangeMS int64) {
	sim.repeatAtRandom(intervalMS, faultWindowMS, func() {
		sim.StartOutage(sim.randomMember().Name, minMS+sim.Rand.Int64N(rangeMS))
	})
}

func (sim *testSimulation) partition(p emulator.Partition) {
	sim.Partitions = append(sim.Partitions, p)
}

// partitionWorker partitions a machine from all members for minMS plus up to rangeMS.
func (sim *testSimulation) partitionWorker(worker *emulator.Worker, minMS, rangeMS int64) {
	sim.partition(emulator.Partition{A: "w" + worker.Instance.ID, Until: sim.Now + minMS + sim.Rand.Int64N(rangeMS)})
}

// partitionMembersFrom partitions a random member about every intervalMS, for minMS plus up to rangeMS.
// peers is the kind of endpoints that it cannot reach: "w" for workers, "store" for the state service, or
// "" for all.
func (sim *testSimulation) partitionMembersFrom(peers string, intervalMS, minMS, rangeMS int64) {
	sim.repeatAtRandom(intervalMS, faultWindowMS, func() {
		sim.partition(emulator.Partition{
			A:             sim.randomMember().Name,
			B:             peers,
			Until:         sim.Now + minMS + sim.Rand.Int64N(rangeMS),
			DropsMessages: sim.Rand.IntN(2) == 0,
		})
	})
}

// sendAndReceive sends a request about a job to a member. It passes the response to onResponse and
// records it as received by the job's user.
func (sim *testSimulation) sendAndReceive(
	m *emulator.Member,
	j *emulator.Job,
	request scheduler.UserRequest,
	onResponse func(scheduler.UserResponse),
) {
	requestedAt := sim.Now
	sim.SendRequestTo(m, request, func(resp scheduler.UserResponse, ok bool) {
		if !ok {
			return
		}
		onResponse(resp)
		sim.ReceiveResponse(j, requestedAt, resp)
	})
}

// observeLogs calls onLine for each line that a member logs.
func (sim *testSimulation) observeLogs(onLine func(m *emulator.Member, line scheduler.LogLine)) {
	sim.Observer = func(m *emulator.Member, outputs *scheduler.Outputs) {
		for _, line := range outputs.Logs {
			onLine(m, line)
		}
	}
}

// countLogs counts the lines that members log, by message.
func (sim *testSimulation) countLogs(counts map[string]int) {
	sim.observeLogs(func(_ *emulator.Member, line scheduler.LogLine) { counts[line.Message]++ })
}
