package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/rollout"
)

// Draining and replacing machines in steps: packages rollout (the plan) and disruption
// (what it may cost teams) decide; this file gives them what they look at, and keeps
// their records. The member that leads the fleet owns the plan's record; each holder
// empties its own machines, and owns the record of what it stopped for that.

const (
	rolloutKey       = "l/r/plan"
	disruptionPrefix = "l/d/"
)

type countsSample struct {
	at     int64
	counts rollout.HealthCounts
}

// maxCountsSamples and countsSampleIntervalMS bound what is remembered of what is usual: five minutes.
const (
	maxCountsSamples       = 30
	countsSampleIntervalMS = 10_000
)

// shardDisruption is a shard's side: its account, what it would stop, and what it lost.
type shardDisruption struct {
	account    *disruption.Account
	record     recordWriteState
	demands    map[string]disruption.Demand
	nextTickAt int64
}

func (rc *rolloutController) rolloutMachine(mc *machine) rollout.Machine {
	return rollout.Machine{
		ID:                 mc.id,
		Type:               mc.rec.Type,
		Zone:               mc.rec.Zone,
		Shard:              mc.rec.Shard,
		Spot:               mc.rec.Spot,
		Up:                 mc.Up,
		ProvisionedAt:      mc.rec.ProvisionedAtMS,
		ProvisionedForPlan: mc.rec.ReplacementPlan,
	}
}

// applyRolloutRecord takes a record of a plan or of what a shard stopped.
func (rc *rolloutController) applyRolloutRecord(kv KeyValue) error {
	if kv.Key == rolloutKey {
		if kv.Value == nil {
			rc.rec = nil
			return nil
		}
		rec := &rollout.Record{}
		if err := json.Unmarshal(kv.Value, rec); err != nil {
			return err
		}
		rc.rec = rec
		rc.shards.markAllShardsDirty()
		return nil
	}
	shard := kv.Key[len(disruptionPrefix):]
	var rec disruption.Record
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
	}
	rc.disruptionRecords[shard] = rec
	return nil
}

// isDrainedByRollout tells whether the plan has a machine emptied now.
func (rc *rolloutController) isDrainedByRollout(mc *machine) bool {
	if rc.rec == nil || !rc.params.Rollout {
		return false
	}
	p := rc.rolloutMachine(mc)
	return rc.rec.Covers(&p)
}

// tickRollout leads the plan on: once or twice a second, by one write for all that
// changed.
func (rc *rolloutController) tickRollout() {
	r, now := rc, rc.now.MonotonicMS
	if !rc.params.Rollout || now < r.nextTickAt {
		return
	}
	r.nextTickAt = now + 500
	counts := rc.clusterCounts()
	if n := len(r.countsHistory); n == 0 || now-r.countsHistory[n-1].at >= countsSampleIntervalMS {
		r.countsHistory = append(r.countsHistory[max(0, n-maxCountsSamples+1):], countsSample{now, counts})
	}
	if r.rec == nil || r.rec.State.IsTerminal() || r.writing {
		return
	}
	if r.ledger == nil || r.ledgerPlanID != r.rec.Plan.ID {
		r.ledger, r.ledgerPlanID = disruption.NewLedger(r.rec.Issued), r.rec.Plan.ID
	}
	rec := *r.rec
	changed, toProvision := rec.Advance(rc.now.WallMS, rc.rolloutMachines(), counts, rc.hourlyPrice)
	if rec.State == rollout.Running && rc.issueDisruptionTokens() {
		changed = true
	}
	if changed {
		rec.Issued = r.ledger.Issued()
		rc.writeRolloutRecord(&rec, []Precondition{{leaderKey, rc.scaler.leaderRev}}, func(StoreResult) {})
	}
	if len(toProvision) > 0 && !r.provisioning && now >= r.nextProvisionAt {
		r.nextProvisionAt = now + 1000
		rc.provisionReplacements(rec.Plan.ID, toProvision)
	}
}

// rolloutMachines lists the machines that are recorded, in order. What is asked back is on
// its way and counts as there until the cloud has said so.
func (rc *rolloutController) rolloutMachines() []rollout.Machine {
	rc.machines = rc.machines[:0]
	for _, mc := range rc.registry.machines {
		rc.machines = append(rc.machines, rc.rolloutMachine(mc))
	}
	slices.SortFunc(rc.machines, func(a, b rollout.Machine) int { return strings.Compare(a.ID, b.ID) })
	return rc.machines
}

func (rc *rolloutController) hourlyPrice(k rollout.InstanceOffering) float64 {
	t := rc.cache.machineTypes[k.Type]
	switch {
	case t == nil:
		return 0
	case k.Spot:
		return t.SpotPrice
	}
	return t.Price
}

// clusterCounts is what gates count, over all members that are heard.
func (rc *rolloutController) clusterCounts() (sum rollout.HealthCounts) {
	rc.peers.forEachFreshMessage(func(_ string, msg *PeerMessage) { sum = sum.Add(msg.RolloutCounts) })
	return sum
}

// baselineRate is what gates count in an ordinary second.
func (rc *rolloutController) baselineRate() rollout.HealthRates {
	history := rc.countsHistory
	if len(history) == 0 {
		return rollout.HealthRates{}
	}
	return rc.clusterCounts().Since(history[0].counts).RatesOver(rc.now.MonotonicMS - history[0].at)
}

// provisionReplacements asks for machines that a plan replaces others by, one call for all
// of a kind and zone.
func (rc *rolloutController) provisionReplacements(plan string, toProvision map[rollout.InstanceOffering]int) {
	requests := map[offering]map[string]int{}
	var order []offering
	for k, n := range toProvision {
		o := offering{k.Type, k.Zone, k.Spot}
		if rc.cache.machineTypes[k.Type] == nil || rc.now.MonotonicMS < rc.scaler.unavailableUntil[o] {
			continue
		}
		if requests[o] == nil {
			requests[o] = map[string]int{}
			order = append(order, o)
		}
		requests[o][k.Shard] += n
	}
	slices.SortFunc(order, offering.compare)
	pending := len(order)
	rc.provisioning = pending > 0
	for _, o := range order {
		rc.scaler.provision(o, requests[o], plan, func() {
			if pending--; pending == 0 {
				rc.provisioning = false
			}
		})
	}
}

// writeRolloutRecord changes the plan's record, under a condition beside its revision.
func (rc *rolloutController) writeRolloutRecord(rec *rollout.Record, preconditions []Precondition, onResult func(StoreResult)) {
	rc.writing = true
	rc.store.sendTxn(
		UrgencyUser,
		append(preconditions, Precondition{rolloutKey, rc.cache.keyRevisions[rolloutKey]}),
		[]Change{{Key: rolloutKey, Value: mustEncode(rec)}},
		func(res StoreResult) {
			if res.Outcome != Unknown && res.Outcome != Conflict {
				rc.writing = false
				onResult(res)
				return
			}
			// Tokens that the record would have issued count as issued, in the ledger
			// of this leader and, if it was written, in the record.
			rc.store.rereadKey(rolloutKey, func(StoreResult) {
				rc.writing = false
				onResult(res)
			})
		},
	)
}

// eviction is a task that would be stopped, with what that loses.
type eviction struct {
	attempt  *attempt
	lostWork float64 // work, in processor milliseconds
}

// RolloutStatus is a plan as the administration API shows it.
type RolloutStatus struct {
	*rollout.Record
	Remaining        int            `json:"left"`              // machines of the plan that are there still
	Emptying         int            `json:"emptying"`          // of them, being emptied now
	Booting          int            `json:"booting"`           // replacements that are not up yet
	Disrupted        map[string]int `json:"down"`              // by team: tasks stopped that do not run again yet
	WaitingForBudget map[string]int `json:"waiting,omitempty"` // by team: tasks that wait for its budget
}

// Rollout tells how the plan stands, nil without one.
func (rc *rolloutController) status(now Now) *RolloutStatus {
	rc.now = now
	rec := rc.rec
	if rec == nil {
		return nil
	}
	status := &RolloutStatus{Record: rec, Disrupted: map[string]int{}, WaitingForBudget: map[string]int{}}
	for _, mc := range rc.registry.machines {
		p := rc.rolloutMachine(mc)
		switch {
		case rec.Selects(&p):
			status.Remaining++
			if rec.Covers(&p) {
				status.Emptying++
			}
		case p.ProvisionedForPlan == rec.Plan.ID && !p.Up:
			status.Booting++
		}
	}
	for _, a := range rc.disruptionRecords {
		for _, t := range a.Reserved {
			status.Disrupted[t.Team]++
		}
	}
	rc.peers.forEachFreshMessage(func(_ string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			for team, d := range msg.OwnedShards[i].DisruptionDemands {
				if d.Requested > 0 {
					status.WaitingForBudget[team] += d.Requested
				}
			}
		}
	})
	return status
}

// RolloutPreview is what a plan would do, by what is there now.
type RolloutPreview struct {
	Machines         int            `json:"machines"`
	Kinds            map[string]int `json:"kinds"` // by type, zone and kind
	Tasks            map[string]int `json:"tasks"` // by team: running on this member's machines of them
	Steps            int            `json:"steps"`
	SurgeCostPerHour float64        `json:"beyond"`  // money an hour while all of the surge is there
	MaxDisrupted     map[string]int `json:"budgets"` // by team: tasks that may be down at once
	InvalidReason    string         `json:"wrong,omitempty"`
}

// PreviewRollout tells what a plan would do, and stores nothing.
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
		target := rc.rolloutMachine(mc)
		if !rec.Selects(&target) {
			continue
		}
		preview.Kinds[planner.InstanceOffering{Type: target.Type, Zone: target.Zone, Spot: target.Spot}.Key()]++
		zones[target.Zone]++
		highestPrice = max(
			highestPrice,
			rc.hourlyPrice(rollout.InstanceOffering{Type: target.Type, Zone: target.Zone, Spot: target.Spot}),
		)
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

// ApplyRollout stores a plan, for the member that leads the fleet to carry out;
// reply names the answer among the users'.
func (rc *rolloutController) submitPlan(now Now, replyID uint64, p rollout.Plan) {
	rc.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		if current := rc.rec; current != nil && !current.State.IsTerminal() {
			return nil, 409, fmt.Errorf("plan %s is %s: abort it first", current.Plan.ID, current.State)
		} else if current != nil && current.Plan.ID == p.ID {
			return nil, 409, &rollout.FieldError{Field: "id", Text: "id: plan " + p.ID + " has been already"}
		}
		if p.Type != "" && rc.cache.machineTypes[p.Type] == nil {
			return nil, 400, &rollout.FieldError{Field: "type", Text: "type: no machine type " + p.Type}
		}
		rec, err := rollout.NewRecord(p, rc.now.WallMS, rc.rolloutMachines(), rc.baselineRate())
		if rec != nil && rc.rec != nil {
			rec.Issued = rc.rec.Issued // tokens are the shards', whatever the plan
		}
		return rec, 400, err
	})
}

// CommandRollout carries an operator's command to the plan out.
func (rc *rolloutController) command(now Now, replyID uint64, command rollout.Command) {
	rc.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		if rc.rec == nil {
			return nil, 404, errors.New("there is no plan")
		}
		rec := *rc.rec
		err := rec.ApplyCommand(command, rc.now.WallMS, rc.clusterCounts())
		return &rec, 409, err
	})
}

func (rc *rolloutController) changeRollout(
	now Now,
	replyID uint64,
	change func() (rec *rollout.Record, failureStatus int, err error),
) {
	rc.now = now
	rc.requests.pendingRequests[replyID] = &pendingRequest{
		replyID:        replyID,
		receivedAtMS:   now.MonotonicMS,
		pendingLocally: true,
		relayed:        true,
	} // this member's to answer
	if !rc.params.Rollout {
		rc.requests.completeRequest(replyID, UserResponse{Status: 404, Error: "rollouts are switched off (features: [rollout])"})
		return
	}
	if !rc.store.storeAccess.IsSynced() || rc.writing {
		rc.requests.completeRequest(replyID, unavailableResponse("", "state service unavailable"))
		return
	}
	rec, failureStatus, err := change()
	if err != nil {
		rc.requests.completeRequest(replyID, UserResponse{Status: failureStatus, Error: err.Error()})
		return
	}
	rc.log(Info, "rollout", "plan", rec.Plan.ID, "state", rec.State, "machines", rec.TotalMachines)
	rc.writeRolloutRecord(rec, nil, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			rc.requests.completeRequest(replyID, UserResponse{Status: 200})
		case Conflict:
			rc.requests.completeRequest(replyID, UserResponse{Status: 409, Error: "the plan moved on meanwhile; try again"})
		default:
			rc.requests.completeRequest(replyID, unavailableResponse("", "state service unavailable"))
		}
	})
}

// isRolloutReplacement tells whether a machine was rented for a plan that goes on: it is idle
// until those that it replaces are emptied.
func (rc *rolloutController) isRolloutReplacement(mc *machine) bool {
	record := rc.rec
	return record != nil && rc.params.Rollout && !record.State.IsTerminal() && mc.rec.ReplacementPlan == record.Plan.ID
}
