package emulator

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Worker is a rented machine.
type Worker struct {
	Agent          *platformfake.Worker // nil until it is up
	Instance       *platformfake.Instance
	Up, Gone       bool
	ReleasedAt     int64
	HangUntil      int64
	AcknowledgedAt int64 // when a report of it was last taken

	machineType              scheduler.MachineType
	taskStartedAt            map[string]int64 // when each task last started here
	memberIndex              int              // member that it reports to
	heartbeatInFlight        bool
	nextHeartbeatAt          int64
	lastHeartbeatAt          int64
	retryHeartbeat           bool  // the last report had no answer that counts
	inboundPartitionedUntil  int64 // it hears nothing
	outboundPartitionedUntil int64 // it can open no connection to a member
	// Direct commands to it, and their answers, are held up.
	commandsDelayedUntil, commandResultsDelayedUntil int64
	heartbeatIntervalMS                              int64 // until the next report if nothing changes
	clockRate                                        float64
}

// erringExecution is a task that ends by itself with an error, now and then.
type erringExecution struct {
	sim      *Simulation
	endsAt   int64
	succeeds bool
}

func (execution *erringExecution) IsFinished() (bool, error) {
	if execution.sim.Now < execution.endsAt {
		return false, nil
	}
	if execution.succeeds {
		return true, nil
	}
	return true, errors.New("failed")
}

func (execution *erringExecution) Stop() {}

// MemberName is the member that the machine reports to.
func (worker *Worker) MemberName(sim *Simulation) string { return sim.Members[worker.memberIndex].Name }

// Clock is the machine's own steady clock.
func (worker *Worker) Clock(sim *Simulation) int64 { return int64(float64(sim.Now) * worker.clockRate) }

func (sim *Simulation) provisioned(instance *platformfake.Instance) {
	worker := &Worker{
		Instance:      instance,
		taskStartedAt: map[string]int64{},
		clockRate:     1 + (sim.Rand.Float64()-0.5)*0.001,
		memberIndex:   sim.Rand.IntN(sim.options.Members),
	}
	sim.Workers[instance.ID] = worker
	sim.WorkerIDs = append(sim.WorkerIDs, instance.ID)
	var machineType scheduler.MachineType
	for _, candidate := range sim.Cloud.Types {
		if candidate.Name == instance.Type {
			machineType = candidate
		}
	}
	worker.machineType = machineType
	speedRatio, fetchRatio := 1.0, 1.0
	if sim.options.SpeedSpread > 0 {
		speedRatio = 1 + sim.options.SpeedSpread*(2*sim.Rand.Float64()-1)
	}
	if sim.options.FetchSpread > 0 {
		fetchRatio = 1 + sim.options.FetchSpread*(2*sim.Rand.Float64()-1)
	}
	if instance.Spot && sim.options.SpotLossPerHour > 0 {
		sim.After(
			max(1, int64(sim.Rand.ExpFloat64()*3_600_000*100/sim.options.SpotLossPerHour)),
			func() { sim.interruptSpot(worker) },
		)
	}
	bootMS := int64(machineType.BootS * 1000 * (0.6 + 0.9*sim.Rand.Float64()))
	if sim.Rand.Float64() < 0.05 {
		return // never comes up
	}
	if sim.BootDelay != nil {
		bootMS = sim.BootDelay(worker, bootMS)
	}
	if bootMS < 0 {
		return
	}
	sim.After(bootMS, func() {
		if worker.Gone {
			return
		}
		worker.Up = true
		instance.State = "running"
		worker.Agent = &platformfake.Worker{
			Machine:   instance.CloudMachine,
			Resources: machineType.Resources,
			LeaseMS:   int64(sim.Params.LeaseS * 1000),
			FetchMS:   300 + sim.Rand.Int64N(900),
			FindJob: func(id string) *scheduler.Job {
				if j := sim.Jobs[id]; j != nil {
					return &j.Spec
				}
				return nil
			},
			RunTimeMS: func(task string) int64 {
				j := sim.Jobs[task[:strings.IndexByte(task, '/')]]
				ms := sim.options.TaskRunMS(sim, j, task)
				j.longestRunMS = max(j.longestRunMS, ms)
				return ms * int64(1000*speedRatio) / 1000
			},
			GangTimeoutMS: sim.options.GangWaitMS,
			OnStarted:     func(_ *platformfake.Worker, machineType *platformfake.Task) { sim.onStart(worker, machineType) },
			OnStopping: func(_ *platformfake.Worker, machineType *platformfake.Task) {
				sim.discountEarlyStop(worker, machineType)
				if sim.OnTaskStop != nil {
					sim.OnTaskStop(worker, machineType)
				}
			},
			OnDone: func(_ *platformfake.Worker, machineType *platformfake.Task) {
				if sim.OnTaskDone != nil {
					sim.OnTaskDone(machineType)
				}
				j := sim.Jobs[machineType.Job.ID]
				if startedAt, ok := worker.taskStartedAt[machineType.Name]; ok && !j.DoneTasks[machineType.Name] {
					ms := float64(sim.Now-startedAt) * j.Spec.Request.CPUs
					sim.usefulCPUMS += ms
					sim.usefulCost += ms / worker.machineType.Resources.CPUs * worker.price()
				}
				if j.DoneTasks[machineType.Name] = true; len(j.DoneTasks) == j.Spec.Tasks && j.DoneAt == 0 {
					j.DoneAt = sim.Now
					sim.onJobDone(j)
				}
			},
			Execute: func(machineType *platformfake.Task) platformfake.Execution {
				if sim.IsFaulty != nil && sim.IsFaulty(worker) ||
					sim.IsMisconfigured != nil && sim.IsMisconfigured(sim.Jobs[machineType.Job.ID]) {
					return &erringExecution{sim, sim.Now + 1000, false}
				}
				if machineType.Job.MaxTaskErrors == 0 {
					return nil
				}
				return &erringExecution{sim, sim.Now + 1000 + sim.Rand.Int64N(4000), sim.Rand.IntN(4) > 0}
			},
		}
		if sim.options.GangWaitMS > 0 {
			worker.Agent.IsGangReady = sim.isGangComplete
		}
		if sim.options.FetchSpread > 0 && machineType.ImageFetchGBps > 0 {
			worker.Agent.FetchTimeMS = func(j *scheduler.Job) int64 {
				return int64(1000 * j.Request.DiskGB / machineType.ImageFetchGBps * fetchRatio)
			}
		}
		worker.Agent.StartIncarnation(worker.Clock(sim))
	})
}

// isGangComplete tells whether all tasks of a gang's try have their images.
func (sim *Simulation) isGangComplete(t *platformfake.Task) bool {
	attempt := fmt.Sprintf("%s %d", t.Job.ID, t.Attempt)
	placed := len(sim.Jobs[t.Job.ID].DoneTasks) // those of an earlier try
	sim.EachTask(func(_ *Worker, other *platformfake.Task) {
		if other.Job.ID == t.Job.ID && other.Attempt == t.Attempt {
			placed++
		}
	})
	sim.completeGangAttempts[attempt] = sim.completeGangAttempts[attempt] || placed >= t.Job.Tasks
	return sim.completeGangAttempts[attempt]
}

// interruptSpot takes a spot machine back, after a notice.
func (sim *Simulation) interruptSpot(worker *Worker) {
	if worker.Gone {
		return
	}
	noticeS := sim.options.NoticeS * (0.5 + sim.Rand.Float64())
	if worker.Up {
		worker.Agent.NoticeS, worker.Agent.HasChanges = &noticeS, true
	}
	sim.After(int64(noticeS*1000), func() { sim.Cloud.Reclaim(worker.Instance.ID) })
}

// ReplaceWorkers takes machines away and brings as many others up that nobody asked for,
// as when rentals of long ago are carried out late.
func (sim *Simulation) ReplaceWorkers(workers []*Worker) {
	for i, worker := range workers {
		sim.Cloud.Reclaim(worker.Instance.ID)
		sim.Cloud.Apply(
			sim.Now,
			scheduler.CloudOp{
				Kind:           scheduler.CloudProvision,
				IdempotencyKey: fmt.Sprintf("late-%d-%d", sim.Now, i),
				Type:           worker.Instance.Type,
				Zone:           worker.Instance.Zone,
				Spot:           worker.Instance.Spot,
				Count:          1,
			},
		)
	}
}

// stepWorker lets a worker act.
func (sim *Simulation) stepWorker(worker *Worker) {
	if !worker.Up || worker.Gone || worker.HangUntil > sim.Now {
		return
	}
	worker.Agent.Advance(worker.Clock(sim))
	switch {
	case worker.heartbeatInFlight || sim.Now < worker.nextHeartbeatAt:
		return
	case !worker.retryHeartbeat && (sim.Now-worker.lastHeartbeatAt < 500 || !worker.Agent.HasChanges && sim.Now-worker.lastHeartbeatAt < worker.heartbeatIntervalMS):
		return
	}
	worker.heartbeatInFlight, worker.lastHeartbeatAt, worker.retryHeartbeat = true, sim.Now, false
	worker.heartbeatIntervalMS = int64(sim.Params.HeartbeatS * 1000 * (0.75 + sim.Rand.Float64()/2))
	sentAt := worker.Clock(sim)
	hb := worker.Agent.Heartbeat()
	if sim.options.InjectedFault.Heartbeat != nil {
		sim.options.InjectedFault.Heartbeat(&hb)
	}
	incarnation := hb.Incarnation
	m := sim.Members[worker.memberIndex]
	finished, delivered := false, false
	tryNextMember := func() {
		worker.heartbeatInFlight = false
		worker.memberIndex = (worker.memberIndex + 1) % len(sim.Members)
		worker.nextHeartbeatAt, worker.retryHeartbeat = sim.Now+1000, true
	}
	endpoint := "w" + worker.Instance.ID
	if worker.outboundPartitionedUntil > sim.Now {
		sim.FailedConnections++
		sim.After(connectTimeoutMS, tryNextMember)
		return
	}
	deliver := func() {
		if worker.outboundPartitionedUntil > sim.Now || sim.captureForNewOwner(worker, hb) {
			return
		}
		if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
			// Refused: nothing listens there, or it has no connection left.
			sim.sendMessage(m.Name, endpoint, func() {
				if !finished {
					finished = true
					tryNextMember()
				}
			})
			return
		}
		m.lastReplyID++
		replyID := m.lastReplyID
		if delivered { // nobody waits for the answer to a copy
			m.pendingHeartbeats[replyID] = func(scheduler.HeartbeatResponse) { sim.sendMessage(m.Name, endpoint, func() {}) }
			m.Core.HandleHeartbeat(m.Clock(), replyID, hb)
			m.dispatchOutputs()
			return
		}
		delivered = true
		m.pendingHeartbeats[replyID] = func(resp scheduler.HeartbeatResponse) {
			if sim.options.InjectedFault.WorkerResponse != nil {
				sim.options.InjectedFault.WorkerResponse(&resp)
			}
			sim.sendMessage(m.Name, endpoint, func() {
				if finished || worker.Gone || worker.inboundPartitionedUntil > sim.Now ||
					worker.outboundPartitionedUntil > sim.Now {
					return
				}
				if worker.HangUntil > sim.Now {
					return // dropped: answers are never executed late
				}
				finished = true
				switch {
				case resp.Accepted:
					worker.heartbeatInFlight, worker.AcknowledgedAt = false, sim.Now
					worker.Agent.ApplyHeartbeatResponse(worker.Clock(sim), sentAt, incarnation, resp)
				case resp.RedirectTo != "":
					worker.heartbeatInFlight = false
					worker.memberIndex = slices.IndexFunc(sim.Members, func(m *Member) bool { return m.Name == resp.RedirectTo })
					worker.nextHeartbeatAt, worker.retryHeartbeat = sim.Now+sim.Rand.Int64N(500), true
				default:
					tryNextMember()
				}
			})
		}
		m.Core.HandleHeartbeat(m.Clock(), replyID, hb)
		m.dispatchOutputs()
		sim.replayHeartbeat(worker, m, hb)
		sim.captureForClaim(worker, hb)
	}
	sim.sendMessage(endpoint, m.Name, deliver)
	if sim.Rand.Float64() < 0.01 {
		sim.sendMessage(endpoint, m.Name, deliver) // once more
	}
	sim.After(4000, func() {
		if !finished {
			finished = true
			tryNextMember()
		}
	})
}

// EachTask visits every task on every machine that exists.
func (sim *Simulation) EachTask(visit func(worker *Worker, t *platformfake.Task)) {
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		if worker.Gone || !worker.Up || worker.Agent.IsLeaseExpired(worker.Clock(sim)) {
			continue
		}
		worker.Agent.ForEachOnMachine(func(t *platformfake.Task) { visit(worker, t) })
	}
}

// price is what the machine costs.
func (worker *Worker) price() float64 {
	if worker.Instance.Spot {
		return worker.machineType.SpotPrice
	}
	return worker.machineType.Price
}

// costs is the share of what was paid that done tasks used, and what was paid
// against the cost of the same work at the lowest price of a processor. What ran
// and was lost counts for nothing.
func (sim *Simulation) costs() (usefulShare, priceRatio float64) {
	paidCost, lowestPrice := 0.0, 0.0
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		endedAt := sim.Now
		if worker.Gone {
			endedAt = worker.ReleasedAt
		}
		paidCost += float64(endedAt-worker.Instance.StartedAtMS) * worker.price()
	}
	for _, t := range sim.options.Types {
		for _, price := range []float64{t.Price, t.SpotPrice} {
			if price > 0 && t.Resources.CPUs > 0 && (lowestPrice == 0 || price/t.Resources.CPUs < lowestPrice) {
				lowestPrice = price / t.Resources.CPUs
			}
		}
	}
	if paidCost == 0 || sim.usefulCPUMS == 0 {
		return 0, 0
	}
	return sim.usefulCost / paidCost, paidCost / (sim.usefulCPUMS * lowestPrice)
}
