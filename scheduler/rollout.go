package scheduler

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

const (
	rolloutKey       = "l/r/plan"
	disruptionPrefix = "l/d/"
)

// rolloutMachine converts a machine to the representation of package rollout.
func rolloutMachine(mc *machine) rollout.Machine {
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

// applyRolloutRecord applies the rollout plan's record, or a shard's disruption record, to the
// cached state.
func (rc *rolloutController) applyRolloutRecord(kv KeyValue) error {
	if kv.Key != rolloutKey {
		return rc.applyDisruptionRecord(kv)
	}
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

// applyDisruptionRecord applies the record of the tasks that a shard has stopped for rollouts.
func (rc *rolloutController) applyDisruptionRecord(kv KeyValue) error {
	var rec disruption.Record
	if kv.Value != nil {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return err
		}
	}
	rc.disruptionRecords[strings.TrimPrefix(kv.Key, disruptionPrefix)] = rec
	return nil
}

// isDrainedByRollout reports whether the rollout plan currently drains a machine.
func (rc *rolloutController) isDrainedByRollout(mc *machine) bool {
	if rc.rec == nil || !rc.params.Rollout {
		return false
	}
	p := rolloutMachine(mc)
	return rc.rec.Covers(&p)
}

// isRolloutReplacement reports whether a machine was provisioned for a rollout plan that has not
// ended. Such a machine is idle until the machines that it replaces are drained.
func (rc *rolloutController) isRolloutReplacement(mc *machine) bool {
	if rc.rec == nil || !rc.params.Rollout || rc.rec.State.IsTerminal() {
		return false
	}
	return mc.rec.ReplacementPlan == rc.rec.Plan.ID
}

// tickRollout advances the rollout plan twice a second, with one write for all changes. Only the
// leader calls it.
func (rc *rolloutController) tickRollout() {
	now := rc.now.MonotonicMS
	if !rc.params.Rollout || now < rc.nextTickAtMS {
		return
	}
	rc.nextTickAtMS = now + 500
	counts := rc.clusterCounts()
	rc.sampleCounts(now, counts)
	if rc.rec == nil || rc.rec.State.IsTerminal() || rc.writing {
		return
	}
	if rc.ledger == nil || rc.ledgerPlanID != rc.rec.Plan.ID {
		rc.ledger, rc.ledgerPlanID = disruption.NewLedger(rc.rec.Issued), rc.rec.Plan.ID
	}
	rec := *rc.rec
	changed, toProvision := rec.Advance(rc.now.WallMS, rc.rolloutMachines(), counts, rc.hourlyPrice)
	if rec.State == rollout.Running && rc.issueDisruptionTokens() {
		changed = true
	}
	if changed {
		rec.Issued = rc.ledger.Issued()
		rc.writeRolloutRecord(&rec, []Precondition{{leaderKey, rc.scaler.leaderRev}}, func(StoreResult) {})
	}
	if len(toProvision) > 0 && !rc.provisioning && now >= rc.nextProvisionAtMS {
		rc.nextProvisionAtMS = now + 1000
		rc.provisionReplacements(rec.Plan.ID, toProvision)
	}
}

// rolloutMachines returns the machines of the registry, sorted by ID. A machine whose release is
// pending is included until the cloud provider has confirmed the release. The next call overwrites
// the returned slice.
func (rc *rolloutController) rolloutMachines() []rollout.Machine {
	rc.machines = rc.machines[:0]
	for _, mc := range rc.registry.machines {
		rc.machines = append(rc.machines, rolloutMachine(mc))
	}
	slices.SortFunc(rc.machines, func(a, b rollout.Machine) int { return strings.Compare(a.ID, b.ID) })
	return rc.machines
}

// hourlyPrice returns the price of a machine per hour; 0 for a type that the cloud does not offer.
func (rc *rolloutController) hourlyPrice(o rollout.InstanceOffering) float64 {
	t := rc.cache.machineTypes[o.Type]
	switch {
	case t == nil:
		return 0
	case o.Spot:
		return t.SpotPrice
	}
	return t.Price
}

// clusterCounts returns the sum of the health-gate counts of all members with a fresh message.
func (rc *rolloutController) clusterCounts() (sum rollout.HealthCounts) {
	rc.peers.forEachFreshMessage(func(_ string, msg *PeerMessage) { sum = sum.Add(msg.RolloutCounts) })
	return sum
}

// baselineRate returns the rates of the health-gate counts over the recorded history, as the
// baseline of a new plan.
func (rc *rolloutController) baselineRate() rollout.HealthRates {
	if len(rc.countsHistory) == 0 {
		return rollout.HealthRates{}
	}
	oldest := rc.countsHistory[0]
	return rc.clusterCounts().Since(oldest.counts).RatesOver(rc.now.MonotonicMS - oldest.atMS)
}

// provisionReplacements requests the replacement machines of a plan, with one request per offering.
func (rc *rolloutController) provisionReplacements(planID string, toProvision map[rollout.InstanceOffering]int) {
	requests := map[offering]map[string]int{}
	var order []offering
	for replacement, n := range toProvision {
		o := offering{replacement.Type, replacement.Zone, replacement.Spot}
		if rc.cache.machineTypes[o.machineType] == nil || rc.now.MonotonicMS < rc.scaler.unavailableUntil[o] {
			continue
		}
		if requests[o] == nil {
			requests[o] = map[string]int{}
			order = append(order, o)
		}
		requests[o][replacement.Shard] += n
	}
	slices.SortFunc(order, offering.compare)
	pending := len(order)
	rc.provisioning = pending > 0
	for _, o := range order {
		rc.scaler.provision(o, requests[o], planID, func() {
			if pending--; pending == 0 {
				rc.provisioning = false
			}
		})
	}
}

// writeRolloutRecord stores the plan's record. The record's revision is a precondition in addition
// to those given.
func (rc *rolloutController) writeRolloutRecord(
	rec *rollout.Record,
	preconditions []Precondition,
	onResult func(StoreResult),
) {
	rc.writing = true
	preconditions = append(preconditions, Precondition{rolloutKey, rc.cache.keyRevisions[rolloutKey]})
	changes := []Change{{Key: rolloutKey, Value: mustEncode(rec)}}
	rc.store.sendTxn(UrgencyUser, preconditions, changes, func(result StoreResult) {
		if result.Outcome != Unknown && result.Outcome != Conflict {
			rc.writing = false
			onResult(result)
			return
		}
		// Tokens of a record whose write was not confirmed count as issued: in this leader's
		// ledger and, if the write was applied, in the record.
		rc.store.rereadKey(rolloutKey, func(StoreResult) {
			rc.writing = false
			onResult(result)
		})
	})
}
