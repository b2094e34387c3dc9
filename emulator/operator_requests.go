package emulator

import (
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// PickLiveWorkers returns so many machines that are up, whichever.
func (sim *Simulation) PickLiveWorkers(n int) (workers []*Worker) {
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; worker.Up && !worker.Gone {
			workers = append(workers, worker)
		}
	}
	sim.Rand.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	return workers[:min(n, len(workers))]
}

// SendOperatorRequest has an operator's request answered through some member's administration
// API, again until it is taken (200) or refused for good (409).
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
			sim.Tracef("operator: gets %d %s", resp.Status, resp.Error)
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

// StopCounter counts, from the machines' side, the tasks that were told to stop by will and
// do not run again: no ledger is asked.
type StopCounter struct {
	Total   int
	MaxDown map[string]int // by team: at once

	sim         *Simulation
	startCounts map[string]int // by task: how often it had begun when it was stopped
}

// CountStops counts from now on; over is told of each stop, with how many tasks of its
// team are down.
func (sim *Simulation) CountStops(onStop func(t *platformfake.Task, down int)) *StopCounter {
	counter := &StopCounter{sim: sim, MaxDown: map[string]int{}, startCounts: map[string]int{}}
	sim.OnTaskStop = func(worker *Worker, t *platformfake.Task) {
		j := sim.Jobs[t.Job.ID]
		if worker.Agent.NoticeS != nil || j.DoneTasks[t.Name] {
			return // the cloud's will, or nothing is lost
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
