// Package lab runs a small cluster on one machine, in one process and over loopback: members, and
// fakes of the state service, the cloud and the workers. The workers run the tools of workflows as
// plain processes. Tasks of other jobs are simulated: they take time, but execute nothing.
package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/node"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/internal/toolrun"
	"github.com/grebedock/grebedock/scheduler"
)

// Options configure a lab. Zero fields select the defaults.
type Options struct {
	Members   int    // number of members (default 2)
	FirstPort int    // first port of the members' user API addresses; 0: any free ports
	DataDir   string // directory for workflow data; empty: a temporary one, which Close removes
	// MachinesPerType is the maximum number of machines per type, zone and kind, on-demand or spot
	// (default 4).
	MachinesPerType int
	MachineCPUs     float64 // processors of a machine (default 4)
	TeamCPULimit    float64 // processors that the team "ops" may use; 0: no limit
	SpeedFactor     float64 // speed of simulated tasks relative to their estimates (default 1)
	// CommandCopies is the number of copies of each direct command that arrive at the workers again, 2 to 12 s late.
	CommandCopies           int
	WorkerHeartbeatInterval time.Duration // time between two heartbeats of a worker (default 100 ms)
	Logger                  *slog.Logger
	// OnTaskStarted is called for each task that starts on a machine, in start order. cpus is the
	// number of processors in use on all machines, including the task's own.
	OnTaskStarted func(task string, j *scheduler.Job, cpus float64)
}

// Lab is a running lab.
type Lab struct {
	UserAddrs, PeerAddrs []string
	DataDir              string
	Platform             *platformfake.Platform

	settings    []*config.File
	enabled     features.Set
	logger      *slog.Logger
	ownsDataDir bool
	members     []*runningMember
	running     sync.WaitGroup
}

type runningMember struct {
	cancel context.CancelFunc
	done   chan error
}

// Heartbeat interval, lease duration and maximum duration of a cancellation, in seconds. They are
// short, so that users of a lab need not wait long for a lease to expire.
const (
	heartbeatS = 0.25
	leaseS     = 4
	cancelS    = 12
)

// New prepares a lab and starts its platform; StartAll starts the members. The caller must close
// the lab, which stops everything and removes a temporary data directory.
func New(o Options) (*Lab, error) {
	if o.Members == 0 {
		o.Members = 2
	}
	if o.MachinesPerType == 0 {
		o.MachinesPerType = 4
	}
	if o.MachineCPUs == 0 {
		o.MachineCPUs = 4
	}
	if o.SpeedFactor == 0 {
		o.SpeedFactor = 1
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	l := &Lab{DataDir: o.DataDir, logger: o.Logger}
	if l.DataDir == "" {
		dir, err := os.MkdirTemp("", "grebedock-lab-")
		if err != nil {
			return nil, err
		}
		l.DataDir, l.ownsDataDir = dir, true
	}
	if err := l.configure(o); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

func (l *Lab) configure(o Options) error {
	listeners, err := l.chooseAddrs(o)
	defer closeAll(listeners)
	if err != nil {
		return err
	}
	if l.Platform, err = platformfake.StartPlatform(l.platformOptions(o)); err != nil {
		return err
	}
	l.enableFeatures()
	for i := range o.Members {
		l.settings = append(l.settings, l.memberSettings(o, i))
		l.members = append(l.members, nil)
	}
	return nil
}

// chooseAddrs selects two free addresses for each member. The returned listeners reserve them while
// the platform chooses its own. The caller must close the listeners before the members start.
func (l *Lab) chooseAddrs(o Options) (listeners []net.Listener, err error) {
	for i := range o.Members {
		userAddr := "127.0.0.1:0"
		if o.FirstPort != 0 {
			userAddr = fmt.Sprintf("127.0.0.1:%d", o.FirstPort+i)
		}
		addrs := []string{userAddr, "127.0.0.1:0"}
		for i, addr := range addrs {
			listener, err := net.Listen("tcp4", addr)
			if err != nil {
				return listeners, fmt.Errorf("%w (is another lab running? --front selects other ports)", err)
			}
			listeners = append(listeners, listener)
			addrs[i] = listener.Addr().String()
		}
		l.UserAddrs, l.PeerAddrs = append(l.UserAddrs, addrs[0]), append(l.PeerAddrs, addrs[1])
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

func (l *Lab) platformOptions(o Options) platformfake.Options {
	dir := toolrun.Dir(l.DataDir)
	return platformfake.Options{
		Types: []scheduler.MachineType{{
			Name:           "small",
			Resources:      availability.Resources{CPUs: o.MachineCPUs, MemoryGB: 4 * o.MachineCPUs, DiskGB: 50},
			ImageFetchGBps: 1,
			Price:          1,
			SpotPrice:      0.3,
			BootS:          1,
			Zones:          labZones,
		}},
		HeartbeatInterval: o.WorkerHeartbeatInterval,
		CommandCopies:     o.CommandCopies,

		Lease:     leaseS * time.Second,
		Members:   l.UserAddrs,
		Capacity:  o.MachinesPerType,
		RunTimeMS: func(j *scheduler.Job) int64 { return int64(j.EstimateS * 1000 / o.SpeedFactor) },
		Execute: func(t *platformfake.Task) platformfake.Execution {
			if !dir.HasDescription(t.Job.ID) {
				return nil
			}
			return dir.Start(t.Job.ID, t.Index())
		},
		OnTaskStarted: func(_ string, t *platformfake.Task, cpus float64) {
			if o.OnTaskStarted != nil {
				o.OnTaskStarted(t.Name, t.Job, cpus)
			}
		},
	}
}

// labZones are the zones of the lab's machines and members.
var labZones = []string{"a", "b"}

func (l *Lab) enableFeatures() {
	l.enabled.Connections.Enabled = true
	l.enabled.Relay.Enabled = true
	l.enabled.Admission.Enabled = true
	l.enabled.Recovery.Enabled = true
	l.enabled.Quota.Enabled = true
	l.enabled.Aging.Enabled = true
	l.enabled.Rollout.Enabled = true
	l.enabled.Schedules.Enabled = true
	l.enabled.Workflows.Enabled, l.enabled.Workflows.DataDir = true, l.DataDir
}

func (l *Lab) memberSettings(o Options, i int) *config.File {
	f := &config.File{
		Member:      memberName(i),
		Zone:        labZones[i%2],
		UserAPIAddr: l.UserAddrs[i],
		PeerAPIAddr: l.PeerAddrs[i],
		External:    config.External{Cloud: l.Platform.CloudAddr, State: l.Platform.StateAddr},
		Cluster: config.Cluster{
			InitialSize:  o.Members,
			Zones:        labZones,
			ClockErrorMS: 5,
			Teams:        []config.Team{{Name: "ops", CPUsMax: o.TeamCPULimit}},
			Workers:      config.Workers{HeartbeatS: heartbeatS, LeaseS: leaseS, CancelS: cancelS},
			State:        config.State{RPS: 4000, WriteRPS: 1000, ValueKB: 16, TxnOps: 16},
			Cloud:        config.Cloud{RPS: 100, ListLagS: 1},
			Limits:       config.Limits{CPUShare: 4, RAMMB: 1024, MaxSockets: 1000},
		},
	}
	for k := range o.Members {
		if k != i {
			f.Peers = append(f.Peers, config.Peer{Member: memberName(k), Zone: labZones[k%2], Addr: l.PeerAddrs[k]})
		}
	}
	return f
}

func memberName(i int) string { return fmt.Sprintf("lab-%d", i) }

// Start starts member i.
func (l *Lab) Start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &runningMember{cancel: cancel, done: make(chan error, 1)}
	l.members[i] = m
	l.running.Go(func() {
		m.done <- node.Run(ctx, l.settings[i], l.enabled, l.logger.With("member", l.settings[i].Member))
	})
}

// Stop stops member i without a handover, as a crash does, and waits until it has ended. It has no
// effect if the member does not run.
func (l *Lab) Stop(i int) {
	if m := l.members[i]; m != nil {
		m.cancel()
		<-m.done
		l.members[i] = nil
	}
}

// StartAll starts all members and waits until isReady reports true for each. It returns an error if
// a member ends or ctx is cancelled before that.
func (l *Lab) StartAll(ctx context.Context, isReady func(userAddr string) bool) error {
	for i := range l.settings {
		l.Start(i)
	}
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		ready := 0
		for _, f := range l.UserAddrs {
			if isReady(f) {
				ready++
			}
		}
		if ready == len(l.UserAddrs) {
			return nil
		}
		for i, m := range l.members {
			select {
			case err := <-m.done:
				m.done <- err
				return fmt.Errorf("member %d ended: %w", i, err)
			default:
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Close stops the members and the platform, and removes a temporary data directory. It may be
// called more than once.
func (l *Lab) Close() error {
	for i := range l.members {
		l.Stop(i)
	}
	l.running.Wait()
	if l.Platform != nil {
		l.Platform.Close()
		l.Platform = nil
	}
	if l.ownsDataDir {
		return os.RemoveAll(l.DataDir)
	}
	return nil
}
