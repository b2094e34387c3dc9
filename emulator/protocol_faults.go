package emulator

import (
	"strings"

	"github.com/grebedock/grebedock/scheduler"
)

// The faults that the protocol document lists under "Delayed messages" and "Outages and cuts". They
// may overlap; each starts immediately and lasts for the given number of milliseconds. The other
// faults are in infrastructure_faults.go: partitions that delay packets, outages, crashes of
// members and lost machines.

// faultRate is the probability with which a fault affects a message, request or job until a time.
type faultRate struct {
	probability float64
	until       int64
}

func (rate faultRate) occurs(sim *Simulation) bool {
	return rate.until > sim.Now && sim.Rand.Float64() < rate.probability
}

// DelayWrites delays a share of transactions by 2 to 12 s. They get no response and take effect
// after newer transactions.
func (sim *Simulation) DelayWrites(probability float64, ms int64) {
	sim.writeDelays = faultRate{probability, sim.Now + ms}
}

// LoseResponses drops the responses to a share of transactions, which take effect immediately.
func (sim *Simulation) LoseResponses(probability float64, ms int64) {
	sim.responseLosses = faultRate{probability, sim.Now + ms}
}

// dropsStoreResponse reports whether to drop the response to a transaction that was applied or
// whose precondition failed.
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

// DelayCommands delays a share of direct commands by 2 to 16 s. They are executed once, without a
// response, if fencing token and incarnation still match.
func (sim *Simulation) DelayCommands(probability float64, ms int64) {
	sim.commandDelays = faultRate{probability, sim.Now + ms}
}

// DelayQueries delays a share of task queries by as long as DelayCommands delays other direct commands.
func (sim *Simulation) DelayQueries(probability float64, ms int64) {
	sim.queryDelays = faultRate{probability, sim.Now + ms}
}

// isCommandLate reports whether a direct command is delayed.
func (sim *Simulation) isCommandLate(command *scheduler.DirectCommand) bool {
	if len(command.Commands) == 0 {
		return sim.queryDelays.occurs(sim)
	}
	return sim.commandDelays.occurs(sim)
}

// connectTimeoutMS is the duration of a connection attempt that fails.
const connectTimeoutMS = 500

// PartitionOutbound prevents a machine from connecting to any member, while direct commands still
// reach it.
func (sim *Simulation) PartitionOutbound(worker *Worker, ms int64) {
	worker.outboundPartitionedUntil = max(worker.outboundPartitionedUntil, sim.Now+ms)
}

// IsOutboundPartitioned reports whether the machine cannot connect to any member.
func (worker *Worker) IsOutboundPartitioned(sim *Simulation) bool {
	return worker.outboundPartitionedUntil > sim.Now
}

// PartitionInbound drops heartbeat responses and direct commands to a machine, while its heartbeats
// still arrive.
func (sim *Simulation) PartitionInbound(worker *Worker, ms int64) {
	worker.inboundPartitionedUntil = max(worker.inboundPartitionedUntil, sim.Now+ms)
}

// PartitionMember partitions a member from the state service and the other members, but not from
// its workers or users. Its messages are delayed until the partition ends. With refused, the state
// service refuses its requests, and messages between it and other members are dropped.
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

// PartitionZoneWithMember partitions the machines of a zone, together with a member, from the state
// service, the cloud, and the other members and machines. Users still reach the member. Other
// messages are delayed until the partition ends or, with dropsMessages, dropped.
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

// SlowStore delays each message from or to the state service by a random time below maxDelayMS, so
// that responses arrive out of order.
func (sim *Simulation) SlowStore(maxDelayMS, ms int64) {
	sim.storeDelayMS, sim.storeSlowUntil = maxDelayMS, sim.Now+ms
}

// PauseMember pauses a member's process. When it resumes, its last outputs are sent and the
// messages that arrived during the pause are delivered.
func (sim *Simulation) PauseMember(m *Member, ms int64) {
	m.pausedUntil = max(m.pausedUntil, sim.Now+ms)
}

// DelayWorkerCommands delays direct commands to a machine or, with delayResults, their responses.
func (sim *Simulation) DelayWorkerCommands(worker *Worker, ms int64, delayResults bool) {
	if delayResults {
		worker.commandResultsDelayedUntil = sim.Now + ms
	} else {
		worker.commandsDelayedUntil = sim.Now + ms
	}
}

// SetClockRate sets the rate of a member's monotonic clock relative to simulated time. It must be
// called before the member starts.
func (m *Member) SetClockRate(rate float64) { m.clockRate = rate }

// hasActiveFault reports whether a fault is active that may prevent members from responding to
// users.
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

// maxUnansweredMS is the maximum time in ms, after the end of all faults, for which queries about a
// job may remain without a response.
const maxUnansweredMS = 75_000

// checkUnansweredQueries checks each job separately, so that responses about other jobs hide no
// violation.
func (sim *Simulation) checkUnansweredQueries() {
	if sim.hasActiveFault() {
		sim.lastFaultAt = sim.Now
		return
	}
	if sim.ChecksDisabled || sim.Now-sim.lastFaultAt <= maxUnansweredMS {
		return
	}
	for _, id := range sim.JobIDs {
		if j := sim.Jobs[id]; j.Accepted && !j.CancelRequested &&
			sim.Now-max(j.lastResponseAt, j.AcceptedAt) > maxUnansweredMS {
			sim.recordViolation(
				"forgotten",
				"no question about %s is answered for %d ms",
				id,
				sim.Now-max(j.lastResponseAt, j.AcceptedAt),
			)
		}
	}
}

// pauseDelay returns the additional delay in ms of a message from or to a paused process or a slow
// state service.
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

// KeyKind returns the kind of a key: the part of its name that all keys of the kind share.
func KeyKind(key string) string {
	parts := strings.SplitAfterN(key, "/", 3)
	if parts[0] == "l/" && len(parts) == 3 {
		return parts[0] + parts[1]
	}
	return parts[0]
}

// interceptLateWrite may intercept a transaction, to apply it later without a response, and reports
// whether it did.
func (sim *Simulation) interceptLateWrite(m *Member, op scheduler.StoreOp) bool {
	if op.Kind != scheduler.StoreTxn || sim.storeRefuses(m.Name) ||
		!sim.writeDelays.occurs(sim) && !(sim.DelaysWrite != nil && sim.DelaysWrite(m, op)) {
		return false
	}
	// The state service has already received the request: if it refuses the sender later, the
	// request is not affected. Only an outage for all members delays it further.
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
			sim.Tracef("emulator: late write of %s applied: %v", m.Name, op.Changes[0].Key)
		}
	}
	sim.After(2000+sim.Rand.Int64N(10_000), execute)
	return true
}

// runCommandLate executes commands after a delay of 2 to 16 s, without a response.
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

// CrashAll crashes every member; each restarts after a random time of 2.5 to 4 s.
func (sim *Simulation) CrashAll() {
	for _, m := range sim.Members {
		m.Crash(2500 + sim.Rand.Int64N(1500))
	}
}
