// Package config reads and checks the settings file that the platform hands
// to each controller. Operators' own settings do not live here: they go
// through the administration API and are kept in the state service.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/grebedock/grebedock/access"
)

// File is the settings file, with the platform's field names.
type File struct {
	Member   string   `toml:"member"`
	Zone     string   `toml:"site"`
	Front    string   `toml:"front"`
	MeshAddr string   `toml:"mesh_addr"`
	Others   []Other  `toml:"others"`
	External External `toml:"external"`
	Cluster  Cluster  `toml:"cluster"`
}

// Other is another controller.
type Other struct {
	Member string `toml:"member"`
	Zone   string `toml:"site"`
	Addr   string `toml:"endpoint"`
}

// External names the services that the controllers use.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster holds what all controllers share.
type Cluster struct {
	InitialSize  int         `toml:"initial_size"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"machine_limits"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one aim of the deployment.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the workers' intervals, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what one controller may use of its machine.
type Limits struct {
	CPUShare   float64 `toml:"cpu_share"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// outsideMB is what a process holds that the Go runtime does not count: 12 MB of
// the program itself when it was measured, the rest for libraries' pages and
// what the system keeps for it. It is the same on every machine, so it is no
// share: three quarters of 54 MB for the heap would have left it too little.
const outsideMB = 16

// Heap is how many bytes the Go runtime may hold.
func (l Limits) Heap() float64 { return (l.RAMMB - outsideMB) * (1 << 20) }

// Load reads and checks the file at path. The error names every field that is
// wrong, in one line.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings. Unknown fields are ignored: the platform
// may add some.
func Parse(b []byte) (*File, error) {
	var f File
	if err := toml.Unmarshal(b, &f); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("settings: line %d column %d: %s", row, col, de.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return &f, nil
}

type checker struct{ bad []string }

func (c *checker) fail(format string, a ...any) { c.bad = append(c.bad, fmt.Sprintf(format, a...)) }

func (c *checker) text(field, v string) {
	if v == "" {
		c.fail("%s is missing", field)
	}
}

func (c *checker) addr(field, v string) {
	if v == "" {
		c.fail("%s is missing", field)
		return
	}
	if _, err := net.ResolveTCPAddr("tcp4", v); err != nil {
		c.fail("%s %q is no address", field, v)
	}
}

func (c *checker) positive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.fail("%s must be a positive number", field)
	}
}

// A member that does nothing takes a few thousandths of a core and some 20 MB,
// most of it the program itself. With less than this it would be killed, or be
// behind, before it did anything.
const (
	minCPUShare = 0.01
	minRAMMB    = 32
)

func (c *checker) atLeast(field string, v, least float64) {
	if !(v >= least) || math.IsInf(v, 0) {
		c.fail("%s must be a number from %g on: with less a member cannot run", field, least)
	}
}

// ms is a duration in milliseconds, as far as one is worth telling apart.
func ms(s float64) int64 { return int64(math.Round(min(s, math.MaxInt32) * 1000)) }

func (c *checker) notNegative(field string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.fail("%s must not be negative", field)
	}
}

func (f *File) check() error {
	c := &checker{}
	c.text("member", f.Member)
	c.text("site", f.Zone)
	c.addr("front", f.Front)
	c.addr("mesh_addr", f.MeshAddr)
	if f.Front != "" && f.Front == f.MeshAddr {
		c.fail("front and mesh_addr are the same address")
	}
	c.addr("external.cloud", f.External.Cloud)
	c.addr("external.state", f.External.State)
	seen := map[string]bool{f.Member: true}
	for i, o := range f.Others {
		c.text(fmt.Sprintf("others[%d].member", i), o.Member)
		c.addr(fmt.Sprintf("others[%d].endpoint", i), o.Addr)
		if o.Member != "" && seen[o.Member] {
			c.fail("others[%d].member %q is named twice", i, o.Member)
		}
		seen[o.Member] = true
	}
	f.Cluster.check(c)
	if len(c.bad) == 0 {
		return nil
	}
	return errors.New("settings: " + strings.Join(c.bad, "; "))
}

// check says what is wrong with what all members share.
func (cl *Cluster) check(c *checker) {
	if len(cl.Zones) == 0 || slices.Contains(cl.Zones, "") {
		c.fail("cluster.zones is missing or has an empty name")
	}
	c.notNegative("cluster.clock_error_ms", cl.ClockErrorMS)
	cl.checkTeams(c)
	for i, o := range cl.Objectives {
		at := fmt.Sprintf("cluster.objectives[%d]", i)
		c.text(at+".kind", o.Kind)
		c.notNegative(at+".within_s", o.WithinS)
		c.notNegative(at+".times", o.Times)
	}
	cl.checkRates(c)
}

func (cl *Cluster) checkTeams(c *checker) {
	teams := map[string]bool{}
	for i, t := range cl.Teams {
		at := fmt.Sprintf("cluster.teams[%d]", i)
		c.text(at+".name", t.Name)
		if teams[t.Name] {
			c.fail("%s.name %q is named twice", at, t.Name)
		}
		teams[t.Name] = true
		c.notNegative(at+".cpus", t.CPUs)
		c.notNegative(at+".cpus_max", t.CPUsMax)
		c.notNegative(at+".gpus", t.GPUs)
		c.notNegative(at+".gpus_max", t.GPUsMax)
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			c.fail("%s.cpus is above cpus_max", at)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			c.fail("%s.gpus is above gpus_max", at)
		}
	}
}

// checkRates checks the bounds of workers, services and the member's machine.
func (cl *Cluster) checkRates(c *checker) {
	c.positive("cluster.workers.report_s", cl.Workers.ReportS)
	c.positive("cluster.workers.lease_s", cl.Workers.LeaseS)
	c.positive("cluster.workers.cancel_s", cl.Workers.CancelS)
	if w := cl.Workers; w.LeaseS > 0 && ms(w.CancelS) < access.LeastCancel(ms(w.LeaseS)) {
		c.fail("cluster.workers.cancel_s must be %g or more beside a lease_s of %g: a lost machine's tasks live for a lease, and a controller's holds for what is left",
			math.Ceil(float64(access.LeastCancel(ms(w.LeaseS)))/100)/10, w.LeaseS)
	}
	c.positive("cluster.state.rps", cl.State.RPS)
	c.positive("cluster.state.write_rps", cl.State.WriteRPS)
	c.positive("cluster.state.value_kb", cl.State.ValueKB)
	if cl.State.TxnOps < 4 {
		c.fail("cluster.state.txn_ops must be at least 4")
	}
	c.positive("cluster.cloud.rps", cl.Cloud.RPS)
	c.notNegative("cluster.cloud.list_lag_s", cl.Cloud.ListLagS)
	c.atLeast("cluster.machine_limits.cpu_share", cl.Limits.CPUShare, minCPUShare)
	c.atLeast("cluster.machine_limits.ram_mb", cl.Limits.RAMMB, minRAMMB)
	if cl.Limits.MaxSockets < 1 {
		c.fail("cluster.machine_limits.max_sockets must be at least 1")
	}
}
