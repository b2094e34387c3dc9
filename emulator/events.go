package emulator

import "container/heap"

type event struct {
	at  int64
	seq int
	run func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].seq < queue[j].seq
}

func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(event)) }

func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

// After schedules a call of run in delayMS milliseconds of simulated time.
func (sim *Simulation) After(delayMS int64, run func()) {
	sim.eventSeq++
	heap.Push(&sim.queue, event{sim.Now + delayMS, sim.eventSeq, run})
}

// runAt calls run at a simulated time in ms, immediately if that time has passed.
func (sim *Simulation) runAt(at int64, run func()) {
	if at <= sim.Now {
		run()
		return
	}
	sim.After(at-sim.Now, run)
}

// Run processes events up to the simulated time until, in ms, or until isOver returns true.
func (sim *Simulation) Run(until int64, isOver func() bool) {
	var tick func()
	tick = func() {
		for _, id := range sim.WorkerIDs {
			sim.stepWorker(sim.Workers[id])
		}
		stillPending := sim.pendingWatches[:0]
		for _, watch := range sim.pendingWatches {
			if sim.storeRefuses(watch.member) {
				stillPending = append(stillPending, watch)
				continue
			}
			result, ready := sim.Store.Apply(sim.Now, watch.op)
			if ready || sim.Now >= watch.until {
				watch.respond(result)
			} else {
				stillPending = append(stillPending, watch)
			}
		}
		sim.pendingWatches = stillPending
		if sim.OutageUntil["all"] <= sim.Now {
			sim.Store.ExpireLeases(sim.Now)
		}
		sim.checkCancelled()
		sim.checkUnansweredQueries()
		sim.After(40, tick)
	}
	tick()
	if !sim.ChecksDisabled {
		sim.After(progressCheckIntervalMS, sim.checkProgress)
	}
	if sim.SweepIntervalMS > 0 && !sim.ChecksDisabled {
		sim.After(sim.SweepIntervalMS, sim.sweep)
	}
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		if next.at > until || isOver() {
			return
		}
		sim.Now = next.at
		next.run()
	}
}
