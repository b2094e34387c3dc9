package reconcile

// Pacer paces the orders that follow a claim which found work: starts, clears and
// questions to workers. Without it all that ended while nobody listened was cleared
// and started again in the same second. What the rules want (stopping cancelled
// tasks and second attempts) and starts that an aim or a guarantee still waits for
// never wait, but take from what is there; other starts go next, in the planner's
// order; clears and questions leave them half.
//
// The pace follows from what the fleet does on an ordinary day, where each task that
// ends is two orders, a clear and a start: twice that, and no less than one order
// for each report that comes in. The zero value lets everything pass.
type Pacer struct {
	active         bool
	endsAt         int64
	refilledAt     int64
	ordersPerMS    float64 // orders a millisecond
	available      float64
	minOrdersPerMS float64 // the pace that machines and report interval give
}

// What an end costs in orders, how much more than ordinary is let through, and for
// how many milliseconds it may pile up.
const (
	ordersPerTaskEnd = 2
	paceMultiplier   = 2
	burstMS          = 200
)

// Activate puts a line in force: a claim found work. So many machines report every
// interval. It ends by itself when it has held nothing up for an interval, at the
// latest after so long.
func (p *Pacer) Activate(now int64, machines int, heartbeatIntervalMS, maxDurationMS int64) {
	p.minOrdersPerMS = float64(machines) / float64(max(heartbeatIntervalMS, 1))
	p.active, p.refilledAt, p.endsAt, p.available = true, now, now+maxDurationMS, 0
	p.SetRate(0)
}

// SetRate tells how many tasks end by themselves in a millisecond, by what is known.
func (p *Pacer) SetRate(taskEndsPerMS float64) {
	p.ordersPerMS = max(p.minOrdersPerMS, paceMultiplier*ordersPerTaskEnd*taskEndsPerMS)
}

// IsActive tells whether the line is in force.
func (p *Pacer) IsActive(now int64) bool {
	if p.active && now >= p.endsAt {
		p.active = false
	}
	return p.active
}

// Deactivate takes the line out of force: everything is squared and nothing waits.
func (p *Pacer) Deactivate() { p.active = false }

func (p *Pacer) burst() float64 { return max(1, p.ordersPerMS*burstMS) }

func (p *Pacer) refill(now int64) {
	if elapsedMS := now - p.refilledAt; elapsedMS > 0 {
		p.available = min(p.burst(), p.available+p.ordersPerMS*float64(elapsedMS))
		p.refilledAt = now
	}
}

// Available is how many starts may leave until a time.
func (p *Pacer) Available(now, until int64) int {
	if !p.IsActive(now) {
		return 1 << 30
	}
	p.refill(now)
	return max(0, int(p.available+p.ordersPerMS*float64(max(0, until-now))))
}

// TryStart takes a start off the line, if one may leave now. One that must does.
func (p *Pacer) TryStart(now int64, immediate bool) bool {
	if immediate {
		p.Reserve(now, 1)
		return true
	}
	return p.tryTake(now, 0)
}

// TryClear takes a clear off the line, or a question to a worker, if one may leave now.
func (p *Pacer) TryClear(now int64) bool { return p.tryTake(now, p.burst()/2) }

// IsIdle tells whether the line holds nothing up: what may pile up has.
func (p *Pacer) IsIdle(now int64) bool {
	if !p.IsActive(now) {
		return true
	}
	p.refill(now)
	return p.available >= p.burst()
}

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

// Reserve takes orders off the line that do not wait.
func (p *Pacer) Reserve(now int64, n int) {
	if p.IsActive(now) {
		p.refill(now)
		p.available = max(-p.burst(), p.available-float64(n))
	}
}
