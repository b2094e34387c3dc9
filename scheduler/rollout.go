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

// rolloutMachine is a machine as package rollout sees it.
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

// applyRolloutRecord takes the plan's record, or the record of what a shard stopped.
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

// isDrainedByRollout reports whether the plan has a machine drained now.
func (rc *rolloutController) isDrainedByRollout(mc *machine) bool {
	if rc.rec == nil || !rc.params.Rollout {
		return false
	}
	p := rolloutMachine(mc)
	return rc.rec.Covers(&p)
}

// isRolloutReplacement reports whether a machine was provisioned for a plan that goes on:
// it is idle until the machines that it replaces are drained.
func (rc *rolloutController) isRolloutReplacement(mc *machine) bool {
	if rc.rec == nil || !rc.params.Rollout || rc.rec.State.IsTerminal() {
		return false
	}
	return mc.rec.ReplacementPlan == rc.rec.Plan.ID
}

// tickRollout advances the plan, twice a second, by one write for all that changed. The
// leader alone calls it.
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

// rolloutMachines lists the machines of the registry, by ID. One whose release is pending
// counts as there until the cloud has confirmed it. The next call reuses the list.
func (rc *rolloutController) rolloutMachines() []rollout.Machine {
	rc.machines = rc.machines[:0]
	for _, mc := range rc.registry.machines {
		rc.machines = append(rc.machines, rolloutMachine(mc))
	}
	slices.SortFunc(rc.machines, func(a, b rollout.Machine) int { return strings.Compare(a.ID, b.ID) })
	return rc.machines
}

// hourlyPrice is what a machine costs an hour; 0 for a type that the cloud does not offer.
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

// clusterCounts is what the health gates count, over all members with a fresh message.
func (rc *rolloutController) clusterCounts() (sum rollout.HealthCounts) {
	rc.peers.forEachFreshMessage(func(_ string, msg *PeerMessage) { sum = sum.Add(msg.RolloutCounts) })
	return sum
}

// baselineRate is what the health gates count without a rollout.
func (rc *rolloutController) baselineRate() rollout.HealthRates {
	if len(rc.countsHistory) == 0 {
		return rollout.HealthRates{}
	}
	oldest := rc.countsHistory[0]
	return rc.clusterCounts().Since(oldest.counts).RatesOver(rc.now.MonotonicMS - oldest.atMS)
}

// provisionReplacements asks for the machines by which a plan replaces others, one request
// for all of an offering.
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

// writeRolloutRecord stores the plan's record, under preconditions beside its revision.
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
		// Tokens that the record would have issued count as issued, in the ledger
		// of this leader and, if it was written, in the record.
		rc.store.rereadKey(rolloutKey, func(StoreResult) {
			rc.writing = false
			onResult(result)
		})
	})
}
