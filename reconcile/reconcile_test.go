package reconcile

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "400")); err != nil {
		panic(err)
	}
}

// The table of the package's comment is the one that is used.
func TestVerdictsMatchPackageTable(t *testing.T) {
	source, err := os.ReadFile("reconcile.go")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for _, line := range strings.Split(string(source), "\n") {
		fields := strings.Fields(strings.TrimPrefix(line, "//"))
		for state := range TaskState(TaskStateCount) {
			if len(fields) < 4 || !strings.HasPrefix(line, "//\t") || !strings.EqualFold(fields[0], state.String()) {
				continue
			}
			rows++
			for observation := range Observation(ObservationCount) {
				if got := verdicts[state][observation].String(); !strings.EqualFold(got, fields[1+observation]) {
					t.Errorf("%v, %v: the comment says %s, the verdict is %s", state, observation, fields[1+observation], got)
				}
			}
		}
	}
	if rows != TaskStateCount {
		t.Errorf("%d of %d rows found", rows, TaskStateCount)
	}
}

// The model: workers that run, finish, hang and lose their lease; a holder of
// their shard that starts tasks by what reconcile says and ends at any moment; a
// store that has results and notes, sometimes without saying so. What workers do
// is checked from their side.
type modelTask struct {
	task, attempt     int
	active, completed bool
	orphaned          bool // it is there by a command that came later than any should
}

type modelWorker struct {
	id                 string
	tasks              []modelTask
	token, incarnation uint64
	seq                uint64
	lastResponseAt     int64
	hung               bool
	pendingCommands    []func() // commands under way to it
	maxTasks           int      // its room
	orphanedTasks      int      // that its last report showed
	machine            *Machine
	ownedAttempts      map[[2]int]bool // attempts of the present claim, not over
	startedAtSeq       map[[2]int]uint64
}

type model struct {
	t              *rapid.T
	now            int64
	fencingToken   uint64
	claim          *Claim
	workers        []*modelWorker
	completed      []bool // as the holder knows
	resultStored   []bool
	obsolete       []bool // its job was cancelled, in the store
	transferring   []bool // it may be a peer's: written, and the outcome not known
	assigned       []int
	lastAttempt    int
	storedEntries  map[string]UnreachableMachine // in the store
	pendingRecords []map[string]UnreachableMachine
	seenVerdicts   *VerdictCounts
	violation      string
	taskLimit      int
}

const modelTasks = 6

var modelSettings = Settings{MaxHeartbeatIntervalMS: 100, LeaseMS: 1500, MaxClockDrift: 0.002, LeaseSlackMS: 5}

// Faults that the test plants in the model's holder.
var dropsEntryBeforeStore, ignoresTaskLimit, startsPossiblyRunningTasks bool

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *model) startClaim() {
	if m.claim != nil {
		for state := range m.claim.VerdictCounts {
			for observation, n := range m.claim.VerdictCounts[state] {
				m.seenVerdicts[state][observation] += n
			}
		}
	}
	m.fencingToken++
	m.claim = NewClaim(modelSettings, m.fencingToken, m.now)
	m.pendingRecords = nil
	m.completed, m.assigned = append([]bool(nil), m.resultStored...), make([]int, modelTasks)
	m.claim.Ledger.Restore(m.storedEntries)
	for _, worker := range m.workers {
		worker.machine, worker.ownedAttempts, worker.startedAtSeq, worker.orphanedTasks = m.claim.AddMachine(
			worker.id,
			true,
			m.now,
		), map[[2]int]bool{}, map[[2]int]uint64{}, 0
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

// releaseAttempt takes an attempt off the holder's count.
func (m *model) releaseAttempt(worker *modelWorker, key [2]int) {
	if worker.ownedAttempts[key] {
		delete(worker.ownedAttempts, key)
		m.assigned[key[0]]--
	}
}

// sendHeartbeat is what a worker says now; it is taken now, and its answer may be late or
// lost.
func (m *model) sendHeartbeat(
	worker *modelWorker,
	responseLost bool,
	receive func(worker *Machine, now int64, incarnation, seq, fencingToken uint64) Disposition,
) {
	worker.seq++
	worker.pendingCommands = nil // one report at a time: an answer that did not come is dropped
	incarnation, seq, sentAt := worker.incarnation, worker.seq, m.now
	disposition := receive(worker.machine, m.now, incarnation, seq, worker.token)
	var commands []func()
	if disposition >= Accept {
		m.claim.Ledger.Remove(worker.id)
		if dropsEntryBeforeStore {
			delete(m.claim.Ledger.entries, worker.id)
		}
		if disposition == AcceptNewIncarnation {
			for key := range worker.ownedAttempts {
				m.releaseAttempt(worker, key)
			}
		}
		shown := map[[2]int]bool{}
		worker.orphanedTasks = 0
		for _, task := range worker.tasks {
			key := [2]int{task.task, task.attempt}
			shown[key] = true
			if _, startedHere := worker.startedAtSeq[key]; startedHere {
				if !task.active {
					if task.completed {
						m.completed[task.task] = true
					}
					m.releaseAttempt(worker, key)
				}
				if !task.active && (!task.completed || m.resultStored[task.task] || m.obsolete[task.task]) {
					commands = append(commands, func() { worker.dropTask(key) })
				} else if task.active && m.obsolete[task.task] {
					commands = append(commands, func() { worker.stopTask(key) })
				}
				continue
			}
			observation := Terminated
			if task.active {
				observation = Active
			} else if task.completed {
				observation = Succeeded
			}
			state := m.taskState(task.task)
			verdict := m.claim.DecideVerdict(state, observation)
			m.checkVerdict(task.task, state, observation, verdict)
			switch verdict {
			case Adopt:
				worker.ownedAttempts[key], worker.startedAtSeq[key] = true, seq
				m.assigned[task.task]++
			case Stop:
				worker.orphanedTasks++
				commands = append(commands, func() { worker.stopTask(key) })
			case RecordCompletion:
				m.completed[task.task] = true
			case Clear:
				commands = append(commands, func() { worker.dropTask(key) })
			}
		}
		for key := range worker.ownedAttempts {
			if !shown[key] && worker.startedAtSeq[key] < seq {
				m.releaseAttempt(worker, key)
			}
		}
		commands = append(commands, m.startCommands(worker, seq)...)
	}
	if responseLost {
		return
	}
	// Answers are dropped after a moment, by an older token, or by a new session.
	fencingToken := m.fencingToken
	worker.pendingCommands = append(worker.pendingCommands, func() {
		if fencingToken < worker.token || incarnation != worker.incarnation || m.now-sentAt > modelSettings.LeaseMS/4 {
			return
		}
		worker.token, worker.lastResponseAt = fencingToken, max(worker.lastResponseAt, sentAt)
		for _, command := range commands {
			command()
		}
	})
}

// checkVerdict holds a verdict against what the rules ask, cell or no cell.
func (m *model) checkVerdict(task int, state TaskState, observation Observation, verdict Verdict) {
	unavailable := state == Assigned || state == Transferring || state == Completed || state == ResultStored ||
		state == Obsolete
	switch {
	case verdict == Adopt && (unavailable || observation != Active):
		m.fail("%d goes on, %v and %v", task, state, observation)
	case observation == Active && unavailable && verdict != Stop:
		m.fail("%d is not stopped, %v", task, state)
	case observation == Active && !unavailable && verdict != Adopt:
		m.fail("%d runs and does not count", task)
	case verdict == Clear && observation == Succeeded && !m.resultStored[task] && !m.obsolete[task]:
		m.fail("the result of %d is cleared before it is stored", task)
	case observation == Succeeded && verdict != RecordCompletion && !m.completed[task] && !m.obsolete[task]:
		m.fail("the result of %d counts for nothing", task)
	case verdict == Stop && observation != Active, verdict == Keep && observation != Succeeded:
		m.fail("%d, %v, is to %v", task, observation, verdict)
	}
}

// startCommands starts a task that is free on a squared machine: none that may be on an
// unseen one, and no more than the team's limit whatever is unseen.
func (m *model) startCommands(worker *modelWorker, seq uint64) (commands []func()) {
	if _, recorded := m.claim.Ledger.Entry(worker.id); recorded || !worker.machine.IsReconciled() {
		return nil
	}
	assigned := 0
	for task := range m.assigned {
		assigned += m.assigned[task]
	}
	possiblyRunning := 0
	for _, unreported := range m.claim.Unreported() {
		if entry, ok := m.claim.Ledger.Entry(unreported.ID); ok {
			possiblyRunning += int(entry.UsageByTeam["a"].CPUs)
		} else {
			possiblyRunning += 3
		}
	}
	for _, other := range m.workers {
		if other.machine.IsReconciled() && other.orphanedTasks > 0 {
			possiblyRunning += 3 - len(other.ownedAttempts) // whose they are is not known
		}
	}
	for task := range m.completed {
		if m.taskState(task) != Unassigned || !isPlaceable(task, worker.id) ||
			assigned+possiblyRunning >= m.taskLimit && !ignoresTaskLimit ||
			assigned >= m.taskLimit ||
			len(worker.ownedAttempts) >= worker.maxTasks ||
			m.mayRunOnUnreported(task) && !startsPossiblyRunningTasks {
			continue
		}
		assigned++
		m.lastAttempt++
		key := [2]int{task, m.lastAttempt}
		worker.ownedAttempts[key], worker.startedAtSeq[key] = true, seq
		m.assigned[task]++
		commands = append(commands, func() { m.startTask(worker, key) })
	}
	return commands
}

// isPlaceable is a rule of placement: what it forbids cannot be there unseen.
func isPlaceable(task int, machine string) bool {
	return !(task%2 == 0 && machine == "w0" || task%2 == 1 && machine == "w2")
}

func (m *model) mayRunOnUnreported(task int) bool {
	for _, unreported := range m.claim.Unreported() {
		if !isPlaceable(task, unreported.ID) {
			continue
		}
		entry, ok := m.claim.Ledger.Entry(unreported.ID)
		if !ok {
			return true
		}
		if slices.Contains(entry.Ranges, fmt.Sprint(task)) {
			return true
		}
	}
	return false
}

func (m *model) startTask(worker *modelWorker, key [2]int) {
	for _, existing := range worker.tasks {
		if existing.task == key[0] && (existing.active || existing.attempt == key[1]) {
			return
		}
	}
	activeTasks := 0
	for _, other := range m.workers {
		for _, existing := range other.tasks {
			if existing.active && !existing.orphaned {
				activeTasks++
				if other != worker && existing.task == key[0] {
					m.fail("%d starts on %s while on %s", key[0], worker.id, other.id)
				}
			}
		}
	}
	if activeTasks+1 > m.taskLimit {
		m.fail("%d tasks of a team whose limit is %d", activeTasks+1, m.taskLimit)
	}
	if len(worker.tasks) < worker.maxTasks {
		worker.tasks = append(worker.tasks, modelTask{task: key[0], attempt: key[1], active: true})
	}
}

func (w *modelWorker) stopTask(key [2]int) {
	for i, task := range w.tasks {
		w.tasks[i].active = task.active && !(task.task == key[0] && task.attempt == key[1])
	}
}

func (w *modelWorker) dropTask(key [2]int) {
	w.tasks = slices.DeleteFunc(
		w.tasks,
		func(task modelTask) bool { return task.task == key[0] && task.attempt == key[1] && !task.active },
	)
}

// tick lets time pass for the holder and for workers.
func (m *model) tick() {
	for _, worker := range m.workers {
		if m.now-worker.lastResponseAt > modelSettings.LeaseMS {
			worker.tasks, worker.lastResponseAt, worker.incarnation = nil, m.now, worker.incarnation+1
		}
		if m.claim.ExpireLease(worker.machine, m.now) {
			for key := range worker.ownedAttempts {
				m.releaseAttempt(worker, key)
			}
		}
		if now := m.now; worker.machine.IsReconciled() &&
			now-worker.machine.LastHeartbeatAt > modelSettings.MaxHeartbeatIntervalMS {
			entry := UnreachableMachine{UsageByTeam: map[string]ResourceUsage{}}
			for key := range worker.ownedAttempts {
				entry.Ranges = append(entry.Ranges, fmt.Sprint(key[0]))
				entry.UsageByTeam["a"] = entry.UsageByTeam["a"].Add(ResourceUsage{CPUs: 1})
			}
			// What this claim was not shown to be gone: strays too.
			hasOrphanedTasks := false
			for _, task := range worker.tasks {
				hasOrphanedTasks = hasOrphanedTasks || task.active && !worker.ownedAttempts[[2]int{task.task, task.attempt}]
			}
			if !hasOrphanedTasks {
				m.claim.Ledger.Put(worker.id, entry, 1<<20)
			}
		}
	}
}

func runModel(t *rapid.T, seenVerdicts *VerdictCounts) string {
	m := &model{
		t:             t,
		now:           1000,
		completed:     make([]bool, modelTasks),
		resultStored:  make([]bool, modelTasks),
		obsolete:      make([]bool, modelTasks),
		transferring:  make([]bool, modelTasks),
		seenVerdicts:  seenVerdicts,
		storedEntries: map[string]UnreachableMachine{},
		taskLimit:     4,
	}
	for i := range 3 {
		m.workers = append(
			m.workers,
			&modelWorker{id: fmt.Sprint("w", i), incarnation: 1, lastResponseAt: m.now, maxTasks: 3},
		)
	}
	m.startClaim()
	for range 400 {
		worker := m.workers[rapid.IntRange(0, 2).Draw(t, "w")]
		m.now += rapid.Int64Range(0, 16).Draw(t, "ms")
		m.tick()
		switch rapid.IntRange(0, 14).Draw(t, "what") {
		case 0, 1, 2, 3:
			if !worker.hung {
				m.sendHeartbeat(worker, rapid.IntRange(0, 9).Draw(t, "lost") == 0, m.claim.ReceiveHeartbeat)
			}
		case 4, 5, 6, 7:
			if len(worker.pendingCommands) > 0 && !worker.hung {
				command := worker.pendingCommands[0]
				worker.pendingCommands = worker.pendingCommands[1:]
				command()
			}
		case 8:
			for i := range worker.tasks {
				if task := &worker.tasks[i]; task.active && !worker.hung {
					task.active, task.completed = false, rapid.IntRange(0, 3).Draw(t, "well") > 0
					break
				}
			}
		case 9:
			if worker.hung = !worker.hung; worker.hung && rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
				// A range moves when nothing of it runs, and what comes of that is
				// known a while later.
				i := rapid.IntRange(0, modelTasks-1).Draw(t, "move")
				m.transferring[i] = !m.transferring[i]
			}
		case 10:
			m.startClaim()
		case 11: // results and a cancellation are stored
			for i, completed := range m.completed {
				m.resultStored[i] = m.resultStored[i] || completed
			}
			if i := rapid.IntRange(0, 40).Draw(t, "cancel"); i < modelTasks {
				m.obsolete[i] = true
			}
		case 12:
			if m.claim.Ledger.HasUnstoredChanges() {
				record := m.claim.Ledger.BuildRecord()
				// The store may have it without our knowing: nothing that it
				// takes the place of is void before we are told.
				if rapid.Bool().Draw(t, "applied") {
					m.storedEntries = record
					if rapid.Bool().Draw(t, "told") {
						m.claim.Ledger.ConfirmStored(record)
						break
					}
				}
				m.claim.Ledger.MarkStoreFailed()
			}
		case 14: // a command of a dead claim, or what is left of one: seldom
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				break
			}
			task, active := rapid.IntRange(0, modelTasks-1).Draw(t, "task"), rapid.Bool().Draw(t, "live")
			m.lastAttempt++
			worker.tasks = append(
				worker.tasks,
				modelTask{
					task:      task,
					attempt:   m.lastAttempt,
					active:    active,
					completed: !active && rapid.Bool().Draw(t, "done"),
					orphaned:  true,
				},
			)
		case 13: // its own answer to a question
			if worker.machine.State() == Notified && !worker.hung && worker.token == m.fencingToken {
				m.sendHeartbeat(worker, true, m.claim.ReceiveQueryResponse)
			}
		}
		if m.violation != "" {
			return m.violation
		}
	}
	m.startClaim()
	return m.violation
}

// Whatever workers, the store and the holder's ends do, no task runs twice, no limit
// is passed and no result is lost, and the histories see every cell of the table.
func TestNoDuplicateRunLimitBreachOrLostResultUnderAnyFaults(t *testing.T) {
	var seenVerdicts VerdictCounts
	rapid.Check(t, func(t *rapid.T) {
		if violation := runModel(t, &seenVerdicts); violation != "" {
			t.Fatal(violation)
		}
	})
	for state := range TaskState(TaskStateCount) {
		for observation := range Observation(ObservationCount) {
			if seenVerdicts[state][observation] == 0 {
				t.Errorf("%v, %v was never seen", state, observation)
			}
		}
	}
}

// A report that the network held until its session had ended says nothing.
func TestLateHeartbeatOfEndedIncarnationIsStale(t *testing.T) {
	claim := NewClaim(modelSettings, 7, 0)
	machine := claim.AddMachine("w", true, 0)
	if claim.ReceiveHeartbeat(machine, 10, 1, 1, 3) != NotifyToken ||
		claim.ReceiveHeartbeat(machine, 20, 1, 2, 7) != Accept {
		t.Fatal("the machine is not squared")
	}
	expiredAt := claim.LeaseExpiresAt(machine) + 1
	if !claim.ExpireLease(machine, expiredAt) {
		t.Fatal("silence is not seen")
	}
	if got := claim.ReceiveHeartbeat(machine, expiredAt+5, 1, 3, 7); got != Stale || machine.State() != LeaseExpired {
		t.Errorf("its session is over: %v, %v", got, machine.State())
	}
	if got := claim.ReceiveHeartbeat(machine, expiredAt+9, 2, 4, 7); got != AcceptNewIncarnation ||
		!machine.IsReconciled() {
		t.Errorf("the next session: %v, %v", got, machine.State())
	}
}

// A copy of a report, whenever it comes, is no sign of life, and has no answer; one that
// an answer to commands overtook has one, since the worker waits for it.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	claim := NewClaim(modelSettings, 7, 0)
	machine := claim.AddMachine("w", true, 0)
	claim.ReceiveHeartbeat(machine, 10, 1, 1, 3)
	claim.ReceiveHeartbeat(machine, 20, 1, 2, 7)
	claim.ReceiveQueryResponse(machine, 30, 1, 4, 7)
	if got := claim.ReceiveHeartbeat(machine, 40, 1, 3, 7); got != RenewOnly || machine.LastHeartbeatAt != 40 {
		t.Errorf("an overtaken report: %v, last heard at %d", got, machine.LastHeartbeatAt)
	}
	for _, seq := range []uint64{1, 2, 3} {
		if got := claim.ReceiveHeartbeat(machine, 50, 1, seq, 7); got != Stale || machine.LastHeartbeatAt != 40 {
			t.Errorf("a copy of report %d: %v, last heard at %d", seq, got, machine.LastHeartbeatAt)
		}
	}
	if !claim.ExpireLease(machine, claim.LeaseExpiresAt(machine)+1) {
		t.Error("copies keep a machine alive")
	}
}

// A report of the session in which a machine had our token, held until its lease was
// over, is not news because a copy from an earlier session came in between.
func TestEarlierIncarnationDoesNotReviveAnEndedOne(t *testing.T) {
	claim := NewClaim(modelSettings, 7, 0)
	machine := claim.AddMachine("w", true, 0)
	if claim.ReceiveHeartbeat(machine, 10, 5, 20, 3) != NotifyToken ||
		claim.ReceiveHeartbeat(machine, 12, 3, 11, 3) != Stale ||
		machine.NotifiedIncarnation() != 5 {
		t.Fatalf("told in session %d", machine.NotifiedIncarnation())
	}
	expiredAt := claim.LeaseExpiresAt(machine) + 1
	if !claim.ExpireLease(machine, expiredAt) {
		t.Fatal("silence is not seen")
	}
	if got := claim.ReceiveHeartbeat(machine, expiredAt+5, 5, 21, 7); got != Stale || machine.State() != LeaseExpired {
		t.Errorf("a report of a session that is over: %v, %v", got, machine.State())
	}
}

// A machine that reports and does not hear its new holder is settled when every session
// that an earlier holder knew must be over, and not before: an answer of the last moment
// may have renewed one.
func TestInboundPartitionedMachineIsAccountedForAfterLease(t *testing.T) {
	claim := NewClaim(modelSettings, 7, 100)
	machine := claim.AddMachine("w", true, 100)
	leaseEnd := int64(100) + claim.maxLeaseMS() + responseTTLMS
	for seq, now := uint64(1), int64(200); now <= leaseEnd; seq, now = seq+1, now+300 {
		if claim.ReceiveHeartbeat(machine, now, 1+seq/40, seq, 3) != NotifyToken || machine.IsAccountedFor() ||
			len(claim.Unreported()) != 1 {
			t.Fatalf("at %d: %v, settled %v", now, machine.State(), machine.IsAccountedFor())
		}
	}
	if claim.ReceiveHeartbeat(machine, leaseEnd+1, 2, 900, 3) != NotifyToken || !machine.IsAccountedFor() ||
		!machine.IsInboundPartitioned() ||
		len(claim.Unreported()) != 0 ||
		machine.IsReconciled() {
		t.Errorf("after its lease: %v, settled %v", machine.State(), machine.IsAccountedFor())
	}
	if claim.ReceiveHeartbeat(machine, leaseEnd+9, 2, 901, 7) != Accept || !machine.IsReconciled() ||
		machine.IsInboundPartitioned() {
		t.Error("it hears again, and is not squared")
	}
}

// A verdict that is swapped, or a bound that is left out, is found.
func TestModelDetectsInjectedFaults(t *testing.T) {
	detectsViolation := func(t *testing.T) bool {
		var seenVerdicts VerdictCounts
		for seed := range 3000 {
			if rapid.Custom(func(t *rapid.T) string { return runModel(t, &seenVerdicts) }).Example(seed) != "" {
				return true
			}
		}
		return false
	}
	if detectsViolation(t) {
		t.Fatal("a fault is found where none is")
	}
	for name, inject := range map[string]func(){
		"a second attempt goes on":           func() { verdicts[Assigned][Active] = Adopt },
		"a result is cleared unstored":       func() { verdicts[Completed][Succeeded] = Clear },
		"what runs is taken for nothing":     func() { verdicts[Unassigned][Active] = Keep },
		"a result counts for nothing":        func() { verdicts[Unassigned][Succeeded] = Clear },
		"what is over is adopted":            func() { verdicts[ResultStored][Active], verdicts[Obsolete][Active] = Adopt, Adopt },
		"a note is forgotten when one hears": func() { dropsEntryBeforeStore = true },
		"what is unseen weighs nothing":      func() { ignoresTaskLimit = true },
		"what may be unseen starts":          func() { startsPossiblyRunningTasks = true },
	} {
		t.Run(name, func(t *testing.T) {
			originalVerdicts := verdicts
			defer func() {
				verdicts, dropsEntryBeforeStore, ignoresTaskLimit, startsPossiblyRunningTasks = originalVerdicts, false, false, false
			}()
			if inject(); !detectsViolation(t) {
				t.Error("not found")
			}
		})
	}
}

// No two claims give the same number, also when the time of day goes back, stands still
// or leaps between them, and none gives one twice.
func TestAttemptIDsAreNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids AttemptIDs
		used := map[uint64]bool{}
		revision, wallMS := uint64(0), int64(1_700_000_000_000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // another claim, or the same one raised
				revision += uint64(rapid.IntRange(1, 3).Draw(t, "revisions"))
				if rapid.Bool().Draw(t, "new process") {
					ids = AttemptIDs{}
				}
				ids.Rebase(revision, wallMS)
			case 1:
				wallMS += int64(rapid.IntRange(-200, 200).Draw(t, "clock"))
			case 2:
				wallMS += int64(rapid.IntRange(0, 5000).Draw(t, "passes"))
			default:
				if ids.revision == 0 {
					continue
				}
				for range rapid.IntRange(1, 600).Draw(t, "burst") {
					if ids.IsExhausted(wallMS) {
						break
					}
					if id := ids.Next(wallMS); used[id] {
						t.Fatalf("%d is used twice", id)
					} else {
						used[id] = true
					}
				}
			}
		}
	})
}
