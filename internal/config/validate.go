package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/access"
)

// Minimum resources of a controller. An idle controller takes a few thousandths
// of a core and about 20 MB, most of it for the program itself. With less than
// the minimum, the system would kill it, or it would be too slow, before it did
// any work.
const (
	minCPUShare = 0.01
	minRAMMB    = 32
)

// minTxnOps is the minimum number of operations per transaction that the core
// needs.
const minTxnOps = 4

// validator collects the problems of a file. Its methods take the name of a field
// as in the file.
type validator struct{ problems []string }

func (v *validator) addProblem(format string, a ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, a...))
}

// err returns all problems in one line, or nil.
func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.New("settings: " + strings.Join(v.problems, "; "))
}

func (v *validator) requireText(field, text string) {
	if text == "" {
		v.addProblem("%s is missing", field)
	}
}

func (v *validator) requireAddr(field, addr string) {
	if addr == "" {
		v.addProblem("%s is missing", field)
		return
	}
	if _, err := net.ResolveTCPAddr("tcp4", addr); err != nil {
		v.addProblem("%s %q is not a valid address", field, addr)
	}
}

// The comparisons below are false for NaN, so that NaN is refused as well.

func (v *validator) requirePositive(field string, n float64) {
	if !(n > 0) || math.IsInf(n, 0) {
		v.addProblem("%s must be a positive number", field)
	}
}

func (v *validator) requireNotNegative(field string, n float64) {
	if !(n >= 0) || math.IsInf(n, 0) {
		v.addProblem("%s must not be negative", field)
	}
}

func (v *validator) requireAtLeast(field string, n, minimum float64) {
	if !(n >= minimum) || math.IsInf(n, 0) {
		v.addProblem("%s must be a finite number of at least %g: a member cannot run with less", field, minimum)
	}
}

func (f *File) validate() error {
	v := &validator{}
	v.requireText("member", f.Member)
	v.requireText("site", f.Zone)
	v.requireAddr("front", f.UserAPIAddr)
	v.requireAddr("mesh_addr", f.PeerAPIAddr)
	if f.UserAPIAddr != "" && f.UserAPIAddr == f.PeerAPIAddr {
		v.addProblem("front and mesh_addr are the same address")
	}
	v.requireAddr("external.cloud", f.External.Cloud)
	v.requireAddr("external.state", f.External.State)
	f.validatePeers(v)
	f.Cluster.validate(v)
	return v.err()
}

func (f *File) validatePeers(v *validator) {
	seen := map[string]bool{f.Member: true}
	for i, peer := range f.Peers {
		v.requireText(fmt.Sprintf("others[%d].member", i), peer.Member)
		v.requireAddr(fmt.Sprintf("others[%d].endpoint", i), peer.Addr)
		if peer.Member != "" && seen[peer.Member] {
			v.addProblem("others[%d].member %q is a duplicate", i, peer.Member)
		}
		seen[peer.Member] = true
	}
}

func (c *Cluster) validate(v *validator) {
	if len(c.Zones) == 0 || slices.Contains(c.Zones, "") {
		v.addProblem("cluster.zones is missing or has an empty name")
	}
	v.requireNotNegative("cluster.clock_error_ms", c.ClockErrorMS)
	c.validateTeams(v)
	for i, o := range c.Objectives {
		field := fmt.Sprintf("cluster.objectives[%d]", i)
		v.requireText(field+".kind", o.Kind)
		v.requireNotNegative(field+".within_s", o.WithinS)
		v.requireNotNegative(field+".times", o.DeadlineFactor)
	}
	c.Workers.validate(v)
	c.validateServices(v)
	c.Limits.validate(v)
}

func (c *Cluster) validateTeams(v *validator) {
	seen := map[string]bool{}
	for i, t := range c.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		v.requireText(field+".name", t.Name)
		if seen[t.Name] {
			v.addProblem("%s.name %q is a duplicate", field, t.Name)
		}
		seen[t.Name] = true
		v.requireNotNegative(field+".cpus", t.CPUs)
		v.requireNotNegative(field+".cpus_max", t.CPUsMax)
		v.requireNotNegative(field+".gpus", t.GPUs)
		v.requireNotNegative(field+".gpus_max", t.GPUsMax)
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			v.addProblem("%s.cpus is above cpus_max", field)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			v.addProblem("%s.gpus is above gpus_max", field)
		}
	}
}

// validate also checks that a cancellation can stay within its bound: tasks on a
// lost machine run for up to a lease, and a lost controller keeps its shards
// until its own lease expires.
func (w Workers) validate(v *validator) {
	v.requirePositive("cluster.workers.report_s", w.HeartbeatS)
	v.requirePositive("cluster.workers.lease_s", w.LeaseS)
	v.requirePositive("cluster.workers.cancel_s", w.CancelS)
	if !(w.LeaseS > 0) {
		return
	}
	minCancelMS := access.MinCancelMS(secondsToMS(w.LeaseS))
	if secondsToMS(w.CancelS) < minCancelMS {
		v.addProblem("cluster.workers.cancel_s must be %g or more with a lease_s of %g: "+
			"tasks on a lost machine run for up to a lease, and a lost controller's lease must expire "+
			"in the time that remains",
			ceilTenths(minCancelMS), w.LeaseS)
	}
}

func (c *Cluster) validateServices(v *validator) {
	v.requirePositive("cluster.state.rps", c.State.RPS)
	v.requirePositive("cluster.state.write_rps", c.State.WriteRPS)
	v.requirePositive("cluster.state.value_kb", c.State.ValueKB)
	if c.State.TxnOps < minTxnOps {
		v.addProblem("cluster.state.txn_ops must be at least %d", minTxnOps)
	}
	v.requirePositive("cluster.cloud.rps", c.Cloud.RPS)
	v.requireNotNegative("cluster.cloud.list_lag_s", c.Cloud.ListLagS)
}

func (l Limits) validate(v *validator) {
	v.requireAtLeast("cluster.machine_limits.cpu_share", l.CPUShare, minCPUShare)
	v.requireAtLeast("cluster.machine_limits.ram_mb", l.RAMMB, minRAMMB)
	if l.MaxSockets < 1 {
		v.addProblem("cluster.machine_limits.max_sockets must be at least 1")
	}
}

// secondsToMS converts a duration, clamped to MaxInt32 seconds: differences
// beyond that do not matter.
func secondsToMS(s float64) int64 { return int64(math.Round(min(s, math.MaxInt32) * 1000)) }

// ceilTenths converts milliseconds to seconds, rounded up to a tenth.
func ceilTenths(ms int64) float64 { return math.Ceil(float64(ms)/100) / 10 }
