package reconcile

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// The model: workers that run and finish tasks, hang and lose their lease; an owner of their shard
// that starts tasks by what reconcile reports and whose claim ends at any moment; a store that has
// results and ledger entries, sometimes without the owner knowing. What workers do is checked from
// their side.

const (
	modelTasks          = 6
	modelTaskLimit      = 4 // of the only team
	modelTasksPerWorker = 3
	modelTeam           = "a"
)

var modelSettings = Settings{MaxHeartbeatIntervalMS: 100, LeaseMS: 1500, MaxClockDrift: 0.002, LeaseSlackMS: 5}

// Faults that tests inject into the model's owner.
var dropsEntryBeforeStore, ignoresTaskLimit, startsPossiblyRunningTasks bool

type attemptKey struct{ task, attempt int }

type modelTask struct {
	attemptKey
	active, completed bool
	orphaned          bool // it was started by a command that arrived later than any should
}

type modelWorker struct {
	id                 string
	tasks              []modelTask
	token, incarnation uint64
	seq                uint64
	lastResponseAt     int64
	hung               bool
	pendingCommands    []func() // commands under way to it
	maxTasks           int
	orphanedTasks      int // that its last heartbeat showed
	machine            *Machine
	ownedAttempts      map[attemptKey]bool // attempts of the present claim, not over
	startedAtSeq       map[attemptKey]uint64
}

func (w *modelWorker) stopTask(key attemptKey) {
	for i, task := range w.tasks {
		w.tasks[i].active = task.active && task.attemptKey != key
	}
}

func (w *modelWorker) dropTask(key attemptKey) {
	w.tasks = slices.DeleteFunc(w.tasks, func(task modelTask) bool { return task.attemptKey == key && !task.active })
}

// finishTask ends the first active task.
func (w *modelWorker) finishTask(t *rapid.T) {
	for i := range w.tasks {
		if task := &w.tasks[i]; task.active && !w.hung {
			task.active, task.completed = false, rapid.IntRange(0, 3).Draw(t, "completed") > 0
			return
		}
	}
}

// runsUnownedTasks reports whether a task runs that the present claim does not own.
func (w *modelWorker) runsUnownedTasks() bool {
	return slices.ContainsFunc(w.tasks, func(task modelTask) bool {
		return task.active && !w.ownedAttempts[task.attemptKey]
	})
}

type model struct {
	t              *rapid.T
	now            int64
	fencingToken   uint64
	claim          *Claim
	workers        []*modelWorker
	completed      []bool // as the owner knows
	resultStored   []bool
	obsolete       []bool // its job was cancelled, in the store
	transferring   []bool // it may be a peer's: written, and the outcome is unknown
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

// releaseAttempt takes an attempt off the owner's count.
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

// sendHeartbeat has the owner take a worker's heartbeat now; the response may be late or lost.
func (m *model) sendHeartbeat(worker *modelWorker, responseLost bool, receive receiveFunc) {
	worker.seq++
	worker.pendingCommands = nil // one heartbeat at a time: a response that did not come is dropped
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
	if responseLost {
		return
	}
	// Responses are dropped after a moment, by a newer token, or by a new incarnation.
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

// applyTasks takes what a heartbeat shows of tasks, and returns the commands that follow.
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

// applyOwnTask takes an attempt of the present claim.
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

// applyEarlierTask takes an attempt that the present claim did not start.
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

// checkVerdict checks a verdict against the rules, independently of the table.
func (m *model) checkVerdict(task int, state TaskState, observation Observation, verdict Verdict) {
	unavailable := state != Unassigned
	resultNeeded := !m.resultStored[task] && !m.obsolete[task]
	switch {
	case verdict == Adopt && (unavailable || observation != Active):
		m.violate("task %d is adopted, %v and %v", task, state, observation)
	case observation == Active && unavailable && verdict != Stop:
		m.violate("task %d is not stopped, %v", task, state)
	case observation == Active && !unavailable && verdict != Adopt:
		m.violate("task %d runs and does not count", task)
	case verdict == Clear && observation == Succeeded && resultNeeded:
		m.violate("the result of task %d is cleared before it is stored", task)
	case observation == Succeeded && verdict != RecordCompletion && !m.completed[task] && !m.obsolete[task]:
		m.violate("the result of task %d is not recorded", task)
	case verdict == Stop && observation != Active, verdict == Keep && observation != Succeeded:
		m.violate("verdict %v for task %d, %v", verdict, task, observation)
	}
}

// startCommands starts unassigned tasks on a reconciled machine: none that may run on an unreported
// one, and no more than the team's limit whatever runs on unreported ones.
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

// maxPossiblyRunning bounds how many tasks may run that the owner does not count.
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
			n += modelTasksPerWorker - len(worker.ownedAttempts) // whose they are is not known
		}
	}
	return n
}

// isPlaceable is a placement constraint: a task that it forbids cannot be on an unreported machine.
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

// startTask is the worker's side of a start command: here it shows whether a task runs twice or the
// limit is exceeded.
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
		m.violate("%d tasks of a team whose limit is %d", activeTasks+1, modelTaskLimit)
	}
	if len(worker.tasks) < worker.maxTasks {
		worker.tasks = append(worker.tasks, modelTask{attemptKey: key, active: true})
	}
}

// advance lets time pass for the owner and for workers.
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

// recordUnreachable makes a ledger entry for a worker, unless tasks may be left on it that this
// claim does not own.
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

// storeLedger writes the ledger. The store may have the record without the owner knowing: no entry
// that it replaces is void before the write is confirmed.
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

// toggleHang hangs a worker or ends its hang. With some hangs a range moves or its move is known to
// be over: it moves when nothing of it runs.
func (m *model) toggleHang(worker *modelWorker) {
	worker.hung = !worker.hung
	if worker.hung && rapid.IntRange(0, 3).Draw(m.t, "rarely") == 0 {
		task := rapid.IntRange(0, modelTasks-1).Draw(m.t, "moved")
		m.transferring[task] = !m.transferring[task]
	}
}

// addOrphanedTask has a command of an earlier claim arrive, or leaves the remains of one. It is
// rare.
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

// step draws an event that concerns a worker, and carries it out.
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

// runModel runs a drawn history and returns the first violation of a rule, empty without one.
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
