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
	Member      string   `toml:"member"`
	Zone        string   `toml:"site"`
	UserAPIAddr string   `toml:"front"`
	PeerAPIAddr string   `toml:"mesh_addr"`
	Peers       []Peer   `toml:"others"`
	External    External `toml:"external"`
	Cluster     Cluster  `toml:"cluster"`
}

// Peer is another controller.
type Peer struct {
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
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
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

// nonHeapMB is what a process holds that the Go runtime does not count: 12 MB of
// the program itself when it was measured, the rest for libraries' pages and
// what the system keeps for it. It is the same on every machine, so it is no
// share: three quarters of 54 MB for the heap would have left it too little.
const nonHeapMB = 16

// HeapBytes is how many bytes the Go runtime may hold.
func (l Limits) HeapBytes() float64 { return (l.RAMMB - nonHeapMB) * (1 << 20) }

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
	if err := f.validate(); err != nil {
		return nil, err
	}
	return &f, nil
}

type validator struct{ problems []string }

func (c *validator) addProblem(format string, a ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, a...))
}

func (c *validator) requireText(field, v string) {
	if v == "" {
		c.addProblem("%s is missing", field)
	}
}

func (c *validator) requireAddr(field, v string) {
	if v == "" {
		c.addProblem("%s is missing", field)
		return
	}
	if _, err := net.ResolveTCPAddr("tcp4", v); err != nil {
		c.addProblem("%s %q is no address", field, v)
	}
}

func (c *validator) requirePositive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.addProblem("%s must be a positive number", field)
	}
}

// A member that does nothing takes a few thousandths of a core and some 20 MB,
// most of it the program itself. With less than this it would be killed, or be
// behind, before it did anything.
const (
	minCPUShare = 0.01
	minRAMMB    = 32
)

func (c *validator) requireAtLeast(field string, v, minimum float64) {
	if !(v >= minimum) || math.IsInf(v, 0) {
		c.addProblem("%s must be a number from %g on: with less a member cannot run", field, minimum)
	}
}

// secondsToMS is a duration in milliseconds, as far as one is worth telling apart.
func secondsToMS(s float64) int64 { return int64(math.Round(min(s, math.MaxInt32) * 1000)) }

func (c *validator) requireNotNegative(field string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.addProblem("%s must not be negative", field)
	}
}

func (f *File) validate() error {
	c := &validator{}
	c.requireText("member", f.Member)
	c.requireText("site", f.Zone)
	c.requireAddr("front", f.UserAPIAddr)
	c.requireAddr("mesh_addr", f.PeerAPIAddr)
	if f.UserAPIAddr != "" && f.UserAPIAddr == f.PeerAPIAddr {
		c.addProblem("front and mesh_addr are the same address")
	}
	c.requireAddr("external.cloud", f.External.Cloud)
	c.requireAddr("external.state", f.External.State)
	seen := map[string]bool{f.Member: true}
	for i, o := range f.Peers {
		c.requireText(fmt.Sprintf("others[%d].member", i), o.Member)
		c.requireAddr(fmt.Sprintf("others[%d].endpoint", i), o.Addr)
		if o.Member != "" && seen[o.Member] {
			c.addProblem("others[%d].member %q is named twice", i, o.Member)
		}
		seen[o.Member] = true
	}
	f.Cluster.validate(c)
	if len(c.problems) == 0 {
		return nil
	}
	return errors.New("settings: " + strings.Join(c.problems, "; "))
}

// validate says what is wrong with what all members share.
func (cl *Cluster) validate(c *validator) {
	if len(cl.Zones) == 0 || slices.Contains(cl.Zones, "") {
		c.addProblem("cluster.zones is missing or has an empty name")
	}
	c.requireNotNegative("cluster.clock_error_ms", cl.ClockErrorMS)
	cl.validateTeams(c)
	for i, o := range cl.Objectives {
		field := fmt.Sprintf("cluster.objectives[%d]", i)
		c.requireText(field+".kind", o.Kind)
		c.requireNotNegative(field+".within_s", o.WithinS)
		c.requireNotNegative(field+".times", o.Times)
	}
	cl.validateLimits(c)
}

func (cl *Cluster) validateTeams(c *validator) {
	teams := map[string]bool{}
	for i, t := range cl.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		c.requireText(field+".name", t.Name)
		if teams[t.Name] {
			c.addProblem("%s.name %q is named twice", field, t.Name)
		}
		teams[t.Name] = true
		c.requireNotNegative(field+".cpus", t.CPUs)
		c.requireNotNegative(field+".cpus_max", t.CPUsMax)
		c.requireNotNegative(field+".gpus", t.GPUs)
		c.requireNotNegative(field+".gpus_max", t.GPUsMax)
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			c.addProblem("%s.cpus is above cpus_max", field)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			c.addProblem("%s.gpus is above gpus_max", field)
		}
	}
}

// validateLimits checks the bounds of workers, services and the member's machine.
func (cl *Cluster) validateLimits(c *validator) {
	c.requirePositive("cluster.workers.report_s", cl.Workers.HeartbeatS)
	c.requirePositive("cluster.workers.lease_s", cl.Workers.LeaseS)
	c.requirePositive("cluster.workers.cancel_s", cl.Workers.CancelS)
	if w := cl.Workers; w.LeaseS > 0 && secondsToMS(w.CancelS) < access.MinCancelMS(secondsToMS(w.LeaseS)) {
		c.addProblem(
			"cluster.workers.cancel_s must be %g or more beside a lease_s of %g: a lost machine's tasks live for a lease, and a controller's holds for what is left",
			math.Ceil(float64(access.MinCancelMS(secondsToMS(w.LeaseS)))/100)/10,
			w.LeaseS,
		)
	}
	c.requirePositive("cluster.state.rps", cl.State.RPS)
	c.requirePositive("cluster.state.write_rps", cl.State.WriteRPS)
	c.requirePositive("cluster.state.value_kb", cl.State.ValueKB)
	if cl.State.TxnOps < 4 {
		c.addProblem("cluster.state.txn_ops must be at least 4")
	}
	c.requirePositive("cluster.cloud.rps", cl.Cloud.RPS)
	c.requireNotNegative("cluster.cloud.list_lag_s", cl.Cloud.ListLagS)
	c.requireAtLeast("cluster.machine_limits.cpu_share", cl.Limits.CPUShare, minCPUShare)
	c.requireAtLeast("cluster.machine_limits.ram_mb", cl.Limits.RAMMB, minRAMMB)
	if cl.Limits.MaxSockets < 1 {
		c.addProblem("cluster.machine_limits.max_sockets must be at least 1")
	}
}
