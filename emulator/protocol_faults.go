package emulator

import (
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
		if j := sim.Jobs[id]; j.Accepted && !j.CancelRequested &&
			sim.Now-max(j.lastResponseAt, j.AcceptedAt) > forgottenMS {
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

// CrashAll ends every member; they are back some three seconds later, not together.
func (sim *Simulation) CrashAll() {
	for _, m := range sim.Members {
		m.Crash(2500 + sim.Rand.Int64N(1500))
	}
}
