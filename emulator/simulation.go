// Package emulator simulates, in simulated time, the systems that grebedock interacts with: a state
// service, a cloud, workers, a network that drops, duplicates and delays messages, clocks that
// drift, and users who submit, query and cancel jobs and check the responses. It runs the real
// cores of the scheduler. The same seed gives the same history. The rules are checked against the
// tasks on the machines and the responses to users, never against the state of a core, except for
// what owners count for teams (checkTeamUsage).
package emulator

import (
	"fmt"
	"math/rand/v2"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Options holds the configuration of a simulation.
type Options struct {
	Seed                uint64
	Members             int
	Types               []scheduler.MachineType
	CapacityPerOffering int // machines of each instance offering
	Params              scheduler.Params
	InjectedFault       InjectedFault
	MessageLoss         float64 // share of messages that are lost
	// TaskRunMS returns the run time of a task in ms; nil: random, from 1 to 10 s.
	TaskRunMS func(sim *Simulation, j *Job, task string) int64
	// SpeedSpread is the relative spread of the speeds of machines of a type. FetchSpread is that of
	// image fetch times around the image size divided by the type's fetch rate; without it, all
	// fetches of a machine take the same time.
	SpeedSpread, FetchSpread float64
	// SpotLossPerHour is the number of reclaims per hour per hundred spot machines. The notice is
	// NoticeS seconds, varied randomly by up to half.
	SpotLossPerHour, NoticeS float64
	// MaxRangeTasks is the maximum number of tasks in a range of a new job; 0: as the members write it.
	MaxRangeTasks int
	// GangWaitMS is how long a gang's tasks wait for each other; 0: they do not wait.
	GangWaitMS int64
}

// Simulation is a simulated platform with a cluster of cores.
type Simulation struct {
	Rand           *rand.Rand
	Now            int64 // simulated time in ms since the start
	Store          *platformfake.State
	Cloud          *platformfake.Cloud
	Members        []*Member
	Workers        map[string]*Worker
	WorkerIDs      []string // of all machines ever provisioned, in order
	Jobs           map[string]*Job
	JobIDs         []string // in order of submission
	Partitions     []Partition
	OutageUntil    map[string]int64 // end of the state service's outage, for a member or "all"
	Lags           map[string]Lag   // by member
	Params         scheduler.Params
	MessageLoss    float64
	Violations     map[string]string // first violation, by rule
	TraceEnabled   bool
	TraceLog       []string
	PriorityStops  int64             // tasks stopped for a higher priority
	FailureReasons map[string]string // reasons of failed jobs, by job ID
	Relayed        int               // user requests that members forwarded
	// Requests and writes per second that the state service allows; 0: unlimited.
	StoreRPS      float64
	StoreWriteRPS float64
	StoreRequests map[scheduler.StoreOpKind]int
	StoreChanges  int
	// Commands, queries to workers, and machines provisioned and released: counts per second, by
	// kind.
	CommandCounts  map[string][]int
	RepeatedStarts int // starts of tasks that had started before
	History        []history.Op
	// ChecksDisabled disables the rule checks. They visit all tasks at each task start, which
	// dominates measurements of large clusters.
	ChecksDisabled bool
	// SweepIntervalMS is the interval between checks of placements and limits over all tasks; 0:
	// they are checked at each task start, which dominates the run time at ten thousand machines.
	SweepIntervalMS int64
	// PeerMessages counts messages between members; SummaryMessages counts those with summaries.
	PeerMessages, SummaryMessages int
	// Hooks for tests that inject a fault at a specific event. ExtraDelay returns the additional
	// delay in ms of a message between two endpoints, RefusesConnection reports whether a member
	// has no connection left for a worker, and Observer receives a member's outputs before they are
	// processed.
	ExtraDelay        func(from, to string) int64
	RefusesConnection func(member string) bool
	// IsFaulty selects machines on which every task fails.
	IsFaulty func(*Worker) bool
	// IsMisconfigured selects jobs with an invalid configuration: their tasks fail on every
	// machine.
	IsMisconfigured func(*Job) bool
	// BootDelay returns the boot time of a machine in ms; negative: the machine never boots.
	BootDelay func(worker *Worker, usualMS int64) int64
	Observer  func(*Member, *scheduler.Outputs)
	// OnTaskStop is called for each task that a worker is commanded to stop with a grace period
	// while its job is active. The rule "stopped_well" checks stops without a grace period.
	OnTaskStop func(*Worker, *platformfake.Task)
	// OnWorkerMessage is called when a heartbeat response, which renews the lease, or a direct command reaches
	// a worker, before the worker executes or refuses it.
	OnWorkerMessage func(worker *Worker, token uint64, renewsLease bool)
	// OnTaskDone is called for each task that is done.
	OnTaskDone func(*platformfake.Task)

	// LateWriteCounts counts writes that were applied late, by key prefix. DuplicateCounts counts
	// duplicate and delayed heartbeats, late commands and copies of commands, by occasion.
	LateWriteCounts, DuplicateCounts map[string]int
	// LostResponseCount counts transactions that were processed and whose response was dropped.
	LostResponseCount int
	// StartsAfterCancel counts tasks that started after the cancellation of their job was confirmed
	// to its user.
	StartsAfterCancel int
	// UpdatedTeams holds the teams of new settings, if any, that members adopt one after another: a
	// job that exceeds their limits may wait.
	UpdatedTeams map[string]scheduler.Team
	// LongestStarvationMS is the longest time that a job waited although it could start.
	LongestStarvationMS int64
	// LostResponseKinds counts applied writes whose response was dropped, by key prefix.
	LostResponseKinds map[string]int
	// LosesResponse selects further transactions that are applied and whose response is dropped.
	LosesResponse func(*Member, scheduler.StoreOp) bool
	// ConcurrentReads counts how often users queried all members at once.
	ConcurrentReads int
	// FailedConnections counts heartbeats of machines that could not connect to a member.
	FailedConnections int
	// DelaysWrite selects further transactions that are applied late.
	DelaysWrite func(*Member, scheduler.StoreOp) bool

	options              Options
	writeDelays          faultRate
	heartbeatReplays     faultRate
	responseLosses       faultRate // of transactions that are applied immediately
	claimReplays         faultRate // of heartbeats of which a copy is kept for the next claim
	claimHeartbeats      []capturedHeartbeat
	ownerReplays         faultRate // of heartbeats that are delayed until a new owner has acted
	ownerHeartbeats      []capturedHeartbeat
	newOwners            map[string]bool // members with a claim that have sent no command yet
	commandDelays        faultRate       // of direct commands
	queryDelays          faultRate       // share of task queries that are late
	commandCopies        faultRate       // share of direct commands that arrive again
	cancelsAtEnd         faultRate       // of jobs that are cancelled as they end
	concurrentReadsUntil int64           // end of the time in which users query all members concurrently
	invalidRequestsUntil int64           // end of the time in which users send invalid requests
	invalidJobCount      int             // number of invalid jobs sent
	storeDelayMS         int64
	storeSlowUntil       int64
	lastFaultAt          int64 // last time at which a fault was active
	// Time since which each job has waited although it could start.
	startableSince       map[string]int64
	eventSeq             int
	queue                eventQueue
	pendingWatches       []pendingWatch
	usefulCPUMS          float64         // processor time of done tasks in ms
	usefulCost           float64         // cost of that time at the machines' prices, per ms
	completeGangAttempts map[string]bool // attempts of gangs of which all tasks were on machines
	historyClock         int64           // logical clock of user requests and responses
	operatorRequests     uint64
	limitUse             map[string]limitSamples // by team
}

// New returns a simulation. Its members start 37 ms after each other.
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
	sim.Cloud.OnProvisioned = func(instance *platformfake.Instance) { sim.addWorker(instance) }
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

// Tracef adds an event to the trace if TraceEnabled is set. The trace helps to debug a seed.
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

// IsFinished reports whether the users of all jobs have received a final state.
func (sim *Simulation) IsFinished() bool {
	for _, j := range sim.Jobs {
		if !j.ObservedState.IsTerminal() {
			return false
		}
	}
	return len(sim.Jobs) > 0
}
