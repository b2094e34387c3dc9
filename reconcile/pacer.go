package reconcile

// Pacer limits the rate of the commands that follow a claim which found tasks: starts, clears
// and task queries to workers. Without it everything that ended while no controller received
// heartbeats was cleared and started again within the same second.
//
// Commands that correctness requires (stopping cancelled tasks and second attempts) and starts
// that an objective or a guarantee still waits for are never delayed, but use up tokens. Other
// starts go next, in the planner's order; clears and queries leave them half of the burst.
//
// The rate follows from what the fleet does in normal operation, where each task that ends
// takes two commands, a clear and a start: twice that, and no less than one command for each
// heartbeat that comes in. The zero value lets everything pass.
type Pacer struct {
	active           bool
	endsAt           int64
	refilledAt       int64
	commandsPerMS    float64
	available        float64
	minCommandsPerMS float64 // follows from the number of machines and the heartbeat interval
}

const (
	commandsPerTaskEnd = 2
	paceMultiplier     = 2   // by how much the normal rate may be exceeded
	burstMS            = 200 // for how long unused tokens accumulate
)

// unlimitedStarts is what Available returns while the pacer is inactive.
const unlimitedStarts = 1 << 30

// Activate starts pacing: a claim found tasks on machines, each of which sends a heartbeat every
// heartbeatIntervalMS. Pacing ends after maxDurationMS at the latest; the caller ends it earlier
// with Deactivate, when everything is reconciled and IsIdle.
func (p *Pacer) Activate(now int64, machines int, heartbeatIntervalMS, maxDurationMS int64) {
	p.minCommandsPerMS = float64(machines) / float64(max(heartbeatIntervalMS, 1))
	p.active, p.refilledAt, p.endsAt, p.available = true, now, now+maxDurationMS, 0
	p.SetRate(0)
}

// SetRate sets how many tasks are expected to end by themselves in a millisecond.
func (p *Pacer) SetRate(taskEndsPerMS float64) {
	p.commandsPerMS = max(p.minCommandsPerMS, paceMultiplier*commandsPerTaskEnd*taskEndsPerMS)
}

// IsActive reports whether commands are paced.
func (p *Pacer) IsActive(now int64) bool {
	if p.active && now >= p.endsAt {
		p.active = false
	}
	return p.active
}

// Deactivate ends pacing: everything is reconciled and no command waits.
func (p *Pacer) Deactivate() { p.active = false }

func (p *Pacer) burst() float64 { return max(1, p.commandsPerMS*burstMS) }

func (p *Pacer) refill(now int64) {
	if elapsedMS := now - p.refilledAt; elapsedMS > 0 {
		p.available = min(p.burst(), p.available+p.commandsPerMS*float64(elapsedMS))
		p.refilledAt = now
	}
}

// Available returns how many starts may be sent between now and until.
func (p *Pacer) Available(now, until int64) int {
	if !p.IsActive(now) {
		return unlimitedStarts
	}
	p.refill(now)
	return max(0, int(p.available+p.commandsPerMS*float64(max(0, until-now))))
}

// TryStart takes a token for a start and reports whether the start may be sent now. An
// immediate one always may.
func (p *Pacer) TryStart(now int64, immediate bool) bool {
	if immediate {
		p.Reserve(now, 1)
		return true
	}
	return p.tryTake(now, 0)
}

// TryClear takes a token for a clear or a task query and reports whether it may be sent now.
func (p *Pacer) TryClear(now int64) bool { return p.tryTake(now, p.burst()/2) }

// IsIdle reports whether the pacer delays nothing: the whole burst is available.
func (p *Pacer) IsIdle(now int64) bool {
	if !p.IsActive(now) {
		return true
	}
	p.refill(now)
	return p.available >= p.burst()
}

// tryTake takes a token if keepAvailable tokens are left after it, or if the burst is full.
func (p *Pacer) tryTake(now int64, keepAvailable float64) bool {
	if !p.IsActive(now) {
		return true
	}
	p.refill(now)
	if p.available < 1 || p.available-1 < keepAvailable && p.available < p.burst() {
		return false
	}
	p.available--
	return true
}

// Reserve takes tokens for n commands that are not delayed. The balance may become negative, by
// one burst at most.
func (p *Pacer) Reserve(now int64, n int) {
	if p.IsActive(now) {
		p.refill(now)
		p.available = max(-p.burst(), p.available-float64(n))
	}
}
