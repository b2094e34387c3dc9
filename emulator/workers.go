package emulator

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Worker is a provisioned machine.
type Worker struct {
	Agent          *platformfake.Worker // nil until the machine has booted
	Instance       *platformfake.Instance
	Up, Gone       bool
	ReleasedAt     int64
	HangUntil      int64
	AcknowledgedAt int64 // when a member last accepted a heartbeat of it

	machineType              scheduler.MachineType
	taskStartedAt            map[string]int64 // when each task last started here
	memberIndex              int              // member that it sends heartbeats to
	heartbeatInFlight        bool
	nextHeartbeatAt          int64
	lastHeartbeatAt          int64
	retryHeartbeat           bool  // the last heartbeat had no valid response
	inboundPartitionedUntil  int64 // responses and direct commands to it are dropped
	outboundPartitionedUntil int64 // it cannot connect to any member
	// Times until which direct commands to it, and their responses, are delayed.
	commandsDelayedUntil, commandResultsDelayedUntil int64
	// Time from the last heartbeat to the next one if nothing changes.
	heartbeatIntervalMS int64
	clockRate           float64
}

// timedExecution is the execution of a task that ends at a given time, successfully or with an
// error.
type timedExecution struct {
	sim      *Simulation
	endsAt   int64
	succeeds bool
}

func (execution *timedExecution) IsFinished() (bool, error) {
	if execution.sim.Now < execution.endsAt {
		return false, nil
	}
	if execution.succeeds {
		return true, nil
	}
	return true, errors.New("failed")
}

func (execution *timedExecution) Stop() {}

// MemberName returns the member that the machine sends heartbeats to.
func (worker *Worker) MemberName(sim *Simulation) string { return sim.Members[worker.memberIndex].Name }

// Clock returns the machine's own monotonic time in ms.
func (worker *Worker) Clock(sim *Simulation) int64 { return int64(float64(sim.Now) * worker.clockRate) }

// neverBootsShare is the share of provisioned machines that never boot.
const neverBootsShare = 0.05

// addWorker adds a machine for an instance that the cloud has provisioned.
func (sim *Simulation) addWorker(instance *platformfake.Instance) {
	worker := &Worker{
		Instance:      instance,
		taskStartedAt: map[string]int64{},
		clockRate:     1 + (sim.Rand.Float64()-0.5)*0.001,
		memberIndex:   sim.Rand.IntN(sim.options.Members),
	}
	sim.Workers[instance.ID] = worker
	sim.WorkerIDs = append(sim.WorkerIDs, instance.ID)
	for _, candidate := range sim.Cloud.Types {
		if candidate.Name == instance.Type {
			worker.machineType = candidate
		}
	}
	speedRatio, fetchRatio := 1.0, 1.0
	if sim.options.SpeedSpread > 0 {
		speedRatio = 1 + sim.options.SpeedSpread*(2*sim.Rand.Float64()-1)
	}
	if sim.options.FetchSpread > 0 {
		fetchRatio = 1 + sim.options.FetchSpread*(2*sim.Rand.Float64()-1)
	}
	if instance.Spot && sim.options.SpotLossPerHour > 0 {
		lossAfterMS := int64(sim.Rand.ExpFloat64() * 3_600_000 * 100 / sim.options.SpotLossPerHour)
		sim.After(max(1, lossAfterMS), func() { sim.interruptSpot(worker) })
	}
	bootMS := int64(worker.machineType.BootS * 1000 * (0.6 + 0.9*sim.Rand.Float64()))
	if sim.Rand.Float64() < neverBootsShare {
		return
	}
	if sim.BootDelay != nil {
		bootMS = sim.BootDelay(worker, bootMS)
	}
	if bootMS < 0 {
		return
	}
	sim.After(bootMS, func() { sim.bootWorker(worker, speedRatio, fetchRatio) })
}

// bootWorker starts the agent of a machine that has booted, unless the machine was released before.
func (sim *Simulation) bootWorker(worker *Worker, speedRatio, fetchRatio float64) {
	if worker.Gone {
		return
	}
	worker.Up = true
	worker.Instance.State = "running"
	worker.Agent = sim.newAgent(worker, speedRatio)
	if sim.options.GangWaitMS > 0 {
		worker.Agent.IsGangReady = sim.isGangComplete
	}
	if fetchGBps := worker.machineType.ImageFetchGBps; sim.options.FetchSpread > 0 && fetchGBps > 0 {
		worker.Agent.FetchTimeMS = func(j *scheduler.Job) int64 {
			return int64(1000 * j.Request.DiskGB / fetchGBps * fetchRatio)
		}
	}
	worker.Agent.StartIncarnation(worker.Clock(sim))
}

func (sim *Simulation) newAgent(worker *Worker, speedRatio float64) *platformfake.Worker {
	return &platformfake.Worker{
		Machine:   worker.Instance.CloudMachine,
		Resources: worker.machineType.Resources,
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
			runMS := sim.options.TaskRunMS(sim, j, task)
			j.longestRunMS = max(j.longestRunMS, runMS)
			return runMS * int64(1000*speedRatio) / 1000
		},
		GangTimeoutMS: sim.options.GangWaitMS,
		OnStarted:     func(_ *platformfake.Worker, t *platformfake.Task) { sim.onStart(worker, t) },
		OnStopping: func(_ *platformfake.Worker, t *platformfake.Task) {
			sim.excludeEarlyStop(worker, t)
			if sim.OnTaskStop != nil {
				sim.OnTaskStop(worker, t)
			}
		},
		OnDone:    func(_ *platformfake.Worker, t *platformfake.Task) { sim.onDone(worker, t) },
		OnCleared: func(_ *platformfake.Worker, t *platformfake.Task) { sim.checkClear(worker, t) },
		Execute:   func(t *platformfake.Task) platformfake.Execution { return sim.execute(worker, t) },
	}
}

// onDone records that a task is done, and adds its run time to the useful work.
func (sim *Simulation) onDone(worker *Worker, t *platformfake.Task) {
	if sim.OnTaskDone != nil {
		sim.OnTaskDone(t)
	}
	j := sim.Jobs[t.Job.ID]
	if startedAt, ok := worker.taskStartedAt[t.Name]; ok && !j.DoneTasks[t.Name] {
		cpuMS := float64(sim.Now-startedAt) * j.Spec.Request.CPUs
		sim.usefulCPUMS += cpuMS
		sim.usefulCost += cpuMS / worker.machineType.Resources.CPUs * worker.price()
	}
	if j.DoneTasks[t.Name] = true; len(j.DoneTasks) == j.Spec.Tasks && j.DoneAt == 0 {
		j.DoneAt = sim.Now
		sim.onJobDone(j)
	}
}

// execute returns the execution of a task that may fail, or nil for a task that runs for its run
// time and succeeds.
func (sim *Simulation) execute(worker *Worker, t *platformfake.Task) platformfake.Execution {
	if sim.IsFaulty != nil && sim.IsFaulty(worker) ||
		sim.IsMisconfigured != nil && sim.IsMisconfigured(sim.Jobs[t.Job.ID]) {
		return &timedExecution{sim, sim.Now + 1000, false}
	}
	if t.Job.MaxTaskErrors == 0 {
		return nil
	}
	return &timedExecution{sim, sim.Now + 1000 + sim.Rand.Int64N(4000), sim.Rand.IntN(4) > 0}
}

// isGangComplete reports whether all tasks of a gang's attempt have been on machines at the same
// time, with their images.
func (sim *Simulation) isGangComplete(t *platformfake.Task) bool {
	attempt := fmt.Sprintf("%s %d", t.Job.ID, t.Attempt)
	placed := len(sim.Jobs[t.Job.ID].DoneTasks) // done in an earlier attempt
	sim.EachTask(func(_ *Worker, other *platformfake.Task) {
		if other.Job.ID == t.Job.ID && other.Attempt == t.Attempt {
			placed++
		}
	})
	sim.completeGangAttempts[attempt] = sim.completeGangAttempts[attempt] || placed >= t.Job.Tasks
	return sim.completeGangAttempts[attempt]
}

// interruptSpot makes the cloud reclaim a spot machine after a notice.
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

// ReplaceWorkers makes the cloud reclaim machines and provision as many without a request, as when
// old provisioning requests are executed late.
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

// Timing of heartbeats: at least minHeartbeatIntervalMS between two, except for retries and
// redirects; memberRetryMS before a retry at the next member; and a timeout of heartbeatTimeoutMS
// for a response. The network duplicates a share of duplicateHeartbeatShare.
const (
	minHeartbeatIntervalMS  = 500
	memberRetryMS           = 1000
	heartbeatTimeoutMS      = 4000
	duplicateHeartbeatShare = 0.01
)

// stepWorker advances a worker, and sends its next heartbeat when it is due.
func (sim *Simulation) stepWorker(worker *Worker) {
	if !worker.Up || worker.Gone || worker.HangUntil > sim.Now {
		return
	}
	worker.Agent.Advance(worker.Clock(sim))
	if worker.heartbeatInFlight || sim.Now < worker.nextHeartbeatAt {
		return
	}
	sinceLastMS := sim.Now - worker.lastHeartbeatAt
	isDue := worker.Agent.HasChanges || sinceLastMS >= worker.heartbeatIntervalMS
	if !worker.retryHeartbeat && (sinceLastMS < minHeartbeatIntervalMS || !isDue) {
		return
	}
	sim.sendHeartbeat(worker)
}

// heartbeatExchange is one heartbeat and its response.
type heartbeatExchange struct {
	sim         *Simulation
	worker      *Worker
	member      *Member
	heartbeat   scheduler.Heartbeat
	sentAt      int64  // on the worker's clock
	incarnation uint64 // in the sent heartbeat
	finished    bool   // response received, refused or timed out
	delivered   bool   // a copy has reached the member
}

func (sim *Simulation) sendHeartbeat(worker *Worker) {
	worker.heartbeatInFlight, worker.lastHeartbeatAt, worker.retryHeartbeat = true, sim.Now, false
	worker.heartbeatIntervalMS = int64(sim.Params.HeartbeatS * 1000 * (0.75 + sim.Rand.Float64()/2))
	exchange := &heartbeatExchange{
		sim:       sim,
		worker:    worker,
		member:    sim.Members[worker.memberIndex],
		sentAt:    worker.Clock(sim),
		heartbeat: worker.Agent.Heartbeat(),
	}
	if sim.options.InjectedFault.Heartbeat != nil {
		sim.options.InjectedFault.Heartbeat(&exchange.heartbeat)
	}
	exchange.incarnation = exchange.heartbeat.Incarnation
	if worker.outboundPartitionedUntil > sim.Now {
		sim.FailedConnections++
		sim.After(connectTimeoutMS, exchange.tryNextMember)
		return
	}
	endpoint := worker.Endpoint()
	sim.sendMessage(endpoint, exchange.member.Name, exchange.deliver)
	if sim.Rand.Float64() < duplicateHeartbeatShare {
		sim.sendMessage(endpoint, exchange.member.Name, exchange.deliver)
	}
	sim.After(heartbeatTimeoutMS, exchange.fail)
}

// Endpoint returns the name of the machine in the network.
func (worker *Worker) Endpoint() string { return "w" + worker.Instance.ID }

// fail ends an exchange without a response, unless it has finished.
func (x *heartbeatExchange) fail() {
	if !x.finished {
		x.finished = true
		x.tryNextMember()
	}
}

func (x *heartbeatExchange) tryNextMember() {
	worker := x.worker
	worker.heartbeatInFlight = false
	worker.memberIndex = (worker.memberIndex + 1) % len(x.sim.Members)
	worker.nextHeartbeatAt, worker.retryHeartbeat = x.sim.Now+memberRetryMS, true
}

// deliver delivers a copy of the heartbeat to the member.
func (x *heartbeatExchange) deliver() {
	sim, worker, m := x.sim, x.worker, x.member
	if worker.outboundPartitionedUntil > sim.Now || sim.captureForNewOwner(worker, x.heartbeat) {
		return
	}
	if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
		// Refused: the member is down or has no connection left.
		sim.sendMessage(m.Name, worker.Endpoint(), x.fail)
		return
	}
	m.lastReplyID++
	replyID := m.lastReplyID
	if x.delivered { // the worker ignores the response to a duplicate
		m.pendingHeartbeats[replyID] = func(scheduler.HeartbeatResponse) {
			sim.sendMessage(m.Name, worker.Endpoint(), func() {})
		}
		m.Core.HandleHeartbeat(m.Clock(), replyID, x.heartbeat)
		m.dispatchOutputs()
		return
	}
	x.delivered = true
	m.pendingHeartbeats[replyID] = func(resp scheduler.HeartbeatResponse) {
		if sim.options.InjectedFault.WorkerResponse != nil {
			sim.options.InjectedFault.WorkerResponse(&resp)
		}
		sim.sendMessage(m.Name, worker.Endpoint(), func() { x.receiveResponse(resp) })
	}
	m.Core.HandleHeartbeat(m.Clock(), replyID, x.heartbeat)
	m.dispatchOutputs()
	sim.checkTeamUsage()
	sim.replayHeartbeat(worker, m, x.heartbeat)
	sim.captureForClaim(worker, x.heartbeat)
}

// receiveResponse applies the response at the worker. A response that arrives while the machine
// hangs is dropped: heartbeat responses are never applied late.
func (x *heartbeatExchange) receiveResponse(resp scheduler.HeartbeatResponse) {
	sim, worker := x.sim, x.worker
	isPartitioned := worker.inboundPartitionedUntil > sim.Now || worker.outboundPartitionedUntil > sim.Now
	if x.finished || worker.Gone || isPartitioned || worker.HangUntil > sim.Now {
		return
	}
	x.finished = true
	switch {
	case resp.Accepted:
		worker.heartbeatInFlight, worker.AcknowledgedAt = false, sim.Now
		sim.observeWorkerMessage(worker, resp.Token, true)
		worker.Agent.ApplyHeartbeatResponse(worker.Clock(sim), x.sentAt, x.incarnation, resp)
	case resp.RedirectTo != "":
		worker.heartbeatInFlight = false
		worker.memberIndex = slices.IndexFunc(sim.Members, func(m *Member) bool { return m.Name == resp.RedirectTo })
		worker.nextHeartbeatAt, worker.retryHeartbeat = sim.Now+sim.Rand.Int64N(500), true
	default:
		x.tryNextMember()
	}
}

func (sim *Simulation) observeWorkerMessage(worker *Worker, token uint64, renewsLease bool) {
	if sim.OnWorkerMessage != nil {
		sim.OnWorkerMessage(worker, token, renewsLease)
	}
}

// EachTask calls visit for every task on every existing machine.
func (sim *Simulation) EachTask(visit func(worker *Worker, t *platformfake.Task)) {
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		sim.EachTaskOn(worker, func(t *platformfake.Task) { visit(worker, t) })
	}
}

// EachTaskOn calls visit for every task on a machine. A machine that is nil, gone or has no lease has none.
func (sim *Simulation) EachTaskOn(worker *Worker, visit func(*platformfake.Task)) {
	if worker == nil || worker.Gone || !worker.Up || worker.Agent.IsLeaseExpired(worker.Clock(sim)) {
		return
	}
	worker.Agent.ForEachOnMachine(visit)
}

// price returns the spot or on-demand price of the machine.
func (worker *Worker) price() float64 {
	if worker.Instance.Spot {
		return worker.machineType.SpotPrice
	}
	return worker.machineType.Price
}

// costs returns the share of the cost that done tasks used, and the cost relative to that of the
// same work at the lowest price per processor. Lost work does not count as useful.
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
