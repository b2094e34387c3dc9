package emulator

import (
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// PickLiveWorkers returns up to n random machines among those that are running.
func (sim *Simulation) PickLiveWorkers(n int) (workers []*Worker) {
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; worker.Up && !worker.Gone {
			workers = append(workers, worker)
		}
	}
	sim.Rand.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	return workers[:min(n, len(workers))]
}

// SendOperatorRequest sends an operator's request to the administration API of a random member, and
// retries until the request is accepted (200) or rejected permanently (409).
func (sim *Simulation) SendOperatorRequest(
	send func(m *scheduler.Controller, now scheduler.Now, replyID uint64),
	onResponse func(scheduler.UserResponse),
) {
	m := sim.Members[sim.Rand.IntN(len(sim.Members))]
	retry := func() { sim.After(1000, func() { sim.SendOperatorRequest(send, onResponse) }) }
	if m.Core == nil {
		retry()
		return
	}
	finished := false
	sim.operatorRequests++
	m.pendingUserRequests[1<<52+sim.operatorRequests] = func(resp scheduler.UserResponse) {
		if finished {
			return
		}
		if finished = true; resp.Status == 200 || resp.Status == 409 {
			sim.Tracef("operator: response %d %s", resp.Status, resp.Error)
			onResponse(resp)
		} else {
			retry()
		}
	}
	send(m.Core, m.Clock(), 1<<52+sim.operatorRequests)
	m.dispatchOutputs()
	sim.After(6000, func() {
		if !finished {
			finished = true
			retry()
		}
	})
}

// StopCounter counts tasks that were stopped voluntarily and have not restarted. It observes the
// machines instead of the disruption ledger, because tests check the ledger against it.
type StopCounter struct {
	Total   int
	MaxDown map[string]int // largest number at one time, by team

	sim         *Simulation
	startCounts map[string]int // number of a task's starts when it was stopped, by task
}

// CountStops counts stops from now on. It calls onStop for each stop with the number of tasks of
// the same team that are down.
func (sim *Simulation) CountStops(onStop func(t *platformfake.Task, down int)) *StopCounter {
	counter := &StopCounter{sim: sim, MaxDown: map[string]int{}, startCounts: map[string]int{}}
	sim.OnTaskStop = func(worker *Worker, t *platformfake.Task) {
		j := sim.Jobs[t.Job.ID]
		if worker.Agent.NoticeS != nil || j.DoneTasks[t.Name] {
			return // a reclaim by the cloud is involuntary; stopping a done task loses no work
		}
		counter.Total++
		counter.startCounts[t.Name] = j.StartCounts[t.Name]
		down := 0
		for task, startsAtStop := range counter.startCounts {
			other := sim.Jobs[task[:strings.IndexByte(task, '/')]]
			if other.StartCounts[task] > startsAtStop || other.DoneTasks[task] || other.CancelRequested ||
				other.ObservedState.IsTerminal() {
				delete(counter.startCounts, task)
			} else if other.Spec.Team == t.Job.Team {
				down++
			}
		}
		counter.MaxDown[t.Job.Team] = max(counter.MaxDown[t.Job.Team], down)
		onStop(t, down)
	}
	return counter
}
