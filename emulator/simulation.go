// Package emulator is the project's own model of the systems that grebedock
// serves, in simulated time: a state service, a cloud, workers, a network that
// delays, loses, doubles and holds packets, clocks that drift, and users who ask,
// cancel and remember what they were told. It runs real cores of the scheduler.
// One seed gives one history. The rules are checked from the world's side: by
// what ran on the machines and by what users heard.
package emulator

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

type event struct {
	at  int64
	seq int
	run func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].seq < queue[j].seq
}

func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(event)) }

func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

// InjectedFault breaks something between the cores and the world, so that a test can
// see each rule's check fail.
type InjectedFault struct {
	WorkerResponse func(*scheduler.HeartbeatResponse) // answers to workers
	Heartbeat      func(*scheduler.Heartbeat)         // reports of workers
	Params         func(*scheduler.Params)
	SubmittedJob   func(*scheduler.Job)          // what the cores are told of a job
	UserResponse   func(*scheduler.UserResponse) // answers to users
	// ResponseToRequest changes the answers to users by what they asked.
	ResponseToRequest func(scheduler.UserRequest, *scheduler.UserResponse)
}

// Member is a member's place in the world, and its core while it runs.
type Member struct {
	Name          string
	Core          *scheduler.Controller // nil while it is down
	ClockOffsetMS int64                 // its time of day is off by so many milliseconds

	sim          *Simulation
	epoch        int
	clockRate    float64
	startedAt    int64
	budgetFreeAt int64 // when its part of the rates has room again
	// When its process, which stands still, goes on.
	pausedUntil         int64
	lastReplyID         uint64
	pendingHeartbeats   map[uint64]func(scheduler.HeartbeatResponse)
	pendingUserRequests map[uint64]func(scheduler.UserResponse)
}

// Worker is a rented machine.
type Worker struct {
	Agent          *platformfake.Worker // nil until it is up
	Instance       *platformfake.Instance
	Up, Gone       bool
	ReleasedAt     int64
	HangUntil      int64
	AcknowledgedAt int64 // when a report of it was last taken

	machineType              scheduler.MachineType
	taskStartedAt            map[string]int64 // when each task last started here
	memberIndex              int              // member that it reports to
	heartbeatInFlight        bool
	nextHeartbeatAt          int64
	lastHeartbeatAt          int64
	retryHeartbeat           bool  // the last report had no answer that counts
	inboundPartitionedUntil  int64 // it hears nothing
	outboundPartitionedUntil int64 // it can open no connection to a member
	// Direct commands to it, and their answers, are held up.
	commandsDelayedUntil, commandResultsDelayedUntil int64
	heartbeatIntervalMS                              int64 // until the next report if nothing changes
	clockRate                                        float64
}

// Job is a job with what its user knows of it.
type Job struct {
	Spec              scheduler.Job
	Accepted          bool
	ObservedState     scheduler.JobState
	CancelRequested   bool  // its user asked
	CancelConfirmedAt int64 // when its user was told so
	DoneTasks         map[string]bool
	StartCounts       map[string]int // starts by task
	TaskRunS          float64        // of its tasks, in seconds, for whoever runs them
	SubmittedAt       int64
	// AcceptedAt is when its user was first told that it is known.
	AcceptedAt   int64
	FirstStartAt int64 // when its first task started, 0: not yet
	DoneAt       int64 // when its last task was done, 0: not yet

	finalObservedAt int64 // when its user was told its final state
	// When its user last had an answer about it.
	lastResponseAt  int64
	longestRunMS    int64 // of its tasks' run times, of those that ran
	withinGuarantee bool  // it came within its team's guarantee
	countedStartAt  map[string]int64
}

// NewJob returns a job that nobody has submitted yet.
func NewJob(j scheduler.Job) *Job {
	return &Job{Spec: j, DoneTasks: map[string]bool{}, StartCounts: map[string]int{}, countedStartAt: map[string]int64{}}
}

// Partition holds what goes between two groups of endpoints until it ends. Members
// have their names, machines "w" and theirs, and there are "store", "cloud" and
// "users".
type Partition struct {
	A, B          string // prefixes of endpoints' names
	Until         int64
	DropsMessages bool // what goes between them is lost, not held
}

// Lag is how far a member that lacks processor time falls behind: what reaches
// it waits, what it decided leaves late, and its ticks come seldom.
type Lag struct{ Until, MaxDelayMS int64 }

// erringExecution is a task that ends by itself with an error, now and then.
type erringExecution struct {
	sim      *Simulation
	endsAt   int64
	succeeds bool
}

func (execution *erringExecution) IsFinished() (bool, error) {
	if execution.sim.Now < execution.endsAt {
		return false, nil
	}
	if execution.succeeds {
		return true, nil
	}
	return true, errors.New("failed")
}

func (execution *erringExecution) Stop() {}

type parkedWatch struct {
	op      scheduler.StoreOp
	until   int64
	member  string
	respond func(scheduler.StoreResult)
}

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
	CommandCounts  map[string][]int // commands, questions to workers, machines rented and returned: by kind, for each second
	RepeatedStarts int              // starts of tasks that had started before
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

// After runs f so many milliseconds from now.
func (sim *Simulation) After(delayMS int64, run func()) {
	sim.eventSeq++
	heap.Push(&sim.queue, event{sim.Now + delayMS, sim.eventSeq, run})
}

// runAt runs f at a time, at once if that has passed.
func (sim *Simulation) runAt(at int64, run func()) {
	if at <= sim.Now {
		run()
		return
	}
	sim.After(at-sim.Now, run)
}

// Tracef notes what happened, for whoever looks into a seed with -sim.
func (sim *Simulation) Tracef(format string, a ...any) {
	if sim.TraceEnabled {
		sim.TraceLog = append(sim.TraceLog, fmt.Sprintf("%7d ", sim.Now)+fmt.Sprintf(format, a...))
	}
}

func (sim *Simulation) recordViolation(rule, format string, a ...any) {
	if sim.Violations[rule] == "" {
		sim.Tracef("BROKEN %s", rule)
		sim.Violations[rule] = fmt.Sprintf("at %d ms: ", sim.Now) + fmt.Sprintf(format, a...)
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

// checkCommands counts orders to workers. One that stops an attempt at once, though its job
// goes on and nobody else has the task, stops what runs well. A stop for another attempt
// than the one that runs stops nothing: it answers a report that was held for long.
func (sim *Simulation) checkCommands(commands []scheduler.Command) {
	for _, command := range commands {
		sim.countCommands(string(command.Kind), 1)
		j := sim.Jobs[command.Task[:strings.IndexByte(command.Task, '/')]]
		if command.Kind != scheduler.CommandStop || command.GraceS > 0 || sim.ChecksDisabled || j == nil ||
			j.CancelRequested ||
			j.ObservedState.IsTerminal() ||
			j.DoneTasks[command.Task] ||
			j.Spec.AtMostOnce ||
			j.Spec.MaxTaskErrors > 0 {
			continue
		}
		running, isRunningAttempt := 0, false
		sim.EachTask(func(_ *Worker, t *platformfake.Task) {
			if t.Name == command.Task {
				running++
				isRunningAttempt = t.Attempt == command.Attempt
			}
		})
		if running == 1 && isRunningAttempt {
			sim.recordViolation("stopped_well", "%s, attempt %d", command.Task, command.Attempt)
		}
	}
}

// sendMessage carries a message: late, lost, or held by a cut until it ends.
func (sim *Simulation) sendMessage(from, to string, deliver func()) {
	delay := 1 + sim.Rand.Int64N(12)
	if sim.Rand.Float64() < 0.01 {
		delay += sim.Rand.Int64N(600)
	}
	for _, partition := range sim.Partitions {
		if partition.Until > sim.Now &&
			(strings.HasPrefix(from, partition.A) && strings.HasPrefix(to, partition.B) || strings.HasPrefix(to, partition.A) && strings.HasPrefix(from, partition.B)) {
			if partition.DropsMessages {
				return
			}
			delay = max(delay, partition.Until-sim.Now+1+sim.Rand.Int64N(20))
		}
	}
	if sim.Rand.Float64() < sim.MessageLoss {
		return
	}
	if sim.ExtraDelay != nil {
		delay += sim.ExtraDelay(from, to)
	}
	sim.After(delay+sim.lagDelay(from)+sim.lagDelay(to)+sim.pauseDelay(from, to), deliver)
}

func (sim *Simulation) lagDelay(name string) int64 {
	if lag := sim.Lags[name]; lag.Until > sim.Now {
		return sim.Rand.Int64N(lag.MaxDelayMS)
	}
	return 0
}

func (sim *Simulation) storeRefuses(m string) bool {
	return sim.OutageUntil["all"] > sim.Now || sim.OutageUntil[m] > sim.Now
}

// Clock is the time as the member sees it.
func (m *Member) Clock() scheduler.Now {
	return scheduler.Now{
		MonotonicMS: int64(float64(m.sim.Now-m.startedAt)*m.clockRate) + 1,
		WallMS:      1_700_000_000_000 + m.sim.Now + m.ClockOffsetMS + m.sim.Rand.Int64N(11) - 5,
	}
}

func (m *Member) start() {
	cfg := m.sim.Params
	cfg.MemberID = m.Name
	for _, other := range m.sim.Members {
		if other != m {
			cfg.PeerIDs = append(cfg.PeerIDs, other.Name)
		}
	}
	if m.sim.options.InjectedFault.Params != nil {
		m.sim.options.InjectedFault.Params(&cfg)
	}
	m.epoch++
	m.startedAt = m.sim.Now
	m.pendingHeartbeats, m.pendingUserRequests = map[uint64]func(scheduler.HeartbeatResponse){}, map[uint64]func(scheduler.UserResponse){}
	m.Core = scheduler.New(cfg, m.sim.Rand.Uint64(), m.Clock())
	m.tick(m.epoch)
}

// Crash ends a member at once; it starts again after so many milliseconds.
func (m *Member) Crash(downMS int64) {
	if m.Core == nil {
		return
	}
	m.Core = nil
	m.epoch++
	m.sim.After(downMS, m.start)
}

func (m *Member) tick(epoch int) {
	if m.epoch != epoch || m.Core == nil {
		return
	}
	if remainingPause := m.pausedUntil - m.sim.Now; remainingPause > 0 {
		m.sim.After(remainingPause+1, func() { m.tick(epoch) })
		return
	}
	m.Core.Tick(m.Clock())
	m.dispatchOutputs()
	m.sim.After(50+m.sim.lagDelay(m.Name), func() { m.tick(epoch) })
}

// inEpoch runs f if the member is still the process that asked.
func (m *Member) inEpoch(epoch int, callback func()) func() {
	var run func()
	run = func() {
		if remainingPause := m.pausedUntil - m.sim.Now; remainingPause > 0 {
			m.sim.After(remainingPause+1, run)
			return
		}
		if m.epoch == epoch && m.Core != nil {
			callback()
			m.dispatchOutputs()
		}
	}
	return run
}

const requestTimeoutMS = 2000

// sendToStore sends a request to the state service, within the member's part of its
// rates if the world has any. First come, first served: the real budget lets
// holds go first.
func (sim *Simulation) sendToStore(m *Member, op scheduler.StoreOp, send func()) {
	if sim.StoreRPS == 0 {
		sim.sendMessage(m.Name, "store", send)
		return
	}
	memberCount := float64(len(sim.Members))
	m.budgetFreeAt = max(
		m.budgetFreeAt,
		sim.Now-1000,
	) + int64(
		max(1, memberCount/sim.StoreRPS*1000, memberCount/sim.StoreWriteRPS*1000*float64(len(op.Changes))),
	)
	sim.After(max(0, m.budgetFreeAt-sim.Now), func() { sim.sendMessage(m.Name, "store", send) })
}

func (m *Member) dispatchOutputs() {
	sim, epoch := m.sim, m.epoch
	outputs := m.Core.TakeOutputs()
	if sim.Observer != nil {
		sim.Observer(m, &outputs)
	}
	for _, line := range outputs.Logs {
		if line.Message == "task stopped for a higher priority" {
			sim.PriorityStops++
		}
		sim.Tracef("%s %s %v", m.Name, line.Message, line.Args)
	}
	sim.observeFirstCommands(m, &outputs)
	for _, id := range slices.Sorted(maps.Keys(outputs.HeartbeatResponses)) {
		resp := outputs.HeartbeatResponses[id]
		sim.checkCommands(resp.Commands)
		if respond := m.pendingHeartbeats[id]; respond != nil {
			delete(m.pendingHeartbeats, id)
			respond(resp)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(outputs.UserResponses)) {
		resp := outputs.UserResponses[id]
		if respond := m.pendingUserRequests[id]; respond != nil {
			delete(m.pendingUserRequests, id)
			respond(resp)
		}
	}
	for _, op := range outputs.StoreOps {
		timeoutMS := int64(requestTimeoutMS)
		if op.Kind == scheduler.StoreWatch {
			timeoutMS += op.DurationMS
		}
		respondStore := func(result scheduler.StoreResult) {
			sim.sendMessage("store", m.Name, m.inEpoch(epoch, func() { m.Core.HandleStoreResult(m.Clock(), op.ID, result) }))
		}
		sim.StoreRequests[op.Kind]++
		sim.StoreChanges += len(op.Changes)
		sim.sendToStore(m, op, func() {
			if sim.storeRefuses(m.Name) {
				respondStore(scheduler.StoreResult{Outcome: scheduler.Refused})
				return
			}
			if sim.divertLateWrite(m, op) {
				return
			}
			result, ready := sim.Store.Apply(sim.Now, op)
			if op.Kind == scheduler.StoreWatch && !ready {
				sim.parkedWatches = append(sim.parkedWatches, parkedWatch{op, sim.Now + op.DurationMS, m.Name, respondStore})
				return
			}
			sim.observeClaim(m, op, result)
			if sim.dropsStoreResponse(m, op, result) {
				return
			}
			respondStore(result)
		})
		sim.After(
			timeoutMS,
			m.inEpoch(
				epoch,
				func() { m.Core.HandleStoreResult(m.Clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown}) },
			),
		)
	}
	for _, op := range outputs.CloudOps {
		switch op.Kind {
		case scheduler.CloudProvision:
			sim.countCommands("rent", op.Count)
		case scheduler.CloudRelease:
			sim.countCommands("return", len(op.Machines))
		}
		sim.sendMessage(m.Name, "cloud", func() {
			result := sim.Cloud.Apply(sim.Now, op)
			sim.sendMessage("cloud", m.Name, m.inEpoch(epoch, func() { m.Core.HandleCloudResult(m.Clock(), op.ID, result) }))
		})
		sim.After(
			2*requestTimeoutMS,
			m.inEpoch(
				epoch,
				func() { m.Core.HandleCloudResult(m.Clock(), op.ID, scheduler.CloudResult{Outcome: scheduler.Unknown}) },
			),
		)
	}
	for _, command := range outputs.DirectCommands {
		sim.checkCommands(command.Commands)
		if len(command.Commands) == 0 {
			sim.countCommands("ask", 1)
		}
		worker := sim.Workers[command.Machine]
		if worker == nil {
			continue
		}
		if len(command.Commands) > 0 && sim.commandDelays.occurs(sim) {
			sim.runCommandLate(worker, command)
		} else {
			sim.sendMessage(m.Name, "w"+command.Machine, func() {
				sim.runAt(worker.commandsDelayedUntil, func() { sim.runDirectCommand(m, epoch, worker, command) })
			})
		}
		sim.After(requestTimeoutMS, m.inEpoch(epoch, func() {
			m.Core.HandleDirectCommandResult(m.Clock(), command.ID, scheduler.DirectCommandResult{Outcome: scheduler.Unknown})
		}))
	}
	for _, result := range outputs.Relays {
		peer := sim.Members[slices.IndexFunc(sim.Members, func(peer *Member) bool { return peer.Name == result.Peer })]
		finished := false
		finish := func(resp scheduler.UserResponse, ok bool) {
			if !finished {
				finished = true
				m.inEpoch(epoch, func() { m.Core.HandleRelayResult(m.Clock(), result.ID, resp, ok) })()
			}
		}
		sim.Relayed++
		sim.sendMessage(m.Name, peer.Name, func() {
			if peer.Core == nil {
				return
			}
			peer.lastReplyID++
			peer.pendingUserRequests[peer.lastReplyID] = func(resp scheduler.UserResponse) { sim.sendMessage(peer.Name, m.Name, func() { finish(resp, true) }) }
			peer.Core.HandleUserRequest(peer.Clock(), peer.lastReplyID, result.Request)
			peer.dispatchOutputs()
		})
		sim.After(requestTimeoutMS/2, func() { finish(scheduler.UserResponse{}, false) })
	}
	if outputs.PeerMessage != nil {
		for _, peer := range sim.Members {
			if peer == m {
				continue
			}
			msg := *outputs.PeerMessage
			if outputs.SummaryRecipients != nil && !slices.Contains(outputs.SummaryRecipients, peer.Name) {
				msg = *outputs.PeerMessage.WithoutSummaries()
			}
			if sim.PeerMessages++; !msg.OmitsSummaries {
				sim.SummaryMessages++
			}
			deliveries := 1
			if sim.Rand.Float64() < 0.02 {
				deliveries = 2
			}
			for range deliveries {
				sim.sendMessage(m.Name, peer.Name, func() {
					if peer.Core != nil {
						// Each has a copy of its own, as on the network.
						msg := msg
						msg.OwnedShards = slices.Clone(msg.OwnedShards)
						for i := range msg.OwnedShards {
							msg.OwnedShards[i].Summary = slices.Clone(msg.OwnedShards[i].Summary)
						}
						peer.Core.HandlePeerMessage(peer.Clock(), msg)
						peer.dispatchOutputs()
					}
				})
			}
		}
	}
}

func (sim *Simulation) runDirectCommand(m *Member, epoch int, worker *Worker, command scheduler.DirectCommand) {
	if !worker.Up || worker.Gone || worker.inboundPartitionedUntil > sim.Now {
		return
	}
	if worker.HangUntil > sim.Now {
		// A machine that hangs carries the command out when it resumes.
		sim.After(worker.HangUntil-sim.Now+1, func() { sim.runDirectCommand(m, epoch, worker, command) })
		return
	}
	result := worker.Agent.ApplyDirectCommand(worker.Clock(sim), command)
	respond := m.inEpoch(epoch, func() { m.Core.HandleDirectCommandResult(m.Clock(), command.ID, result) })
	sim.runAt(worker.commandResultsDelayedUntil, func() { sim.sendMessage("w"+command.Machine, m.Name, respond) })
}

// MemberName is the member that the machine reports to.
func (worker *Worker) MemberName(sim *Simulation) string { return sim.Members[worker.memberIndex].Name }

// Clock is the machine's own steady clock.
func (worker *Worker) Clock(sim *Simulation) int64 { return int64(float64(sim.Now) * worker.clockRate) }

func (sim *Simulation) provisioned(instance *platformfake.Instance) {
	worker := &Worker{
		Instance:      instance,
		taskStartedAt: map[string]int64{},
		clockRate:     1 + (sim.Rand.Float64()-0.5)*0.001,
		memberIndex:   sim.Rand.IntN(sim.options.Members),
	}
	sim.Workers[instance.ID] = worker
	sim.WorkerIDs = append(sim.WorkerIDs, instance.ID)
	var machineType scheduler.MachineType
	for _, candidate := range sim.Cloud.Types {
		if candidate.Name == instance.Type {
			machineType = candidate
		}
	}
	worker.machineType = machineType
	speedRatio, fetchRatio := 1.0, 1.0
	if sim.options.SpeedSpread > 0 {
		speedRatio = 1 + sim.options.SpeedSpread*(2*sim.Rand.Float64()-1)
	}
	if sim.options.FetchSpread > 0 {
		fetchRatio = 1 + sim.options.FetchSpread*(2*sim.Rand.Float64()-1)
	}
	if instance.Spot && sim.options.SpotLossPerHour > 0 {
		sim.After(
			max(1, int64(sim.Rand.ExpFloat64()*3_600_000*100/sim.options.SpotLossPerHour)),
			func() { sim.interruptSpot(worker) },
		)
	}
	bootMS := int64(machineType.BootS * 1000 * (0.6 + 0.9*sim.Rand.Float64()))
	if sim.Rand.Float64() < 0.05 {
		return // never comes up
	}
	if sim.BootDelay != nil {
		bootMS = sim.BootDelay(worker, bootMS)
	}
	if bootMS < 0 {
		return
	}
	sim.After(bootMS, func() {
		if worker.Gone {
			return
		}
		worker.Up = true
		instance.State = "running"
		worker.Agent = &platformfake.Worker{
			Machine:   instance.CloudMachine,
			Resources: machineType.Resources,
			LeaseMS:   int64(sim.Params.LeaseS * 1000),
			FetchMS:   300 + sim.Rand.Int64N(900),
			FindJob: func(id string) *scheduler.Job {
				if j := sim.Jobs[id]; j != nil {
					return &j.Spec
				}
				return nil
			},
			RunTimeMS: func(task string) int64 {
				j := sim.Jobs[task[:strings.IndexByte(task, '/')]]
				ms := sim.options.TaskRunMS(sim, j, task)
				j.longestRunMS = max(j.longestRunMS, ms)
				return ms * int64(1000*speedRatio) / 1000
			},
			GangTimeoutMS: sim.options.GangWaitMS,
			OnStarted:     func(_ *platformfake.Worker, machineType *platformfake.Task) { sim.onStart(worker, machineType) },
			OnStopping: func(_ *platformfake.Worker, machineType *platformfake.Task) {
				sim.discountEarlyStop(worker, machineType)
				if sim.OnTaskStop != nil {
					sim.OnTaskStop(worker, machineType)
				}
			},
			OnDone: func(_ *platformfake.Worker, machineType *platformfake.Task) {
				if sim.OnTaskDone != nil {
					sim.OnTaskDone(machineType)
				}
				j := sim.Jobs[machineType.Job.ID]
				if startedAt, ok := worker.taskStartedAt[machineType.Name]; ok && !j.DoneTasks[machineType.Name] {
					ms := float64(sim.Now-startedAt) * j.Spec.Request.CPUs
					sim.usefulCPUMS += ms
					sim.usefulCost += ms / worker.machineType.Resources.CPUs * worker.price()
				}
				if j.DoneTasks[machineType.Name] = true; len(j.DoneTasks) == j.Spec.Tasks && j.DoneAt == 0 {
					j.DoneAt = sim.Now
					sim.onJobDone(j)
				}
			},
			Execute: func(machineType *platformfake.Task) platformfake.Execution {
				if sim.IsFaulty != nil && sim.IsFaulty(worker) ||
					sim.IsMisconfigured != nil && sim.IsMisconfigured(sim.Jobs[machineType.Job.ID]) {
					return &erringExecution{sim, sim.Now + 1000, false}
				}
				if machineType.Job.MaxTaskErrors == 0 {
					return nil
				}
				return &erringExecution{sim, sim.Now + 1000 + sim.Rand.Int64N(4000), sim.Rand.IntN(4) > 0}
			},
		}
		if sim.options.GangWaitMS > 0 {
			worker.Agent.IsGangReady = sim.isGangComplete
		}
		if sim.options.FetchSpread > 0 && machineType.ImageFetchGBps > 0 {
			worker.Agent.FetchTimeMS = func(j *scheduler.Job) int64 {
				return int64(1000 * j.Request.DiskGB / machineType.ImageFetchGBps * fetchRatio)
			}
		}
		worker.Agent.StartIncarnation(worker.Clock(sim))
	})
}

// isGangComplete tells whether all tasks of a gang's try have their images.
func (sim *Simulation) isGangComplete(t *platformfake.Task) bool {
	attempt := fmt.Sprintf("%s %d", t.Job.ID, t.Attempt)
	placed := len(sim.Jobs[t.Job.ID].DoneTasks) // those of an earlier try
	sim.EachTask(func(_ *Worker, other *platformfake.Task) {
		if other.Job.ID == t.Job.ID && other.Attempt == t.Attempt {
			placed++
		}
	})
	sim.completeGangAttempts[attempt] = sim.completeGangAttempts[attempt] || placed >= t.Job.Tasks
	return sim.completeGangAttempts[attempt]
}

// interruptSpot takes a spot machine back, after a notice.
func (sim *Simulation) interruptSpot(worker *Worker) {
	if worker.Gone {
		return
	}
	noticeS := sim.options.NoticeS * (0.5 + sim.Rand.Float64())
	if worker.Up {
		worker.Agent.NoticeS, worker.Agent.HasChanges = &noticeS, true
	}
	sim.After(int64(noticeS*1000), func() { sim.Cloud.Reclaim(worker.Instance.ID) })
}

// ReplaceWorkers takes machines away and brings as many others up that nobody asked for,
// as when rentals of long ago are carried out late.
func (sim *Simulation) ReplaceWorkers(workers []*Worker) {
	for i, worker := range workers {
		sim.Cloud.Reclaim(worker.Instance.ID)
		sim.Cloud.Apply(
			sim.Now,
			scheduler.CloudOp{
				Kind:           scheduler.CloudProvision,
				IdempotencyKey: fmt.Sprintf("late-%d-%d", sim.Now, i),
				Type:           worker.Instance.Type,
				Zone:           worker.Instance.Zone,
				Spot:           worker.Instance.Spot,
				Count:          1,
			},
		)
	}
}

// stepWorker lets a worker act.
func (sim *Simulation) stepWorker(worker *Worker) {
	if !worker.Up || worker.Gone || worker.HangUntil > sim.Now {
		return
	}
	worker.Agent.Advance(worker.Clock(sim))
	switch {
	case worker.heartbeatInFlight || sim.Now < worker.nextHeartbeatAt:
		return
	case !worker.retryHeartbeat && (sim.Now-worker.lastHeartbeatAt < 500 || !worker.Agent.HasChanges && sim.Now-worker.lastHeartbeatAt < worker.heartbeatIntervalMS):
		return
	}
	worker.heartbeatInFlight, worker.lastHeartbeatAt, worker.retryHeartbeat = true, sim.Now, false
	worker.heartbeatIntervalMS = int64(sim.Params.HeartbeatS * 1000 * (0.75 + sim.Rand.Float64()/2))
	sentAt := worker.Clock(sim)
	hb := worker.Agent.Heartbeat()
	if sim.options.InjectedFault.Heartbeat != nil {
		sim.options.InjectedFault.Heartbeat(&hb)
	}
	incarnation := hb.Incarnation
	m := sim.Members[worker.memberIndex]
	finished, delivered := false, false
	tryNextMember := func() {
		worker.heartbeatInFlight = false
		worker.memberIndex = (worker.memberIndex + 1) % len(sim.Members)
		worker.nextHeartbeatAt, worker.retryHeartbeat = sim.Now+1000, true
	}
	endpoint := "w" + worker.Instance.ID
	if worker.outboundPartitionedUntil > sim.Now {
		sim.FailedConnections++
		sim.After(connectTimeoutMS, tryNextMember)
		return
	}
	deliver := func() {
		if worker.outboundPartitionedUntil > sim.Now || sim.captureForNewOwner(worker, hb) {
			return
		}
		if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
			// Refused: nothing listens there, or it has no connection left.
			sim.sendMessage(m.Name, endpoint, func() {
				if !finished {
					finished = true
					tryNextMember()
				}
			})
			return
		}
		m.lastReplyID++
		replyID := m.lastReplyID
		if delivered { // nobody waits for the answer to a copy
			m.pendingHeartbeats[replyID] = func(scheduler.HeartbeatResponse) { sim.sendMessage(m.Name, endpoint, func() {}) }
			m.Core.HandleHeartbeat(m.Clock(), replyID, hb)
			m.dispatchOutputs()
			return
		}
		delivered = true
		m.pendingHeartbeats[replyID] = func(resp scheduler.HeartbeatResponse) {
			if sim.options.InjectedFault.WorkerResponse != nil {
				sim.options.InjectedFault.WorkerResponse(&resp)
			}
			sim.sendMessage(m.Name, endpoint, func() {
				if finished || worker.Gone || worker.inboundPartitionedUntil > sim.Now ||
					worker.outboundPartitionedUntil > sim.Now {
					return
				}
				if worker.HangUntil > sim.Now {
					return // dropped: answers are never executed late
				}
				finished = true
				switch {
				case resp.Accepted:
					worker.heartbeatInFlight, worker.AcknowledgedAt = false, sim.Now
					worker.Agent.ApplyHeartbeatResponse(worker.Clock(sim), sentAt, incarnation, resp)
				case resp.RedirectTo != "":
					worker.heartbeatInFlight = false
					worker.memberIndex = slices.IndexFunc(sim.Members, func(m *Member) bool { return m.Name == resp.RedirectTo })
					worker.nextHeartbeatAt, worker.retryHeartbeat = sim.Now+sim.Rand.Int64N(500), true
				default:
					tryNextMember()
				}
			})
		}
		m.Core.HandleHeartbeat(m.Clock(), replyID, hb)
		m.dispatchOutputs()
		sim.replayHeartbeat(worker, m, hb)
		sim.captureForClaim(worker, hb)
	}
	sim.sendMessage(endpoint, m.Name, deliver)
	if sim.Rand.Float64() < 0.01 {
		sim.sendMessage(endpoint, m.Name, deliver) // once more
	}
	sim.After(4000, func() {
		if !finished {
			finished = true
			tryNextMember()
		}
	})
}

// EachTask visits every task on every machine that exists.
func (sim *Simulation) EachTask(visit func(worker *Worker, t *platformfake.Task)) {
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		if worker.Gone || !worker.Up || worker.Agent.IsLeaseExpired(worker.Clock(sim)) {
			continue
		}
		worker.Agent.ForEachOnMachine(func(t *platformfake.Task) { visit(worker, t) })
	}
}

func (sim *Simulation) onStart(worker *Worker, t *platformfake.Task) {
	j := sim.Jobs[t.Job.ID]
	job := &j.Spec
	if j.FirstStartAt == 0 {
		j.FirstStartAt = sim.Now
	}
	if j.StartCounts[t.Name]++; j.StartCounts[t.Name] > 1 {
		sim.RepeatedStarts++
	}
	if job.AtMostOnce && j.StartCounts[t.Name] > 1 {
		sim.recordViolation("began_again", "%s begins for the %d. time", t.Name, j.StartCounts[t.Name])
	}
	sim.Tracef("world: %s try %d starts on %s", t.Name, t.Attempt, worker.Instance.ID)
	worker.taskStartedAt[t.Name] = sim.Now
	delete(sim.startableSince, job.ID)
	sim.checkStart(worker, t)
	if _, started := j.countedStartAt[t.Name]; !started {
		j.countedStartAt[t.Name] = sim.Now
	}
	if sim.ChecksDisabled || sim.SweepIntervalMS > 0 {
		return
	}
	cpus, gpus, zones, total := 0.0, 0.0, map[string]int{}, 0
	sim.EachTask(func(other *Worker, task *platformfake.Task) {
		if task.Job.Team == job.Team {
			cpus += task.Job.Request.CPUs
			gpus += task.Job.Request.GPUs
		}
		if task.Job.ID == job.ID {
			zones[other.Instance.Zone]++
			total++
		}
		if task.Name == t.Name && other != worker {
			sim.recordViolation("ran_twice", "%s starts on %s while on %s", t.Name, worker.Instance.ID, other.Instance.ID)
		}
	})
	sim.checkLimits(job.Team, cpus, gpus)
	sim.checkPlacement(worker, t, zones)
}

func (sim *Simulation) checkLimits(team string, cpus, gpus float64) {
	if t := sim.Params.Teams[team]; t.MaxCPUs > 0 && cpus > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && gpus > t.MaxGPUs+1e-6 {
		sim.recordViolation("quota", "%s uses %v processors, %v accelerators", team, cpus, gpus)
	}
}

// checkPlacement checks where a task runs; zones are those of its job's tasks.
func (sim *Simulation) checkPlacement(worker *Worker, t *platformfake.Task, zones map[string]int) {
	job := &sim.Jobs[t.Job.ID].Spec
	if worker.Instance.Spot && !job.Spot || job.Zone != "" && job.Zone != worker.Instance.Zone ||
		len(job.Types) > 0 && !slices.Contains(job.Types, worker.Instance.Type) ||
		job.OneZone && len(zones) > 1 ||
		job.Spread && zones[worker.Instance.Zone] > (job.Tasks+1)/2 {
		sim.recordViolation("wrong_place", "%s on %s", t.Name, worker.Instance.ID)
	}
}

// sweep checks the rules on places and limits over all tasks.
func (sim *Simulation) sweep() {
	cpus, gpus, zones, workers := map[string]float64{}, map[string]float64{}, map[string]map[string]int{}, map[string]*Worker{}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) {
		if other := workers[t.Name]; other != nil {
			sim.recordViolation("ran_twice", "%s on %s while on %s", t.Name, worker.Instance.ID, other.Instance.ID)
		}
		workers[t.Name] = worker
		cpus[t.Job.Team] += t.Job.Request.CPUs
		gpus[t.Job.Team] += t.Job.Request.GPUs
		if zones[t.Job.ID] == nil {
			zones[t.Job.ID] = map[string]int{}
		}
		zones[t.Job.ID][worker.Instance.Zone]++
	})
	for _, team := range slices.Sorted(maps.Keys(cpus)) { // the first that fails is told
		sim.checkLimits(team, cpus[team], gpus[team])
	}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) { sim.checkPlacement(worker, t, zones[t.Job.ID]) })
	sim.After(sim.SweepIntervalMS, sim.sweep)
}

func (sim *Simulation) checkCancelled() {
	if sim.ChecksDisabled {
		return
	}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) {
		j := sim.Jobs[t.Job.ID]
		if j.CancelConfirmedAt > 0 && sim.Now-j.CancelConfirmedAt > int64(sim.Params.CancelWithinS*1000) {
			sim.recordViolation(
				"ran_cancelled",
				"%s on %s, %d ms after its cancellation",
				t.Name,
				worker.Instance.ID,
				sim.Now-j.CancelConfirmedAt,
			)
		}
	})
}

// SendRequest sends a user's request to a random member.
func (sim *Simulation) SendRequest(req scheduler.UserRequest, onResponse func(scheduler.UserResponse, bool)) {
	sim.SendRequestTo(sim.Members[sim.Rand.IntN(len(sim.Members))], req, onResponse)
}

// SendRequestTo sends a user's request to a member.
func (sim *Simulation) SendRequestTo(
	m *Member,
	req scheduler.UserRequest,
	onResponse func(scheduler.UserResponse, bool),
) {
	finished := false
	historyIndex := sim.recordRequest(req)
	finish := func(resp scheduler.UserResponse, ok bool) {
		if !finished {
			finished = true
			sim.recordResponse(historyIndex, resp, ok)
			onResponse(resp, ok)
		}
	}
	sim.sendMessage("users", m.Name, func() {
		if m.Core == nil {
			return
		}
		m.lastReplyID++
		replyID := m.lastReplyID
		m.pendingUserRequests[replyID] = func(resp scheduler.UserResponse) {
			if sim.options.InjectedFault.UserResponse != nil {
				sim.options.InjectedFault.UserResponse(&resp)
			}
			if sim.options.InjectedFault.ResponseToRequest != nil {
				sim.options.InjectedFault.ResponseToRequest(req, &resp)
			}
			sim.checkResponse(req, resp)
			sim.sendMessage(m.Name, "users", func() { finish(resp, true) })
		}
		m.Core.HandleUserRequest(m.Clock(), replyID, req)
		m.dispatchOutputs()
	})
	sim.After(5000, func() { finish(scheduler.UserResponse{}, false) })
}

// ReceiveResponse checks an answer to a question that was asked at some time against what
// the user had been told by then.
func (sim *Simulation) ReceiveResponse(j *Job, requestedAt int64, resp scheduler.UserResponse) {
	switch resp.Status {
	case 200, 201:
		j.lastResponseAt = sim.Now
		if j.ObservedState.IsTerminal() && requestedAt > j.finalObservedAt && resp.State != j.ObservedState {
			sim.recordViolation("went_back", "%s was %s, is %s", j.Spec.ID, j.ObservedState, resp.State)
		}
		mayFail := j.Spec.AtMostOnce || j.Spec.MaxTaskErrors > 0
		if resp.State == scheduler.Cancelled && !j.CancelRequested && !(mayFail && resp.FailureReason != "") {
			sim.recordViolation("went_back", "%s is cancelled, by nobody", j.Spec.ID)
		}
		if resp.State == scheduler.Cancelled && j.CancelConfirmedAt == 0 {
			j.CancelConfirmedAt = sim.Now
		}
		if resp.FailureReason != "" {
			sim.FailureReasons[resp.ID] = resp.FailureReason
		}
		if !j.Accepted {
			j.Accepted, j.AcceptedAt = true, sim.Now
			sim.checkAccepted(j)
			sim.readAtAllMembers(j)
		}
		if resp.State.IsTerminal() && !j.ObservedState.IsTerminal() {
			j.ObservedState, j.finalObservedAt = resp.State, sim.Now
			sim.readAtAllMembers(j)
		}
	case 404, 400, 422:
		if j.Accepted && requestedAt > j.AcceptedAt {
			sim.recordViolation("forgotten", "%s gets %d", j.Spec.ID, resp.Status)
		}
		sim.checkRefused(j, resp)
	}
}

// Submit has a job's user submit it until it is accepted, and ask how it is from
// then on.
func (sim *Simulation) Submit(j *Job) {
	id := j.Spec.ID
	sim.Jobs[id] = j
	sim.JobIDs = append(sim.JobIDs, id)
	j.SubmittedAt = sim.Now
	j.withinGuarantee = sim.isWithinGuarantee(j)
	submitted := j.Spec
	if sim.options.InjectedFault.SubmittedJob != nil {
		sim.options.InjectedFault.SubmittedJob(&submitted)
	}
	var attempt func()
	attempt = func() {
		requestedAt := sim.Now
		sim.SendRequest(
			scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: id, Job: &submitted},
			func(resp scheduler.UserResponse, ok bool) {
				if ok {
					sim.ReceiveResponse(j, requestedAt, resp)
					sim.Tracef("user: %s submitted, gets %d %s", id, resp.Status, resp.Error)
				}
				if !j.Accepted {
					sim.After(1000*int64(max(1, resp.RetryAfterS)), attempt)
				}
			},
		)
	}
	attempt()
	sim.Poll(j)
}

// SendRequestDirect sends a request to a member without a network between.
func (m *Member) SendRequestDirect(req scheduler.UserRequest, onResponse func(scheduler.UserResponse)) {
	m.lastReplyID++
	historyIndex := m.sim.recordRequest(req)
	m.pendingUserRequests[m.lastReplyID] = func(resp scheduler.UserResponse) {
		m.sim.recordResponse(historyIndex, resp, true)
		m.sim.checkResponse(req, resp)
		onResponse(resp)
	}
	m.Core.HandleUserRequest(m.Clock(), m.lastReplyID, req)
	m.dispatchOutputs()
}

// CancelJob has a job's user cancel it, again until it is told the end.
func (sim *Simulation) CancelJob(j *Job) {
	if !j.Accepted {
		sim.After(1000, func() { sim.CancelJob(j) })
		return
	}
	j.CancelRequested = true
	requestedAt := sim.Now
	sim.SendRequest(
		scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID},
		func(resp scheduler.UserResponse, ok bool) {
			if ok {
				sim.ReceiveResponse(j, requestedAt, resp)
			}
			if !ok || resp.Status != 200 {
				sim.After(1000, func() { sim.CancelJob(j) })
			}
		},
	)
}

// Poll has a job's user ask for it from now on.
func (sim *Simulation) Poll(j *Job) {
	sim.After(4000+sim.Rand.Int64N(2000), func() {
		requestedAt := sim.Now
		sim.SendRequest(
			scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
			func(resp scheduler.UserResponse, ok bool) {
				if ok {
					sim.ReceiveResponse(j, requestedAt, resp)
				}
			},
		)
		sim.Poll(j)
	})
}

// QueryUnknownJobs asks about jobs that nobody submitted.
func (sim *Simulation) QueryUnknownJobs() {
	id := fmt.Sprintf("job-9%05d", sim.Rand.IntN(100000))
	sim.SendRequest(scheduler.UserRequest{Kind: scheduler.QueryJob, ID: id}, func(resp scheduler.UserResponse, ok bool) {
		if ok && resp.Status == 200 {
			sim.recordViolation("invented", "%s gets 200", id)
		}
	})
	sim.After(5000, sim.QueryUnknownJobs)
}

// Run plays the world until a time, or until over says so.
func (sim *Simulation) Run(until int64, isOver func() bool) {
	var tick func()
	tick = func() {
		for _, id := range sim.WorkerIDs {
			sim.stepWorker(sim.Workers[id])
		}
		stillParked := sim.parkedWatches[:0]
		for _, watch := range sim.parkedWatches {
			if sim.storeRefuses(watch.member) {
				stillParked = append(stillParked, watch)
				continue
			}
			result, ready := sim.Store.Apply(sim.Now, watch.op)
			if ready || sim.Now >= watch.until {
				watch.respond(result)
			} else {
				stillParked = append(stillParked, watch)
			}
		}
		sim.parkedWatches = stillParked
		if sim.OutageUntil["all"] <= sim.Now {
			sim.Store.ExpireLeases(sim.Now)
		}
		sim.checkCancelled()
		sim.checkForgotten()
		sim.After(40, tick)
	}
	tick()
	if !sim.ChecksDisabled {
		sim.After(progressCheckIntervalMS, sim.checkProgress)
	}
	if sim.SweepIntervalMS > 0 && !sim.ChecksDisabled {
		sim.After(sim.SweepIntervalMS, sim.sweep)
	}
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		if next.at > until || isOver() {
			return
		}
		sim.Now = next.at
		next.run()
	}
}

// price is what the machine costs.
func (worker *Worker) price() float64 {
	if worker.Instance.Spot {
		return worker.machineType.SpotPrice
	}
	return worker.machineType.Price
}

// costs is the share of what was paid that done tasks used, and what was paid
// against the cost of the same work at the lowest price of a processor. What ran
// and was lost counts for nothing.
func (sim *Simulation) costs() (usefulShare, priceRatio float64) {
	paidCost, lowestPrice := 0.0, 0.0
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		endedAt := sim.Now
		if worker.Gone {
			endedAt = worker.ReleasedAt
		}
		paidCost += float64(endedAt-worker.Instance.StartedAtMS) * worker.price()
	}
	for _, t := range sim.options.Types {
		for _, price := range []float64{t.Price, t.SpotPrice} {
			if price > 0 && t.Resources.CPUs > 0 && (lowestPrice == 0 || price/t.Resources.CPUs < lowestPrice) {
				lowestPrice = price / t.Resources.CPUs
			}
		}
	}
	if paidCost == 0 || sim.usefulCPUMS == 0 {
		return 0, 0
	}
	return sim.usefulCost / paidCost, paidCost / (sim.usefulCPUMS * lowestPrice)
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
