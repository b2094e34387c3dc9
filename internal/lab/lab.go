// Package lab starts all that grebedock needs on one machine: members, and the
// project's own stand-ins for the state service, the cloud and the workers, on
// loopback, in one process. Workers run the tools of workflows as plain
// processes; tasks of other jobs are only waited for.
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
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/internal/toolrun"
	"github.com/grebedock/grebedock/scheduler"
)

// Options describe a lab. Zero fields have defaults.
type Options struct {
	Members int    // 2
	Front   int    // first port of the members' front addresses; 0: any free ones
	Dir     string // for the data of workflows; empty: one of its own, removed at the end
	// Machines is how many of a type, zone and kind can be rented (4).
	Machines int
	CPUs     float64 // of a machine (4)
	Limit    float64 // processors that the team "ops" may use; 0: no limit
	Speed    float64 // how much faster than their estimates waited-for tasks are (1)
	Log      *slog.Logger
	// Started is told of each task that starts on a machine, in order, with the
	// processors that are in use with it.
	Started func(task string, j *scheduler.Job, cpus float64)
}

// Lab is a running lab.
type Lab struct {
	Fronts, Meshes []string
	Dir            string
	Site           *standin.Site

	files   []*config.File
	set     features.Set
	log     *slog.Logger
	ownDir  bool
	members []*member
	wait    sync.WaitGroup
}

type member struct {
	cancel context.CancelFunc
	ended  chan error
}

// Times of the stand-in platform, in seconds. They are short, so that what
// waits for a lease does not keep anybody waiting in a lab.
const (
	reportS = 0.25
	leaseS  = 4
	cancelS = 12
)

// Up starts a lab. Close ends it and leaves nothing behind.
func Up(o Options) (*Lab, error) {
	if o.Members == 0 {
		o.Members = 2
	}
	if o.Machines == 0 {
		o.Machines = 4
	}
	if o.CPUs == 0 {
		o.CPUs = 4
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	l := &Lab{Dir: o.Dir, log: o.Log}
	if l.Dir == "" {
		dir, err := os.MkdirTemp("", "grebedock-lab-")
		if err != nil {
			return nil, err
		}
		l.Dir, l.ownDir = dir, true
	}
	if err := l.up(o); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

func (l *Lab) up(o Options) error {
	for i := range o.Members {
		front := "127.0.0.1:0"
		if o.Front != 0 {
			front = fmt.Sprintf("127.0.0.1:%d", o.Front+i)
		}
		addrs := []string{front, "127.0.0.1:0"}
		for i, a := range addrs {
			ln, err := net.Listen("tcp4", a)
			if err != nil {
				return fmt.Errorf("%w (another lab? --front names other ports)", err)
			}
			addrs[i] = ln.Addr().String()
			defer ln.Close() // held until all are known, then free for the members
		}
		l.Fronts, l.Meshes = append(l.Fronts, addrs[0]), append(l.Meshes, addrs[1])
	}
	dir := toolrun.Dir(l.Dir)
	types := []scheduler.MachineType{{Name: "small", Room: availability.Room{CPUs: o.CPUs, MemoryGB: 4 * o.CPUs, DiskGB: 50}, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}}}
	var err error
	l.Site, err = standin.Open(standin.Options{Types: types, Lease: leaseS * time.Second, Members: l.Fronts, Capacity: o.Machines,
		RunMS: func(j *scheduler.Job) int64 { return int64(j.EstimateS * 1000 / o.Speed) },
		Execute: func(t *standin.Task) standin.Execution {
			if !dir.Has(t.Job.ID) {
				return nil
			}
			return dir.Start(t.Job.ID, t.Index())
		},
		Started: func(_ string, t *standin.Task, cpus float64) {
			if o.Started != nil {
				o.Started(t.Name, t.Job, cpus)
			}
		}})
	if err != nil {
		return err
	}
	l.set.Connections.On = true
	l.set.Relay.On = true
	l.set.Admission.On = true
	l.set.Recovery.On = true
	l.set.Quota.On = true
	l.set.Aging.On = true
	l.set.Rollout.On = true
	l.set.Schedules.On = true
	l.set.Workflows.On, l.set.Workflows.Data = true, l.Dir
	for i := range o.Members {
		f := &config.File{Member: fmt.Sprintf("lab-%d", i), Zone: []string{"a", "b"}[i%2], Front: l.Fronts[i], MeshAddr: l.Meshes[i],
			External: config.External{Cloud: l.Site.CloudAddr, State: l.Site.StateAddr},
			Cluster: config.Cluster{InitialSize: o.Members, Zones: []string{"a", "b"}, ClockErrorMS: 5,
				Teams:   []config.Team{{Name: "ops", CPUsMax: o.Limit}},
				Workers: config.Workers{ReportS: reportS, LeaseS: leaseS, CancelS: cancelS},
				State:   config.State{RPS: 4000, WriteRPS: 1000, ValueKB: 16, TxnOps: 16},
				Cloud:   config.Cloud{RPS: 100, ListLagS: 1},
				Limits:  config.Limits{CPUShare: 4, RAMMB: 1024, MaxSockets: 1000}}}
		for k := range o.Members {
			if k != i {
				f.Others = append(f.Others, config.Other{Member: fmt.Sprintf("lab-%d", k), Zone: []string{"a", "b"}[k%2], Addr: l.Meshes[k]})
			}
		}
		l.files = append(l.files, f)
		l.members = append(l.members, nil)
	}
	return nil
}

// Start starts a member, and Stop ends it as a crash would, from its own view:
// it hands nothing over.
func (l *Lab) Start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{cancel: cancel, ended: make(chan error, 1)}
	l.members[i] = m
	l.wait.Go(func() { m.ended <- node.Run(ctx, l.files[i], l.set, l.log.With("member", l.files[i].Member)) })
}

// Stop ends a member.
func (l *Lab) Stop(i int) {
	if m := l.members[i]; m != nil {
		m.cancel()
		<-m.ended
		l.members[i] = nil
	}
}

// StartAll starts all members and waits until one takes requests.
func (l *Lab) StartAll(ctx context.Context, up func(front string) bool) error {
	for i := range l.files {
		l.Start(i)
	}
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		ready := 0
		for _, f := range l.Fronts {
			if up(f) {
				ready++
			}
		}
		if ready == len(l.Fronts) {
			return nil
		}
		for i, m := range l.members {
			select {
			case err := <-m.ended:
				m.ended <- err
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

// Close ends the lab with all that runs in it. It may be called again.
func (l *Lab) Close() error {
	for i := range l.members {
		l.Stop(i)
	}
	l.wait.Wait()
	if l.Site != nil {
		l.Site.Close()
		l.Site = nil
	}
	if l.ownDir {
		return os.RemoveAll(l.Dir)
	}
	return nil
}
