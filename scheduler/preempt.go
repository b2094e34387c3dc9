package scheduler

import (
	"cmp"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// Preemption is the exception for the design's second strain where it is a
// team's limit that running tasks fill: a queue is not preemptive, and a tight
// job of a higher priority waited for a wave of long tasks to end. Only tasks
// that lose nothing by it are stopped: ones that save, and ones that do not run
// yet. Who waits is told apart from who may go on: what a stopped task gives up
// is owed to the priority that it was stopped for.

// owed is what stopped tasks of a team gave up of its limit for work of at least
// a priority, until that started or the time is up.
type owed struct {
	cpus, gpus float64
	priority   Priority
	until      int64
}

// yields tells whether an attempt may be stopped for work of a priority.
func (a *attempt) yields(p Priority) bool {
	return !a.exited && !a.saving && a.job.Priority < p && a.job.Kind == Array && (!a.running || a.job.CheckpointS > 0)
}

// yieldingWorks are a team's works that may wait while a group uses the team's
// limit, each with how much time it has beyond that: the rule of admission, every
// deadline that is held still holds, for what runs. Without it, a burst of short
// jobs kept long ones from ever ending in time. What must not be started twice is
// not stopped either.
func (m *Member) yieldingWorks(s *shard, g *group) map[*work]int64 {
	part, t, limited := m.part(s, g.j.Team)
	if !limited || t.MaxCPUs <= 0 || part.CPUs <= 0 {
		return nil
	}
	wall := m.now.Wall
	delay := max(g.Length, int64(float64(g.Left)*g.j.Request.CPUs/part.CPUs*float64(g.Length)))
	rest := map[*work]float64{}
	for _, a := range s.live[g.j.Team] {
		if !a.job.Once && a.job.Priority < g.j.Priority {
			rest[a.work] += float64(a.ends(wall) - wall)
		}
	}
	out := map[*work]int64{}
	for w, r := range rest {
		j := &w.job.rec.Job
		length := m.length(j)
		r += float64(w.pending()) * float64(length)
		// Whether it is late already is told from one task alone, whether it
		// has time from all of them, padded: both can be wrong by half.
		need := max(length, int64(r*j.Request.CPUs/part.CPUs*planner.Padding))
		accepted := w.job.rec.Accepted
		_, due, lost := m.aims(j, accepted, length/2)
		if _, then, late := m.aims(j, accepted, need+delay+ms(j.SaveS)); lost {
			out[w] = 1 << 40
		} else if then == due && !late {
			out[w] = due - wall - need
		}
	}
	return out
}

// yielding is what a team's tasks that may be stopped for a group have of its
// limit, and what was stopped for its like already and has not been taken yet.
func (m *Member) yielding(s *shard, g *group, works map[*work]int64) (free, coming availability.Room) {
	for _, a := range s.live[g.j.Team] {
		if !a.on.Squared() {
			continue
		}
		if a.stopped {
			coming = coming.Add(a.job.Request)
		} else if _, ok := works[a.work]; ok && a.yields(g.j.Priority) {
			free = free.Add(a.job.Request)
		}
	}
	if o, ok := s.owed[g.j.Team]; ok && m.now.Steady < o.until && g.j.Priority >= o.priority {
		coming = coming.Add(availability.Room{CPUs: o.cpus, GPUs: o.gpus, MemoryGB: 1})
	}
	return free, coming
}

// preemptable is how many tasks of a group its team's limit would take beyond
// now, if tasks of lower priority were stopped.
func (m *Member) preemptable(s *shard, g *group, limit int) int {
	if g.Lost || g.j.Kind != Array || limit <= 0 || len(s.squares.Unseen()) > 0 {
		return 0 // what is unseen may give it room without a stop
	}
	// No more than its guarantee is taken for a priority: beyond it, in a burst
	// that no limit holds, work of lower priority would never end.
	left := availability.Room{CPUs: m.p.Teams[g.j.Team].CPUs, GPUs: m.p.Teams[g.j.Team].GPUs, MemoryGB: 1e12}
	for _, a := range s.live[g.j.Team] {
		if a.job.Priority >= g.j.Priority {
			left = left.Sub(withoutMemory(a.job.Request))
		}
	}
	limit = left.Copies(withoutDisk(g.j.Request), limit)
	if limit <= 0 {
		return 0
	}
	free, coming := m.yielding(s, g, m.yieldingWorks(s, g))
	both := free.Add(coming)
	both.MemoryGB = 1e12
	return both.Copies(withoutDisk(g.j.Request), limit)
}

// preempt stops tasks of lower priority so that n tasks of a group, which have
// room on machines, find it in their team's limit: those first whose
// jobs have most time, or none to lose.
func (m *Member) preempt(s *shard, g *group, n int) {
	req := withoutDisk(g.j.Request)
	works := m.yieldingWorks(s, g)
	_, coming := m.yielding(s, g, works)
	coming.MemoryGB = 1e12
	n -= coming.Copies(req, n)
	if n <= 0 {
		return
	}
	type victim struct {
		mc    *machine
		a     *attempt
		slack int64
	}
	var list []victim
	for _, a := range s.live[g.j.Team] {
		slack, ok := works[a.work]
		if !ok || !a.on.Squared() || a.on.goneAt != 0 || a.stopped || !a.yields(g.j.Priority) {
			continue
		}
		left := a.ends(m.now.Wall) - m.now.Wall
		if left <= 2*m.reportGap()+ms(a.job.SaveS) {
			continue // over by itself as soon
		}
		list = append(list, victim{a.on, a, slack})
	}
	slices.SortFunc(list, func(x, y victim) int {
		return cmp.Or(cmp.Compare(y.slack, x.slack), cmp.Compare(x.a.key.task, y.a.key.task), cmp.Compare(x.a.key.attempt, y.a.key.attempt))
	})
	var got availability.Room
	for _, v := range list {
		got.MemoryGB = 1e12
		if got.Copies(req, n) >= n {
			break
		}
		got = got.Add(v.a.job.Request)
		v.a.stopped, v.a.stoppedFor = true, g.j.Priority
		m.Counters.Preempted++
		m.log(Debug, "task stopped for a higher priority", "task", v.a.key.task, "machine", v.mc.id, "for", g.j.ID)
	}
}

// owe notes what a stopped task gave up when it is over. Without it, its own
// job took the room in the limit again at the same report.
func (m *Member) owe(s *shard, a *attempt) {
	o := s.owed[a.job.Team]
	if m.now.Steady >= o.until {
		o = owed{}
	}
	o.cpus += a.job.Request.CPUs
	o.gpus += a.job.Request.GPUs
	o.priority = max(o.priority, a.stoppedFor)
	o.until = m.now.Steady + 2*m.reportGap()
	s.owed[a.job.Team] = o
}

// repay takes a start off what its team is owed.
func (m *Member) repay(s *shard, j *Job) {
	o, ok := s.owed[j.Team]
	if !ok || j.Priority < o.priority {
		return
	}
	o.cpus -= j.Request.CPUs
	o.gpus -= j.Request.GPUs
	if o.cpus <= 0 && o.gpus <= 0 || m.now.Steady >= o.until {
		delete(s.owed, j.Team)
		return
	}
	s.owed[j.Team] = o
}

// owedTo is what a job must leave of its team's limit to others: to higher priorities,
// and to a first task that the limit holds up.
func (m *Member) owedTo(s *shard, j *Job) availability.Room {
	kept := s.keptFrom(j)
	if o, ok := s.owed[j.Team]; ok && j.Priority < o.priority && m.now.Steady < o.until {
		return kept.Add(availability.Room{CPUs: max(0, o.cpus), GPUs: max(0, o.gpus)})
	}
	return kept
}

func withoutMemory(r availability.Room) availability.Room {
	r.MemoryGB, r.DiskGB = 0, 0
	return r
}
