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
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/front"
	"github.com/grebedock/grebedock/internal/guard"
	"github.com/grebedock/grebedock/internal/mesh"
	"github.com/grebedock/grebedock/internal/rest"
	"github.com/grebedock/grebedock/internal/store"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// tick is how often the core is told that time passes. Each one wakes the
// process; at twice the rate, ticks took a quarter of a 12 % share of a core.
const tick = 100 * time.Millisecond

// Node is a running controller.
type Node struct {
	f         *config.File
	log       *slog.Logger
	start     time.Time
	core      *scheduler.Member
	lanes     lanes
	ended     <-chan struct{}
	up        atomic.Bool
	health    *health
	guards    []*guard.Guard
	workflows *workflowRunner // nil: switched off
	schedules *scheduleRunner // nil: switched off

	store       *store.Store
	cloud       *cloud.Cloud
	peers       *mesh.Peers
	workersHTTP *rest.Many

	// Owned by the loop.
	replies uint64
	users   map[uint64]chan scheduler.UserAnswer
	workers map[uint64]chan scheduler.WorkerAnswer
}

// Params turns the settings file into what the core needs.
func Params(f *config.File) scheduler.Params {
	p := scheduler.Params{
		Member: f.Member, Zone: f.Zone, Teams: map[string]scheduler.Team{}, Objectives: map[string][]scheduler.Objective{},
		ReportS: f.Cluster.Workers.ReportS, LeaseS: f.Cluster.Workers.LeaseS, CancelS: f.Cluster.Workers.CancelS,
		CPUShare: f.Cluster.Limits.CPUShare, ValueBytes: int(f.Cluster.State.ValueKB * 1024), TxnOps: f.Cluster.State.TxnOps, ListLagS: f.Cluster.Cloud.ListLagS,
	}
	for _, o := range f.Others {
		p.Peers = append(p.Peers, o.Member)
	}
	for _, t := range f.Cluster.Teams {
		p.Teams[t.Name] = scheduler.Team{CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax}
	}
	for _, o := range f.Cluster.Objectives {
		if o.Kind == "guarantee" {
			p.GuaranteeS = o.WithinS
		}
		if o.Class != "" {
			p.Objectives[o.Class] = append(p.Objectives[o.Class], scheduler.Objective{Kind: o.Kind, WithinS: o.WithinS, Times: o.Times})
		}
	}
	return p
}

// Run runs a controller until ctx ends or a listener fails.
func Run(ctx context.Context, f *config.File, set features.Set, log *slog.Logger) error {
	n := &Node{f: f, log: log, start: time.Now(), health: newHealth(f.Cluster.Limits.Heap()), lanes: newLanes(), ended: ctx.Done(),
		users: map[uint64]chan scheduler.UserAnswer{}, workers: map[uint64]chan scheduler.WorkerAnswer{}}
	p := n.coreParams(set)
	n.core = scheduler.New(p, rand.Uint64(), n.now())
	if set.Workflows.On {
		n.workflows = newWorkflowRunner(n, f, set.Workflows.Data)
	}
	if set.Schedules.On {
		n.schedules = newScheduleRunner(n, f)
	}
	n.connect(ctx, p.Relays)
	return n.serve(ctx, set)
}

// coreParams is what the core needs of the settings and switches.
func (n *Node) coreParams(set features.Set) scheduler.Params {
	f := n.f
	p := Params(f)
	if set.Relay.On {
		p.Relays = mesh.Relays(f.Cluster.Limits.MaxSockets)
	}
	if set.Admission.On {
		p.AcceptRate = f.Cluster.State.WriteRPS / float64(len(f.Others)+1)
	}
	p.Recovery = set.Recovery.On
	p.Quota = set.Quota.On
	p.Aging = set.Aging.On
	p.Rollout = set.Rollout.On
	p.Debug = n.log.Enabled(context.Background(), slog.LevelDebug)
	return p
}

// connect makes the clients of all that the member asks.
func (n *Node) connect(ctx context.Context, relays int) {
	f := n.f
	n.store = store.New(ctx, f, func(id uint64, r scheduler.StoreResult) {
		switch {
		case id&workflowRequests != 0:
			n.workflows.storeDone(id, r)
			return
		case id&scheduleRequests != 0:
			n.schedules.storeDone(id, r)
			return
		}
		n.put(func(now scheduler.Now) { n.core.StoreDone(now, id, r) })
	})
	n.cloud = cloud.New(ctx, f, func(id uint64, r scheduler.CloudResult) {
		n.put(func(now scheduler.Now) { n.core.CloudDone(now, id, r) })
	})
	n.peers = mesh.NewPeers(f.Others, relays)
	n.workersHTTP = rest.NewMany(2)
}

// serve listens and runs the loops until ctx ends or a listener fails.
func (n *Node) serve(ctx context.Context, set features.Set) error {
	f := n.f
	frontSock, err := listen(f.Front)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	defer frontSock.end()
	meshSock, err := listen(f.MeshAddr)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer meshSock.end()
	var frontLn, meshLn net.Listener = frontSock, meshSock
	sockets, guarded := f.Cluster.Limits.MaxSockets, set.Connections.On
	if guarded {
		frontLn = n.guard(ctx, "front", frontLn, frontSlots, front.Classes())
		meshLn = n.guard(ctx, "mesh", meshLn, meshSlots, mesh.Classes())
	}
	frontApp := front.New(n, sockets, guarded)
	if n.workflows != nil {
		front.ServeWorkflows(frontApp, n.workflows)
	}
	meshApp := mesh.Server(n, sockets, guarded)
	if n.schedules != nil {
		mesh.ServeSchedules(meshApp, n.schedules)
	}
	failed := make(chan error, 2)
	go func() { failed <- frontApp.Listener(frontLn) }()
	go func() { failed <- meshApp.Listener(meshLn) }()
	n.log.Info("controller started", "member", f.Member, "zone", f.Zone, "front", f.Front, "mesh", f.MeshAddr, "on", set.On())
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
		return errors.Join(frontApp.ShutdownWithTimeout(time.Second), meshApp.ShutdownWithTimeout(time.Second))
	}
}

// Shares of a member's sockets that come in. What is left goes out: to the
// state service, the cloud, the peers, and straight to workers.
const (
	frontSlots = 5.0 / 8
	meshSlots  = 1.0 / 8
)

// Bounds on connections. A request takes milliseconds to arrive; who takes a
// quarter of a lease for one has given up on its answer, since workers wait
// four seconds and users two to five. Between two requests there is a report's
// interval or a poll's, both well below two leases. Half-read bodies may take
// a sixteenth of the heap on each address.
const (
	headerLeases = 1.0 / 4
	bodyLeases   = 1.0 / 4
	answerLeases = 1.0 / 2
	idleLeases   = 2.0
	bodyHeap     = 1.0 / 16
)

func (n *Node) guard(ctx context.Context, name string, ln net.Listener, share float64, classes []guard.Class) net.Listener {
	l := n.f.Cluster.Limits
	leases := func(k float64) time.Duration {
		return time.Duration(k * n.f.Cluster.Workers.LeaseS * float64(time.Second))
	}
	g := guard.NewGuard(name, guard.Limits{Slots: max(8, int(share*float64(l.MaxSockets))), Bytes: int(l.Heap() * bodyHeap),
		Header: leases(headerLeases), Body: leases(bodyLeases), Answer: leases(answerLeases), Idle: leases(idleLeases)}, classes)
	n.guards = append(n.guards, g)
	go g.Run(ctx)
	return g.Listen(ln)
}

func (n *Node) now() scheduler.Now {
	t := time.Now()
	return scheduler.Now{Steady: t.Sub(n.start).Milliseconds() + 1, Wall: t.UnixMilli()}
}

// put hands an answer to the loop; when it has ended, nobody takes it.
func (n *Node) put(f input) { n.send(n.lanes.answers, f) }

func (n *Node) send(lane chan input, f input) {
	select {
	case lane <- f:
	case <-n.ended:
	}
}

func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		f, due, ok := n.lanes.next(ctx, t.C)
		if !ok {
			return
		}
		if f == nil {
			n.health.ticked(due, time.Now())
			n.core.Tick(n.now())
		}
		// What waits already shares the outputs' handling. A tick that is due
		// goes next: holds are extended by it.
		for k := 0; f != nil && k < atOnce; k++ {
			f(n.now())
			f = n.lanes.waiting()
		}
		if f != nil {
			f(n.now())
		}
		n.emit(n.core.Take())
		select {
		case due := <-t.C:
			n.health.ticked(due, time.Now())
			n.core.Tick(n.now())
			n.emit(n.core.Take())
		default:
		}
	}
}

var levels = map[scheduler.Level]slog.Level{scheduler.Debug: slog.LevelDebug, scheduler.Info: slog.LevelInfo, scheduler.Warn: slog.LevelWarn}

// emit carries out what the core wants done. Nothing in it blocks the loop.
func (n *Node) emit(o scheduler.Outputs) {
	for _, l := range o.Logs {
		n.log.Log(context.Background(), levels[l.Level], l.Text, l.Args...)
	}
	for id, a := range o.Workers {
		if ch := n.workers[id]; ch != nil {
			delete(n.workers, id)
			ch <- a
		}
	}
	for id, a := range o.Users {
		if ch := n.users[id]; ch != nil {
			delete(n.users, id)
			ch <- a
		}
	}
	for _, op := range o.Store {
		n.store.Do(op)
	}
	for _, op := range o.Cloud {
		n.cloud.Do(op)
	}
	for _, d := range o.Do {
		go n.do(d)
	}
	for _, r := range o.Relays {
		go func() {
			a, ok := n.peers.Relay(r)
			n.put(func(now scheduler.Now) { n.core.RelayDone(now, r.ID, a, ok) })
		}()
	}
	if o.Peers != nil {
		n.peers.Send(o.Peers, o.Whole)
	}
	n.up.Store(n.core.Usable())
}

// doTimeout bounds commands to a worker. A connection that hangs says nothing
// about what became of them.
const doTimeout = 2 * time.Second

func (n *Node) do(d scheduler.Do) {
	status, body := n.workersHTTP.Do(d.Addr, wire.DoRequest(d), doTimeout)
	r := wire.DoResult(status, body)
	n.put(func(now scheduler.Now) { n.core.DoDone(now, d.ID, r) })
}

// Up tells whether the load balancer should send users here.
func (n *Node) Up() bool { return n.up.Load() }

// await asks the core something on somebody's behalf. With full, a lane without
// room is answered at once.
func await[T any](n *Node, lane chan input, full func() T, patience time.Duration, table func() map[uint64]chan T, ask func(scheduler.Now, uint64)) (T, bool) {
	ch := make(chan T, 1)
	var id uint64
	f := func(now scheduler.Now) {
		n.replies++
		id = n.replies
		table()[id] = ch
		ask(now, id)
	}
	if full != nil {
		select {
		case lane <- f:
		default:
			return full(), true
		}
	} else {
		n.send(lane, f)
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case a := <-ch:
		return a, true
	case <-t.C:
		n.send(lane, func(scheduler.Now) { delete(table(), id) })
	case <-n.ended:
	}
	var none T
	return none, false
}

// User asks the core on a user's behalf.
func (n *Node) User(r scheduler.UserRequest, patience time.Duration) (scheduler.UserAnswer, bool) {
	if a, ok := n.health.refuses(r); ok {
		return a, true
	}
	full := func() scheduler.UserAnswer {
		n.health.shed.Inc()
		return scheduler.UserAnswer{Status: 503, ID: r.ID, Error: "too many requests wait", RetryS: 1}
	}
	return await(n, n.lanes.users, full, patience, func() map[uint64]chan scheduler.UserAnswer { return n.users },
		func(now scheduler.Now, id uint64) { n.core.User(now, id, r) })
}

// Report gives the core a worker's report.
func (n *Node) Report(r scheduler.Report, patience time.Duration) (scheduler.WorkerAnswer, bool) {
	return await(n, n.lanes.reports, nil, patience, func() map[uint64]chan scheduler.WorkerAnswer { return n.workers },
		func(now scheduler.Now, id uint64) { n.core.Report(now, id, r) })
}

// Peer gives the core a peer's message.
func (n *Node) Peer(msg scheduler.PeerMessage) {
	n.put(func(now scheduler.Now) { n.core.Peer(now, msg) })
}

// see reads something of the core on the loop that owns it.
func see[T any](n *Node, read func(scheduler.Now) T) T {
	ch := make(chan T, 1)
	n.put(func(now scheduler.Now) { ch <- read(now) })
	select {
	case v := <-ch:
		return v
	case <-n.ended:
		var none T
		return none
	}
}

// Status reads how the member stands.
func (n *Node) Status() scheduler.Status { return see(n, n.core.Status) }

// Collectors gives the metrics of the process itself.
func (n *Node) Collectors() []prometheus.Collector {
	cs := n.health.collectors()
	for _, g := range n.guards {
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
	return see(n, func(scheduler.Now) scheduler.Settings { return n.core.Settings() })
}

// adminPatience is how long a change of settings may take.
const adminPatience = 5 * time.Second

// Rollout tells how the plan stands that replaces or drains machines, nil without one.
func (n *Node) Rollout() *scheduler.RolloutStatus { return see(n, n.core.Rollout) }

// PreviewRollout tells what a plan would do.
func (n *Node) PreviewRollout(p rollout.Plan) scheduler.RolloutPreview {
	return see(n, func(now scheduler.Now) scheduler.RolloutPreview { return n.core.PreviewRollout(now, p) })
}

// ApplyRollout stores a plan.
func (n *Node) ApplyRollout(p rollout.Plan) (scheduler.UserAnswer, bool) {
	return n.administer(func(now scheduler.Now, id uint64) { n.core.ApplyRollout(now, id, p) })
}

// CommandRollout pauses, resumes or aborts the plan.
func (n *Node) CommandRollout(c rollout.Command) (scheduler.UserAnswer, bool) {
	return n.administer(func(now scheduler.Now, id uint64) { n.core.CommandRollout(now, id, c) })
}

func (n *Node) administer(f func(now scheduler.Now, id uint64)) (scheduler.UserAnswer, bool) {
	return await(n, n.lanes.users, nil, adminPatience, func() map[uint64]chan scheduler.UserAnswer { return n.users }, f)
}

// ChangeSettings stores new settings.
func (n *Node) ChangeSettings(s scheduler.Settings) (scheduler.UserAnswer, bool) {
	return n.administer(func(now scheduler.Now, id uint64) { n.core.ChangeSettings(now, id, s) })
}
