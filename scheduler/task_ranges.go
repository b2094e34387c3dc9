package scheduler

import (
	"encoding/json"
	"slices"
	"strings"
)

// job is a live job of the mirror.
type job struct {
	rec                 jobRecord
	rev                 uint64
	recordWritePending  bool // a write on its record is under way
	taskRanges          map[int]*taskRange
	failureReason       string // why the job is to be given up
	awaitingBegunRecord bool   // Once: a task waits for the record to say that it may begin
}

func (sm *shardManager) applyJobRecord(kv KeyValue) error {
	id := kv.Key[len(jobPrefix):]
	if kv.Value == nil {
		sm.deleteJob(id)
		return nil
	}
	var rec jobRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return err
	}
	sm.upsertJob(id, rec, kv.Rev)
	return nil
}

// taskCounts is how far each live job is in a shard.
func (sm *shardManager) taskCounts(s *shard) map[string]TaskCounts {
	byJob := map[string]TaskCounts{}
	for _, tr := range s.taskRanges {
		if tr.runningCount > 0 || tr.doneCount > 0 {
			c := byJob[tr.job.rec.Job.ID]
			c.Running += tr.runningCount
			c.Done += tr.doneCount
			byJob[tr.job.rec.Job.ID] = c
		}
	}
	return byJob
}

// taskRange is a range of a job that a shard of ours runs.
type taskRange struct {
	job           *job
	bounds        Range
	shardName     string
	claim         *shard
	done          bitset
	doneCount     int
	assigned      bitset // an attempt has it, running or not known to be over
	assignedCount int
	searchFrom    int
	storedDone    bitset // done, as the store has it
	progressKey   string // of its progress in the store

	// recovered works were run by an earlier claim, so a task of theirs may
	// still run on any machine that has not spoken under our token.
	recovered bool

	dirty           bool // done differs from stored
	writing         bool
	nextWriteAt     int64
	admitted        bool
	retryAt         int64 // after errors: wait until then
	errors          int
	errorsByMachine map[string]int // machine: errors of this job there
	errorsByTask    map[int]int    // task: errors, for jobs that bound them
	reclaimedFor    map[int]string // task: the team that it was last stopped for
	checkpointedMS  map[int]int64  // task: how long it had run when it saved and stopped
	moving          bool
	runningCount    int            // attempts that run
	attemptsByZone  map[string]int // zone: live attempts
	gangStartedAt   int64          // when the last try to start all of a gang began
	gangAttempt     uint64         // its attempt, the same for all tasks
	gangStartsSent  bitset         // the tasks that were started in it
}

func (tr *taskRange) size() int { return tr.bounds.Hi - tr.bounds.Lo }

func (tr *taskRange) pending() int { return tr.size() - tr.doneCount - tr.assignedCount }

// hasStarted tells whether a task of the range runs or is done.
func (tr *taskRange) hasStarted() bool { return tr.assignedCount > 0 || tr.doneCount > 0 }

// nextTask finds the lowest task that is neither done nor taken. All below low are.
func (tr *taskRange) nextTask() int {
	for ; tr.searchFrom < tr.size(); tr.searchFrom++ {
		if !tr.done.has(tr.searchFrom) && !tr.assigned.has(tr.searchFrom) {
			return tr.searchFrom
		}
	}
	return -1
}

// shrinkTo cuts a work down to what its shard keeps. A machine that was thought
// lost may have told of a result while the move was under way: left in the
// count, it made the work done more often than it has tasks, and its job never
// ended. The peer runs that task once more, or hears the same result.
func (tr *taskRange) shrinkTo(kept Range) {
	for i := kept.Hi - kept.Lo; i < tr.size(); i++ {
		if tr.done.has(i) {
			tr.done.clear(i)
			tr.doneCount--
		}
		tr.storedDone.clear(i)
	}
	tr.bounds = kept
}

func (tr *taskRange) markDone(i int) {
	if !tr.done.has(i) {
		tr.done.set(i)
		tr.doneCount++
	}
}

func (tr *taskRange) assign(i int) {
	if !tr.assigned.has(i) {
		tr.assigned.set(i)
		tr.assignedCount++
	}
}

func (tr *taskRange) unassign(i int) {
	if tr.assigned.has(i) {
		tr.assigned.clear(i)
		tr.assignedCount--
		tr.searchFrom = min(tr.searchFrom, i)
	}
}

// upsertJob follows a live job's record.
func (sm *shardManager) upsertJob(id string, rec jobRecord, rev uint64) {
	j := sm.cache.jobs[id]
	if j == nil {
		j = &job{taskRanges: map[int]*taskRange{}}
		sm.cache.jobs[id] = j
	}
	j.rec, j.rev = rec, rev
	sm.quotas.guaranteeStatus.valid = false
	sm.syncTaskRanges(j, false)
}

// syncTaskRanges makes a job's works those of its ranges that are ours.
func (sm *shardManager) syncTaskRanges(j *job, recovered bool) {
	keep := map[int]bool{}
	for _, r := range j.rec.Ranges {
		s := sm.ownedShards[r.Shard]
		if s == nil {
			continue
		}
		keep[r.Lo] = true
		s.dirty = true
		tr := j.taskRanges[r.Lo]
		if tr == nil || tr.claim != s {
			// A work of a claim that ended must not pass for one of this
			// claim: a shard handed back and a range moved here from it
			// left a range that nobody ran.
			n := r.Hi - r.Lo
			tr = &taskRange{
				job:            j,
				bounds:         r,
				shardName:      r.Shard,
				claim:          s,
				done:           newBitset(n),
				assigned:       newBitset(n),
				storedDone:     newBitset(n),
				recovered:      recovered,
				attemptsByZone: map[string]int{},
			}
			j.taskRanges[r.Lo] = tr
			pos, _ := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare)
			s.taskRanges = slices.Insert(s.taskRanges, pos, tr)
			s.planExpedited = true
			continue
		}
		if r.Hi != tr.bounds.Hi {
			// The tail went to a peer; none of it was started.
			tr.shrinkTo(r)
		}
	}
	for lo, tr := range j.taskRanges {
		if !keep[lo] {
			sm.dropTaskRange(tr)
			delete(j.taskRanges, lo)
		}
	}
}

// dropTaskRange takes a work off its claim's list.
func (sm *shardManager) dropTaskRange(tr *taskRange) {
	s := tr.claim
	s.dirty = true
	if tr.doneCount == 0 {
		sm.agents.discountMachineFailures(tr)
	}
	if record := s.progressRecords[tr.progressKey]; record != nil && record.rev != 0 &&
		strings.HasSuffix(tr.progressKey, tr.name()) {
		record.dirty = true // a page of its own goes with it
	}
	if pos, ok := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare); ok && s.taskRanges[pos] == tr {
		s.taskRanges = slices.Delete(s.taskRanges, pos, pos+1)
	}
}

// compare orders works by job and place in it.
func (tr *taskRange) compare(other *taskRange) int {
	if c := strings.Compare(tr.job.rec.Job.ID, other.job.rec.Job.ID); c != 0 {
		return c
	}
	return tr.bounds.Lo - other.bounds.Lo
}

// deleteJob handles the end of a job's live record: it is done or cancelled, and
// whatever still runs of it is stopped when its machine reports.
func (sm *shardManager) deleteJob(id string) {
	j := sm.cache.jobs[id]
	if j == nil {
		return
	}
	delete(sm.cache.jobs, id)
	sm.quotas.guaranteeStatus.valid = false
	for _, tr := range j.taskRanges {
		sm.dropTaskRange(tr)
	}
	clear(j.taskRanges)
}

// taskRangeOf finds the work that a task of ours belongs to.
func (sm *shardManager) taskRangeOf(name string) (*taskRange, int) {
	id, n, ok := parseTaskName(name)
	if !ok {
		return nil, 0
	}
	j := sm.cache.jobs[id]
	if j == nil {
		return nil, 0
	}
	for _, tr := range j.taskRanges {
		if n >= tr.bounds.Lo && n < tr.bounds.Hi {
			return tr, n - tr.bounds.Lo
		}
	}
	return nil, 0
}

// name names a range in its page.
func (tr *taskRange) name() string { return taskName(tr.job.rec.Job.ID, tr.bounds.Lo) }

// finishTaskRange records that all of a range is done. The last range of a job moves
// it to its final record in the same transaction.
func (sm *shardManager) finishTaskRange(s *shard, tr *taskRange) {
	j := tr.job
	id := j.rec.Job.ID
	var preconditions []Precondition
	var changes []Change
	remaining := make([]Range, 0, len(j.rec.Ranges))
	for _, r := range j.rec.Ranges {
		if r.Lo != tr.bounds.Lo {
			remaining = append(remaining, r)
		}
	}
	final := terminalRecord{State: Done, Tasks: j.rec.Job.Tasks, WorkflowRun: j.rec.Job.WorkflowRun}
	if len(remaining) == 0 {
		changes = append(changes, Change{Key: jobKey(id)}, Change{Key: terminalKey(id), Value: mustEncode(final)})
		preconditions = append(preconditions, Precondition{terminalKey(id), 0})
	} else {
		rec := j.rec
		rec.Ranges = remaining
		changes = append(changes, Change{Key: jobKey(id), Value: mustEncode(rec)})
	}
	sm.writeJob(s, tr, changes, preconditions, func() {
		if len(remaining) == 0 {
			sm.Counters.Finished++
			if deadlineS := j.rec.Job.DeadlineS; deadlineS > 0 && sm.now.WallMS > j.rec.AcceptedAtMS+secondsToMS(deadlineS) {
				sm.rolloutCounts.MissedDeadlines++
			}
			sm.requests.cacheTerminalState(id, final)
		}
	})
}

// writeJob changes a job's record under its shard's claim.
func (sm *shardManager) writeJob(
	s *shard,
	tr *taskRange,
	changes []Change,
	preconditions []Precondition,
	onSuccess func(),
) {
	j := tr.job
	tr.writing, j.recordWritePending, tr.nextWriteAt = true, true, sm.now.MonotonicMS
	sm.store.sendTxn(UrgencyUser, append(sm.claimPreconditions(s, j), preconditions...), changes, func(r StoreResult) {
		tr.writing, j.recordWritePending = false, false
		if r.Outcome == OK {
			onSuccess()
			return
		}
		tr.nextWriteAt = sm.now.MonotonicMS + 200 // not before
		if r.Outcome == Unknown || r.Outcome == Conflict {
			tr.writing, j.recordWritePending = true, true
			sm.store.rereadKey(jobKey(j.rec.Job.ID), func(StoreResult) {
				tr.writing, j.recordWritePending = false, false
			})
		}
	})
}
