package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// adminTimeout bounds a request of an operator.
const adminTimeout = 5 * time.Second

// readCore reads from the core on the loop that owns it. After the loop has
// ended, it returns the zero value.
func readCore[T any](n *Node, read func(scheduler.Now) T) T {
	ch := make(chan T, 1)
	n.enqueueResponse(func(now scheduler.Now) { ch <- read(now) })
	select {
	case v := <-ch:
		return v
	case <-n.stopped:
		var none T
		return none
	}
}

// submitAdminRequest starts an operator's request on the loop and waits for the
// response. Unlike a user's request, it is never refused because the queue is
// full.
func (n *Node) submitAdminRequest(submit func(now scheduler.Now, id uint64)) (scheduler.UserResponse, bool) {
	e := newExchange(n.pending.users)
	n.enqueueUserRequest(func(now scheduler.Now) {
		id := n.pending.nextID()
		e.register(id)
		submit(now, id)
	})
	return e.wait(adminTimeout, n.stopped, n.enqueueUserRequest)
}

// Status returns the state of the controller.
func (n *Node) Status() scheduler.Status { return readCore(n, n.core.Status) }

// Settings returns the operators' settings.
func (n *Node) Settings() scheduler.Settings {
	return readCore(n, func(scheduler.Now) scheduler.Settings { return n.core.Settings() })
}

// ChangeSettings stores new settings. It returns false if the core does not
// respond in time.
func (n *Node) ChangeSettings(s scheduler.Settings) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.ChangeSettings(now, id, s) })
}

// Rollout returns the state of the plan that drains or replaces machines, or nil
// without a plan.
func (n *Node) Rollout() *scheduler.RolloutStatus { return readCore(n, n.core.Rollout) }

// PreviewRollout returns the effects that a plan would have.
func (n *Node) PreviewRollout(p rollout.Plan) scheduler.RolloutPreview {
	return readCore(n, func(now scheduler.Now) scheduler.RolloutPreview { return n.core.PreviewRollout(now, p) })
}

// ApplyRollout stores a plan. It returns false if the core does not respond in
// time.
func (n *Node) ApplyRollout(p rollout.Plan) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.ApplyRollout(now, id, p) })
}

// CommandRollout pauses, resumes or aborts the plan. It returns false if the core
// does not respond in time.
func (n *Node) CommandRollout(c rollout.Command) (scheduler.UserResponse, bool) {
	return n.submitAdminRequest(func(now scheduler.Now, id uint64) { n.core.CommandRollout(now, id, c) })
}

// Collectors returns the metrics of the process itself.
func (n *Node) Collectors() []prometheus.Collector {
	cs := n.health.collectors()
	for _, limiter := range n.connectionLimiters {
		cs = append(cs, limiter)
	}
	if n.workflows != nil {
		cs = append(cs, n.workflows)
	}
	if n.schedules != nil {
		cs = append(cs, n.schedules)
	}
	return cs
}
