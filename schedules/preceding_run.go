package schedules

import (
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// checkPrecedingRun reports whether the state of the preceding run allows deciding the next moment. If the state
// is unknown, it queries the run (or cancels it, for BusyReplace) and returns false. The response queues the
// entry again.
func (h *Host) checkPrecedingRun(e *entry) bool {
	preceding, policy := e.progress.Last, e.current.Spec.Busy
	switch {
	case preceding == "" || policy == BusyAllow || e.precedingRun == preceding:
		return true
	case policy == BusyForbid && e.precedingRun != "":
		return true
	}
	e.inFlight = true
	replace := policy == BusyReplace
	if strings.HasPrefix(preceding, workflowRunPrefix) {
		h.SendRequest(WorkflowRequest{Run: preceding, Abort: replace}, func(r WorkflowResult) {
			h.onPrecedingRun(e, preceding, r.Status, r.IsOver)
		})
		return false
	}
	kind := scheduler.QueryJob
	if replace {
		kind = scheduler.CancelJob
	}
	h.SendCore(scheduler.UserRequest{Kind: kind, ID: preceding}, func(r scheduler.UserResponse) {
		h.onPrecedingRun(e, preceding, r.Status, r.State.IsTerminal())
	})
	return false
}

// onPrecedingRun handles the response about the preceding run.
func (h *Host) onPrecedingRun(e *entry, preceding string, status int, over bool) {
	e.inFlight = false
	if !h.owns(e) {
		return
	}
	neverSubmitted := status == 404 && !e.isPending(preceding)
	switch {
	case status == 200 && over, neverSubmitted:
		e.precedingRun = preceding
	case status == 200 && e.current.Spec.Busy == BusyForbid:
		e.precedingRun = precedingRunActive
	default: // the run has not ended, or its state is unknown
		h.enqueueAt(e, h.Now.WallMS+retryDelayMS)
		return
	}
	h.enqueueAt(e, min(e.dueAt, h.minMemberWallMS()))
}
