// Package node runs a controller: one goroutine owns the core and feeds it
// what sockets and timers bring.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/internal/cloud"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/mesh"
	"github.com/grebedock/grebedock/internal/statestore"
	"github.com/grebedock/grebedock/internal/userapi"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// tick is how often the core is told that time passes. Each one wakes the
// process; at twice the rate, ticks took a quarter of a 12 % share of a core.
const tick = 100 * time.Millisecond

// Node is a running controller.
type Node struct {
	settings           *config.File
	logger             *slog.Logger
	startedAt          time.Time
	core               *scheduler.Controller
	queues             inputQueues
	stopped            <-chan struct{}
	usable             atomic.Bool
	health             *health
	connectionLimiters []*connlimit.Limiter
	workflows          *workflowRunner // nil: switched off
	schedules          *scheduleRunner // nil: switched off

	store        *statestore.Client
	cloud        *cloud.Client
	peers        *mesh.Peers
	workerClient *httpclient.MultiHostClient

	// Owned by the loop.
	lastReplyID       uint64
	pendingUsers      map[uint64]chan scheduler.UserResponse
	pendingHeartbeats map[uint64]chan scheduler.HeartbeatResponse
}

// Params turns the settings file into what the core needs.
func Params(settings *config.File) scheduler.Params {
	p := scheduler.Params{
		MemberID: settings.Member, Zone: settings.Zone, Teams: map[string]scheduler.Team{}, Objectives: map[string][]scheduler.Objective{},
		HeartbeatS: settings.Cluster.Workers.HeartbeatS, LeaseS: settings.Cluster.Workers.LeaseS, CancelWithinS: settings.Cluster.Workers.CancelS,
		CPUShare: settings.Cluster.Limits.CPUShare, MaxValueBytes: int(settings.Cluster.State.ValueKB * 1024), MaxTxnOps: settings.Cluster.State.TxnOps, CloudListLagS: settings.Cluster.Cloud.ListLagS,
	}
	for _, o := range settings.Peers {
		p.PeerIDs = append(p.PeerIDs, o.Member)
	}
	for _, t := range settings.Cluster.Teams {
		p.Teams[t.Name] = scheduler.Team{CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax}
	}
	for _, o := range settings.Cluster.Objectives {
		if o.Kind == "guarantee" {
			p.GuaranteeWithinS = o.WithinS
		}
		if o.Class != "" {
			p.Objectives[o.Class] = append(
				p.Objectives[o.Class],
				scheduler.Objective{Kind: o.Kind, WithinS: o.WithinS, DeadlineFactor: o.Times},
			)
		}
	}
	return p
}

// Run runs a controller until ctx ends or a listener fails.
func Run(ctx context.Context, settings *config.File, enabled features.Set, logger *slog.Logger) error {
	node := &Node{
		settings:          settings,
		logger:            logger,
		startedAt:         time.Now(),
		health:            newHealth(settings.Cluster.Limits.HeapBytes()),
		queues:            newInputQueues(),
		stopped:           ctx.Done(),
		pendingUsers:      map[uint64]chan scheduler.UserResponse{},
		pendingHeartbeats: map[uint64]chan scheduler.HeartbeatResponse{},
	}
	p := node.coreParams(enabled)
	node.core = scheduler.New(p, rand.Uint64(), node.now())
	if enabled.Workflows.Enabled {
		node.workflows = newWorkflowRunner(node, settings, enabled.Workflows.DataDir)
	}
	if enabled.Schedules.Enabled {
		node.schedules = newScheduleRunner(node, settings)
	}
	node.createClients(ctx, p.MaxPendingRelays)
	return node.serve(ctx, enabled)
}

// coreParams is what the core needs of the settings and switches.
func (n *Node) coreParams(enabled features.Set) scheduler.Params {
	settings := n.settings
	p := Params(settings)
	if enabled.Relay.Enabled {
		p.MaxPendingRelays = mesh.MaxRelays(settings.Cluster.Limits.MaxSockets)
	}
	if enabled.Admission.Enabled {
		p.StoreChangeRate = settings.Cluster.State.WriteRPS / float64(len(settings.Peers)+1)
	}
	p.Recovery = enabled.Recovery.Enabled
	p.Quota = enabled.Quota.Enabled
	p.Aging = enabled.Aging.Enabled
	p.Rollout = enabled.Rollout.Enabled
	p.Debug = n.logger.Enabled(context.Background(), slog.LevelDebug)
	return p
}

// createClients makes the clients of all that the member asks.
func (n *Node) createClients(ctx context.Context, maxRelays int) {
	settings := n.settings
	n.store = statestore.New(ctx, settings, func(id uint64, r scheduler.StoreResult) {
		switch {
		case id&workflowRequestFlag != 0:
			n.workflows.storeDone(id, r)
			return
		case id&scheduleRequestFlag != 0:
			n.schedules.storeDone(id, r)
			return
		}
		n.enqueueResponse(func(now scheduler.Now) { n.core.HandleStoreResult(now, id, r) })
	})
	n.cloud = cloud.New(ctx, settings, func(id uint64, r scheduler.CloudResult) {
		n.enqueueResponse(func(now scheduler.Now) { n.core.HandleCloudResult(now, id, r) })
	})
	n.peers = mesh.NewPeers(settings.Peers, maxRelays)
	n.workerClient = httpclient.NewMultiHostClient(2)
}

// serve listens and runs the loops until ctx ends or a listener fails.
func (n *Node) serve(ctx context.Context, enabled features.Set) error {
	settings := n.settings
	userListener, err := listen(settings.UserAPIAddr)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	defer userListener.closeAll()
	peerListener, err := listen(settings.PeerAPIAddr)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer peerListener.closeAll()
	var userConns, peerConns net.Listener = userListener, peerListener
	sockets, limited := settings.Cluster.Limits.MaxSockets, enabled.Connections.Enabled
	if limited {
		userConns = n.limitConnections(ctx, "front", userConns, userSocketShare, userapi.ConnectionClasses())
		peerConns = n.limitConnections(ctx, "mesh", peerConns, peerSocketShare, mesh.ConnectionClasses())
	}
	userServer := userapi.NewUserServer(n, sockets, limited)
	if n.workflows != nil {
		userapi.ServeWorkflows(userServer, n.workflows)
	}
	peerServer := mesh.NewPeerServer(n, sockets, limited)
	if n.schedules != nil {
		mesh.ServeSchedules(peerServer, n.schedules)
	}
	failed := make(chan error, 2)
	go func() { failed <- userServer.Listener(userConns) }()
	go func() { failed <- peerServer.Listener(peerConns) }()
	n.logger.Info(
		"controller started",
		"member",
		settings.Member,
		"zone",
		settings.Zone,
		"front",
		settings.UserAPIAddr,
		"mesh",
		settings.PeerAPIAddr,
		"on",
		enabled.EnabledNames(),
	)
	go n.loop(ctx)
	if n.workflows != nil {
		go n.workflows.loop(ctx)
	}
	if n.schedules != nil {
		go n.schedules.loop(ctx)
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Join(userServer.ShutdownWithTimeout(time.Second), peerServer.ShutdownWithTimeout(time.Second))
	}
}

// Shares of a member's sockets that come in. What is left goes out: to the
// state service, the cloud, the peers, and straight to workers.
const (
	userSocketShare = 5.0 / 8
	peerSocketShare = 1.0 / 8
)

// Bounds on connections. A request takes milliseconds to arrive; who takes a
// quarter of a lease for one has given up on its answer, since workers wait
// four seconds and users two to five. Between two requests there is a report's
// interval or a poll's, both well below two leases. Half-read bodies may take
// a sixteenth of the heap on each address.
const (
	headerTimeoutLeases   = 1.0 / 4
	bodyTimeoutLeases     = 1.0 / 4
	responseTimeoutLeases = 1.0 / 2
	idleTimeoutLeases     = 2.0
	bodyHeapShare         = 1.0 / 16
)

func (n *Node) limitConnections(
	ctx context.Context,
	name string,
	ln net.Listener,
	share float64,
	classes []connlimit.Class,
) net.Listener {
	limits := n.settings.Cluster.Limits
	leases := func(factor float64) time.Duration {
		return time.Duration(factor * n.settings.Cluster.Workers.LeaseS * float64(time.Second))
	}
	limiter := connlimit.NewLimiter(
		name,
		connlimit.Limits{Slots: max(8, int(share*float64(limits.MaxSockets))), BodyBytes: int(limits.HeapBytes() * bodyHeapShare),
			Header: leases(
				headerTimeoutLeases,
			), Body: leases(bodyTimeoutLeases), Response: leases(responseTimeoutLeases), Idle: leases(idleTimeoutLeases)},
		classes,
	)
	n.connectionLimiters = append(n.connectionLimiters, limiter)
	go limiter.Run(ctx)
	return limiter.Listen(ln)
}

func (n *Node) now() scheduler.Now {
	t := time.Now()
	return scheduler.Now{MonotonicMS: t.Sub(n.startedAt).Milliseconds() + 1, WallMS: t.UnixMilli()}
}

// enqueueResponse hands an answer to the loop; when it has ended, nobody takes it.
func (n *Node) enqueueResponse(f coreInput) { n.enqueue(n.queues.responses, f) }

func (n *Node) enqueue(queue chan coreInput, f coreInput) {
	select {
	case queue <- f:
	case <-n.stopped:
	}
}

func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		f, due, ok := n.queues.next(ctx, t.C)
		if !ok {
			return
		}
		if f == nil {
			n.health.observeTick(due, time.Now())
			n.core.Tick(n.now())
		}
		// What waits already shares the outputs' handling. A tick that is due
		// goes next: holds are extended by it.
		for k := 0; f != nil && k < maxInputBatch; k++ {
			f(n.now())
			f = n.queues.poll()
		}
		if f != nil {
			f(n.now())
		}
		n.dispatchOutputs(n.core.TakeOutputs())
		select {
		case due := <-t.C:
			n.health.observeTick(due, time.Now())
			n.core.Tick(n.now())
			n.dispatchOutputs(n.core.TakeOutputs())
		default:
		}
	}
}

var slogLevels = map[scheduler.LogLevel]slog.Level{
	scheduler.Debug: slog.LevelDebug,
	scheduler.Info:  slog.LevelInfo,
	scheduler.Warn:  slog.LevelWarn,
}

// dispatchOutputs carries out what the core wants done. Nothing in it blocks the loop.
func (n *Node) dispatchOutputs(o scheduler.Outputs) {
	for _, l := range o.Logs {
		n.logger.Log(context.Background(), slogLevels[l.Level], l.Message, l.Args...)
	}
	for id, a := range o.HeartbeatResponses {
		if ch := n.pendingHeartbeats[id]; ch != nil {
			delete(n.pendingHeartbeats, id)
			ch <- a
		}
	}
	for id, a := range o.UserResponses {
		if ch := n.pendingUsers[id]; ch != nil {
			delete(n.pendingUsers, id)
			ch <- a
		}
	}
	for _, op := range o.StoreOps {
		n.store.Send(op)
	}
	for _, op := range o.CloudOps {
		n.cloud.Send(op)
	}
	for _, d := range o.DirectCommands {
		go n.sendDirectCommand(d)
	}
	for _, r := range o.Relays {
		go func() {
			a, ok := n.peers.Relay(r)
			n.enqueueResponse(func(now scheduler.Now) { n.core.HandleRelayResult(now, r.ID, a, ok) })
		}()
	}
	if o.PeerMessage != nil {
		n.peers.Send(o.PeerMessage, o.SummaryRecipients)
	}
	n.usable.Store(n.core.IsReadyForUsers())
}

// directCommandTimeout bounds commands to a worker. A connection that hangs says nothing
// about what became of them.
const directCommandTimeout = 2 * time.Second

func (n *Node) sendDirectCommand(command scheduler.DirectCommand) {
	status, body := n.workerClient.Do(command.Addr, wire.DirectCommandRequest(command), directCommandTimeout)
	r := wire.ParseDirectCommandResult(status, body)
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandleDirectCommandResult(now, command.ID, r) })
}

// IsUsable tells whether the load balancer should send users here.
func (n *Node) IsUsable() bool { return n.usable.Load() }

// awaitResponse asks the core something on somebody's behalf. With full, a lane without
// room is answered at once.
func awaitResponse[T any](
	n *Node,
	queue chan coreInput,
	onQueueFull func() T,
	timeout time.Duration,
	pending func() map[uint64]chan T,
	submit func(scheduler.Now, uint64),
) (T, bool) {
	ch := make(chan T, 1)
	var id uint64
	f := func(now scheduler.Now) {
		n.lastReplyID++
		id = n.lastReplyID
		pending()[id] = ch
		submit(now, id)
	}
	if onQueueFull != nil {
		select {
		case queue <- f:
		default:
			return onQueueFull(), true
		}
	} else {
		n.enqueue(queue, f)
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a := <-ch:
		return a, true
	case <-t.C:
		n.enqueue(queue, func(scheduler.Now) { delete(pending(), id) })
	case <-n.stopped:
	}
	var zero T
	return zero, false
}

// HandleUserRequest asks the core on a user's behalf.
func (n *Node) HandleUserRequest(r scheduler.UserRequest, timeout time.Duration) (scheduler.UserResponse, bool) {
	if a, ok := n.health.rejectIfMemoryShort(r); ok {
		return a, true
	}
	onQueueFull := func() scheduler.UserResponse {
		n.health.shedRequests.Inc()
		return scheduler.UserResponse{Status: 503, ID: r.ID, Error: "too many requests wait", RetryAfterS: 1}
	}
	return awaitResponse(
		n,
		n.queues.userRequests,
		onQueueFull,
		timeout,
		func() map[uint64]chan scheduler.UserResponse { return n.pendingUsers },
		func(now scheduler.Now, id uint64) { n.core.HandleUserRequest(now, id, r) },
	)
}

// HandleHeartbeat gives the core a worker's report.
func (n *Node) HandleHeartbeat(r scheduler.Heartbeat, timeout time.Duration) (scheduler.HeartbeatResponse, bool) {
	return awaitResponse(
		n,
		n.queues.heartbeats,
		nil,
		timeout,
		func() map[uint64]chan scheduler.HeartbeatResponse { return n.pendingHeartbeats },
		func(now scheduler.Now, id uint64) { n.core.HandleHeartbeat(now, id, r) },
	)
}

// HandlePeerMessage gives the core a peer's message.
func (n *Node) HandlePeerMessage(msg scheduler.PeerMessage) {
	n.enqueueResponse(func(now scheduler.Now) { n.core.HandlePeerMessage(now, msg) })
}

// readCore reads something of the core on the loop that owns it.
func readCore[T any](n *Node, read func(scheduler.Now) T) T {
	ch := make(chan T, 1)
	n.enqueueResponse(func(now scheduler.Now) { ch <- read(now) })
	select {
	case v := <-ch:
		return v
	case <-n.stopped:
		var zero T
		return zero
	}
}

// Status reads how the member stands.
func (n *Node) Status() scheduler.Status { return readCore(n, n.core.Status) }

// Collectors gives the metrics of the process itself.
func (n *Node) Collectors() []prometheus.Collector {
	cs := n.health.collectors()
	for _, g := range n.connectionLimiters {
		cs = append(cs, g)
	}
	if n.workflows != nil {
		cs = append(cs, n.workflows)
	}
	if n.schedules != nil {
		cs = append(cs, n.schedules)
	}
	return cs
}

// Settings reads the operators' settings.
func (n *Node) Settings() scheduler.Settings {
	return readCore(n, func(scheduler.Now) scheduler.Settings { return n.core.Settings() })
}

// adminTimeout is how long a change of settings may take.
const adminTimeout = 5 * time.Second

// Rollout tells how the plan stands that replaces or drains machines, nil without one.
func (n *Node) Rollout() *scheduler.RolloutStatus { return readCore(n, n.core.Rollout) }

// PreviewRollout tells what a plan would do.
func (n *Node) PreviewRollout(p rollout.Plan) scheduler.RolloutPreview {
	return readCore(n, func(now scheduler.Now) scheduler.RolloutPreview { return n.core.PreviewRollout(now, p) })
}

// ApplyRollout stores a plan.
func (n *Node) ApplyRollout(p rollout.Plan) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.ApplyRollout(now, id, p) })
}

// CommandRollout pauses, resumes or aborts the plan.
func (n *Node) CommandRollout(c rollout.Command) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.CommandRollout(now, id, c) })
}

func (n *Node) submitAdminRequest(submit func(now scheduler.Now, id uint64)) (scheduler.UserResponse, bool) {
	return awaitResponse(
		n,
		n.queues.userRequests,
		nil,
		adminTimeout,
		func() map[uint64]chan scheduler.UserResponse { return n.pendingUsers },
		submit,
	)
}

// ChangeSettings stores new settings.
func (n *Node) ChangeSettings(s scheduler.Settings) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.ChangeSettings(now, id, s) })
}
