// Package config reads and validates the settings file that the platform provides
// to each controller. Operators' settings are separate: they are changed through
// the administration API and stored in the state service.
//
// The package owns the format and the rules of the file, and keeps no state. It
// assumes that the platform writes the file before the process starts and does
// not change it afterwards. Unknown fields belong to a later version of the
// platform and are ignored.
//
// It guarantees that a loaded File satisfies every rule, so that its users need
// no further checks, and that an error names every invalid field in one line. It
// handles mistakes in the file: values that are missing, out of range or
// inconsistent.
package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// File is the settings file. Its tags are the platform's field names.
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

// External holds the addresses of the services that the controllers use.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is the part of the file that is the same for all controllers.
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

// Team is a team's guarantee and its limit, in CPUs and GPUs; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service objective: a bound that a share of a class's jobs must
// meet, in seconds (WithinS) or as a factor of the job's own deadline
// (DeadlineFactor). The kind is deadline, wait, finished or guarantee. The core
// ignores other kinds.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	Share          float64 `toml:"share"`
	DeadlineFactor float64 `toml:"times"`
	WithinS        float64 `toml:"within_s"`
}

// Workers holds the interval between a worker's heartbeats, the duration of its
// lease, and the bound on a cancellation, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State holds the limits of the state service: requests and changes per second
// for all controllers together, the size of a value in KB, and the operations in
// a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud: requests per second for all controllers
// together, and the maximum lag of its list of instances in seconds.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds the resources that one controller may use of its machine: a share
// of a core, memory in MB, and sockets.
type Limits struct {
	CPUShare   float64 `toml:"cpu_share"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// nonHeapMB is the memory of a process that the Go runtime does not count: 12 MB
// for the program itself, the rest for libraries' pages and the operating
// system's memory for the process. It is a constant rather than a share, because
// it is the same on every machine: on a machine with 54 MB, a heap of three
// quarters would leave too little for it.
const nonHeapMB = 16

// HeapBytes returns how many bytes the Go runtime may use.
func (l Limits) HeapBytes() float64 { return (l.RAMMB - nonHeapMB) * (1 << 20) }

// Load reads and validates the file at path. An error names every invalid field
// in one line.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse parses and validates settings. Unknown fields are ignored, since the
// platform may add fields.
func Parse(b []byte) (*File, error) {
	var f File
	if err := toml.Unmarshal(b, &f); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			row, column := decodeError.Position()
			return nil, fmt.Errorf("settings: line %d column %d: %w", row, column, decodeError)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return &f, nil
}
