package emulator

import (
	"maps"
	"slices"

	"github.com/grebedock/grebedock/scheduler"
)

// InjectedFault alters messages between the cores and the simulation, so that tests can verify that
// the check of each rule detects violations.
type InjectedFault struct {
	WorkerResponse func(*scheduler.HeartbeatResponse) // responses to workers
	Heartbeat      func(*scheduler.Heartbeat)         // heartbeats of workers
	Params         func(*scheduler.Params)
	SubmittedJob   func(*scheduler.Job)          // the job as the cores receive it
	UserResponse   func(*scheduler.UserResponse) // responses to users
	// ResponseToRequest alters responses to users depending on their request.
	ResponseToRequest func(scheduler.UserRequest, *scheduler.UserResponse)
}

// Member is a simulated member, which has a core while it is running.
type Member struct {
	Name          string
	Core          *scheduler.Controller // nil while it is down
	ClockOffsetMS int64                 // error of its wall clock in ms

	sim                *Simulation
	epoch              int
	clockRate          float64
	startedAt          int64
	nextStoreRequestAt int64 // when the rate limits allow its next request to the state service
	// Time at which its paused process resumes.
	pausedUntil         int64
	lastReplyID         uint64
	pendingHeartbeats   map[uint64]func(scheduler.HeartbeatResponse)
	pendingUserRequests map[uint64]func(scheduler.UserResponse)
}

type pendingWatch struct {
	op      scheduler.StoreOp
	until   int64
	member  string
	respond func(scheduler.StoreResult)
}

// Clock returns the member's own monotonic and wall-clock time.
func (m *Member) Clock() scheduler.Now {
	return scheduler.Now{
		MonotonicMS: m.monotonicMS(),
		WallMS:      1_700_000_000_000 + m.sim.Now + m.ClockOffsetMS + m.sim.Rand.Int64N(11) - 5,
	}
}

// monotonicMS returns the member's own monotonic time.
func (m *Member) monotonicMS() int64 {
	return int64(float64(m.sim.Now-m.startedAt)*m.clockRate) + 1
}

func (m *Member) start() {
	cfg := m.sim.Params
	cfg.MemberID = m.Name
	for _, other := range m.sim.Members {
		if other != m {
			cfg.PeerIDs = append(cfg.PeerIDs, other.Name)
		}
	}
	if m.sim.options.InjectedFault.Params != nil {
		m.sim.options.InjectedFault.Params(&cfg)
	}
	m.epoch++
	m.startedAt = m.sim.Now
	m.pendingHeartbeats = map[uint64]func(scheduler.HeartbeatResponse){}
	m.pendingUserRequests = map[uint64]func(scheduler.UserResponse){}
	m.Core = scheduler.New(cfg, m.sim.Rand.Uint64(), m.Clock())
	m.tick(m.epoch)
}

// Crash stops a member immediately; it restarts after downMS.
func (m *Member) Crash(downMS int64) {
	if m.Core == nil {
		return
	}
	m.Core = nil
	m.epoch++
	m.sim.After(downMS, m.start)
}

func (m *Member) tick(epoch int) {
	if m.epoch != epoch || m.Core == nil {
		return
	}
	if remainingPause := m.pausedUntil - m.sim.Now; remainingPause > 0 {
		m.sim.After(remainingPause+1, func() { m.tick(epoch) })
		return
	}
	m.Core.Tick(m.Clock())
	m.dispatchOutputs()
	m.sim.After(50+m.sim.lagDelay(m.Name), func() { m.tick(epoch) })
}

// inEpoch wraps callback so that it runs only if the member has not restarted since the request,
// and not while its process is paused.
func (m *Member) inEpoch(epoch int, callback func()) func() {
	var run func()
	run = func() {
		if remainingPause := m.pausedUntil - m.sim.Now; remainingPause > 0 {
			m.sim.After(remainingPause+1, run)
			return
		}
		if m.epoch == epoch && m.Core != nil {
			callback()
			m.dispatchOutputs()
		}
	}
	return run
}

const requestTimeoutMS = 2000

// sendToStore sends a request to the state service, within the member's share of the rate limits,
// if any. It sends requests in order of arrival; the production program sends lease renewals first.
func (sim *Simulation) sendToStore(m *Member, op scheduler.StoreOp, send func()) {
	if sim.StoreRPS == 0 {
		sim.sendMessage(m.Name, "store", send)
		return
	}
	memberCount := float64(len(sim.Members))
	cost := max(1, memberCount/sim.StoreRPS*1000, memberCount/sim.StoreWriteRPS*1000*float64(len(op.Changes)))
	m.nextStoreRequestAt = max(m.nextStoreRequestAt, sim.Now-1000) + int64(cost)
	sim.After(max(0, m.nextStoreRequestAt-sim.Now), func() { sim.sendMessage(m.Name, "store", send) })
}

// dispatchOutputs processes the outputs of the member's core.
func (m *Member) dispatchOutputs() {
	// The observer may crash the member. Its outputs are still sent, as by a process that ends a
	// moment later, but responses do not reach the restarted core, because its epoch differs.
	sim, epoch := m.sim, m.epoch
	outputs := m.Core.TakeOutputs()
	sim.splitNewRanges(outputs.StoreOps)
	if sim.Observer != nil {
		sim.Observer(m, &outputs)
	}
	m.traceLogs(outputs.Logs)
	sim.observeFirstCommands(m, &outputs)
	m.respondToWorkers(outputs.HeartbeatResponses)
	m.respondToUsers(outputs.UserResponses)
	for _, op := range outputs.StoreOps {
		m.sendStoreOp(epoch, op)
	}
	for _, op := range outputs.CloudOps {
		m.sendCloudOp(epoch, op)
	}
	for _, command := range outputs.DirectCommands {
		m.sendDirectCommand(epoch, command)
	}
	for _, request := range outputs.Relays {
		m.relayRequest(epoch, request)
	}
	if outputs.PeerMessage == nil {
		return
	}
	for _, peer := range sim.Members {
		if peer != m {
			m.sendPeerMessage(peer, &outputs)
		}
	}
}

func (m *Member) traceLogs(lines []scheduler.LogLine) {
	for _, line := range lines {
		if line.Message == "task stopped for a higher priority" {
			m.sim.PriorityStops++
		}
		m.sim.Tracef("%s %s %v", m.Name, line.Message, line.Args)
	}
}

func (m *Member) respondToWorkers(responses map[uint64]scheduler.HeartbeatResponse) {
	for _, id := range slices.Sorted(maps.Keys(responses)) {
		resp := responses[id]
		m.sim.checkCommands(resp.Commands)
		if respond := m.pendingHeartbeats[id]; respond != nil {
			delete(m.pendingHeartbeats, id)
			respond(resp)
		}
	}
}

func (m *Member) respondToUsers(responses map[uint64]scheduler.UserResponse) {
	for _, id := range slices.Sorted(maps.Keys(responses)) {
		resp := responses[id]
		if respond := m.pendingUserRequests[id]; respond != nil {
			delete(m.pendingUserRequests, id)
			respond(resp)
		}
	}
}

func (m *Member) sendStoreOp(epoch int, op scheduler.StoreOp) {
	sim := m.sim
	timeoutMS := int64(requestTimeoutMS)
	if op.Kind == scheduler.StoreWatch {
		timeoutMS += op.DurationMS
	}
	respond := func(result scheduler.StoreResult) {
		sim.sendMessage(
			"store", m.Name,
			m.inEpoch(epoch, func() { m.Core.HandleStoreResult(m.Clock(), op.ID, result) }),
		)
	}
	sim.StoreRequests[op.Kind]++
	sim.StoreChanges += len(op.Changes)
	sim.sendToStore(m, op, func() { sim.runStoreOp(m, op, respond) })
	sim.After(timeoutMS, m.inEpoch(epoch, func() {
		m.Core.HandleStoreResult(m.Clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown})
	}))
}

// runStoreOp executes a request at the state service.
func (sim *Simulation) runStoreOp(m *Member, op scheduler.StoreOp, respond func(scheduler.StoreResult)) {
	if sim.storeRefuses(m.Name) {
		respond(scheduler.StoreResult{Outcome: scheduler.Refused})
		return
	}
	if sim.interceptLateWrite(m, op) {
		return
	}
	result, ready := sim.Store.Apply(sim.Now, op)
	if op.Kind == scheduler.StoreWatch && !ready {
		sim.pendingWatches = append(sim.pendingWatches, pendingWatch{op, sim.Now + op.DurationMS, m.Name, respond})
		return
	}
	sim.observeClaim(m, op, result)
	if sim.dropsStoreResponse(m, op, result) {
		return
	}
	respond(result)
}

func (m *Member) sendCloudOp(epoch int, op scheduler.CloudOp) {
	sim := m.sim
	switch op.Kind {
	case scheduler.CloudProvision:
		sim.countCommands("rent", op.Count)
	case scheduler.CloudRelease:
		sim.countCommands("return", len(op.Machines))
	}
	sim.sendMessage(m.Name, "cloud", func() {
		result := sim.Cloud.Apply(sim.Now, op)
		sim.sendMessage(
			"cloud", m.Name,
			m.inEpoch(epoch, func() { m.Core.HandleCloudResult(m.Clock(), op.ID, result) }),
		)
	})
	sim.After(2*requestTimeoutMS, m.inEpoch(epoch, func() {
		m.Core.HandleCloudResult(m.Clock(), op.ID, scheduler.CloudResult{Outcome: scheduler.Unknown})
	}))
}

func (m *Member) sendDirectCommand(epoch int, command scheduler.DirectCommand) {
	sim := m.sim
	sim.checkCommands(command.Commands)
	if len(command.Commands) == 0 {
		sim.countCommands("ask", 1)
	}
	worker := sim.Workers[command.Machine]
	if worker == nil {
		return
	}
	if sim.isCommandLate(&command) {
		sim.runCommandLate(worker, command)
	} else {
		sim.sendMessage(m.Name, "w"+command.Machine, func() {
			sim.runAt(worker.commandsDelayedUntil, func() { sim.runDirectCommand(m, epoch, worker, command) })
		})
	}
	sim.After(requestTimeoutMS, m.inEpoch(epoch, func() {
		m.Core.HandleDirectCommandResult(
			m.Clock(), command.ID, scheduler.DirectCommandResult{Outcome: scheduler.Unknown},
		)
	}))
}

func (m *Member) relayRequest(epoch int, request scheduler.RelayRequest) {
	sim := m.sim
	peer := sim.Members[slices.IndexFunc(sim.Members, func(peer *Member) bool { return peer.Name == request.Peer })]
	finished := false
	finish := func(resp scheduler.UserResponse, ok bool) {
		if !finished {
			finished = true
			m.inEpoch(epoch, func() { m.Core.HandleRelayResult(m.Clock(), request.ID, resp, ok) })()
		}
	}
	sim.Relayed++
	sim.sendMessage(m.Name, peer.Name, func() {
		if peer.Core == nil {
			return
		}
		peer.lastReplyID++
		peer.pendingUserRequests[peer.lastReplyID] = func(resp scheduler.UserResponse) {
			sim.sendMessage(peer.Name, m.Name, func() { finish(resp, true) })
		}
		peer.Core.HandleUserRequest(peer.Clock(), peer.lastReplyID, request.Request)
		peer.dispatchOutputs()
	})
	sim.After(requestTimeoutMS/2, func() { finish(scheduler.UserResponse{}, false) })
}

// duplicatePeerMessageShare is the share of messages between members that arrive twice.
const duplicatePeerMessageShare = 0.02

func (m *Member) sendPeerMessage(peer *Member, outputs *scheduler.Outputs) {
	sim := m.sim
	msg := *outputs.PeerMessage
	if outputs.SummaryRecipients != nil && !slices.Contains(outputs.SummaryRecipients, peer.Name) {
		msg = *outputs.PeerMessage.WithoutSummaries()
	}
	if sim.PeerMessages++; !msg.OmitsSummaries {
		sim.SummaryMessages++
	}
	deliveries := 1
	if sim.Rand.Float64() < duplicatePeerMessageShare {
		deliveries = 2
	}
	for range deliveries {
		sim.sendMessage(m.Name, peer.Name, func() { peer.receivePeerMessage(msg) })
	}
}

// receivePeerMessage passes a copy of the message to the core: messages from a network share no
// memory.
func (m *Member) receivePeerMessage(msg scheduler.PeerMessage) {
	if m.Core == nil {
		return
	}
	msg.OwnedShards = slices.Clone(msg.OwnedShards)
	for i := range msg.OwnedShards {
		msg.OwnedShards[i].Summary = slices.Clone(msg.OwnedShards[i].Summary)
	}
	m.Core.HandlePeerMessage(m.Clock(), msg)
	m.dispatchOutputs()
}

func (sim *Simulation) runDirectCommand(m *Member, epoch int, worker *Worker, command scheduler.DirectCommand) {
	sim.deliverToWorker(worker, func() {
		sim.observeWorkerMessage(worker, command.Token, false)
		result := worker.Agent.ApplyDirectCommand(worker.Clock(sim), command)
		sim.duplicateCommand(m, epoch, worker, command)
		respond := m.inEpoch(epoch, func() { m.Core.HandleDirectCommandResult(m.Clock(), command.ID, result) })
		sim.runAt(worker.commandResultsDelayedUntil, func() { sim.sendMessage("w"+command.Machine, m.Name, respond) })
	})
}

// deliverToWorker delivers a message to a machine that runs and is not partitioned. A machine that hangs receives it
// when it resumes.
func (sim *Simulation) deliverToWorker(worker *Worker, deliver func()) {
	if !worker.Up || worker.Gone || worker.inboundPartitionedUntil > sim.Now {
		return
	}
	if worker.HangUntil > sim.Now {
		sim.After(worker.HangUntil-sim.Now+1, func() { sim.deliverToWorker(worker, deliver) })
		return
	}
	deliver()
}
