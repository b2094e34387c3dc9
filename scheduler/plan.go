package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/reconcile"
)

// farSpan is the horizon of a job without any aim, in leases: far enough that
// any job with a deadline goes first.
const farSpan = 100

// aims are the times that a job's tasks are admitted for. tight is when they
// must end to have started as their class's aims ask; due is the earliest time
// that still counts for something and can still be met. lost says that none can:
// due is then the last one, and the job aims late.
func (m *Member) aims(j *Job, accepted, length int64) (tight, due int64, lost bool) {
	far := accepted + farSpan*ms(m.p.LeaseS)
	start := far
	for _, o := range m.p.Objectives[j.Class] {
		if o.Kind == "wait" {
			start = min(start, accepted+ms(o.WithinS))
		}
	}
	if t := m.p.Teams[j.Team]; m.p.GuaranteeS > 0 && (t.CPUs > 0 || t.GPUs > 0) {
		start = min(start, accepted+ms(m.p.GuaranteeS))
	}
	due = far
	if ladder := m.rungs(j, accepted); len(ladder) > 0 {
		lost = true
		due = ladder[len(ladder)-1]
		for _, t := range ladder {
			if m.now.Wall+length <= t {
				due, lost = t, false
				break
			}
		}
	}
	return min(start+length, due), due, lost
}

// rungs are the times by which it counts that a job is done, in order.
func (m *Member) rungs(j *Job, accepted int64) []int64 {
	var ladder []int64
	if j.DeadlineS > 0 {
		ladder = append(ladder, accepted+ms(j.DeadlineS))
	}
	for _, o := range m.p.Objectives[j.Class] {
		switch o.Kind {
		case "deadline":
			if j.DeadlineS > 0 && o.Times > 1 {
				ladder = append(ladder, accepted+ms(j.DeadlineS*o.Times))
			}
		case "finished":
			ladder = append(ladder, accepted+ms(o.WithinS))
		}
	}
	slices.Sort(ladder)
	return ladder
}

// ask is what placement sees of a job.
func (j *Job) ask() planner.Ask {
	return planner.Ask{Request: j.Request, Image: j.Image, Types: j.Types, Zone: j.Zone, Spot: j.Spot}
}

// allowed tells whether a job may use a kind of machine at all.
func (m *Member) allowed(j *Job, typ, zone string, spot bool) bool {
	a := j.ask()
	return m.catalog.Allowed(&a, planner.Kind{Type: typ, Zone: zone, Spot: spot})
}

// fitsType tells whether some machine of a type may take a job.
func (m *Member) fitsType(j *Job, t *MachineType) bool {
	a := j.ask()
	return m.catalog.Fits(&a, m.catalog.Type(t.Name))
}

// short tells whether a type should be left to others by a job that fits other
// types too: some live job fits no other.
func (m *Member) short(j *Job, t *MachineType) bool {
	a := j.ask()
	return m.catalog.Short(&a, t.Name)
}

// withoutDisk leaves the image out: a machine that must make room for it does.
func withoutDisk(r availability.Room) availability.Room {
	r.DiskGB = 0
	return r
}

// fillBoard puts a shard's machines on its board, with a lane for each live attempt.
func (m *Member) fillBoard(s *shard) {
	wall := m.now.Wall
	b := s.board
	b.Begin(wall)
	s.onBoard = s.onBoard[:0]
	s.aimed = 0
	clear(s.rest)
	clear(s.pledged)
	for _, mc := range s.machines {
		mc.plan = nil
		if !m.usable(mc) {
			continue
		}
		upAt := wall
		if !mc.Up {
			boot := ms(m.types[mc.rec.Type].BootS)
			upAt = mc.rec.Rented + boot
			if late := wall - upAt; late > 0 {
				if late > boot*2 {
					continue // it may never come up
				}
				upAt = wall + late/2
			}
		} else if !mc.Squared() {
			upAt = wall + ms(m.p.LeaseS)/2
		}
		pm := b.Add(mc.id, planner.Kind{Type: mc.rec.Type, Zone: mc.rec.Zone, Spot: mc.rec.Spot}, mc.seat)
		pm.UpAt, pm.Up = upAt, mc.Squared()
		s.onBoard = append(s.onBoard, mc)
		for _, a := range mc.byKey {
			if a.exited {
				continue
			}
			pm.Free = pm.Free.Sub(a.job.Request)
			ends := a.ends(wall)
			pm.AddLane(a.job.Request, ends)
			s.rest[a.job.Team] += float64(ends-wall) * a.job.Request.CPUs
			if pm.Up && a.aimed {
				s.aimed += a.job.Request.CPUs
			}
		}
		pm.Free = pm.Free.Sub(m.held(mc))
		if p := mc.pledge; p != nil {
			s.pledged[p.w] += p.n
		}
		slices.SortFunc(pm.Lanes, func(a, b planner.Lane) int {
			return cmp.Or(cmp.Compare(a.Queue.Base, b.Queue.Base), cmp.Compare(a.Room.CPUs, b.Room.CPUs), cmp.Compare(a.Room.MemoryGB, b.Room.MemoryGB))
		})
	}
	b.Done()
}

// group is the tasks of one work that wait for a machine.
type group struct {
	planner.Group
	w *work
	j *Job
}

// newGroup makes a group of tasks of a work.
func (m *Member) newGroup(w *work, left int) *group {
	j := &w.job.rec.Job
	g := &group{w: w, j: j, Group: planner.Group{Ask: j.ask(), Priority: int(j.Priority), Left: left, Tasks: j.Tasks, Length: m.length(j), Accepted: w.job.rec.Accepted,
		Begun: w.begun(), Held: w.admitted, Name: j.ID, Lo: w.rng.Lo, Gang: j.Kind == Gang, OneZone: j.OneZone, Spread: j.Spread, Live: w.zones, Failed: w.failed}}
	g.Tight, g.Due, g.Lost = m.aims(j, g.Accepted, g.Length)
	return g
}

func sortGroups(gs []*group) {
	planner.Sort(gs, func(g *group) *planner.Group { return &g.Group })
}

// groups lists a shard's waiting work: higher priority first; within one, what
// can meet an aim before what can't, what was admitted keeps its place, then earliest deadline, then arrival.
func (m *Member) groups(s *shard) []*group {
	var out []*group
	for _, w := range s.works {
		waiting := m.plannable(w)
		if waiting <= 0 {
			continue
		}
		g := m.newGroup(w, waiting)
		g.Within = m.p.Quota && m.guaranteed(g.j)
		g.Aimed = g.Tight < g.Due && g.Tight-g.Length >= m.now.Wall
		out = append(out, g)
	}
	sortGroups(out)
	if m.admitToTeams(s, out) {
		sortGroups(out)
	}
	if m.p.Quota && m.level(out) {
		sortGroups(out)
	}
	return m.age(out)
}

// admitToTeams admits groups to their teams' limits as tasks are admitted to
// machines: a limit is a queue that works at the speed of its processors. A
// group that would not be done in time there, or would make one late that was
// admitted, aims for the next time that counts, or goes last. Without it a team
// over its limit ran the earliest deadlines, which it had missed already, and
// nothing in time.
func (m *Member) admitToTeams(s *shard, gs []*group) (changed bool) {
	queues := map[string]*availability.Queue{}
	for _, g := range gs {
		part, t, limited := m.part(s, g.j.Team)
		if !limited || t.MaxCPUs <= 0 || part.CPUs <= 0 || g.j.Kind != Array || g.Lost {
			continue
		}
		q := queues[g.j.Team]
		if q == nil {
			q = &availability.Queue{Base: m.now.Wall + int64(s.rest[g.j.Team]/part.CPUs)}
			queues[g.j.Team] = q
		}
		work := int64(float64(g.Left) * g.j.Request.CPUs / part.CPUs * float64(g.Length))
		// However wide the limit, its last task takes its length.
		tail := max(0, g.Length-work)
		if q.Admit(g.Due-tail, work, 1) == 1 {
			continue
		}
		changed, g.Lost = true, true
		for _, t := range m.rungs(g.j, g.w.job.rec.Accepted) {
			if t > g.Due && q.Admit(t-tail, work, 1) == 1 {
				g.Due, g.Lost = t, false
				break
			}
		}
	}
	return changed
}

// plan admits a shard's waiting work to its machines' queues, tightest aims
// first, and notes what starts now and what no machine can take in time.
func (m *Member) plan(s *shard) {
	m.Counters.Replans++
	s.dirty, s.hasten, s.planned = false, false, m.now.Steady
	s.needs = s.needs[:0]
	if !s.ready {
		return
	}
	m.catalog.Need(func(yield func(planner.Ask) bool) {
		for _, j := range m.jobs {
			if !yield(j.rec.Job.ask()) {
				return
			}
		}
	})
	b := s.board
	m.fillBoard(s)
	m.setReserve(s)
	s.queue = m.groups(s)
	b.Steps += len(s.queue)
	b.Line = s.squares.Line.Room(m.now.Steady, m.now.Steady+max(m.reportGap(), int64(2*m.planGap(s))))
	// What a plan starts uses its team's limit up for what comes behind, and what it
	// asks machines for, for what asks behind. Each group saw all that was free of
	// the limit, and machines were rented for all of them: in the second after an
	// end of all, and wherever a team had some room and many jobs that fit nowhere.
	begun, asked := map[string]availability.Room{}, map[string]availability.Room{}
	of := func(n int, j *Job) availability.Room {
		return availability.Room{CPUs: float64(n) * j.Request.CPUs, GPUs: float64(n) * j.Request.GPUs}
	}
	clear(s.soon)
	clear(s.kept)
	s.cedes = nil
	for _, g := range s.queue {
		if m.now.Steady < g.w.retryAt || m.blocked(s, g.w) || g.w.moving {
			continue
		}
		cap := m.teamCopies(s, g.j, begun[g.j.Team])
		if g.First && cap == 0 {
			m.keep(s, g)
		}
		if cap < g.Left {
			// More cannot run at once; asking for machines would not help.
			m.couldUse(s, g)
			g.Left = cap + m.preemptable(s, g, g.Left-cap)
		}
		g.Askable = m.teamCopies(s, g.j, begun[g.j.Team].Add(asked[g.j.Team])) + max(0, g.Left-cap)
		if g.Left > 0 {
			started := m.place(s, g)
			if started > cap {
				m.preempt(s, g, started-cap)
			}
			m.giveGuarantee(s, g, min(g.Waiting, cap-started))
			begun[g.j.Team] = begun[g.j.Team].Add(of(started, g.j))
			asked[g.j.Team] = asked[g.j.Team].Add(of(g.Asked, g.j))
		}
	}
	m.foresee(s)
	s.spare, s.steps = b.Spare, b.Steps
	if s.squares.Waits(m.now.Steady) {
		// Machines that have not spoken yet would serve: nothing is rented for
		// what they take, nor moved, until they had the time to.
		s.needs, s.foreseen = s.needs[:0], s.foreseen[:0]
	}
}

// foresee notes what tasks will need that run on machines with a notice and will
// not end before it: a new machine takes longer to boot than a notice lasts, and
// without it is asked for only when they are lost.
func (m *Member) foresee(s *shard) {
	s.foreseen = s.foreseen[:0]
	doomed := map[*work]int{}
	for _, mc := range s.machines {
		if mc.goneAt == 0 || mc.live == 0 || mc.Standing() == reconcile.Silent {
			continue
		}
		until := m.now.Wall + mc.goneAt - m.now.Steady
		for _, a := range mc.byKey {
			if !a.exited && a.ends(m.now.Wall) > until && m.jobs[a.job.ID] == a.work.job {
				doomed[a.work]++
			}
		}
	}
	if len(doomed) == 0 {
		return
	}
	machines := s.board.Machines()
	free := make([]availability.Room, len(machines))
	for i, pm := range machines {
		free[i] = pm.Free
	}
	for _, w := range s.works {
		left := doomed[w]
		if left == 0 {
			continue
		}
		j := &w.job.rec.Job
		req := withoutDisk(j.Request)
		ask := j.ask()
		for i, pm := range machines {
			if left == 0 {
				break
			}
			if !m.catalog.Allowed(&ask, pm.Kind) || m.catalog.Short(&ask, pm.Kind.Type) {
				continue
			}
			n := free[i].Copies(req, left)
			left -= n
			for range n {
				free[i] = free[i].Sub(req)
			}
		}
		if left > 0 {
			length := m.length(j)
			_, due, _ := m.aims(j, w.job.rec.Accepted, length)
			s.foreseen = append(s.foreseen, Need{Job: j.ID, Count: left, Deadline: due, Length: length, SpotOnly: j.Spot})
		}
	}
}

// reserveShare is how much room is kept free for jobs with a start aim by jobs
// that have none and can wait in a queue in time, against how much the use of
// the former varies. If jobs arrive at random, that is the root of their average
// use times the size of one: a share of the use itself, which did for a few
// machines, kept a tenth of hundreds idle.
const reserveShare = 0.5

// reserveMemory is over how many leases that average runs.
const reserveMemory = 3

// setReserve brings the reserve of a shard up to date: room on machines that are
// up for the next jobs of classes with a start aim.
func (m *Member) setReserve(s *shard) {
	n, size := 0.0, 0.0
	for _, w := range s.works {
		if j := &w.job.rec.Job; m.startAim(j) {
			n++
			size += float64(w.size()) * j.Request.CPUs
		}
	}
	if passed := float64(m.now.Steady - s.reserveAt); passed > 0 {
		part := min(1, passed/(reserveMemory*m.p.LeaseS*1000))
		s.average += (s.aimed - s.average) * part
		if n > 0 {
			s.jobSize += (size/n - s.jobSize) * part
		}
		s.reserveAt = m.now.Steady
	}
	s.reserve = min(s.average, math.Sqrt(s.average*s.jobSize)) * reserveShare
	s.board.Reserve = s.reserve
}

// startAim tells whether a job's class has a start aim of its own.
func (m *Member) startAim(j *Job) bool {
	return slices.ContainsFunc(m.p.Objectives[j.Class], func(o Objective) bool { return o.Kind == "wait" })
}

// place admits a group to the shard's machines and returns how many of its
// tasks start now.
func (m *Member) place(s *shard, g *group) int {
	if g.Gang {
		g.Try, g.Short = planner.TryNew, g.Left < g.w.pending()
		if g.w.nBusy > 0 {
			// Its machines are told one after the other, as they report.
			if g.Try = planner.TryWaits; m.now.Steady-g.w.gangAt < 3*m.reportGap() {
				g.Try = planner.TryGoesOn
			}
		}
	}
	p := s.board.Place(&g.Group, m.settings.LateShare)
	if p.Gang {
		g.w.gangAt, g.w.gangTry, g.w.gangSent = m.now.Steady, s.numbers.Next(m.now.Wall), newBits(g.w.size())
	}
	g.w.admitted = p.Held
	for _, st := range p.Starts {
		mc := s.onBoard[st.At]
		mc.plan = append(mc.plan, planned{w: g.w, n: st.N, length: g.Length, fetch: st.Fetch, aimed: g.Aimed})
	}
	for _, n := range p.Needs {
		s.needs = append(s.needs, Need{Job: g.j.ID, Count: n.Count, Deadline: n.Deadline, Length: g.Length, SpotOnly: n.SpotOnly})
	}
	return p.Started
}

// summary is a shard's availability as its peers see it.
func (m *Member) summary(s *shard) availability.Summary {
	return s.board.Summary(m.now.Wall+farSpan*ms(m.p.LeaseS), m.settings.Functions, m.settings.Samples)
}
