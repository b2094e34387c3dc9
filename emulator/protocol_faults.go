package emulator

import (
	"slices"
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// The troubles that the protocol's page names under "Delayed messages" and
// "Outages and cuts", one at a time or together: each begins now and lasts for so
// many milliseconds. What faults.go has beside them is cuts that hold packets,
// outages, ends of members and lost machines.

// faultRate of something, until a time.
type faultRate struct {
	probability float64
	until       int64
}

func (rate faultRate) occurs(sim *Simulation) bool {
	return rate.until > sim.Now && sim.Rand.Float64() < rate.probability
}

// DelayWrites has that share of transactions get no answer and be carried out 2 to
// 12 s later, after newer ones.
func (sim *Simulation) DelayWrites(probability float64, ms int64) {
	sim.writeDelays = faultRate{probability, sim.Now + ms}
}

// ReplayHeartbeats has a copy of that share of the workers' reports arrive again, from
// 2 s to well over a lease later.
func (sim *Simulation) ReplayHeartbeats(probability float64, ms int64) {
	sim.heartbeatReplays = faultRate{probability, sim.Now + ms}
}

// LoseResponses has that share of transactions be carried out at once, and only their
// answer lost.
func (sim *Simulation) LoseResponses(probability float64, ms int64) {
	sim.responseLosses = faultRate{probability, sim.Now + ms}
}

// dropsStoreResponse takes the answer to a transaction that was carried out, or refused for its
// conditions.
func (sim *Simulation) dropsStoreResponse(m *Member, op scheduler.StoreOp, result scheduler.StoreResult) bool {
	succeeded := result.Outcome == scheduler.OK
	if op.Kind != scheduler.StoreTxn ||
		!sim.responseLosses.occurs(sim) && !(succeeded && sim.LosesResponse != nil && sim.LosesResponse(m, op)) {
		return false
	}
	sim.LostResponseCount++
	if succeeded {
		for _, c := range op.Changes {
			sim.LostResponseKinds[KeyKind(c.Key)]++
		}
	}
	return true
}

// DelayCommands has that share of direct commands be held up for 2 to 16 s and carried
// out once, unanswered, if token and session still match.
func (sim *Simulation) DelayCommands(probability float64, ms int64) {
	sim.commandDelays = faultRate{probability, sim.Now + ms}
}

// connectTimeoutMS is how long a connection attempt takes that fails.
const connectTimeoutMS = 500

// PartitionOutbound has a machine reach no member, while direct commands reach it.
func (sim *Simulation) PartitionOutbound(worker *Worker, ms int64) {
	worker.outboundPartitionedUntil = max(worker.outboundPartitionedUntil, sim.Now+ms)
}

// IsOutboundPartitioned tells whether the machine can open no connection to a member.
func (worker *Worker) IsOutboundPartitioned(sim *Simulation) bool {
	return worker.outboundPartitionedUntil > sim.Now
}

// PartitionInbound has a machine hear nothing while its reports arrive: answers and direct
// commands to it are lost.
func (sim *Simulation) PartitionInbound(worker *Worker, ms int64) {
	worker.inboundPartitionedUntil = max(worker.inboundPartitionedUntil, sim.Now+ms)
}

// PartitionMember cuts a member off from the state service and from the other members, not
// from its workers or users. What it sends meanwhile is held, or, with refuse,
// refused by the state service and lost between members.
func (sim *Simulation) PartitionMember(m *Member, ms int64, refused bool) {
	if refused {
		sim.StartOutage(m.Name, ms)
	} else {
		sim.Partitions = append(sim.Partitions, Partition{A: m.Name, B: "store", Until: sim.Now + ms})
	}
	for _, other := range sim.Members {
		if other != m {
			sim.Partitions = append(
				sim.Partitions,
				Partition{A: m.Name, B: other.Name, Until: sim.Now + ms, DropsMessages: refused},
			)
		}
	}
}

// PartitionZoneWithMember cuts the machines of a zone off together with a member: they reach each
// other, and nobody else. What is sent meanwhile is held, or, with loses, lost.
func (sim *Simulation) PartitionZoneWithMember(zone string, m *Member, ms int64, dropsMessages bool) {
	partition := func(sideA, sideB string) {
		sim.Partitions = append(
			sim.Partitions,
			Partition{A: sideA, B: sideB, Until: sim.Now + ms, DropsMessages: dropsMessages},
		)
	}
	partition(m.Name, "store")
	partition(m.Name, "cloud")
	for _, other := range sim.Members {
		if other != m {
			partition(m.Name, other.Name)
		}
	}
	for _, id := range sim.WorkerIDs {
		worker := sim.Workers[id]
		if worker.Gone {
			continue
		}
		if worker.Instance.Zone != zone {
			partition("w"+id, m.Name)
			continue
		}
		for _, other := range sim.Members {
			if other != m {
				partition("w"+id, other.Name)
			}
		}
	}
}

// SlowStore has the state service's messages take up to so much longer, each its
// own time, so that answers overtake each other.
func (sim *Simulation) SlowStore(maxDelayMS, ms int64) {
	sim.storeDelayMS, sim.storeSlowUntil = maxDelayMS, sim.Now+ms
}

// PauseMember has a member's process stand still: what it decided last leaves when
// it goes on, and what came meanwhile is there at once.
func (sim *Simulation) PauseMember(m *Member, ms int64) {
	m.pausedUntil = max(m.pausedUntil, sim.Now+ms)
}

// DelayWorkerCommands has direct commands to a machine, or their answers, held up.
func (sim *Simulation) DelayWorkerCommands(worker *Worker, ms int64, delayResults bool) {
	if delayResults {
		worker.commandResultsDelayedUntil = sim.Now + ms
	} else {
		worker.commandsDelayedUntil = sim.Now + ms
	}
}

// SetClockRate sets how fast a member's steady clock runs against true time, before it starts.
func (m *Member) SetClockRate(rate float64) { m.clockRate = rate }

// hasActiveFault tells whether something is wrong that keeps members from answering users.
func (sim *Simulation) hasActiveFault() bool {
	for _, until := range []int64{
		sim.writeDelays.until, sim.heartbeatReplays.until, sim.responseLosses.until,
		sim.storeSlowUntil,
	} {
		if until > sim.Now {
			return true
		}
	}
	for _, until := range sim.OutageUntil {
		if until > sim.Now {
			return true
		}
	}
	for _, lag := range sim.Lags {
		if lag.Until > sim.Now {
			return true
		}
	}
	for _, partition := range sim.Partitions {
		if partition.Until > sim.Now {
			return true
		}
	}
	for _, m := range sim.Members {
		if m.Core == nil || m.pausedUntil > sim.Now {
			return true
		}
	}
	return false
}

// forgottenMS is for how long, once all troubles are over, a job may be one about which
// no question is answered.
const forgottenMS = 75_000

// checkForgotten looks at each job by itself, however others fare.
func (sim *Simulation) checkForgotten() {
	if sim.hasActiveFault() {
		sim.lastFaultAt = sim.Now
		return
	}
	if sim.ChecksDisabled || sim.Now-sim.lastFaultAt <= forgottenMS {
		return
	}
	for _, id := range sim.JobIDs {
		if j := sim.Jobs[id]; j.Accepted && !j.CancelRequested && sim.Now-max(j.lastResponseAt, j.AcceptedAt) > forgottenMS {
			sim.recordViolation(
				"forgotten",
				"no question about %s is answered for %d ms",
				id,
				sim.Now-max(j.lastResponseAt, j.AcceptedAt),
			)
		}
	}
}

// pauseDelay is how much longer a message takes for a process that stands still at one
// of its ends, or for a state service that is slow.
func (sim *Simulation) pauseDelay(from, to string) int64 {
	delayMS := int64(0)
	for _, m := range sim.Members {
		if (m.Name == from || m.Name == to) && m.pausedUntil > sim.Now {
			delayMS = max(delayMS, m.pausedUntil-sim.Now+sim.Rand.Int64N(5))
		}
	}
	if sim.storeSlowUntil > sim.Now && (from == "store" || to == "store") {
		delayMS += sim.Rand.Int64N(sim.storeDelayMS)
	}
	return delayMS
}

// KeyKind is what a key holds: the part of its name that all of its kind share.
func KeyKind(key string) string {
	parts := strings.SplitAfterN(key, "/", 3)
	if parts[0] == "l/" && len(parts) == 3 {
		return parts[0] + parts[1]
	}
	return parts[0]
}

// divertLateWrite takes a transaction that is carried out late and gets no answer.
func (sim *Simulation) divertLateWrite(m *Member, op scheduler.StoreOp) bool {
	if op.Kind != scheduler.StoreTxn || sim.storeRefuses(m.Name) ||
		!sim.writeDelays.occurs(sim) && !(sim.DelaysWrite != nil && sim.DelaysWrite(m, op)) {
		return false
	}
	// It has the service already: a refusal of its sender no longer stops it, only an
	// outage holds it up.
	var execute func()
	execute = func() {
		if outageLeft := sim.OutageUntil["all"] - sim.Now; outageLeft > 0 {
			sim.After(outageLeft+sim.Rand.Int64N(50), execute)
			return
		}
		if result, _ := sim.Store.Apply(sim.Now, op); result.Outcome == scheduler.OK && len(op.Changes) > 0 {
			for _, c := range op.Changes {
				sim.LateWriteCounts[KeyKind(c.Key)]++
			}
			sim.Tracef("world: a late write of %s works: %v", m.Name, op.Changes[0].Key)
		}
	}
	sim.After(2000+sim.Rand.Int64N(10_000), execute)
	return true
}

// replayHeartbeat brings a copy of a report again, to the member that it went to.
func (sim *Simulation) replayHeartbeat(worker *Worker, m *Member, hb scheduler.Heartbeat) {
	if !sim.heartbeatReplays.occurs(sim) {
		return
	}
	epoch := m.epoch
	sim.After(2000+sim.Rand.Int64N(int64(sim.Params.LeaseS*1500)), func() {
		if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
			return
		}
		sim.DuplicateCounts["all"]++
		if hb.Incarnation < worker.Agent.Incarnation {
			sim.DuplicateCounts["of an earlier session"]++
		}
		if epoch != m.epoch {
			sim.DuplicateCounts["after an end of the member"]++
		}
		m.lastReplyID++ // nobody waits for the answer
		m.Core.HandleHeartbeat(m.Clock(), m.lastReplyID, hb)
		m.dispatchOutputs()
	})
}

// runCommandLate carries out commands that were held up on their way; nobody is answered.
func (sim *Simulation) runCommandLate(worker *Worker, command scheduler.DirectCommand) {
	var run func()
	run = func() {
		switch {
		case !worker.Up || worker.Gone:
		case worker.HangUntil > sim.Now:
			sim.After(worker.HangUntil-sim.Now+1, run)
		default:
			sim.DuplicateCounts["late commands"]++
			worker.Agent.ApplyDirectCommand(worker.Clock(sim), command)
		}
	}
	sim.After(2000+sim.Rand.Int64N(14_000), run)
}

// capturedHeartbeat is a copy of a worker's report.
type capturedHeartbeat struct {
	worker    *Worker
	heartbeat scheduler.Heartbeat
}

// maxCapturedHeartbeats bounds the copies that wait for a claim: later ones replace the oldest.
const maxCapturedHeartbeats = 60

// ReplayHeartbeatsAtClaim has a copy of that share of the workers' reports kept until a member
// claims a shard, or the lead, and then arrive at every member.
func (sim *Simulation) ReplayHeartbeatsAtClaim(probability float64, ms int64) {
	sim.claimReplays = faultRate{probability, sim.Now + ms}
}

// captureForClaim keeps a copy of a report for the next claim.
func (sim *Simulation) captureForClaim(worker *Worker, hb scheduler.Heartbeat) {
	if !sim.claimReplays.occurs(sim) {
		return
	}
	if len(sim.claimHeartbeats) == maxCapturedHeartbeats {
		sim.claimHeartbeats = slices.Delete(sim.claimHeartbeats, 0, 1)
	}
	sim.claimHeartbeats = append(sim.claimHeartbeats, capturedHeartbeat{worker, hb})
}

// observeClaim sees a claim that the state service has carried out, and lets the kept
// copies of reports arrive.
func (sim *Simulation) observeClaim(m *Member, op scheduler.StoreOp, result scheduler.StoreResult) {
	if len(sim.claimHeartbeats)+len(sim.ownerHeartbeats) == 0 || op.Kind != scheduler.StoreTxn ||
		result.Outcome != scheduler.OK {
		return
	}
	claims := slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
		return c.Value != nil && (KeyKind(c.Key) == "l/s/" || c.Key == "l/lead")
	})
	if !claims {
		return
	}
	if sim.newOwners == nil {
		sim.newOwners = map[string]bool{}
	}
	sim.newOwners[m.Name] = true
	captured := sim.claimHeartbeats
	sim.claimHeartbeats = nil
	sim.replayToAll(captured, "at a claim")
}

// replayToAll brings reports to every member within moments.
func (sim *Simulation) replayToAll(captured []capturedHeartbeat, occasion string) {
	for _, capture := range captured {
		for _, m := range sim.Members {
			sim.After(sim.Rand.Int64N(400), func() { sim.deliverDuplicate(m, capture, occasion) })
		}
	}
}

// DelayHeartbeatsUntilNewOwnerActs has that share of the workers' reports held back, unanswered, until a member
// that claimed a shard, or the lead, has told a worker to do something. They arrive at every
// member then.
func (sim *Simulation) DelayHeartbeatsUntilNewOwnerActs(probability float64, ms int64) {
	sim.ownerReplays = faultRate{probability, sim.Now + ms}
}

// captureForNewOwner tells whether a report is held back.
func (sim *Simulation) captureForNewOwner(worker *Worker, hb scheduler.Heartbeat) bool {
	if !sim.ownerReplays.occurs(sim) {
		return false
	}
	if len(sim.ownerHeartbeats) == maxCapturedHeartbeats {
		sim.ownerHeartbeats = slices.Delete(sim.ownerHeartbeats, 0, 1)
	}
	sim.ownerHeartbeats = append(sim.ownerHeartbeats, capturedHeartbeat{worker, hb})
	return true
}

// observeFirstCommands sees whether a member that claimed something tells workers what to do for the
// first time, and lets the reports arrive that were held until then.
func (sim *Simulation) observeFirstCommands(m *Member, outputs *scheduler.Outputs) {
	if !sim.newOwners[m.Name] {
		return
	}
	hasCommands := slices.ContainsFunc(
		outputs.DirectCommands,
		func(command scheduler.DirectCommand) bool { return len(command.Commands) > 0 },
	)
	for _, resp := range outputs.HeartbeatResponses {
		hasCommands = hasCommands || len(resp.Commands) > 0
	}
	if !hasCommands {
		return
	}
	delete(sim.newOwners, m.Name)
	captured := sim.ownerHeartbeats
	sim.ownerHeartbeats = nil
	sim.replayToAll(captured, "after a new holder acted")
}

// deliverDuplicate brings a report to a member; nobody waits for the answer.
func (sim *Simulation) deliverDuplicate(m *Member, capture capturedHeartbeat, occasion string) {
	if m.Core == nil || sim.RefusesConnection != nil && sim.RefusesConnection(m.Name) {
		return
	}
	sim.DuplicateCounts[occasion]++
	if capture.heartbeat.Incarnation < capture.worker.Agent.Incarnation {
		sim.DuplicateCounts["of an earlier session "+occasion]++
	}
	m.lastReplyID++
	m.Core.HandleHeartbeat(m.Clock(), m.lastReplyID, capture.heartbeat)
	m.dispatchOutputs()
}

// SampleLiveWorkers does something to a share of the machines that are up.
func (sim *Simulation) SampleLiveWorkers(probability float64, action func(*Worker)) {
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; worker.Up && !worker.Gone && sim.Rand.Float64() < probability {
			action(worker)
		}
	}
}

// CrashAll ends every member; they are back some three seconds later, not together.
func (sim *Simulation) CrashAll() {
	for _, m := range sim.Members {
		m.Crash(2500 + sim.Rand.Int64N(1500))
	}
}

func (sim *Simulation) randomMember() *Member { return sim.Members[sim.Rand.IntN(len(sim.Members))] }

// randomBetween draws a time of so many milliseconds.
func (sim *Simulation) randomBetween(from, to int64) int64 { return from + sim.Rand.Int64N(to-from) }

// Fault is something that can go wrong, with lengths of its own.
type Fault struct {
	Name   string
	Inject func(*Simulation)
}

// Faults are all that can go wrong by themselves, for days that pair them.
var Faults = []Fault{
	{
		"late writes",
		func(sim *Simulation) { sim.DelayWrites(0.1+0.5*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"late reports", func(sim *Simulation) {
		sim.ReplayHeartbeats(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"lost answers",
		func(sim *Simulation) { sim.LoseResponses(0.1+0.5*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"reports kept for the next claim", func(sim *Simulation) {
		sim.ReplayHeartbeatsAtClaim(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{"reports held until a new holder acts", func(sim *Simulation) {
		sim.DelayHeartbeatsUntilNewOwnerActs(0.1+0.3*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"commands late",
		func(sim *Simulation) { sim.DelayCommands(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"mute machines", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.4, func(worker *Worker) { sim.PartitionOutbound(worker, sim.randomBetween(2000, 28_000)) })
	}},
	{"jobs cancelled together", func(sim *Simulation) {
		sim.CancelRunningJobs(1+sim.Rand.IntN(4), sim.randomBetween(0, 2)*sim.randomBetween(2000, 10_000))
	}},
	{"jobs cancelled as they end", func(sim *Simulation) { sim.CancelAtEnd(0.5, sim.randomBetween(3000, 28_000)) }},
	{"odd requests", func(sim *Simulation) { sim.SendInvalidRequests(sim.randomBetween(3000, 28_000)) }},
	{"close looks", func(sim *Simulation) { sim.ReadConcurrently(sim.randomBetween(3000, 28_000)) }},
	{"deaf machines", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.4, func(worker *Worker) { sim.PartitionInbound(worker, sim.randomBetween(2000, 28_000)) })
	}},
	{
		"a member cut from state and peers, held",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), false) },
	},
	{
		"a member cut from state and peers, refused",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), true) },
	},
	{"slow state", func(sim *Simulation) { sim.SlowStore(sim.randomBetween(400, 3000), sim.randomBetween(3000, 28_000)) }},
	{
		"a member stands still",
		func(sim *Simulation) { sim.PauseMember(sim.randomMember(), sim.randomBetween(500, 12_000)) },
	},
	{"commands held", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			sim.DelayWorkerCommands(worker, sim.randomBetween(1000, 11_000), sim.Rand.IntN(2) == 0)
		})
	}},
	{"refused alone, then down for all", func(sim *Simulation) {
		durationMS := sim.randomBetween(3000, 28_000)
		sim.StartOutage(sim.randomMember().Name, durationMS)
		sim.After(sim.Rand.Int64N(durationMS), func() { sim.StartOutage("all", sim.randomBetween(2000, 56_000)) })
	}},
	{"one ends, back within a second", func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(100, 1000)) }},
	{
		"one ends, is adopted and comes back",
		func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(14_000, 20_000)) },
	},
	{"all end", (*Simulation).CrashAll},
	{"a roll", func(sim *Simulation) {
		for i, m := range sim.Members {
			sim.After(int64(i)*2500, func() { m.Crash(1500) })
		}
	}},
	{"an outage", func(sim *Simulation) { sim.StartOutage("all", sim.randomBetween(1000, 10_000)) }},
	{"a zone cut off", func(sim *Simulation) {
		sim.PartitionZone([]string{"a", "b"}[sim.Rand.IntN(2)], sim.randomBetween(2000, 14_000))
	}},
	{"a wave of spot machines taken back", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			if worker.Instance.Spot {
				sim.Cloud.Reclaim(worker.Instance.ID)
			}
		})
	}},
	{"machines hang", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.4, func(worker *Worker) { worker.HangUntil = sim.Now + sim.randomBetween(1000, 10_000) })
	}},
	{"a member lacks processor time", func(sim *Simulation) {
		sim.Lags[sim.randomMember().Name] = Lag{Until: sim.Now + 12_000, MaxDelayMS: 3000}
	}},
	{"a member cut from its workers", func(sim *Simulation) {
		sim.Partitions = append(
			sim.Partitions,
			Partition{A: sim.randomMember().Name, B: "w", Until: sim.Now + sim.randomBetween(2000, 11_000)},
		)
	}},
}

// InjectRandomFault begins one of them.
func (sim *Simulation) InjectRandomFault() {
	fault := Faults[sim.Rand.IntN(len(Faults))]
	sim.Tracef("trouble: %s", fault.Name)
	fault.Inject(sim)
}
