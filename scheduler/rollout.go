package scheduler

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
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

// rolloutState is what a member knows and, while it leads, decides of the plan.
type rolloutState struct {
	rec               *rollout.Record
	disruptionRecords map[string]disruption.Record // by shard, as the store has them
	ledger            *disruption.Ledger           // while it leads
	ledgerPlanID      string                       // the plan that the ledger is of
	nextTickAt        int64
	writing           bool
	provisioning      bool
	nextProvisionAt   int64
	countsHistory     []countsSample // of all members, for what is usual
	machines          []rollout.Machine
}

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

// maxOpenCharges bounds the charges of a shard that are open, within half a value.
func (c *Controller) maxOpenCharges() int { return max(16, c.params.MaxValueBytes/2/80) }

func (c *Controller) rolloutMachine(mc *machine) rollout.Machine {
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
func (c *Controller) applyRolloutRecord(kv KeyValue) error {
	r := &c.rolloutState
	if kv.Key == rolloutKey {
		if kv.Value == nil {
			r.rec = nil
			return nil
		}
		rec := &rollout.Record{}
		if err := json.Unmarshal(kv.Value, rec); err != nil {
			return err
		}
		r.rec = rec
		c.markAllShardsDirty()
		return nil
	}
	shard := kv.Key[len(disruptionPrefix):]
	var rec disruption.Record
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
	}
	r.disruptionRecords[shard] = rec
	return nil
}

// isDrainedByRollout tells whether the plan has a machine emptied now.
func (c *Controller) isDrainedByRollout(mc *machine) bool {
	if c.rolloutState.rec == nil || !c.params.Rollout {
		return false
	}
	p := c.rolloutMachine(mc)
	return c.rolloutState.rec.Covers(&p)
}

// disruptionBudget is a team's, by the operators' settings; "*" stands for teams without one.
func (c *Controller) disruptionBudget(team string) disruption.Budget {
	if b, ok := c.settings.Disruption[team]; ok {
		return b
	}
	return c.settings.Disruption["*"]
}

// tickRollout leads the plan on: once or twice a second, by one write for all that
// changed.
func (c *Controller) tickRollout() {
	r, now := &c.rolloutState, c.now.MonotonicMS
	if !c.params.Rollout || now < r.nextTickAt {
		return
	}
	r.nextTickAt = now + 500
	counts := c.clusterCounts()
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
	changed, toProvision := rec.Advance(c.now.WallMS, c.rolloutMachines(), counts, c.hourlyPrice)
	if rec.State == rollout.Running && c.issueDisruptionTokens() {
		changed = true
	}
	if changed {
		rec.Issued = r.ledger.Issued()
		c.writeRolloutRecord(&rec, []Precondition{{leaderKey, c.fleet.leaderRev}}, func(StoreResult) {})
	}
	if len(toProvision) > 0 && !r.provisioning && now >= r.nextProvisionAt {
		r.nextProvisionAt = now + 1000
		c.provisionReplacements(rec.Plan.ID, toProvision)
	}
}

// issueDisruptionTokens hands out tokens for what the shards want to stop.
func (c *Controller) issueDisruptionTokens() (changed bool) {
	r := &c.rolloutState
	demands := map[string]map[string]disruption.Demand{} // team, shard
	c.forEachFreshMessage(func(from string, msg *PeerMessage) {
		for i := range msg.OwnedShards {
			if peerShard := &msg.OwnedShards[i]; c.shardClaims[peerShard.Shard].Owner == from {
				for team, d := range peerShard.DisruptionDemands {
					if demands[team] == nil {
						demands[team] = map[string]disruption.Demand{}
					}
					demands[team][peerShard.Shard] = d
				}
			}
		}
	})
	rows, maxRows := 0, max(16, c.params.MaxValueBytes/2/40) // a row takes some forty bytes
	recorded := map[string]bool{}
	for _, teams := range r.ledger.Issued() {
		rows += len(teams)
		for t := range teams {
			recorded[t] = true
		}
	}
	for team, shardDemands := range sortedByKey(demands) {
		if !recorded[team] {
			if rows += len(shardDemands); rows > maxRows {
				continue // no room in the record: its machines wait for their tasks to end
			}
		}
		settled := map[string]uint64{}
		for s, a := range r.disruptionRecords {
			settled[s] = a.Settled[team]
		}
		if r.ledger.Issue(c.now.MonotonicMS, team, c.disruptionBudget(team), shardDemands, settled) {
			changed = true
		}
	}
	return changed
}

// rolloutMachines lists the machines that are recorded, in order. What is asked back is on
// its way and counts as there until the cloud has said so.
func (c *Controller) rolloutMachines() []rollout.Machine {
	r := &c.rolloutState
	r.machines = r.machines[:0]
	for _, mc := range c.machines {
		r.machines = append(r.machines, c.rolloutMachine(mc))
	}
	slices.SortFunc(r.machines, func(a, b rollout.Machine) int { return strings.Compare(a.ID, b.ID) })
	return r.machines
}

func (c *Controller) hourlyPrice(k rollout.InstanceOffering) float64 {
	t := c.machineTypes[k.Type]
	switch {
	case t == nil:
		return 0
	case k.Spot:
		return t.SpotPrice
	}
	return t.Price
}

// clusterCounts is what gates count, over all members that are heard.
func (c *Controller) clusterCounts() (sum rollout.HealthCounts) {
	c.forEachFreshMessage(func(_ string, msg *PeerMessage) { sum = sum.Add(msg.RolloutCounts) })
	return sum
}

// baselineRate is what gates count in an ordinary second.
func (c *Controller) baselineRate() rollout.HealthRates {
	history := c.rolloutState.countsHistory
	if len(history) == 0 {
		return rollout.HealthRates{}
	}
	return c.clusterCounts().Since(history[0].counts).RatesOver(c.now.MonotonicMS - history[0].at)
}

// provisionReplacements asks for machines that a plan replaces others by, one call for all
// of a kind and zone.
func (c *Controller) provisionReplacements(plan string, toProvision map[rollout.InstanceOffering]int) {
	r := &c.rolloutState
	requests := map[offering]map[string]int{}
	var order []offering
	for k, n := range toProvision {
		o := offering{k.Type, k.Zone, k.Spot}
		if c.machineTypes[k.Type] == nil || c.now.MonotonicMS < c.fleet.unavailableUntil[o] {
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
	r.provisioning = pending > 0
	for _, o := range order {
		c.provision(o, requests[o], plan, func() {
			if pending--; pending == 0 {
				r.provisioning = false
			}
		})
	}
}

// writeRolloutRecord changes the plan's record, under a condition beside its revision.
func (c *Controller) writeRolloutRecord(rec *rollout.Record, preconditions []Precondition, onResult func(StoreResult)) {
	r := &c.rolloutState
	r.writing = true
	c.sendTxn(
		UrgencyUser,
		append(preconditions, Precondition{rolloutKey, c.keyRevisions[rolloutKey]}),
		[]Change{{Key: rolloutKey, Value: mustEncode(rec)}},
		func(res StoreResult) {
			if res.Outcome != Unknown && res.Outcome != Conflict {
				r.writing = false
				onResult(res)
				return
			}
			// Tokens that the record would have issued count as issued, in the ledger
			// of this leader and, if it was written, in the record.
			c.rereadKey(rolloutKey, func(StoreResult) {
				r.writing = false
				onResult(res)
			})
		},
	)
}

// tickShardDisruption is a shard's part in each tick: what was stopped and runs again is
// settled, what is to be stopped is charged, and the account is written.
func (c *Controller) tickShardDisruption(s *shard) {
	d := &s.disruption
	if !c.params.Rollout || c.now.MonotonicMS < d.nextTickAt {
		return
	}
	d.nextTickAt = c.now.MonotonicMS + 250
	if d.account == nil {
		d.account = disruption.OpenAccount(c.rolloutState.disruptionRecords[s.name], c.maxOpenCharges())
		d.record.rev = c.keyRevisions[disruptionPrefix+s.name]
	}
	c.settleCharges(s)
	c.requestEvictions(s)
	c.writeDisruptionAccount(s)
}

// settleCharges closes the charges of tasks that run again, are done or are nobody's any
// more, and of tasks that go on where they are.
func (c *Controller) settleCharges(s *shard) {
	d := &s.disruption
	if d.account.IsEmpty() {
		return
	}
	live := map[string]*attempt{}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				live[a.key.task] = a
			}
		}
	}
	d.account.EachLost(func(task, _ string) {
		if tr, i := c.taskRangeOf(task); tr == nil || tr.done.has(i) || live[task] != nil {
			d.account.RecordRecovery(task)
		}
	})
	if len(s.reconciler.Unreported()) > 0 {
		return // what is not heard may be what runs
	}
	d.account.EachReserved(func(task string, t disruption.StoppedTask) {
		tr, i := c.taskRangeOf(task)
		a := live[task]
		switch {
		case tr == nil, tr.done.has(i):
			d.account.Release(task)
		case a != nil && a.key.attempt != t.Attempt:
			d.account.Release(task)
		case a != nil && !a.evicted && !c.isDrainedByRollout(a.machine):
			d.account.Release(task) // it was never told to stop, and is not to be
		}
	})
}

// eviction is a task that would be stopped, with what that loses.
type eviction struct {
	attempt  *attempt
	lostWork float64 // work, in processor milliseconds
}

// requestEvictions finds what the plan would have stopped, charges what was issued for, and
// tells what more it wants. What ends in time is let end.
func (c *Controller) requestEvictions(s *shard) {
	d, rec, wall := &s.disruption, c.rolloutState.rec, c.now.WallMS
	d.demands = map[string]disruption.Demand{}
	if rec == nil || rec.State.IsTerminal() {
		return
	}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				demand := d.demands[a.job.Team]
				demand.Running++
				d.demands[a.job.Team] = demand
			}
		}
	}
	d.account.EachLost(func(_, team string) {
		demand := d.demands[team]
		demand.Lost++
		d.demands[team] = demand
	})
	if rec.State != rollout.Running || !s.reconciled {
		return
	}
	late, deadline := rec.IsPastDeadline(wall), rec.StepDeadline()
	var candidates []eviction
	for _, mc := range s.machines {
		if !mc.cordoned || !mc.IsReconciled() || mc.liveAttemptCount == 0 || !c.isDrainedByRollout(mc) {
			continue
		}
		for _, a := range mc.byKey {
			if a.exited || a.checkpointing || a.job.AtMostOnce || d.account.IsReserved(a.key.task) {
				continue
			}
			expectedEnd := a.expectedEnd(wall)
			endsByItself := expectedEnd-wall <= 2*c.maxHeartbeatIntervalMS()+secondsToMS(a.job.CheckpointDurationS)
			e := eviction{attempt: a}
			switch {
			case a.job.Kind == Array && endsByItself || deadline > 0 && !late && a.job.Kind == Array && expectedEnd <= deadline && a.running:
				continue // over by itself in time
			case !a.running && a.job.Kind == Array:
				// Nothing is lost.
			case late:
				e.lostWork = float64(wall-a.runningSince) * a.job.Request.CPUs
				if a.job.CheckpointIntervalS > 0 {
					e.lostWork = min(e.lostWork, a.job.CheckpointDurationS*1000*a.job.Request.CPUs)
				}
			case a.job.Kind == Array && a.job.CheckpointIntervalS > 0 && deadline > 0 && !c.fitsOnlyTypeOf(a.job, mc):
				e.lostWork = a.job.CheckpointDurationS * 1000 * a.job.Request.CPUs
			default:
				continue
			}
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(x, y eviction) int {
		return cmp.Or(cmp.Compare(x.lostWork, y.lostWork), cmp.Compare(x.attempt.key.task, y.attempt.key.task))
	})
	for _, e := range candidates {
		a := e.attempt
		tasks := c.tasksEvictedTogether(s, a)
		if tasks == nil {
			continue
		}
		team := a.job.Team
		if d.account.Reserve(team, rec.Issued[s.name][team], tasks) {
			continue
		}
		demand := d.demands[team]
		demand.Requested += len(tasks)
		d.demands[team] = demand
	}
	for team := range d.demands {
		if d.demands[team].Requested == 0 {
			d.account.ReturnUnspent(team, rec.Issued[s.name][team])
		}
	}
}

// fitsOnlyTypeOf tells whether no other type of machine takes a job.
func (c *Controller) fitsOnlyTypeOf(j *Job, mc *machine) bool {
	for _, t := range c.machineTypes {
		if t.Name != mc.rec.Type && c.fitsType(j, t) {
			return false
		}
	}
	return c.placementCatalog.IsRequired(mc.rec.Type)
}

// tasksEvictedTogether is what goes down with a task: a gang all of it; nil if a service would fall
// under what its team's budget keeps.
func (c *Controller) tasksEvictedTogether(s *shard, a *attempt) map[string]uint64 {
	tasks := map[string]uint64{a.key.task: a.key.attempt}
	switch a.job.Kind {
	case Service:
		down := 0
		s.disruption.account.EachReserved(func(task string, _ disruption.StoppedTask) {
			if tr, _ := c.taskRangeOf(task); tr == a.taskRange {
				down++
			}
		})
		minRunning := int(math.Ceil(c.disruptionBudget(a.job.Team).MinReplicaShare * float64(a.taskRange.size())))
		if min(a.taskRange.runningCount, a.taskRange.size()-down)-1 < minRunning {
			return nil
		}
	case Gang:
		for _, mc := range s.machines {
			for _, other := range mc.byKey {
				if !other.exited && other.taskRange == a.taskRange {
					tasks[other.key.task] = other.key.attempt
				}
			}
		}
	}
	return tasks
}

// mayEvict tells whether a task's stop may leave: its charge is in the store.
func (c *Controller) mayEvict(s *shard, mc *machine, a *attempt) bool {
	d := &s.disruption
	if !c.params.Rollout || d.account == nil || !d.account.CanStop(a.key.task, a.key.attempt) {
		return false
	}
	// A gang goes down whole, wherever its tasks are.
	return a.evicted ||
		c.rolloutState.rec != nil && c.rolloutState.rec.State == rollout.Running &&
			(mc.cordoned && c.isDrainedByRollout(mc) || a.job.Kind == Gang)
}

// writeDisruptionAccount stores a shard's account when it changed.
func (c *Controller) writeDisruptionAccount(s *shard) {
	d := &s.disruption
	if d.record.writing || !d.account.HasUnstoredChanges() || c.now.MonotonicMS < d.record.nextWriteAt {
		return
	}
	rec := d.account.BuildRecord()
	c.writeShardRecord(s, disruptionPrefix+s.name, &d.record, rec, c.progressWriteInterval()/2, func(ok bool) {
		if ok {
			d.account.ConfirmStored(rec)
		} else {
			d.account.MarkStoreFailed()
		}
	})
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
func (c *Controller) Rollout(now Now) *RolloutStatus {
	c.now = now
	rec := c.rolloutState.rec
	if rec == nil {
		return nil
	}
	status := &RolloutStatus{Record: rec, Disrupted: map[string]int{}, WaitingForBudget: map[string]int{}}
	for _, mc := range c.machines {
		p := c.rolloutMachine(mc)
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
	for _, a := range c.rolloutState.disruptionRecords {
		for _, t := range a.Reserved {
			status.Disrupted[t.Team]++
		}
	}
	c.forEachFreshMessage(func(_ string, msg *PeerMessage) {
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
func (c *Controller) PreviewRollout(now Now, p rollout.Plan) RolloutPreview {
	c.now = now
	preview := RolloutPreview{Kinds: map[string]int{}, Tasks: map[string]int{}, MaxDisrupted: map[string]int{}}
	rec, err := rollout.NewRecord(p, c.now.WallMS, c.rolloutMachines(), rollout.HealthRates{})
	if err != nil {
		preview.InvalidReason = err.Error()
		return preview
	}
	preview.Machines = rec.TotalMachines
	var highestPrice float64
	zones := map[string]int{}
	for _, mc := range c.machines {
		target := c.rolloutMachine(mc)
		if !rec.Selects(&target) {
			continue
		}
		preview.Kinds[planner.InstanceOffering{Type: target.Type, Zone: target.Zone, Spot: target.Spot}.Key()]++
		zones[target.Zone]++
		highestPrice = max(
			highestPrice,
			c.hourlyPrice(rollout.InstanceOffering{Type: target.Type, Zone: target.Zone, Spot: target.Spot}),
		)
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				preview.Tasks[a.job.Team]++
			}
		}
	}
	for team, n := range preview.Tasks {
		preview.MaxDisrupted[team] = c.disruptionBudget(team).MaxDown(n)
	}
	preview.Steps = rec.StepCount(zones)
	preview.SurgeCostPerHour = highestPrice * float64(min(p.Surge, rec.TotalMachines))
	return preview
}

// ApplyRollout stores a plan, for the member that leads the fleet to carry out;
// reply names the answer among the users'.
func (c *Controller) ApplyRollout(now Now, replyID uint64, p rollout.Plan) {
	c.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		if current := c.rolloutState.rec; current != nil && !current.State.IsTerminal() {
			return nil, 409, fmt.Errorf("plan %s is %s: abort it first", current.Plan.ID, current.State)
		} else if current != nil && current.Plan.ID == p.ID {
			return nil, 409, &rollout.FieldError{Field: "id", Text: "id: plan " + p.ID + " has been already"}
		}
		if p.Type != "" && c.machineTypes[p.Type] == nil {
			return nil, 400, &rollout.FieldError{Field: "type", Text: "type: no machine type " + p.Type}
		}
		rec, err := rollout.NewRecord(p, c.now.WallMS, c.rolloutMachines(), c.baselineRate())
		if rec != nil && c.rolloutState.rec != nil {
			rec.Issued = c.rolloutState.rec.Issued // tokens are the shards', whatever the plan
		}
		return rec, 400, err
	})
}

// CommandRollout carries an operator's command to the plan out.
func (c *Controller) CommandRollout(now Now, replyID uint64, command rollout.Command) {
	c.changeRollout(now, replyID, func() (*rollout.Record, int, error) {
		if c.rolloutState.rec == nil {
			return nil, 404, errors.New("there is no plan")
		}
		rec := *c.rolloutState.rec
		err := rec.ApplyCommand(command, c.now.WallMS, c.clusterCounts())
		return &rec, 409, err
	})
}

func (c *Controller) changeRollout(
	now Now,
	replyID uint64,
	change func() (rec *rollout.Record, failureStatus int, err error),
) {
	c.now = now
	c.pendingRequests[replyID] = &pendingRequest{
		replyID:        replyID,
		receivedAtMS:   now.MonotonicMS,
		pendingLocally: true,
		relayed:        true,
	} // this member's to answer
	if !c.params.Rollout {
		c.completeRequest(replyID, UserResponse{Status: 404, Error: "rollouts are switched off (features: [rollout])"})
		return
	}
	if !c.storeAccess.IsSynced() || c.rolloutState.writing {
		c.completeRequest(replyID, unavailableResponse("", "state service unavailable"))
		return
	}
	rec, failureStatus, err := change()
	if err != nil {
		c.completeRequest(replyID, UserResponse{Status: failureStatus, Error: err.Error()})
		return
	}
	c.log(Info, "rollout", "plan", rec.Plan.ID, "state", rec.State, "machines", rec.TotalMachines)
	c.writeRolloutRecord(rec, nil, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			c.completeRequest(replyID, UserResponse{Status: 200})
		case Conflict:
			c.completeRequest(replyID, UserResponse{Status: 409, Error: "the plan moved on meanwhile; try again"})
		default:
			c.completeRequest(replyID, unavailableResponse("", "state service unavailable"))
		}
	})
}
