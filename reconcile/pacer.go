package reconcile

// Pacer is a token bucket for the commands that follow a claim which found tasks: starts, clears and
// task queries to workers. Without it, the owner clears and restarts within one second all tasks that
// ended while no controller received heartbeats.
//
// Commands that correctness requires (to stop cancelled tasks and second attempts) and starts that an
// objective or a guarantee still needs are never delayed, but consume tokens. Other starts follow in
// the planner's order. Clears and queries leave half of the burst to them.
//
// The rate is twice that of normal operation, where each task that ends takes two commands, a clear
// and a start. It is at least one command for each heartbeat received. The zero value does not limit.
type Pacer struct {
	active           bool
	endsAt           int64
	refilledAt       int64
	commandsPerMS    float64
	available        float64
	minCommandsPerMS float64 // derived from the number of machines and the heartbeat interval
}

const (
	commandsPerTaskEnd = 2
	paceMultiplier     = 2   // ratio of the paced rate to the normal rate
	burstMS            = 200 // time for which unused tokens accumulate
)

// unlimitedStarts is what Available returns while the pacer is inactive.
const unlimitedStarts = 1 << 30

// Activate starts pacing after a claim found tasks on machines, each of which sends a heartbeat every
// heartbeatIntervalMS. Pacing ends after maxDurationMS at the latest. The caller ends it earlier with
// Deactivate, when all machines are reconciled and the pacer is idle.
func (p *Pacer) Activate(now int64, machines int, heartbeatIntervalMS, maxDurationMS int64) {
	p.minCommandsPerMS = float64(machines) / float64(max(heartbeatIntervalMS, 1))
	p.active, p.refilledAt, p.endsAt, p.available = true, now, now+maxDurationMS, 0
	p.SetRate(0)
}

// SetRate derives the command rate from the expected rate at which tasks end by themselves.
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

// Deactivate ends pacing. The caller uses it when all machines are reconciled and no command waits.
func (p *Pacer) Deactivate() { p.active = false }

func (p *Pacer) burst() float64 { return max(1, p.commandsPerMS*burstMS) }

func (p *Pacer) refill(now int64) {
	if elapsedMS := now - p.refilledAt; elapsedMS > 0 {
		p.available = min(p.burst(), p.available+p.commandsPerMS*float64(elapsedMS))
		p.refilledAt = now
	}
}

// Available returns the number of starts that may be sent between now and until.
func (p *Pacer) Available(now, until int64) int {
	if !p.IsActive(now) {
		return unlimitedStarts
	}
	p.refill(now)
	return max(0, int(p.available+p.commandsPerMS*float64(max(0, until-now))))
}

// TryStart takes a token for a start and reports whether the start may be sent now. An immediate start
// is always allowed.
func (p *Pacer) TryStart(now int64, immediate bool) bool {
	if immediate {
		p.Reserve(now, 1)
		return true
	}
	return p.tryTake(now, 0)
}

// TryClear takes a token for a clear or a task query and reports whether it may be sent now.
func (p *Pacer) TryClear(now int64) bool { return p.tryTake(now, p.burst()/2) }

// IsIdle reports whether the pacer delays no command: the whole burst is available.
func (p *Pacer) IsIdle(now int64) bool {
	if !p.IsActive(now) {
		return true
	}
	p.refill(now)
	return p.available >= p.burst()
}

// tryTake takes a token if at least keepAvailable tokens remain, or if the burst is full.
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

// Reserve takes tokens for n commands that are not delayed. The balance may become negative, down to
// minus one burst.
func (p *Pacer) Reserve(now int64, n int) {
	if p.IsActive(now) {
		p.refill(now)
		p.available = max(-p.burst(), p.available-float64(n))
	}
}
