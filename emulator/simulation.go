// Package emulator is the project's own model of the systems that grebedock
// serves, in simulated time: a state service, a cloud, workers, a network that
// delays, loses, doubles and holds packets, clocks that drift, and users who ask,
// cancel and remember what they were told. It runs real cores of the scheduler.
// One seed gives one history. The rules are checked from the world's side: by
// what ran on the machines and by what users heard.
package emulator

import (
	"fmt"
	"math/rand/v2"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// Options are what a world is made of.
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
	// SpeedSpread is how far machines of a type differ in speed, and FetchSpread how far
	// images take longer or shorter than their size over the type's rate. Without
	// the latter each image takes a machine the same time.
	SpeedSpread, FetchSpread float64
	// SpotLossPerHour is how many spot machines of a hundred are taken back in an hour, with
	// a notice of so many seconds, give or take a half.
	SpotLossPerHour, NoticeS float64
	GangWaitMS               int64 // gangs wait for their mates as long as this; 0: they need not wait
}

// Simulation is a simulated platform with a cluster of cores in it.
type Simulation struct {
	Rand           *rand.Rand
	Now            int64 // ms since the beginning
	Store          *platformfake.State
	Cloud          *platformfake.Cloud
	Members        []*Member
	Workers        map[string]*Worker
	WorkerIDs      []string // of all machines that ever were, in order
	Jobs           map[string]*Job
	JobIDs         []string // of jobs
	Partitions     []Partition
	OutageUntil    map[string]int64 // of the state service, for a member or "all": until when
	Lags           map[string]Lag   // by member
	Params         scheduler.Params
	MessageLoss    float64
	Violations     map[string]string // rule: first breach
	TraceEnabled   bool
	TraceLog       []string
	PriorityStops  int64             // tasks stopped for a higher priority
	FailureReasons map[string]string // jobs that failed, and why
	Relayed        int               // requests that members passed on
	StoreRPS       float64           // requests and changes a second that the state service allows; 0: any
	StoreWriteRPS  float64
	StoreRequests  map[scheduler.StoreOpKind]int
	StoreChanges   int
	// commands, questions to workers, machines rented and returned: by kind, for each second
	CommandCounts  map[string][]int
	RepeatedStarts int // starts of tasks that had started before
	History        []history.Op
	// ChecksDisabled leaves out the rules, whose checks look at all tasks at each
	// start: for measurements at sizes where that takes all the time.
	ChecksDisabled bool
	// SweepIntervalMS has the rules on places and limits checked over all tasks at once, so often,
	// instead of over all tasks at each start: at ten thousand machines the latter
	// takes all the time. 0: at each start.
	SweepIntervalMS int64
	// PeerMessages counts what members sent each other, Summaries those that had summaries.
	PeerMessages, SummaryMessages int
	// ExtraDelay is how much longer a message from one endpoint to another takes, Refused
	// whether a member has no connection left for a worker, and Spy sees what a
	// member wants done before it is: for tests that fail at a certain moment.
	ExtraDelay        func(from, to string) int64
	RefusesConnection func(member string) bool
	// IsFaulty machines fail every task.
	IsFaulty func(*Worker) bool
	// IsMisconfigured jobs were submitted with a mistake: their tasks fail on every machine.
	IsMisconfigured func(*Job) bool
	// BootDelay changes how long a machine takes to come up, in ms; below 0 it never does.
	BootDelay func(h *Worker, usual int64) int64
	Observer  func(*Member, *scheduler.Outputs)
	// OnTaskStop is told of each task that a worker was told to stop though its job goes
	// on: with some grace. Without any, "stopped_well" is the rule.
	OnTaskStop func(*Worker, *platformfake.Task)
	// OnTaskDone is told of each task that is done.
	OnTaskDone func(*platformfake.Task)

	// LateWriteCounts counts changes that were carried out late, by their keys' prefix, Copies
	// reports that arrived once more.
	LateWriteCounts, DuplicateCounts map[string]int
	// LostResponseCount counts transactions that were carried out and whose answer was lost.
	LostResponseCount int
	// StartsAfterCancel counts tasks that started after their users were told that they
	// are cancelled.
	StartsAfterCancel int
	// UpdatedTeams are those of settings that members take over one by one, if there are any: a
	// job over their limits may wait.
	UpdatedTeams map[string]scheduler.Team
	// LongestStarvationMS is the longest time that a job waited though it could start.
	LongestStarvationMS int64
	// LostResponseKinds counts changes of which only the answer was lost, by their keys' prefix.
	LostResponseKinds map[string]int
	// LosesResponse tells of which further transactions that were carried out the answer is lost.
	LosesResponse func(*Member, scheduler.StoreOp) bool
	// ConcurrentReads counts how often users asked at all members at once.
	ConcurrentReads int
	// FailedConnections counts reports of machines that could open no connection.
	FailedConnections int
	// DelaysWrite tells which further transactions are carried out late.
	DelaysWrite func(*Member, scheduler.StoreOp) bool

	options              Options
	writeDelays          faultRate
	heartbeatReplays     faultRate
	responseLosses       faultRate // of transactions that are carried out at once
	claimReplays         faultRate // of reports of which a copy is kept for the next claim
	claimHeartbeats      []capturedHeartbeat
	ownerReplays         faultRate // of reports that are held until a new holder has acted
	ownerHeartbeats      []capturedHeartbeat
	newOwners            map[string]bool // members that claimed something and told no worker anything yet
	commandDelays        faultRate       // of direct commands
	cancelsAtEnd         faultRate       // of jobs that are cancelled as they end
	concurrentReadsUntil int64           // until when users ask at all members at once
	invalidRequestsUntil int64           // until when users send what makes no sense
	invalidJobCount      int             // how many such jobs were sent
	storeDelayMS         int64
	storeSlowUntil       int64
	lastFaultAt          int64 // when the last trouble was over
	// Since when each job waits though it could start.
	startableSince       map[string]int64
	eventSeq             int
	queue                eventQueue
	parkedWatches        []parkedWatch
	usefulCPUMS          float64         // of done tasks, ms of a processor
	usefulCost           float64         // the same at the price of the machines it ran on, by ms
	completeGangAttempts map[string]bool // of gangs, that had all their tasks on machines
	historyClock         int64           // orders what users ask and hear
	operatorRequests     uint64
	limitUse             map[string]limitSamples // by team
}

// New returns a world whose members start within its first tenth of a second.
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

// Tracef notes what happened, for whoever looks into a seed with -sim.
func (sim *Simulation) Tracef(format string, a ...any) {
	if sim.TraceEnabled {
		sim.TraceLog = append(sim.TraceLog, fmt.Sprintf("%7d ", sim.Now)+fmt.Sprintf(format, a...))
	}
}

// countCommands counts orders of a kind in this second.
func (sim *Simulation) countCommands(kind string, n int) {
	counts := sim.CommandCounts[kind]
	for len(counts) <= int(sim.Now/1000) {
		counts = append(counts, 0)
	}
	counts[sim.Now/1000] += n
	sim.CommandCounts[kind] = counts
}

// IsFinished tells whether the users of all jobs know how they ended.
func (sim *Simulation) IsFinished() bool {
	for _, j := range sim.Jobs {
		if !j.ObservedState.IsTerminal() {
			return false
		}
	}
	return len(sim.Jobs) > 0
}
