package scheduler

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/rollout"
)

// HTTP status codes of responses to operators.
const (
	statusOK         = 200
	statusBadRequest = 400
	statusNotFound   = 404
	statusConflict   = 409
)

var errNoRollout = errors.New("there is no plan")

// RolloutStatus is the state of a plan as returned by the administration API.
type RolloutStatus struct {
	*rollout.Record
	Remaining        int            `json:"left"`              // machines of the plan that still exist
	Draining         int            `json:"emptying"`          // machines of the plan that are being drained
	Booting          int            `json:"booting"`           // replacements that are still booting
	Disrupted        map[string]int `json:"down"`              // by team: stopped tasks that have not restarted yet
	WaitingForBudget map[string]int `json:"waiting,omitempty"` // by team: tasks waiting for a disruption budget
}

// status returns the current state of the plan, or nil if there is none.
func (rc *rolloutController) status(now Now) *RolloutStatus {
	rc.now = now
	rec := rc.rec
	if rec == nil {
		return nil
	}
	status := &RolloutStatus{Record: rec, Disrupted: map[string]int{}, WaitingForBudget: map[string]int{}}
	for _, mc := range rc.registry.machines {
		p := rolloutMachine(mc)
		switch {
		case rec.Covers(&p):
			status.Remaining++
			status.Draining++
		case rec.Selects(&p):
			status.Remaining++
		case p.ProvisionedForPlan == rec.Plan.ID && !p.Up:
			status.Booting++
		}
	}
	for _, record := range rc.disruptionRecords {
		for _, stopped := range record.Reserved {
			status.Disrupted[stopped.Team]++
		}
	}
	rc.peers.forEachFreshMessage(func(_ string, msg *PeerMessage) { status.addWaiting(msg) })
	return status
}

// addWaiting adds the tasks of a member's shards that wait for a disruption budget.
func (status *RolloutStatus) addWaiting(msg *PeerMessage) {
	for i := range msg.OwnedShards {
		for team, demand := range msg.OwnedShards[i].DisruptionDemands {
			if demand.Requested > 0 {
				status.WaitingForBudget[team] += demand.Requested
			}
		}
	}
}

// RolloutPreview is the expected effect of a plan on the current cluster.
type RolloutPreview struct {
	Machines         int            `json:"machines"`
	Kinds            map[string]int `json:"kinds"` // machines by type, zone and spot or on-demand
	Tasks            map[string]int `json:"tasks"` // by team: running tasks on those machines, as known to this member
	Steps            int            `json:"steps"`
	SurgeCostPerHour float64        `json:"beyond"`  // additional price per hour of a full surge
	MaxDisrupted     map[string]int `json:"budgets"` // by team: tasks that may be stopped at the same time
	InvalidReason    string         `json:"wrong,omitempty"`
}

// preview returns the expected effect of a plan. It stores nothing.
func (rc *rolloutController) preview(now Now, p rollout.Plan) RolloutPreview {
	rc.now = now
	preview := RolloutPreview{Kinds: map[string]int{}, Tasks: map[string]int{}, MaxDisrupted: map[string]int{}}
	rec, err := rollout.NewRecord(p, rc.now.WallMS, rc.rolloutMachines(), rollout.HealthRates{})
	if err != nil {
		preview.InvalidReason = err.Error()
		return preview
	}
	preview.Machines = rec.TotalMachines
	var highestPrice float64
	zones := map[string]int{}
	for _, mc := range rc.registry.machines {
		target := rolloutMachine(mc)
		if !rec.Selects(&target) {
			continue
		}
		o := rollout.InstanceOffering{Type: target.Type, Zone: target.Zone, Spot: target.Spot}
		preview.Kinds[planner.InstanceOffering{Type: o.Type, Zone: o.Zone, Spot: o.Spot}.Key()]++
		zones[o.Zone]++
		highestPrice = max(highestPrice, rc.hourlyPrice(o))
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				preview.Tasks[a.job.Team]++
			}
		}
	}
	for team, n := range preview.Tasks {
		preview.MaxDisrupted[team] = rc.disruptionBudget(team).MaxDown(n)
	}
	preview.Steps = rec.StepCount(zones)
	preview.SurgeCostPerHour = highestPrice * float64(min(p.Surge, rec.TotalMachines))
	return preview
}

// rolloutChange returns the plan's next record, or an error and the status of the response.
type rolloutChange func() (rec *rollout.Record, failureStatus int, err error)

// submitPlan stores a new plan, unless another plan is still in progress.
func (rc *rolloutController) submitPlan(now Now, replyID uint64, p rollout.Plan) {
	rc.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		current := rc.rec
		if current != nil && !current.State.IsTerminal() {
			err := fmt.Errorf("plan %s is %s: abort it first", current.Plan.ID, current.State)
			return nil, statusConflict, err
		}
		if current != nil && current.Plan.ID == p.ID {
			err := &rollout.FieldError{Field: "id", Text: "id: plan " + p.ID + " has been already"}
			return nil, statusConflict, err
		}
		if p.Type != "" && rc.cache.machineTypes[p.Type] == nil {
			err := &rollout.FieldError{Field: "type", Text: "type: no machine type " + p.Type}
			return nil, statusBadRequest, err
		}
		rec, err := rollout.NewRecord(p, rc.now.WallMS, rc.rolloutMachines(), rc.baselineRate())
		if rec != nil && current != nil {
			rec.Issued = current.Issued // issued tokens stay with the shards across plans
		}
		return rec, statusBadRequest, err
	})
}

// command applies an operator's command to the plan.
func (rc *rolloutController) command(now Now, replyID uint64, command rollout.Command) {
	rc.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		if rc.rec == nil {
			return nil, statusNotFound, errNoRollout
		}
		rec := *rc.rec
		err := rec.ApplyCommand(command, rc.now.WallMS, rc.clusterCounts())
		return &rec, statusConflict, err
	})
}

// changeRollout stores the record that change returns, and responds under replyID. The request is
// not relayed; this member responds itself.
func (rc *rolloutController) changeRollout(now Now, replyID uint64, change rolloutChange) {
	rc.now = now
	rc.requests.pendingRequests[replyID] = &pendingRequest{
		replyID:        replyID,
		receivedAtMS:   now.MonotonicMS,
		pendingLocally: true,
		relayed:        true,
	}
	respond := func(r UserResponse) { rc.requests.completeRequest(replyID, r) }
	if !rc.params.Rollout {
		respond(UserResponse{Status: statusNotFound, Error: "rollouts are switched off (features: [rollout])"})
		return
	}
	if !rc.store.storeAccess.IsSynced() || rc.writing {
		respond(unavailableResponse("", "state service unavailable"))
		return
	}
	rec, failureStatus, err := change()
	if err != nil {
		respond(UserResponse{Status: failureStatus, Error: err.Error()})
		return
	}
	rc.log(Info, "rollout changed", "plan", rec.Plan.ID, "state", rec.State, "machines", rec.TotalMachines)
	rc.writeRolloutRecord(rec, nil, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			respond(UserResponse{Status: statusOK})
		case Conflict:
			respond(UserResponse{Status: statusConflict, Error: "the plan moved on meanwhile; try again"})
		default:
			respond(unavailableResponse("", "state service unavailable"))
		}
	})
}
