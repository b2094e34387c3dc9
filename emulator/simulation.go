// Package emulator is the project's own model of the systems that grebedock serves, in simulated
// time: a state service, a cloud, workers, a network that loses, duplicates and
// delays packets, clocks that drift, and users who submit, query, cancel and check the responses. It runs
// real cores of the scheduler. One seed gives one history. The rules are checked against what ran
// on the machines and what users were told, never against the state that a core believes.
package emulator

import (
	"fmt"
	"math/rand/v2"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Options configure a simulation.
type Options struct {
	Seed                uint64
	Members             int
	Types               []scheduler.MachineType
	CapacityPerOffering int // machines of a type, zone and kind
	Params              scheduler.Params
	InjectedFault       InjectedFault
	MessageLoss         float64 // share of messages that are lost
	// TaskRunMS is how long a task runs; nil: some seconds.
	TaskRunMS func(w *Simulation, j *Job, task string) int64
	// SpeedSpread is the spread of the speed of machines of a type, and FetchSpread that of image
	// fetches around size over the type's rate. Without the latter every fetch takes a machine the
	// same time.
	SpeedSpread, FetchSpread float64
	// SpotLossPerHour is the number of spot machines of a hundred that the cloud reclaims in an
	// hour, with a notice of NoticeS seconds, give or take a half.
	SpotLossPerHour, NoticeS float64
	// How long a gang's tasks wait for each other; 0: they need not wait.
	GangWaitMS int64
}

// Simulation is a simulated platform with a cluster of cores in it.
type Simulation struct {
	Rand           *rand.Rand
	Now            int64 // ms since the beginning
	Store          *platformfake.State
	Cloud          *platformfake.Cloud
	Members        []*Member
	Workers        map[string]*Worker
	WorkerIDs      []string // of all machines that ever existed, in order
	Jobs           map[string]*Job
	JobIDs         []string // of jobs
	Partitions     []Partition
	OutageUntil    map[string]int64 // end of the state service's outage, for a member or "all"
	Lags           map[string]Lag   // by member
	Params         scheduler.Params
	MessageLoss    float64
	Violations     map[string]string // by rule: first violation
	TraceEnabled   bool
	TraceLog       []string
	PriorityStops  int64             // tasks stopped for a higher priority
	FailureReasons map[string]string // jobs that failed, and why
	Relayed        int               // requests that members forwarded
	// Requests and writes per second that the state service allows; 0: unlimited.
	StoreRPS      float64
	StoreWriteRPS float64
	StoreRequests map[scheduler.StoreOpKind]int
	StoreChanges  int
	// commands, queries to workers, machines provisioned and released: by kind, for each second
	CommandCounts  map[string][]int
	RepeatedStarts int // starts of tasks that had started before
	History        []history.Op
	// ChecksDisabled turns the rules off. Their checks visit all tasks at each start, which
	// dominates measurements of large clusters.
	ChecksDisabled bool
	// SweepIntervalMS is the interval between checks of placements and limits over all tasks; 0:
	// they are checked at each start, which dominates the run time at ten thousand machines.
	SweepIntervalMS int64
	// PeerMessages counts messages between members, SummaryMessages those with summaries.
	PeerMessages, SummaryMessages int
	// Hooks for tests that inject a fault at a certain moment. ExtraDelay returns the additional
	// delay in ms of a message between two endpoints, RefusesConnection reports whether a member
	// has no connection left for a worker, and Observer sees a member's outputs before they are
	// carried out.
	ExtraDelay        func(from, to string) int64
	RefusesConnection func(member string) bool
	// IsFaulty selects machines on which every task fails.
	IsFaulty func(*Worker) bool
	// IsMisconfigured selects jobs that were submitted with a mistake: their tasks fail on every
	// machine.
	IsMisconfigured func(*Job) bool
	// BootDelay returns how long a machine takes to boot, in ms; below 0 it never does.
	BootDelay func(h *Worker, usual int64) int64
	Observer  func(*Member, *scheduler.Outputs)
	// OnTaskStop is called for each task that a worker is told to stop with a grace period
	// although its job goes on. Stops without one are checked by the rule "stopped_well".
	OnTaskStop func(*Worker, *platformfake.Task)
	// OnTaskDone is called for each task that is done.
	OnTaskDone func(*platformfake.Task)

	// LateWriteCounts counts writes that were carried out late, by their keys' prefix,
	// DuplicateCounts heartbeats that arrived again.
	LateWriteCounts, DuplicateCounts map[string]int
	// LostResponseCount counts transactions that were carried out and whose response was lost.
	LostResponseCount int
	// StartsAfterCancel counts tasks that started after their users were told that they
	// are cancelled.
	StartsAfterCancel int
	// UpdatedTeams are the teams of new settings that members adopt one by one, if any: a job over
	// their limits may wait.
	UpdatedTeams map[string]scheduler.Team
	// LongestStarvationMS is the longest time that a job waited although it could start.
	LongestStarvationMS int64
	// LostResponseKinds counts writes of which only the response was lost, by their keys' prefix.
	LostResponseKinds map[string]int
	// LosesResponse selects further transactions that are carried out and whose response is lost.
	LosesResponse func(*Member, scheduler.StoreOp) bool
	// ConcurrentReads counts how often users queried all members at once.
	ConcurrentReads int
	// FailedConnections counts heartbeats of machines that could open no connection.
	FailedConnections int
	// DelaysWrite selects further transactions that are carried out late.
	DelaysWrite func(*Member, scheduler.StoreOp) bool

	options              Options
	writeDelays          faultRate
	heartbeatReplays     faultRate
	responseLosses       faultRate // of transactions that are carried out at once
	claimReplays         faultRate // of heartbeats of which a copy is kept for the next claim
	claimHeartbeats      []capturedHeartbeat
	ownerReplays         faultRate // of heartbeats that are delayed until a new owner has acted
	ownerHeartbeats      []capturedHeartbeat
	newOwners            map[string]bool // members that claimed something and sent no command yet
	commandDelays        faultRate       // of direct commands
	cancelsAtEnd         faultRate       // of jobs that are cancelled as they end
	concurrentReadsUntil int64           // until when users query all members at once
	invalidRequestsUntil int64           // until when users send invalid requests
	invalidJobCount      int             // how many such jobs were sent
	storeDelayMS         int64
	storeSlowUntil       int64
	lastFaultAt          int64 // when the last fault was over
	// Since when each job waits although it could start.
	startableSince       map[string]int64
	eventSeq             int
	queue                eventQueue
	parkedWatches        []parkedWatch
	usefulCPUMS          float64         // of done tasks, in processor milliseconds
	usefulCost           float64         // the same times the price of the machines, per ms
	completeGangAttempts map[string]bool // attempts of gangs that had all their tasks on machines
	historyClock         int64           // orders requests and responses of users
	operatorRequests     uint64
	limitUse             map[string]limitSamples // by team
}

// New returns a simulation whose members start within its first 100 ms.
func New(options Options) *Simulation {
	if options.TaskRunMS == nil {
		options.TaskRunMS = func(sim *Simulation, _ *Job, _ string) int64 { return 1000 + sim.Rand.Int64N(9000) }
	}
	sim := &Simulation{
		Rand:                 rand.New(rand.NewPCG(options.Seed, 1)),
		Store:                platformfake.NewState(),
		Cloud:                platformfake.NewCloud(options.Types, options.CapacityPerOffering),
		Workers:              map[string]*Worker{},
		Jobs:                 map[string]*Job{},
		Lags:                 map[string]Lag{},
		OutageUntil:          map[string]int64{},
		Violations:           map[string]string{},
		StoreRequests:        map[scheduler.StoreOpKind]int{},
		CommandCounts:        map[string][]int{},
		LateWriteCounts:      map[string]int{},
		LostResponseKinds:    map[string]int{},
		DuplicateCounts:      map[string]int{},
		FailureReasons:       map[string]string{},
		completeGangAttempts: map[string]bool{},
		limitUse:             map[string]limitSamples{},
		startableSince:       map[string]int64{},
		MessageLoss:          options.MessageLoss,
		Params:               options.Params,
		options:              options,
	}
	sim.Cloud.OnProvisioned = func(instance *platformfake.Instance) { sim.provisioned(instance) }
	sim.Cloud.OnReleased = func(instance *platformfake.Instance) {
		if worker := sim.Workers[instance.ID]; worker != nil {
			worker.Gone, worker.ReleasedAt = true, sim.Now
		}
	}
	for i := range options.Members {
		m := &Member{sim: sim, Name: fmt.Sprintf("m%d", i), clockRate: 1 + (sim.Rand.Float64()-0.5)*0.001}
		sim.Members = append(sim.Members, m)
		sim.After(int64(i)*37, m.start)
	}
	return sim
}

// Tracef adds an event to the trace if TraceEnabled is set, for those who examine a seed.
func (sim *Simulation) Tracef(format string, a ...any) {
	if sim.TraceEnabled {
		sim.TraceLog = append(sim.TraceLog, fmt.Sprintf("%7d ", sim.Now)+fmt.Sprintf(format, a...))
	}
}

// countCommands counts commands of a kind in the current second.
func (sim *Simulation) countCommands(kind string, n int) {
	counts := sim.CommandCounts[kind]
	for len(counts) <= int(sim.Now/1000) {
		counts = append(counts, 0)
	}
	counts[sim.Now/1000] += n
	sim.CommandCounts[kind] = counts
}

// IsFinished reports whether the users of all jobs know how they ended.
func (sim *Simulation) IsFinished() bool {
	for _, j := range sim.Jobs {
		if !j.ObservedState.IsTerminal() {
			return false
		}
	}
	return len(sim.Jobs) > 0
}
