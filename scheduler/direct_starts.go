package scheduler

import "github.com/grebedock/grebedock/reconcile"

// directStarts holds the attempts of a shard whose starts were sent as direct commands under its current fencing
// token, and their clears that wait for a higher one.
//
// The network may deliver a direct command again, at any later time, although the worker has executed and answered it.
// A worker ignores the start of an attempt that it holds, but starts one that it has cleared once more, as long as
// token and incarnation match. Hence the invariant: the clear of an attempt that a direct command started is sent only
// under a higher token than that of the start. The message with the clear raises the worker's token first, so that the
// worker refuses every copy from then on. queueCommand, which all clears pass, enforces it.
//
// Starts in heartbeat responses need no entry, since they are never executed late. Neither do starts of earlier claims,
// whose tokens are lower than this claim's.
type directStarts struct {
	token        uint64                  // token of the starts; under a higher one, the entries have no effect
	attempts     map[attemptKey]struct{} // may be started by a copy while the worker's token is not higher
	waitingSince map[attemptKey]int64    // when a clear was first held back, monotonic ms
	oldestWaitAt int64                   // the least value in waitingSince
	isCrowded    bool                    // a machine with waiting clears reports many attempts
	restarted    map[attemptKey]struct{} // found to be started by a copy, under any token of the claim
}

// Limits on the attempts that wait for their clears on a machine. A heartbeat must not exceed the size of a request
// body; a machine whose heartbeats do is lost at the end of its lease.
const (
	maxHeartbeatBytes       = 64 << 10
	heartbeatHeaderBytes    = 512
	taskStatusBytes         = 100 // maximum size of an attempt in a heartbeat
	maxHeartbeatTasks       = (maxHeartbeatBytes - heartbeatHeaderBytes) / taskStatusBytes
	maxTasksForDirectStarts = maxHeartbeatTasks / 2
	crowdedTasks            = maxTasksForDirectStarts / 2
)

// clearWaitLeases is how long a clear waits before the token is raised for it, as a multiple of a worker's lease.
// Workers report a higher token at once, but at most once per half a lease.
const clearWaitLeases = 1

// advance discards the entries once the shard's token is higher than that of the starts.
func (d *directStarts) advance(token uint64) {
	if token <= d.token && d.attempts != nil {
		return
	}
	*d = directStarts{
		token:        token,
		attempts:     map[attemptKey]struct{}{},
		waitingSince: map[attemptKey]int64{},
		restarted:    d.restarted,
	}
}

// record adds an attempt whose start is sent as a direct command with a token.
func (d *directStarts) record(key attemptKey, token uint64) {
	d.advance(token)
	d.attempts[key] = struct{}{}
}

// recordRestart adds an attempt that a copy of its start command has started again, when this is first found, and
// reports whether it is. The worker reports the attempt until it is cleared. If each report added it, its clear would
// wait for a higher token after every raise.
func (d *directStarts) recordRestart(key attemptKey, token uint64) bool {
	if _, known := d.restarted[key]; known {
		return false
	}
	if d.restarted == nil {
		d.restarted = map[attemptKey]struct{}{}
	}
	d.restarted[key] = struct{}{}
	d.record(key, token)
	return true
}

// permitsClear reports whether an attempt may be cleared by a message with a token.
func (d *directStarts) permitsClear(key attemptKey, token uint64) bool {
	if token > d.token {
		return true
	}
	_, started := d.attempts[key]
	return !started
}

// recordWaitingClear adds a clear that is held back.
func (d *directStarts) recordWaitingClear(key attemptKey, now int64) {
	if _, known := d.waitingSince[key]; known {
		return
	}
	if len(d.waitingSince) == 0 {
		d.oldestWaitAt = now
	}
	d.waitingSince[key] = now
}

// waitingClears returns the number of clears that wait for a token above the given one, and since when the oldest
// waits.
func (d *directStarts) waitingClears(token uint64) (count int, oldestAt int64) {
	if token > d.token {
		return 0, 0
	}
	return len(d.waitingSince), d.oldestWaitAt
}

// isRaiseDue reports whether the shard's token is to be raised for the clears that wait.
func (d *directStarts) isRaiseDue(token uint64, now, maxWaitMS int64) bool {
	count, oldestAt := d.waitingClears(token)
	return count > 0 && (d.isCrowded || now-oldestAt >= maxWaitMS)
}

// tryClear reports whether a clear may be sent to a machine now. Otherwise it is queued again with a later heartbeat,
// since the worker reports the attempt until it is cleared.
func (am *agentManager) tryClear(s *shard, mc *machine, command Command) bool {
	key := attemptKey{command.Task, command.Attempt}
	if !s.directStarts.permitsClear(key, s.token) {
		s.directStarts.recordWaitingClear(key, am.now.MonotonicMS)
		s.directStarts.isCrowded = s.directStarts.isCrowded || mc.heartbeatTasks() >= crowdedTasks
		return false
	}
	return s.reconciler.Pacer.TryClear(am.now.MonotonicMS)
}

// heartbeatTasks is the number of attempts that the machine reports until they are cleared.
func (load *machineLoad) heartbeatTasks() int { return max(load.reportedTasks, len(load.byKey)) }

// isHeartbeatFull reports whether another attempt could make the machine's heartbeats too large.
func (load *machineLoad) isHeartbeatFull() bool { return load.heartbeatTasks() >= maxHeartbeatTasks }

// fitsDirectStarts reports whether a machine's heartbeat has room for its planned starts until their clears are sent.
func (mc *machine) fitsDirectStarts() bool {
	tasks := mc.heartbeatTasks()
	for _, p := range mc.plannedStarts {
		tasks += p.count
	}
	return tasks <= maxTasksForDirectStarts
}

// isClearRaiseDue reports whether a shard's token is to be raised for clears that wait.
func (sm *shardManager) isClearRaiseDue(s *shard) bool {
	maxWaitMS := clearWaitLeases * secondsToMS(sm.params.LeaseS)
	return s.directStarts.isRaiseDue(s.token, sm.now.MonotonicMS, maxWaitMS)
}

// isStartedByCopy reports whether a heartbeat shows that a late copy of a start command has started an attempt again:
// it has ended before, or this claim has started and then forgotten it. a is nil if the attempt is not known.
func (s *shard) isStartedByCopy(a *attempt, status TaskStatus) bool {
	if a != nil {
		return a.exited && status.State != taskExited
	}
	return reconcile.AttemptRevision(status.Attempt) >= s.claimRev
}

// forgetEndedAttempt records that a copy of its start command has started an attempt again. The attempt counts as
// unknown from then on, so that its task is not started elsewhere while it runs.
func (am *agentManager) forgetEndedAttempt(s *shard, mc *machine, a *attempt, status TaskStatus) {
	key := attemptKey{status.Task, status.Attempt}
	if a != nil {
		mc.remove(a)
	}
	if s.directStarts.recordRestart(key, s.token) {
		am.Counters.StartedByCopy++
		am.log(Warn, "attempt started again by a late copy of a command", "task", status.Task, "machine", mc.id,
			"attempt", status.Attempt, "token", s.token, "state", status.State)
	}
}
