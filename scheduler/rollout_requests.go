package scheduler

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/rollout"
)

// Statuses of responses to operators, as in HTTP.
const (
	statusOK         = 200
	statusBadRequest = 400
	statusNotFound   = 404
	statusConflict   = 409
)

var errNoRollout = errors.New("there is no plan")

// RolloutStatus is a plan as the administration API shows it.
type RolloutStatus struct {
	*rollout.Record
	Remaining        int            `json:"left"`              // machines of the plan that are there still
	Emptying         int            `json:"emptying"`          // of them, being drained now
	Booting          int            `json:"booting"`           // replacements that are not up yet
	Disrupted        map[string]int `json:"down"`              // by team: tasks stopped that do not run again yet
	WaitingForBudget map[string]int `json:"waiting,omitempty"` // by team: tasks that wait for its budget
}

// status is the plan as it stands, nil without one.
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
			status.Emptying++
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

// addWaiting adds what a member's shards wait for.
func (status *RolloutStatus) addWaiting(msg *PeerMessage) {
	for i := range msg.OwnedShards {
		for team, demand := range msg.OwnedShards[i].DisruptionDemands {
			if demand.Requested > 0 {
				status.WaitingForBudget[team] += demand.Requested
			}
		}
	}
}

// RolloutPreview is what a plan would do, by what is there now.
type RolloutPreview struct {
	Machines         int            `json:"machines"`
	Kinds            map[string]int `json:"kinds"` // machines by type, zone and spot or on-demand
	Tasks            map[string]int `json:"tasks"` // by team: running on this member's machines of them
	Steps            int            `json:"steps"`
	SurgeCostPerHour float64        `json:"beyond"`  // money an hour while all of the surge is there
	MaxDisrupted     map[string]int `json:"budgets"` // by team: tasks that may be down at once
	InvalidReason    string         `json:"wrong,omitempty"`
}

// preview is what a plan would do. It stores nothing.
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

// rolloutChange makes the plan's next record, or fails with the status for the operator.
type rolloutChange func() (rec *rollout.Record, failureStatus int, err error)

// submitPlan stores a new plan, unless another one goes on.
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
			rec.Issued = current.Issued // tokens are the shards', whatever the plan
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

// changeRollout stores what change makes of the plan, and responds under replyID. The
// request is not relayed: this member responds itself.
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
