package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
)

// A team gets its guarantee by what other teams run beyond theirs: where work that
// is within it finds no room, tasks of theirs are stopped (package quota says whose,
// and how much). It is a second exception from queues that are never preempted,
// beside the one for a team's own limit (preempt.go).

// pledge is room on a machine that is kept for tasks of a work, since others are
// stopped there for it.
type pledge struct {
	w    *work
	n    int   // tasks
	till int64 // steady time
	sent bool  // the stops went straight to the worker
}

// standing is which live jobs are within their teams' guarantees, and how much all
// live jobs of each team ask for.
type standing struct {
	known  bool
	within map[string]bool
	sizes  map[string]quota.Amounts
}

func guaranteeOf(t Team) quota.Amounts { return quota.Amounts{CPUs: t.CPUs, GPUs: t.GPUs} }

func sizeOf(j *Job) quota.Amounts {
	return amountsOf(j.Request).Times(float64(j.Tasks))
}

// guaranteed tells whether a job is within its team's guarantee, as the mirror has
// the jobs; one that is not accepted yet would be the team's newest.
func (m *Member) guaranteed(j *Job) bool {
	g := guaranteeOf(m.p.Teams[j.Team])
	if g == (quota.Amounts{}) {
		return false
	}
	st := &m.standing
	if !st.known {
		byTeam := map[string][]quota.Job{}
		for id, o := range m.jobs {
			if team := o.rec.Job.Team; guaranteeOf(m.p.Teams[team]) != (quota.Amounts{}) {
				byTeam[team] = append(byTeam[team], quota.Job{ID: id, At: o.rec.Accepted, Size: sizeOf(&o.rec.Job)})
			}
		}
		*st = standing{true, map[string]bool{}, map[string]quota.Amounts{}}
		for team, jobs := range byTeam {
			slices.SortFunc(jobs, quota.Job.Compare) // the same sum every time
			for id := range quota.Within(guaranteeOf(m.p.Teams[team]), jobs) {
				st.within[id] = true
			}
			for _, o := range jobs {
				st.sizes[team] = st.sizes[team].Add(o.Size)
			}
		}
	}
	if m.jobs[j.ID] != nil {
		return st.within[j.ID]
	}
	return g.Fits(st.sizes[j.Team].Add(sizeOf(j)))
}

// amountsOf is what a request takes of limits and guarantees.
func amountsOf(r availability.Room) quota.Amounts { return quota.Amounts{CPUs: r.CPUs, GPUs: r.GPUs} }

// ownUse is what a team uses in this member's shards. What is told to stop for a
// guarantee is not used any more.
func (m *Member) ownUse(team string) (use quota.Amounts) {
	for _, s := range inOrder(m.mine) {
		use = use.Add(amountsOf(s.use[team])).Sub(s.ceded[team])
	}
	return use.Max(quota.Amounts{})
}

// teamUse is what teams use and wait for in this member's shards.
func (m *Member) teamUse() (use, wait map[string]quota.Amounts) {
	use, wait = map[string]quota.Amounts{}, map[string]quota.Amounts{}
	for _, s := range inOrder(m.mine) {
		for team := range s.use {
			if u := m.ownUse(team); u != (quota.Amounts{}) {
				use[team] = u
			}
		}
		for _, w := range s.works {
			if n := w.pending(); n > 0 {
				j := &w.job.rec.Job
				wait[j.Team] = wait[j.Team].Add(amountsOf(j.Request).Times(float64(n)))
			}
		}
	}
	return use, wait
}

// level tells groups how far their teams are beyond their guarantees: by what they use
// over all members, and by what goes before in this shard. So what is free beyond the
// guarantees goes to who has least, not to who asks first or most. It says whether any
// two differ.
func (m *Member) level(gs []*group) bool {
	own, waits := m.teamUse()
	since := m.now.Steady - m.freshFor()
	use := map[string]quota.Amounts{}
	for team := range m.p.Teams {
		u, w, _ := m.watch.Others(team, m.now.Steady, since)
		if u = u.Add(own[team]); u != (quota.Amounts{}) || w.Add(waits[team]) != (quota.Amounts{}) {
			use[team] = u
		}
	}
	if len(use) < 2 {
		return false
	}
	all := m.capacityUp()
	differ := false
	for _, g := range gs {
		team := g.j.Team
		if !g.Within {
			g.Level = quota.Level(use[team], guaranteeOf(m.p.Teams[team]), all, len(use))
		}
		use[team] = use[team].Add(amountsOf(g.j.Request).Times(float64(g.Left)))
		differ = differ || g.Level != gs[0].Level
	}
	return differ
}

// capacity is what all machines that are up have, as of a moment.
type capacity struct {
	at  int64 // steady time; 0: never
	all quota.Amounts
}

// capacityUp is what all machines that are up have, of all members. Counted for each plan, the whole fleet
// was looked at several times a second; shares of it need no more than a second's exactness.
func (m *Member) capacityUp() quota.Amounts {
	if m.up.at == 0 || m.now.Steady-m.up.at > ms(m.settings.SummaryS) {
		m.up = capacity{at: m.now.Steady}
		ups := map[string]int{}
		for _, mc := range m.machines {
			if mc.Up {
				ups[mc.rec.Type]++
			}
		}
		for name, n := range inOrder(ups) { // the same sum every time
			if t := m.types[name]; t != nil {
				m.up.all = m.up.all.Add(amountsOf(t.Room).Times(float64(n)))
			}
		}
	}
	return m.up.all
}

// bundle is tasks on one machine whose stop gives room for one more of a group.
type bundle struct {
	mc       *machine
	pm       *planner.Machine
	victims  []*attempt
	priority Priority // the highest of them
	fetch    int64    // the image is missing there: as long
	lost     float64  // work that is lost with them, in processor milliseconds
}

// cedes tells whether an attempt may be stopped for another team's guarantee. What
// ends by itself as soon is not; nor what was stopped for that team before.
func (m *Member) cedes(a *attempt, team string) bool {
	if a.exited || a.saving || a.stopped || a.evicted || a.job.Kind != Array || a.job.Once || a.job.Team == team {
		return false
	}
	return a.ends(m.now.Wall)-m.now.Wall > m.stopTime(a.job) && a.work.ceded[a.index] != team && !m.guaranteed(a.job)
}

// stopTime is how long a stop takes until its room can be used. It goes straight to the
// worker, which tells of its end soon after: counted as for two reports, so many tasks
// were about to end by themselves that nothing was stopped for half of the time that a
// guarantee promises.
func (m *Member) stopTime(j *Job) int64 { return m.reportGap()/2 + ms(j.SaveS) }

// loss is the work that a stop costs.
func (m *Member) loss(a *attempt) float64 {
	switch {
	case !a.running:
		return 0
	case a.job.CheckpointS > 0:
		return float64(ms(a.job.SaveS)) * a.job.Request.CPUs
	}
	return float64(m.now.Wall-a.ranAt) * a.job.Request.CPUs
}

// bundles lists what could be stopped on a machine for a group, a copy of its request
// after the other, and how many find room there by themselves before a stop would help.
func (m *Member) bundles(mc *machine, pm *planner.Machine, g *group, limit int) (out []bundle, soon int) {
	req := withoutDisk(g.j.Request)
	var list []*attempt
	room := pm.Free
	ending := false
	for _, a := range mc.byKey {
		switch {
		case a.exited || a.stopped || a.evicted:
		case a.ends(m.now.Wall)-m.now.Wall <= m.stopTime(a.job):
			room = room.Add(withoutDisk(a.job.Request))
			ending = true
		case m.cedes(a, g.j.Team):
			list = append(list, a)
		}
	}
	if ending {
		soon = room.Copies(req, limit)
		for range soon {
			room = room.Sub(req)
		}
	}
	if len(list) == 0 || mc.pledge != nil {
		return nil, soon
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(m.loss(a)/a.job.Request.CPUs, m.loss(b)/b.job.Request.CPUs),
			cmp.Compare(a.key.task, b.key.task), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	fetch := m.fetchTime(g.j, mc, m.types[mc.rec.Type])
	b := bundle{mc: mc, pm: pm, fetch: fetch}
	for _, a := range list {
		room = room.Add(withoutDisk(a.job.Request))
		b.victims = append(b.victims, a)
		b.priority = max(b.priority, a.job.Priority)
		b.lost += m.loss(a)
		for room.Holds(req) && len(out) < limit {
			room = room.Sub(req)
			out = append(out, b)
			b = bundle{mc: mc, pm: pm, fetch: fetch}
		}
	}
	return out, soon
}

// giveGuarantee stops tasks that other teams run beyond their guarantees for tasks of a
// group that are within its team's and found no room. No more work is lost by a stop
// than the task that it makes room for has.
func (m *Member) giveGuarantee(s *shard, g *group, missing int) {
	if !m.p.Quota || !g.Within || g.Lost || g.j.Kind == Gang || g.j.whole() || len(s.squares.Unseen()) > 0 || s.squares.Line.On(m.now.Steady) {
		return
	}
	if missing -= s.pledged[g.w]; missing <= 0 || !m.ceding(s, g.j.Team) {
		return
	}
	var all []bundle
	for i, pm := range s.board.Machines() {
		if missing <= 0 {
			return
		}
		mc := s.onBoard[i]
		if !pm.Up || !mc.Squared() || !m.catalog.Allowed(&g.Ask, pm.Kind) || g.w.failed[mc.id] > 0 {
			continue
		}
		bs, soon := m.bundles(mc, pm, g, missing)
		missing -= soon
		all = append(all, bs...)
	}
	slices.SortStableFunc(all, func(a, b bundle) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.fetch, b.fetch), cmp.Compare(a.lost, b.lost))
	})
	most := float64(g.Length) * g.j.Request.CPUs
	if g.j.Kind == Service {
		most = math.Inf(1) // its replicas run for as long as nobody cancels them
	}
	skip := map[*machine]bool{}
	for _, b := range all {
		if missing <= 0 {
			return
		}
		// The second bundle of a machine counts on the first.
		if skip[b.mc] || b.lost > most || !m.mayCede(b.victims) {
			skip[b.mc] = true
			continue
		}
		m.cede(s, g, b)
		missing--
	}
}

// ceding tells whether any team but one may have something to cede here: looked up once a
// plan, so that a fleet on which nobody has costs nothing more.
func (m *Member) ceding(s *shard, but string) bool {
	if s.cedes == nil {
		s.cedes = map[string]bool{}
		use, _ := m.teamUse()
		for team, u := range use {
			if e := m.watch.Excess(team, u, guaranteeOf(m.p.Teams[team]), m.now.Steady-m.freshFor()); e.CPUs > 0 || e.GPUs > 0 {
				s.cedes[team] = true
			}
		}
	}
	return len(s.cedes) > 1 || len(s.cedes) == 1 && !s.cedes[but]
}

// mayCede takes what is to be stopped off what may be, if all of it may.
func (m *Member) mayCede(victims []*attempt) bool {
	need := map[string]quota.Amounts{}
	for _, a := range victims {
		need[a.job.Team] = need[a.job.Team].Add(amountsOf(a.job.Request))
	}
	since := m.now.Steady - m.freshFor()
	for team, n := range need {
		if e := m.watch.Excess(team, m.ownUse(team), guaranteeOf(m.p.Teams[team]), since); !e.Fits(n) {
			return false
		}
	}
	for team, n := range need {
		m.watch.Stop(team, m.ownUse(team), guaranteeOf(m.p.Teams[team]), since, n)
	}
	return true
}

func (m *Member) cede(s *shard, g *group, b bundle) {
	before := m.held(b.mc)
	wait := int64(0)
	for _, a := range b.victims {
		a.stopped, a.ceded = true, true
		if a.work.ceded == nil {
			a.work.ceded = map[int]string{}
		}
		a.work.ceded[a.index] = g.j.Team
		s.ceded[a.job.Team] = s.ceded[a.job.Team].Add(amountsOf(a.job.Request))
		wait = max(wait, m.stopTime(a.job))
		m.Counters.Ceded++
		m.log(Debug, "task stopped for a guarantee", "task", a.key.task, "machine", b.mc.id, "team", a.job.Team, "for", g.j.ID)
	}
	if b.mc.pledge == nil {
		b.mc.pledge = &pledge{w: g.w}
	}
	b.mc.pledge.n++
	s.pledged[g.w]++
	b.mc.pledge.sent = false
	b.mc.pledge.till = m.now.Steady + wait + 2*m.reportGap()
	b.pm.Free = b.pm.Free.Add(before).Sub(m.held(b.mc)) // what else it takes, the plan may not give away
	s.board.Changed(b.pm)
}

// held is the room of a machine that is kept for its pledge: what is pledged, less
// what the tasks have that are told to stop for it.
func (m *Member) held(mc *machine) availability.Room {
	p := mc.pledge
	if p == nil {
		return availability.Room{}
	}
	if m.now.Steady > p.till || p.w.claim != mc.claim || !m.current(p.w) || p.w.pending() == 0 {
		mc.pledge = nil
		return availability.Room{}
	}
	req := withoutDisk(p.w.job.rec.Job.Request)
	var r availability.Room
	for range min(p.n, p.w.pending()) {
		r = r.Add(req)
	}
	for _, a := range mc.byKey {
		if a.ceded && !a.exited {
			r = r.Sub(withoutDisk(a.job.Request))
		}
	}
	return availability.Room{CPUs: max(0, r.CPUs), GPUs: max(0, r.GPUs), MemoryGB: max(0, r.MemoryGB)}
}

// stopNow sends the stops for pledges straight to their workers: a report later, half
// of the time that a guarantee promises would be over. One that fails goes with the
// next report's answer.
func (m *Member) stopNow(s *shard) {
	for _, mc := range s.machines {
		p := mc.pledge
		if p == nil || p.sent || mc.doing || mc.refused || !mc.Squared() || mc.addr == "" || m.now.Steady-mc.Last > m.reportGap() {
			continue
		}
		p.sent = true
		mc.commands = mc.commands[:0]
		for _, a := range mc.byKey {
			if a.ceded && !a.exited && !a.saving {
				m.command(s, mc, Command{Kind: Stop, Task: a.key.task, Attempt: a.key.attempt, GraceS: a.job.SaveS + m.p.ReportS})
			}
		}
		if len(mc.commands) > 0 {
			slices.SortFunc(mc.commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
			m.sendDo(s, mc, mc.Session, nil)
		}
	}
}

// current tells whether a work is still a live job's range of ours. One that went to a
// peer is not: started from a pledge all the same, its tasks ran twice.
func (m *Member) current(w *work) bool {
	return m.jobs[w.job.rec.Job.ID] == w.job && w.job.works[w.rng.Lo] == w
}

// redeem starts what a machine's room was pledged to, as soon as it is there.
func (m *Member) redeem(s *shard, mc *machine, r *Report) {
	if m.held(mc); mc.pledge == nil || !m.usable(mc) || !mc.Up || !mc.Squared() || !m.authority() {
		return
	}
	p := mc.pledge
	j := &p.w.job.rec.Job
	for p.n > 0 && !p.w.moving && m.now.Steady >= p.w.retryAt {
		i := p.w.next()
		if i < 0 || !m.room(mc).Holds(j.Request) || !m.mayStart(s, p.w, mc) || !m.numbered(s) || !s.squares.Line.Start(m.now.Steady, true) {
			return
		}
		m.start(s, mc, p.w, i, m.length(j), m.fetchTime(j, mc, m.types[mc.rec.Type]), r)
	}
}

// tellUse gives peers the figures of this member's shards, if it sees all of them.
func (m *Member) tellUse() quota.Figures {
	if !m.authority() {
		return quota.Figures{}
	}
	use, wait := m.teamUse()
	return m.watch.Tell(m.now.Wall, use, wait)
}
