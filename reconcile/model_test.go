package reconcile

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// The model consists of workers, an owner of their shard and a store. Workers run and finish tasks,
// hang and lose their lease. The owner starts tasks according to package reconcile, and its claim ends
// at any moment. The store holds results and ledger entries, sometimes unknown to the owner. The rules
// are checked against the state of the workers.

const (
	modelTasks          = 6
	modelTaskLimit      = 4 // limit of the only team
	modelTasksPerWorker = 3
	modelTeam           = "a"
)

var modelSettings = Settings{MaxHeartbeatIntervalMS: 100, LeaseMS: 1500, MaxClockDrift: 0.002, LeaseSlackMS: 5}

// These variables are faults that tests inject into the model's owner.
var dropsEntryBeforeStore, ignoresTaskLimit, startsPossiblyRunningTasks bool

type model struct {
	t              *rapid.T
	now            int64
	fencingToken   uint64
	claim          *Claim
	workers        []*modelWorker
	completed      []bool // tasks known to the owner as completed
	resultStored   []bool
	obsolete       []bool // its job is cancelled in the store
	transferring   []bool // a peer may own it: the outcome of the write is unknown
	assigned       []int
	lastAttempt    int
	storedEntries  map[string]UnreachableMachine
	seenVerdicts   *VerdictCounts
	firstViolation string
}

func newModel(t *rapid.T, seenVerdicts *VerdictCounts) *model {
	m := &model{
		t:             t,
		now:           1000,
		completed:     make([]bool, modelTasks),
		resultStored:  make([]bool, modelTasks),
		obsolete:      make([]bool, modelTasks),
		transferring:  make([]bool, modelTasks),
		seenVerdicts:  seenVerdicts,
		storedEntries: map[string]UnreachableMachine{},
	}
	for i := range 3 {
		worker := &modelWorker{
			id:             fmt.Sprint("w", i),
			incarnation:    1,
			lastResponseAt: m.now,
			maxTasks:       modelTasksPerWorker,
		}
		m.workers = append(m.workers, worker)
	}
	m.startClaim()
	return m
}

func (m *model) violate(format string, args ...any) {
	if m.firstViolation == "" {
		m.firstViolation = fmt.Sprintf(format, args...)
	}
}

func (m *model) startClaim() {
	m.recordSeenVerdicts()
	m.fencingToken++
	m.claim = NewClaim(modelSettings, m.fencingToken, m.now)
	m.completed, m.assigned = slices.Clone(m.resultStored), make([]int, modelTasks)
	m.claim.Ledger.Restore(m.storedEntries)
	for _, worker := range m.workers {
		worker.machine = m.claim.AddMachine(worker.id, true, m.now)
		worker.ownedAttempts, worker.startedAtSeq = map[attemptKey]bool{}, map[attemptKey]uint64{}
		worker.orphanedTasks = 0
	}
}

func (m *model) recordSeenVerdicts() {
	if m.claim == nil {
		return
	}
	for state := range m.claim.VerdictCounts {
		for observation, n := range m.claim.VerdictCounts[state] {
			m.seenVerdicts[state][observation] += n
		}
	}
}

func (m *model) taskState(task int) TaskState {
	switch {
	case m.obsolete[task]:
		return Obsolete
	case m.resultStored[task]:
		return ResultStored
	case m.completed[task]:
		return Completed
	case m.assigned[task] > 0:
		return Assigned
	case m.transferring[task]:
		return Transferring
	}
	return Unassigned
}

// releaseAttempt removes an attempt from the owner's count.
func (m *model) releaseAttempt(worker *modelWorker, key attemptKey) {
	if worker.ownedAttempts[key] {
		delete(worker.ownedAttempts, key)
		m.assigned[key.task]--
	}
}

func (m *model) releaseAllAttempts(worker *modelWorker) {
	for key := range worker.ownedAttempts {
		m.releaseAttempt(worker, key)
	}
}

type receiveFunc func(worker *Machine, now int64, incarnation, seq, fencingToken uint64) Disposition

// sendHeartbeat delivers a worker's heartbeat to the owner. The response may be late or lost.
func (m *model) sendHeartbeat(worker *modelWorker, responseLost bool, receive receiveFunc) {
	worker.seq++
	worker.pendingCommands = nil // one heartbeat at a time: an outstanding response is dropped
	incarnation, seq, sentAt := worker.incarnation, worker.seq, m.now
	disposition := receive(worker.machine, m.now, incarnation, seq, worker.token)
	var commands []func()
	if disposition >= Accept {
		m.claim.Ledger.Remove(worker.id)
		if dropsEntryBeforeStore {
			delete(m.claim.Ledger.entries, worker.id)
		}
		if disposition == AcceptNewIncarnation {
			m.releaseAllAttempts(worker)
		}
		commands = append(m.applyTasks(worker, seq), m.startCommands(worker, seq)...)
	}
	if disposition == QueryTasks {
		worker.pendingCommands = append(worker.pendingCommands, m.taskQuery(worker, sentAt))
		return
	}
	if responseLost {
		return
	}
	// The worker drops a response that is late, or whose token or incarnation is older than its own.
	fencingToken := m.fencingToken
	worker.pendingCommands = append(worker.pendingCommands, func() {
		expired := m.now-sentAt > modelSettings.LeaseMS/4
		if fencingToken < worker.token || incarnation != worker.incarnation || expired {
			return
		}
		worker.token, worker.lastResponseAt = fencingToken, max(worker.lastResponseAt, sentAt)
		for _, command := range commands {
			command()
		}
	})
}

// taskQuery returns the execution of a task query for which a heartbeat sent at sentAt waits. Its response reconciles
// the machine, and the heartbeat's response renews the lease.
func (m *model) taskQuery(worker *modelWorker, sentAt int64) func() {
	fencingToken, incarnation := m.fencingToken, worker.incarnation
	return func() {
		if fencingToken < worker.token || incarnation != worker.incarnation {
			return
		}
		worker.token = fencingToken
		if fencingToken != m.fencingToken {
			return // the claim has ended
		}
		m.sendHeartbeat(worker, true, m.claim.ReceiveQueryResponse)
		worker.lastResponseAt = max(worker.lastResponseAt, sentAt)
	}
}

// applyTasks applies the tasks that a heartbeat reports and returns the resulting commands.
func (m *model) applyTasks(worker *modelWorker, seq uint64) (commands []func()) {
	shown := map[attemptKey]bool{}
	worker.orphanedTasks = 0
	for _, task := range worker.tasks {
		shown[task.attemptKey] = true
		var command func()
		if _, startedHere := worker.startedAtSeq[task.attemptKey]; startedHere {
			command = m.applyOwnTask(worker, task)
		} else {
			command = m.applyEarlierTask(worker, task, seq)
		}
		if command != nil {
			commands = append(commands, command)
		}
	}
	for key := range worker.ownedAttempts {
		if !shown[key] && worker.startedAtSeq[key] < seq {
			m.releaseAttempt(worker, key)
		}
	}
	return commands
}

// applyOwnTask applies an attempt of the current claim.
func (m *model) applyOwnTask(worker *modelWorker, task modelTask) (command func()) {
	key := task.attemptKey
	if task.active {
		if m.obsolete[task.task] {
			return func() { worker.stopTask(key) }
		}
		return nil
	}
	if task.completed {
		m.completed[task.task] = true
	}
	m.releaseAttempt(worker, key)
	if !task.completed || m.resultStored[task.task] || m.obsolete[task.task] {
		return func() { worker.dropTask(key) }
	}
	return nil
}

// applyEarlierTask applies an attempt that the current claim did not start.
func (m *model) applyEarlierTask(worker *modelWorker, task modelTask, seq uint64) (command func()) {
	observation := Terminated
	if task.active {
		observation = Active
	} else if task.completed {
		observation = Succeeded
	}
	key, state := task.attemptKey, m.taskState(task.task)
	verdict := m.claim.DecideVerdict(state, observation)
	m.checkVerdict(task.task, state, observation, verdict)
	switch verdict {
	case Adopt:
		worker.ownedAttempts[key], worker.startedAtSeq[key] = true, seq
		m.assigned[task.task]++
	case Stop:
		worker.orphanedTasks++
		return func() { worker.stopTask(key) }
	case RecordCompletion:
		m.completed[task.task] = true
	case Clear:
		return func() { worker.dropTask(key) }
	}
	return nil
}

// checkVerdict checks a verdict against the rules, independently of the verdict table.
func (m *model) checkVerdict(task int, state TaskState, observation Observation, verdict Verdict) {
	unavailable := state != Unassigned
	resultNeeded := !m.resultStored[task] && !m.obsolete[task]
	switch {
	case verdict == Adopt && (unavailable || observation != Active):
		m.violate("task %d is adopted in state %v, observation %v", task, state, observation)
	case observation == Active && unavailable && verdict != Stop:
		m.violate("task %d is not stopped in state %v", task, state)
	case observation == Active && !unavailable && verdict != Adopt:
		m.violate("task %d runs and is not counted", task)
	case verdict == Clear && observation == Succeeded && resultNeeded:
		m.violate("the result of task %d is cleared before it is stored", task)
	case observation == Succeeded && verdict != RecordCompletion && !m.completed[task] && !m.obsolete[task]:
		m.violate("the result of task %d is not recorded", task)
	case verdict == Stop && observation != Active, verdict == Keep && observation != Succeeded:
		m.violate("verdict %v for task %d with observation %v", verdict, task, observation)
	}
}

// startCommands starts unassigned tasks on a reconciled machine. It starts no task that may run on an
// unreported machine, and stays within the team's limit for all tasks that may run on unreported ones.
func (m *model) startCommands(worker *modelWorker, seq uint64) (commands []func()) {
	if _, recorded := m.claim.Ledger.Entry(worker.id); recorded || !worker.machine.IsReconciled() {
		return nil
	}
	assigned := 0
	for _, n := range m.assigned {
		assigned += n
	}
	possiblyRunning := m.maxPossiblyRunning()
	for task := range modelTasks {
		atLimit := assigned+possiblyRunning >= modelTaskLimit && !ignoresTaskLimit || assigned >= modelTaskLimit
		atCapacity := len(worker.ownedAttempts) >= worker.maxTasks
		mayRunTwice := m.mayRunOnUnreported(task) && !startsPossiblyRunningTasks
		placeable := m.taskState(task) == Unassigned && isPlaceable(task, worker.id)
		if !placeable || atLimit || atCapacity || mayRunTwice {
			continue
		}
		assigned++
		m.lastAttempt++
		key := attemptKey{task, m.lastAttempt}
		worker.ownedAttempts[key], worker.startedAtSeq[key] = true, seq
		m.assigned[task]++
		commands = append(commands, func() { m.startTask(worker, key) })
	}
	return commands
}

// maxPossiblyRunning returns the maximum number of running tasks that the owner does not count.
func (m *model) maxPossiblyRunning() (n int) {
	for _, unreported := range m.claim.Unreported() {
		if entry, ok := m.claim.Ledger.Entry(unreported.ID); ok {
			n += int(entry.UsageByTeam[modelTeam].CPUs)
		} else {
			n += modelTasksPerWorker
		}
	}
	for _, worker := range m.workers {
		if worker.machine.IsReconciled() && worker.orphanedTasks > 0 {
			n += modelTasksPerWorker - len(worker.ownedAttempts) // the tasks of the remaining slots are unknown
		}
	}
	return n
}

// isPlaceable is a placement constraint. A task cannot run on an unreported machine that it excludes.
func isPlaceable(task int, machine string) bool {
	return !(task%2 == 0 && machine == "w0" || task%2 == 1 && machine == "w2")
}

func (m *model) mayRunOnUnreported(task int) bool {
	return slices.ContainsFunc(m.claim.Unreported(), func(unreported *Machine) bool {
		if !isPlaceable(task, unreported.ID) {
			return false
		}
		entry, ok := m.claim.Ledger.Entry(unreported.ID)
		return !ok || slices.Contains(entry.Ranges, fmt.Sprint(task))
	})
}

// startTask executes a start command on the worker. It checks that no task runs twice and that the
// limit is not exceeded.
func (m *model) startTask(worker *modelWorker, key attemptKey) {
	for _, existing := range worker.tasks {
		if existing.task == key.task && (existing.active || existing.attempt == key.attempt) {
			return
		}
	}
	activeTasks := 0
	for _, other := range m.workers {
		for _, existing := range other.tasks {
			if !existing.active || existing.orphaned {
				continue
			}
			activeTasks++
			if other != worker && existing.task == key.task {
				m.violate("task %d starts on %s while it runs on %s", key.task, worker.id, other.id)
			}
		}
	}
	if activeTasks+1 > modelTaskLimit {
		m.violate("%d tasks of a team with a limit of %d", activeTasks+1, modelTaskLimit)
	}
	if len(worker.tasks) < worker.maxTasks {
		worker.tasks = append(worker.tasks, modelTask{attemptKey: key, active: true})
	}
}

// advance moves the clock of the owner and of the workers forward.
func (m *model) advance(elapsedMS int64) {
	m.now += elapsedMS
	for _, worker := range m.workers {
		if m.now-worker.lastResponseAt > modelSettings.LeaseMS {
			worker.tasks, worker.lastResponseAt, worker.incarnation = nil, m.now, worker.incarnation+1
		}
		if m.claim.ExpireLease(worker.machine, m.now) {
			m.releaseAllAttempts(worker)
		}
		heartbeatMissed := m.now-worker.machine.LastHeartbeatAt > modelSettings.MaxHeartbeatIntervalMS
		if worker.machine.IsReconciled() && heartbeatMissed {
			m.recordUnreachable(worker)
		}
	}
}

// recordUnreachable adds a ledger entry for a worker, unless it may run tasks that this claim does not
// own.
func (m *model) recordUnreachable(worker *modelWorker) {
	if worker.runsUnownedTasks() {
		return
	}
	entry := UnreachableMachine{UsageByTeam: map[string]ResourceUsage{}}
	for key := range worker.ownedAttempts {
		entry.Ranges = append(entry.Ranges, fmt.Sprint(key.task))
		entry.UsageByTeam[modelTeam] = entry.UsageByTeam[modelTeam].Add(ResourceUsage{CPUs: 1})
	}
	m.claim.Ledger.Put(worker.id, entry, 1<<20)
}

// storeLedger writes the ledger. The write may succeed without the owner knowing, so an entry that it
// replaces stays binding until the write is confirmed.
func (m *model) storeLedger() {
	if !m.claim.Ledger.HasUnstoredChanges() {
		return
	}
	record := m.claim.Ledger.BuildRecord()
	if rapid.Bool().Draw(m.t, "applied") {
		m.storedEntries = record
		if rapid.Bool().Draw(m.t, "confirmed") {
			m.claim.Ledger.ConfirmStored(record)
			return
		}
	}
	m.claim.Ledger.MarkStoreFailed()
}

// storeResults stores all known results, and sometimes a cancellation.
func (m *model) storeResults() {
	for task, completed := range m.completed {
		m.resultStored[task] = m.resultStored[task] || completed
	}
	if task := rapid.IntRange(0, 40).Draw(m.t, "cancelled"); task < modelTasks {
		m.obsolete[task] = true
	}
}

// toggleHang hangs a worker or ends its hang. With some hangs, the transfer of a task starts or ends. A
// transfer takes effect only while the task is not assigned (taskState).
func (m *model) toggleHang(worker *modelWorker) {
	worker.hung = !worker.hung
	if worker.hung && rapid.IntRange(0, 3).Draw(m.t, "rarely") == 0 {
		task := rapid.IntRange(0, modelTasks-1).Draw(m.t, "moved")
		m.transferring[task] = !m.transferring[task]
	}
}

// addOrphanedTask adds, rarely, a task that a late command of an earlier claim started, or that has
// already ended.
func (m *model) addOrphanedTask(worker *modelWorker) {
	if rapid.IntRange(0, 3).Draw(m.t, "rarely") > 0 {
		return
	}
	task := rapid.IntRange(0, modelTasks-1).Draw(m.t, "task")
	active := rapid.Bool().Draw(m.t, "active")
	m.lastAttempt++
	worker.tasks = append(worker.tasks, modelTask{
		attemptKey: attemptKey{task, m.lastAttempt},
		active:     active,
		completed:  !active && rapid.Bool().Draw(m.t, "completed"),
		orphaned:   true,
	})
}

func (m *model) deliverNextCommand(worker *modelWorker) {
	if len(worker.pendingCommands) == 0 || worker.hung {
		return
	}
	command := worker.pendingCommands[0]
	worker.pendingCommands = worker.pendingCommands[1:]
	command()
}

// step draws an event for a worker and executes it.
func (m *model) step(worker *modelWorker) {
	switch rapid.IntRange(0, 14).Draw(m.t, "event") {
	case 0, 1, 2, 3:
		if !worker.hung {
			m.sendHeartbeat(worker, rapid.IntRange(0, 9).Draw(m.t, "lost") == 0, m.claim.ReceiveHeartbeat)
		}
	case 4, 5, 6, 7:
		m.deliverNextCommand(worker)
	case 8:
		worker.finishTask(m.t)
	case 9:
		m.toggleHang(worker)
	case 10:
		m.startClaim()
	case 11:
		m.storeResults()
	case 12:
		m.storeLedger()
	case 13:
		if worker.machine.State() == Notified && !worker.hung && worker.token == m.fencingToken {
			m.sendHeartbeat(worker, true, m.claim.ReceiveQueryResponse)
		}
	case 14:
		m.addOrphanedTask(worker)
	}
}

// runModel runs a drawn history and returns the first violation of a rule, or an empty string.
func runModel(t *rapid.T, seenVerdicts *VerdictCounts) (violation string) {
	m := newModel(t, seenVerdicts)
	for range 400 {
		worker := m.workers[rapid.IntRange(0, 2).Draw(t, "worker")]
		m.advance(rapid.Int64Range(0, 16).Draw(t, "ms"))
		m.step(worker)
		if m.firstViolation != "" {
			return m.firstViolation
		}
	}
	m.recordSeenVerdicts()
	return m.firstViolation
}
