package scheduler

import (
	"encoding/json"
	"slices"
	"strings"
)

// job is a live job in the state cache.
type job struct {
	rec                 jobRecord
	rev                 uint64
	recordWritePending  bool               // a write of its record is in flight
	taskRanges          map[int]*taskRange // ranges of owned shards, by their first task
	failureReason       string             // why the job is to fail; empty: it is not
	awaitingBegunRecord bool               // at-most-once: a task waits for the record that tasks may have started
	ended               bool               // it is done, cancelled or failed, and not in the cache any more
	endedAfterMS        int64              // once it has ended: monotonic time before which it had not
}

// attemptsByZone returns the numbers of the job's live attempts by zone, over all of its ranges in owned
// shards. For a job with a zone constraint these are all of its ranges. The caller must not modify the map.
func (j *job) attemptsByZone() map[string]int {
	sum := map[string]int{}
	for _, tr := range j.taskRanges {
		if len(j.taskRanges) == 1 {
			return tr.attemptsByZone
		}
		for zone, n := range tr.attemptsByZone {
			sum[zone] += n
		}
	}
	return sum
}

// hasBegun reports whether a task of the job runs or is done: in this member's shards, or in a range that
// the record does not list any more because it is done.
func (j *job) hasBegun() bool {
	for _, tr := range j.taskRanges {
		if tr.hasStarted() {
			return true
		}
	}
	return j.rec.unfinishedTasks() < j.rec.Job.Tasks
}

// applyJobRecord applies a change of a live job's stored record. If the record cannot be decoded,
// it returns the decoder's error and changes nothing.
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

// taskCounts returns the numbers of running and of done tasks of each live job in a shard.
func (sm *shardManager) taskCounts(s *shard) map[string]TaskCounts {
	byJob := map[string]TaskCounts{}
	for _, tr := range s.taskRanges {
		if tr.runningCount == 0 && tr.doneCount == 0 {
			continue
		}
		id := tr.job.rec.Job.ID
		counts := byJob[id]
		counts.Running += tr.runningCount
		counts.Done += tr.doneCount
		byJob[id] = counts
	}
	return byJob
}

// taskRange is a range of a job's tasks that an owned shard runs. Task indexes are relative to the
// first task of the range. A range belongs to one claim of the shard; a later claim creates a new
// one.
type taskRange struct {
	job       *job
	bounds    Range
	shardName string
	claim     *shard

	// recovered is set if an earlier claim may have run the range, so its tasks may still run on any
	// machine that has not sent a heartbeat under our token.
	recovered bool
	admitted  bool // by the last plan
	moving    bool // a move of its tail to a peer is in flight

	taskProgress
	taskAssignments
	taskErrors
	taskStops
	gangStart

	writing     bool  // a write of the job's record for this range is in flight
	nextWriteAt int64 // monotonic milliseconds; no such write before
}

// taskProgress is which tasks are done, in memory and in the state service.
type taskProgress struct {
	done        bitset // done tasks as known to this member
	doneCount   int
	storedDone  bitset // done tasks according to the state service
	progressKey string // key of the progress record; empty: not computed
	dirty       bool   // done differs from storedDone
}

func (p *taskProgress) markDone(i int) {
	if p.done.has(i) {
		return
	}
	p.done.set(i)
	p.doneCount++
}

// unmarkDone clears a task's done state, both the current one and the one that the state service is
// known to have.
func (p *taskProgress) unmarkDone(i int) {
	if p.done.has(i) {
		p.done.clear(i)
		p.doneCount--
	}
	p.storedDone.clear(i)
}

// taskAssignments is which tasks have an attempt.
type taskAssignments struct {
	assigned       bitset // tasks with an attempt that runs or is not known to have ended
	assignedCount  int
	searchFrom     int            // all lower tasks are done or assigned
	runningCount   int            // running attempts
	attemptsByZone map[string]int // live attempts
}

func (ta *taskAssignments) assign(i int) {
	if ta.assigned.has(i) {
		return
	}
	ta.assigned.set(i)
	ta.assignedCount++
}

func (ta *taskAssignments) unassign(i int) {
	if !ta.assigned.has(i) {
		return
	}
	ta.assigned.clear(i)
	ta.assignedCount--
	ta.searchFrom = min(ta.searchFrom, i)
}

// taskErrors is the errors of a range's tasks and the back-off after them.
type taskErrors struct {
	retryAt         int64 // monotonic milliseconds; no start before
	errors          int
	errorsByMachine map[string]int
	errorsByTask    map[int]int // only for jobs that limit them
}

// taskStops is what this scheduler records, by task, about the stops that it sent.
type taskStops struct {
	reclaimedFor   map[int]string // team for whose guarantee the task was last stopped
	checkpointedMS map[int]int64  // runtime that the task's checkpoints preserve
}

// gangStart is the last common start of all tasks of a gang.
type gangStart struct {
	gangStartedAt  int64  // monotonic milliseconds
	gangAttempt    uint64 // attempt ID that all its tasks share; 0: none
	gangStartsSent bitset // tasks whose start was sent with this attempt ID
}

// jobWriteRetryMS is how long a range waits after a failed write of its job's record.
const jobWriteRetryMS = 200

// newTaskRange returns a range of a job, none of whose tasks is known to run or to be done.
func newTaskRange(j *job, bounds Range, claim *shard) *taskRange {
	n := bounds.Hi - bounds.Lo
	return &taskRange{
		job:             j,
		bounds:          bounds,
		shardName:       bounds.Shard,
		claim:           claim,
		taskProgress:    taskProgress{done: newBitset(n), storedDone: newBitset(n)},
		taskAssignments: taskAssignments{assigned: newBitset(n), attemptsByZone: map[string]int{}},
	}
}

func (tr *taskRange) size() int { return tr.bounds.Hi - tr.bounds.Lo }

func (tr *taskRange) pending() int { return tr.size() - tr.doneCount - tr.assignedCount }

// isDone reports whether all tasks of the range are done.
func (tr *taskRange) isDone() bool { return tr.doneCount == tr.size() }

// hasStarted reports whether a task of the range is assigned or done.
func (tr *taskRange) hasStarted() bool { return tr.assignedCount > 0 || tr.doneCount > 0 }

// nextTask returns the lowest task that is neither done nor assigned, or -1. All tasks below
// searchFrom are done or assigned.
func (tr *taskRange) nextTask() int {
	for ; tr.searchFrom < tr.size(); tr.searchFrom++ {
		if !tr.done.has(tr.searchFrom) && !tr.assigned.has(tr.searchFrom) {
			return tr.searchFrom
		}
	}
	return -1
}

// shrinkTo reduces a range to the part that its shard keeps. While the move of the other part was
// in flight, a machine that was considered lost may have reported a result of it. When such a
// result stayed in the count, more tasks were done than the range has, and the job never ended. The
// peer runs that task once more, or receives the same result.
func (tr *taskRange) shrinkTo(kept Range) {
	for i := kept.Hi - kept.Lo; i < tr.size(); i++ {
		tr.unmarkDone(i)
	}
	tr.bounds = kept
}

// upsertJob adds a live job's record to the cache, or updates it.
func (sm *shardManager) upsertJob(id string, rec jobRecord, rev uint64) {
	j := sm.cache.jobs[id]
	if j == nil {
		j = &job{taskRanges: map[int]*taskRange{}}
		sm.cache.jobs[id] = j
	}
	j.rec, j.rev = rec, rev
	sm.quotas.guaranteeStatus.valid = false
	sm.syncTaskRanges(j)
}

// syncTaskRanges updates a job's task ranges to the ranges of its record whose shards this member owns.
func (sm *shardManager) syncTaskRanges(j *job) {
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
			// A range of an ended claim must not be reused for this claim. When a shard was handed
			// back and one of its ranges then moved to a shard of this member, the reused range was
			// run by no member. A range that moved from another owned shard leaves that shard's list.
			if tr != nil {
				sm.dropTaskRange(tr)
			}
			s.addTaskRange(newTaskRange(j, r, s))
			continue
		}
		if r.Hi != tr.bounds.Hi {
			tr.shrinkTo(r) // the tail was moved to a peer; none of its tasks was started
		}
	}
	for lo, tr := range j.taskRanges {
		if !keep[lo] {
			sm.dropTaskRange(tr)
			delete(j.taskRanges, lo)
		}
	}
}

// addTaskRange adds a new range to its job and its shard, and expedites the shard's next plan.
//
// Invariant: a range that an earlier claim of the shard may have run is recovered, and has its stored
// progress. A shard becomes ready only when the cache includes the claim's revision, so a range that is
// added later was assigned to the shard after the claim. One that is added earlier may be older than
// the claim, also if the cache lagged behind and contained its job only after the claim.
func (s *shard) addTaskRange(tr *taskRange) {
	if !s.ready {
		tr.recovered = true
		tr.restoreDone(s.restoredProgress[tr.name()])
	}
	tr.job.taskRanges[tr.bounds.Lo] = tr
	pos, _ := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare)
	s.taskRanges = slices.Insert(s.taskRanges, pos, tr)
	s.planExpedited = true
}

// dropTaskRange removes a range from its shard's list. Invariant: the list of a shard contains only ranges
// that the job's record assigns to the shard, so a shard decides for no task of another one.
func (sm *shardManager) dropTaskRange(tr *taskRange) {
	s := tr.claim
	s.dirty = true
	if tr.doneCount == 0 {
		sm.agents.discountMachineFailures(tr)
	}
	hasOwnRecord := strings.HasSuffix(tr.progressKey, tr.name())
	if record := s.progressRecords[tr.progressKey]; record != nil && record.rev != 0 && hasOwnRecord {
		record.dirty = true // the progress record is removed with the range
	}
	if pos, ok := slices.BinarySearchFunc(s.taskRanges, tr, (*taskRange).compare); ok && s.taskRanges[pos] == tr {
		s.taskRanges = slices.Delete(s.taskRanges, pos, pos+1)
	}
}

// compare orders ranges by job ID and first task.
func (tr *taskRange) compare(other *taskRange) int {
	if c := strings.Compare(tr.job.rec.Job.ID, other.job.rec.Job.ID); c != 0 {
		return c
	}
	return tr.bounds.Lo - other.bounds.Lo
}

// deleteJob handles the removal of a job's live record: the job is done or cancelled. Tasks that
// still run are stopped at the next heartbeat of their machine.
func (sm *shardManager) deleteJob(id string) {
	j := sm.cache.jobs[id]
	if j == nil {
		return
	}
	delete(sm.cache.jobs, id)
	j.ended, j.endedAfterMS = true, sm.cache.completeUntilMS
	sm.quotas.guaranteeStatus.valid = false
	for _, tr := range j.taskRanges {
		sm.dropTaskRange(tr)
	}
	clear(j.taskRanges)
}

// taskRangeOf returns the owned range that a task belongs to and the task's index in it, or nil if
// there is no such range.
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

// name returns the range's key in its progress record.
func (tr *taskRange) name() string { return TaskName(tr.job.rec.Job.ID, tr.bounds.Lo) }

// finishTaskRange records in the state service that all tasks of a range are done. For the last
// range of a job, one transaction replaces the job's live record by its terminal one.
func (sm *shardManager) finishTaskRange(s *shard, tr *taskRange) {
	rec := tr.job.rec
	remaining := make([]Range, 0, len(rec.Ranges))
	for _, r := range rec.Ranges {
		if r.Lo != tr.bounds.Lo {
			remaining = append(remaining, r)
		}
	}
	if len(remaining) == 0 {
		sm.finishJob(s, tr)
		return
	}
	rec.Ranges = remaining
	sm.writeJob(s, tr, []Change{{Key: jobKey(rec.Job.ID), Value: mustEncode(rec)}}, nil, func() {})
}

// finishJob replaces the live record of a job whose tasks are all done by its terminal one.
func (sm *shardManager) finishJob(s *shard, tr *taskRange) {
	j := tr.job
	final := terminalRecord{State: Done, Tasks: j.rec.Job.Tasks, WorkflowRun: j.rec.Job.WorkflowRun}
	sm.writeTerminalRecord(s, tr, final, func() {
		sm.Counters.Finished++
		deadlineS := j.rec.Job.DeadlineS
		if deadlineS > 0 && sm.now.WallMS > j.rec.AcceptedAtMS+secondsToMS(deadlineS) {
			sm.rolloutCounts.MissedDeadlines++
		}
	})
}

// writeTerminalRecord ends a job: one transaction replaces the live record by the terminal one,
// which must not exist yet. The terminal record is visible to users before onSuccess runs.
func (sm *shardManager) writeTerminalRecord(s *shard, tr *taskRange, final terminalRecord, onSuccess func()) {
	id := tr.job.rec.Job.ID
	changes := []Change{{Key: jobKey(id)}, {Key: terminalKey(id), Value: mustEncode(final)}}
	sm.writeJob(s, tr, changes, []Precondition{{terminalKey(id), 0}}, func() {
		sm.requests.cacheTerminalState(id, final)
		onSuccess()
	})
}

// writeJob changes a job's records under its shard's claim. It assumes nothing about a write whose
// outcome is not OK: it reads the record again if the record may have changed, and a later tick
// repeats the write if it is still due.
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
		tr.nextWriteAt = sm.now.MonotonicMS + jobWriteRetryMS
		if r.Outcome != Unknown && r.Outcome != Conflict {
			return
		}
		tr.writing, j.recordWritePending = true, true
		sm.store.rereadKey(jobKey(j.rec.Job.ID), func(StoreResult) {
			tr.writing, j.recordWritePending = false, false
		})
	})
}
