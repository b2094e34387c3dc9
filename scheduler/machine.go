package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// attemptKey names one attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

func (a *attempt) compare(key attemptKey) int {
	return cmp.Or(strings.Compare(a.key.task, key.task), cmp.Compare(a.key.attempt, key.attempt))
}

// attempt is a start that is not known to be over. Until then it counts: for
// its machine's room, its team's limit and its job's zones, and its task is
// started nowhere else.
type attempt struct {
	key   attemptKey
	job   *Job // of its work
	work  *work
	claim *shard
	index int // in work
	at    int // in its team's live attempts
	shard string
	on    *machine

	session  uint64
	afterSeq uint64 // the start rode in the answer to this report
	doToken  uint64 // the start went straight to the worker, with this token, and was not answered yet
	seen     bool
	running  bool
	adopted  bool // started under an earlier claim: when it began to run is a guess
	exited   bool
	placedAt int64 // time of day
	ranAt    int64
	length   int64 // expected run time
	fetch    int64 // expected fetch time
	saving   bool
	unbegun  bool // ended, and there is evidence that it never began

	evicted    bool // told to stop, for its machine to be emptied
	aimed      bool // its class has a start aim
	ceded      bool // to be stopped for another team's guarantee
	stopped    bool // to be stopped, for that or for a higher priority
	stoppedFor Priority
}

// ends is when the attempt is expected to end. One that overran is expected to
// go on for a share of what it took so far: a queue behind it must not be told
// that it ends now, again and again.
func (a *attempt) ends(wall int64) int64 {
	start := a.placedAt + a.fetch
	if a.running {
		start = a.ranAt
	} else if wall > start {
		start = wall
	}
	end := start + a.length
	if end <= wall {
		end = wall + (wall-start)/4 + 1
	}
	return end
}

// machine is a machine of the fleet. What follows rec is known only to the
// member that holds the machine's shard.
type machine struct {
	id     string
	rec    *rosterRecord // shared by all machines of the roster
	roster string        // its key

	// How it stands under the claim by which the rest was learnt.
	*reconcile.Machine
	claim     *shard
	goneAt    int64 // steady time at which a spot notice ends; 0: none
	full      int64 // no starts before (it refused one for want of room)
	unheard   bool  // the last start in a report's answer did not reach it
	faults    map[string]bool
	attempts  map[attemptKey]*attempt
	byKey     []*attempt        // the attempts in order of their keys: loops over them give the same each time
	live      int               // attempts that are not over
	use       availability.Room // of them
	seat      *planner.Seat     // its images; nil: not of our shards
	idleAt    int64             // steady time since when nothing runs
	plan      []planned
	pledge    *pledge
	commands  []Command
	squared   bool   // was squared under this claim
	aside     bool   // takes no more starts, by an operator's wish
	returning bool   // the lead is asked to return it
	addr      string // as it last reported
	refused   bool   // it refused a direct command: none until it reports
	doing     bool   // commands to the worker itself are under way
	strays    int    // tasks on it that are not ours to keep and not gone yet
}

// planned is a start that the plan wants on a machine now.
type planned struct {
	w      *work
	n      int
	length int64
	fetch  int64
	aimed  bool // a start aim or a guarantee waits for it
}

// machineKnown takes in a machine that a roster names.
func (m *Member) machineKnown(id, key string, rec *rosterRecord) {
	mc := m.machines[id]
	if mc == nil {
		mc = &machine{id: id, rec: rec, roster: key, Machine: &reconcile.Machine{ID: id}}
		for k, list := range m.ups {
			if strings.HasPrefix(k, upPrefix+rec.Shard+"/") && slices.Contains(list, id) {
				mc.Up = true
			}
		}
		m.machines[id] = mc
		m.resetMachine(mc)
		if s := m.mine[rec.Shard]; s != nil {
			at, _ := slices.BinarySearchFunc(s.machines, id, (*machine).compare)
			s.machines = slices.Insert(s.machines, at, mc)
			s.dirty = true
		}
	}
	mc.rec, mc.roster = rec, key
	m.answerWaiting(id)
}

func (mc *machine) compare(id string) int { return strings.Compare(mc.id, id) }

// resetMachine forgets what an earlier claim knew of a machine. Silence counts
// from here: whoever answered it before did so before this claim.
func (m *Member) resetMachine(mc *machine) {
	for _, a := range mc.byKey {
		m.end(mc, a)
	}
	mc.seat.Leave()
	*mc = machine{id: mc.id, rec: mc.rec, roster: mc.roster, Machine: &reconcile.Machine{ID: mc.id, Up: mc.Up}, idleAt: m.now.Steady}
	if s := m.mine[mc.rec.Shard]; s != nil {
		mc.claim, mc.Machine, mc.seat = s, s.squares.Add(mc.id, mc.Up, m.now.Steady), s.board.NewSeat()
	}
}

// machineGone handles the removal of a machine from its roster, which follows only
// the cloud's word that the machine is gone with everything on it.
func (m *Member) machineGone(id string) {
	mc := m.machines[id]
	if mc == nil {
		return
	}
	delete(m.machines, id)
	mc.seat.Leave()
	for _, a := range slices.Backward(mc.byKey) {
		m.over(mc, a)
	}
	if s := m.mine[mc.rec.Shard]; s != nil {
		s.dirty = true
		if mc.claim == s {
			s.squares.Remove(mc.Machine)
			m.forgetStrays(s, mc)
		}
		if at, ok := slices.BinarySearchFunc(s.machines, id, (*machine).compare); ok {
			s.machines = slices.Delete(s.machines, at, at+1)
		}
	}
}

// over frees what an attempt held, once there is evidence that it is over.
func (m *Member) over(mc *machine, a *attempt) {
	delete(mc.attempts, a.key)
	// A loop that goes backward over byKey may call this for the attempt it is at.
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey = slices.Delete(mc.byKey, at, at+1)
	}
	if !a.exited && !a.unbegun {
		m.lostOnce(a)
		if a.running && !a.evicted {
			m.tally.Losses++
		}
		if acc := a.claim.disrupted.account; acc != nil && !a.evicted {
			acc.Lose(a.key.task, a.job.Team)
		}
	}
	m.end(mc, a)
}

// begin counts an attempt: for its machine, its team, its job's zones.
func (m *Member) begin(mc *machine, a *attempt) {
	s, team := a.claim, a.job.Team
	s.use[team] = s.use[team].Add(a.job.Request)
	a.at, a.on, a.aimed = len(s.live[team]), mc, m.startAim(a.job)
	s.live[team] = append(s.live[team], a)
	a.work.take(a.index)
	a.work.zones[mc.rec.Zone]++
	if mc.attempts == nil {
		// Most machines of the mirror are other members', which run nothing here.
		mc.attempts = map[attemptKey]*attempt{}
	}
	mc.attempts[a.key] = a
	if at, ok := slices.BinarySearchFunc(mc.byKey, a.key, (*attempt).compare); ok {
		mc.byKey[at] = a
	} else {
		mc.byKey = slices.Insert(mc.byKey, at, a)
	}
	mc.live++
	mc.use = mc.use.Add(a.job.Request)
}

// end takes back what begin counted, once. The attempt may stay on its machine
// until its result is stored.
func (m *Member) end(mc *machine, a *attempt) {
	if a.exited {
		return
	}
	a.exited = true
	a.work.free(a.index)
	a.work.zones[mc.rec.Zone]--
	if a.running {
		a.work.running--
	}
	s, team := a.claim, a.job.Team
	s.use[team] = s.use[team].Sub(a.job.Request)
	last := len(s.live[team]) - 1
	s.live[team][a.at] = s.live[team][last]
	s.live[team][a.at].at = a.at
	s.live[team] = s.live[team][:last]
	s.dirty = true
	if a.ceded {
		c := a.claim.ceded
		c[a.job.Team] = c[a.job.Team].Sub(amountsOf(a.job.Request)).Max(quota.Amounts{})
	} else if a.stopped {
		m.owe(a.claim, a)
	}
	a.claim.spare += a.job.Request.CPUs
	mc.live--
	mc.use = mc.use.Sub(a.job.Request)
	if mc.live == 0 {
		mc.use = availability.Room{}
		mc.idleAt = m.now.Steady
	}
}

// usable tells whether starts may go to the machine. While a note says what it
// holds, nothing else may: whoever claims its shard next goes by the note.
func (m *Member) usable(mc *machine) bool {
	if mc.returning || mc.aside || mc.Standing() == reconcile.Silent || mc.Deaf() || mc.goneAt != 0 || m.now.Steady < mc.full || m.types[mc.rec.Type] == nil {
		return false
	}
	if mc.claim == nil {
		return true
	}
	_, noted := mc.claim.squares.Book.Holds(mc.id)
	return !noted
}

// silentTooLong tells whether a machine whose lease is over is to be returned. One that is
// silent alone is at fault itself. Where most of a shard are, it is rather this member that
// cannot be reached, and they come back one after the other when it can: they are kept for
// as long as idle ones, since others would take a boot time to replace them.
func (m *Member) silentTooLong(s *shard, mc *machine, t *MachineType) bool {
	now, leaseEnd, patience := m.now.Steady, s.squares.LeaseEnd(mc.Machine), ms(m.p.LeaseS)/2
	if now > max(leaseEnd, s.mostSilent)+patience {
		return true
	}
	kept := patience
	if t != nil {
		kept = max(kept, ms(t.BootS*m.settings.IdleBoots))
	}
	return now > leaseEnd+kept
}

// mostAreSilent tells whether more than half of a shard's machines are silent that spoke to
// this claim before.
func (s *shard) mostAreSilent() bool {
	silent, spoke := 0, 0
	for _, mc := range s.machines {
		switch mc.Standing() {
		case reconcile.Silent:
			silent++
			spoke++
		case reconcile.Squared:
			spoke++
		}
	}
	return silent*2 > spoke && silent > 1
}

// tickMachine takes note of silence and idleness.
func (m *Member) tickMachine(s *shard, mc *machine) {
	now := m.now.Steady
	t := m.types[mc.rec.Type]
	if s.squares.Lost(mc.Machine, now) {
		lostTasks := mc.live
		for _, a := range slices.Backward(mc.byKey) {
			m.over(mc, a)
		}
		m.Counters.Lost += uint64(lostTasks)
		m.log(Info, "machine silent past its lease", "machine", mc.id, "tasks", lostTasks)
		s.dirty = true
	}
	if mc.goneAt != 0 && now > mc.goneAt-m.reportGap() && now > mc.Last+m.reportGap() || mc.goneAt != 0 && now > mc.goneAt {
		// The notice ran out. Returning the machine makes its end certain,
		// and its tasks need not wait for the lease.
		m.drain(s, mc, "spot notice ended")
	}
	if mc.goneAt != 0 && mc.Squared() && mc.live == 0 {
		m.drain(s, mc, "empty, on spot notice")
	}
	if mc.Standing() == reconcile.Silent && m.silentTooLong(s, mc, t) {
		m.drain(s, mc, "silent")
	}
	// Asked again each time: taken off the list, the machine takes work again.
	if listed := slices.Contains(m.settings.Drain, mc.id) || m.covered(mc); listed != mc.aside {
		mc.aside, s.dirty = listed, true
		m.log(Info, "machine set aside", "machine", mc.id, "on", listed, "tasks", mc.live)
	}
	if mc.aside && mc.live == 0 {
		m.drain(s, mc, "drained by an operator")
	}
	if t == nil || !mc.Up || mc.live > 0 {
		return
	}
	if mc.Squared() && len(mc.faults) >= 2 {
		m.drain(s, mc, "tasks of several jobs failed")
	}
	idle := ms(t.BootS * m.settings.IdleBoots)
	if !mc.rec.Spot {
		// Ordinary machines are kept as long as a spot machine for the
		// same money would be.
		idle = int64(float64(idle) * t.SpotPrice / max(t.Price, t.SpotPrice))
	}
	if !mc.returning && mc.Squared() && !s.squares.Line.On(now) && len(mc.plan) == 0 && now-mc.idleAt > idle && m.now.Wall-mc.rec.Rented > 60_000 && !m.useful(s, mc) && !m.replaces(mc) && m.mayReturn(s) {
		m.drain(s, mc, "idle")
	}
}

// mayReturn spreads the returns of idle machines in the first while after a claim:
// since when they are idle nobody knows, and counted from the claim for all, they were
// returned in the same second. Given a random time more each, they cost more (price
// 2.82 to 3.00 on days of five ends).
func (m *Member) mayReturn(s *shard) bool {
	now := m.now.Steady
	if now-s.squares.Since() > 10*ms(m.p.LeaseS) {
		return true
	}
	if now < s.nextReturn {
		return false
	}
	s.nextReturn = now + 250
	return true
}

// replaces tells whether a machine was rented for a plan that goes on: it is idle
// until those that it replaces are emptied.
func (m *Member) replaces(mc *machine) bool {
	r := m.roll.rec
	return r != nil && m.p.Rollout && !r.State.Over() && mc.rec.For == r.Plan.ID
}

// useful tells whether waiting work of the shard could run on a machine. Work
// that only another type takes must not keep it.
func (m *Member) useful(s *shard, mc *machine) bool {
	for _, n := range s.needs {
		if j := m.jobs[n.Job]; j != nil && !(n.SpotOnly && !mc.rec.Spot) && m.allowed(&j.rec.Job, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) {
			return true
		}
	}
	return false
}

// reportGap is the longest time between two reports of a machine that is well.
func (m *Member) reportGap() int64 { return ms(m.p.ReportS*1.25) + 500 }

// drain gives a machine up: nothing starts there any more, and every message to
// the lead asks for its return until the rosters have it no longer. A claim that
// follows this one may not know and use the machine again; what it starts there
// is over when the machine is returned, like on any machine that is lost.
func (m *Member) drain(s *shard, mc *machine, why string) {
	if mc.returning || !m.authority() {
		return
	}
	mc.returning = true
	m.log(Info, "machine draining", "machine", mc.id, "type", mc.rec.Type, "why", why)
}

// Report takes a worker's report; reply names it in the outputs' answers.
func (m *Member) Report(now Now, reply uint64, r Report) {
	m.now = now
	m.report(reply, r)
}

func (m *Member) answer(reply uint64, a WorkerAnswer) {
	if m.out.Workers == nil {
		m.out.Workers = map[uint64]WorkerAnswer{}
	}
	m.out.Workers[reply] = a
}

func (m *Member) report(reply uint64, r Report) {
	if !m.acc.Synced() {
		m.answer(reply, WorkerAnswer{})
		return
	}
	mc := m.machines[r.Machine]
	if mc == nil {
		m.register(reply, r)
		return
	}
	s := m.mine[mc.rec.Shard]
	if s == nil {
		// Whoever holds the shard; without a holder the worker tries the
		// next member.
		a := WorkerAnswer{}
		if h := m.shards[mc.rec.Shard].Holder; h != m.p.Member {
			a.Redirect = h
		}
		m.answer(reply, a)
		return
	}
	if !m.authority() || s.leaving || r.Token > s.token || !s.ready {
		// Not ready: its progress is not read, and it could stop nothing. An answer
		// would renew the lease all the same, and when an outage came between, a
		// cancelled task lived on with it past its time.
		m.answer(reply, WorkerAnswer{})
		return
	}
	if mc.claim != s {
		m.resetMachine(mc)
	}
	mc.addr = r.Addr
	settled := mc.Settled()
	take := s.squares.Report(mc.Machine, m.now.Steady, r.Session, r.Seq, r.Token)
	if take == reconcile.Tell && mc.Settled() && !settled {
		m.log(Info, "machine does not hear its holder", "machine", mc.id)
		s.dirty = true
	}
	if take == reconcile.Old {
		m.Counters.Old++
		m.answer(reply, WorkerAnswer{})
		return
	}
	if !m.square(s, mc, &r, take) {
		m.answer(reply, WorkerAnswer{Accepted: true, Token: s.token})
		return
	}
	m.redeem(s, mc, &r)
	m.starts(s, mc, &r)
	m.pick(s, mc, &r)
	m.answer(reply, WorkerAnswer{Accepted: true, Token: s.token, Commands: append([]Command(nil), mc.commands...)})
}

// square brings what we know of a machine up to a report, unless that says
// nothing yet, and gathers what is to be stopped and cleared.
func (m *Member) square(s *shard, mc *machine, r *Report, take reconcile.Take) bool {
	if take < reconcile.Use {
		return false
	}
	if take == reconcile.Restart {
		// Its lease ended: every task of the earlier session was killed.
		m.log(Info, "machine in a new session", "machine", r.Machine, "tasks", mc.live)
		for _, a := range slices.Backward(mc.byKey) {
			m.over(mc, a)
		}
	}
	if !mc.squared {
		mc.squared, s.dirty = true, true
	}
	s.squares.Book.Remove(mc.id)
	mc.refused = false
	mc.commands = mc.commands[:0]
	if r.NoticeS != nil {
		at := m.now.Steady + ms(*r.NoticeS)
		if mc.goneAt == 0 {
			m.log(Info, "spot notice", "machine", r.Machine, "seconds", *r.NoticeS, "tasks", mc.live)
			s.dirty = true
		}
		mc.goneAt = max(at, 1)
	} else {
		mc.goneAt = 0
	}
	m.takeTasks(s, mc, r)
	if !mc.Up && !mc.returning && !slices.Contains(s.upNew, mc.id) {
		s.upNew = append(s.upNew, mc.id)
		m.writeUps(s)
	}
	return true
}

// takeTasks brings what we know of a machine's attempts up to its report, and
// gathers stops and clears.
func (m *Member) takeTasks(s *shard, mc *machine, r *Report) {
	seen := make(map[attemptKey]bool, len(r.Tasks))
	m.forgetStrays(s, mc)
	for _, t := range r.Tasks {
		key := attemptKey{t.Task, t.Attempt}
		seen[key] = true
		a := mc.attempts[key]
		if a == nil {
			if a = m.foreign(s, mc, t); a == nil {
				continue
			}
		}
		if !a.seen && !a.adopted {
			mc.unheard = false
		}
		a.seen = true
		m.follow(s, mc, a, t, r)
	}
	for _, a := range slices.Backward(mc.byKey) {
		// A start rides in a report's answer, which the worker has carried
		// out or dropped before it reports again: a newer report without
		// the attempt says that there is none.
		//
		// One that went straight to the worker may be held by the network;
		// only an answer, a higher token or a new session settles it.
		if a.doToken != 0 && a.doToken >= r.Token && a.session == r.Session {
			continue
		}
		if !seen[a.key] && (a.session < r.Session || a.afterSeq < r.Seq) {
			a.unbegun = !a.seen && a.session == r.Session
			if a.unbegun {
				mc.unheard = true
				m.Counters.Unheard++
				m.log(Debug, "start not heard", "task", a.key.task, "machine", mc.id)
			}
			m.over(mc, a)
		}
	}
}

// forgetStrays counts a machine's strays from none again.
func (m *Member) forgetStrays(s *shard, mc *machine) {
	if mc.strays > 0 {
		mc.strays = 0
		s.strays--
	}
}

// placeOf tells where the state has a task.
func (m *Member) placeOf(s *shard, task string) (w *work, i int, p reconcile.Place) {
	w, i = m.workOf(task)
	switch {
	case w == nil:
		return nil, 0, reconcile.Over
	case w.stored.has(i):
		return w, i, reconcile.Stored
	case w.shard != s.name && !w.done.has(i):
		return w, i, reconcile.Over // another shard's of ours
	case w.done.has(i):
		return w, i, reconcile.Done
	case w.busy.has(i):
		return w, i, reconcile.Busy
	case w.moving:
		return w, i, reconcile.Moving
	}
	return w, i, reconcile.Free
}

// foreign takes a task that this claim did not start, by the verdicts of
// package reconcile. It returns an attempt if the task goes on as ours.
func (m *Member) foreign(s *shard, mc *machine, t TaskReport) *attempt {
	w, i, place := m.placeOf(s, t.Task)
	shown := reconcile.Ended
	if t.State != "exited" {
		shown = reconcile.Live
	} else if t.Why == "done" {
		shown = reconcile.Finished
	}
	switch s.squares.Judge(place, shown) {
	case reconcile.Adopt:
		m.Counters.Adopted++
		return m.adopt(s, mc, t, w, i)
	case reconcile.Stop:
		m.Counters.Strays++
		if mc.strays++; mc.strays == 1 {
			s.strays++
		}
		m.command(s, mc, Command{Kind: Stop, Task: t.Task, Attempt: t.Attempt})
	case reconcile.Count:
		w.finish(i)
		w.dirty = true
	case reconcile.Clear:
		m.command(s, mc, Command{Kind: Forget, Task: t.Task, Attempt: t.Attempt})
	}
	return nil
}

// adopt goes on with a task that an earlier claim started. Its number tells when.
func (m *Member) adopt(s *shard, mc *machine, t TaskReport, w *work, i int) *attempt {
	j := &w.job.rec.Job
	a := &attempt{key: attemptKey{t.Task, t.Attempt}, job: j, work: w, claim: s, index: i, shard: s.name, adopted: true,
		session: mc.Session, placedAt: reconcile.Began(t.Attempt, m.now.Wall), length: m.length(j)}
	if t.State == "fetching" {
		a.fetch = m.typeFetch(j, mc.rec.Type)
	}
	m.begin(mc, a)
	s.dirty = true
	return a
}

// command gathers what a machine is told. After a claim a clear waits until the
// line lets it go: the task stays in the machine's reports.
func (m *Member) command(s *shard, mc *machine, c Command) {
	switch c.Kind {
	case Forget:
		if !s.squares.Line.Clear(m.now.Steady) {
			return
		}
	case Stop:
		s.squares.Line.Must(m.now.Steady, 1)
	}
	mc.commands = append(mc.commands, c)
}

// follow takes what a report says of an attempt.
func (m *Member) follow(s *shard, mc *machine, a *attempt, t TaskReport, r *Report) {
	w := a.work
	current := m.current(w)
	if a.job.Image != "" && t.State != "fetching" {
		mc.seat.Keep(a.job.Image, planner.Image{UsedAt: m.now.Wall, GB: a.job.Request.DiskGB}, roomOf(m.types[mc.rec.Type]).DiskGB)
	}
	switch t.State {
	case "running", "waiting":
		if !a.running {
			a.running, a.ranAt = true, m.now.Wall
			if a.adopted && a.fetch == 0 {
				// It ran before. Half of a fetch is as near as one can guess:
				// tasks that came to a machine together share one.
				a.ranAt = min(m.now.Wall, a.placedAt+m.typeFetch(a.job, mc.rec.Type)/2)
			} else {
				a.adopted = false // seen to begin
			}
			a.work.running++
		}
	case "saving":
		a.saving = true
	}
	if t.State != "exited" {
		if !current {
			m.command(s, mc, Command{Kind: Stop, Task: t.Task, Attempt: t.Attempt})
			return
		}
		if a.stopped && (t.State == "running" || t.State == "fetching") {
			m.command(s, mc, Command{Kind: Stop, Task: t.Task, Attempt: t.Attempt, GraceS: a.job.SaveS + m.p.ReportS})
			return
		}
		if (t.State == "running" || t.State == "fetching" || t.State == "waiting") && m.mayEvict(s, mc, a) {
			a.evicted = true
			m.command(s, mc, Command{Kind: Stop, Task: t.Task, Attempt: t.Attempt, GraceS: a.job.SaveS + m.p.ReportS})
			return
		}
		m.saveBeforeEnd(mc, a, t)
		return
	}
	if !a.exited {
		m.end(mc, a)
		switch t.Why {
		case "done":
			w.finish(a.index)
			w.dirty = true
			delete(mc.faults, a.job.ID)
			if a.running && !a.adopted {
				// What an adopted one took is not known well enough: taken
				// for shorter than it was, it shortened its whole class.
				m.learn(a.job, m.now.Wall-a.ranAt+w.saved[a.index])
			}
		case "stopped":
			if a.running {
				m.lostOnce(a)
			}
			if t.Saved && a.running {
				if w.saved == nil {
					w.saved = map[int]int64{}
				}
				w.saved[a.index] += max(0, m.now.Wall-a.ranAt-ms(a.job.SaveS))
			}
		case "error":
			m.failed(mc, w, a)
		case "no_room":
			// The machine has something that we don't count.
			mc.full = m.now.Steady + 2*m.reportGap()
		case "unknown":
			w.retryAt = m.now.Steady + 2*m.reportGap()
		}
	}
	if a.doToken != 0 && a.doToken >= r.Token {
		// The worker takes a repeated start for the same one only as long
		// as it holds the attempt: the unanswered command must be void
		// before the attempt is cleared, or it would run once more.
		return
	}
	if t.Why != "done" || !current || w.stored.has(a.index) {
		m.command(s, mc, Command{Kind: Forget, Task: t.Task, Attempt: t.Attempt})
	}
}

// saveBeforeEnd stops a task that can save when its machine is about to be
// taken, so that its progress is not lost.
func (m *Member) saveBeforeEnd(mc *machine, a *attempt, t TaskReport) {
	if mc.goneAt == 0 || t.State != "running" || a.job.CheckpointS <= 0 || a.saving {
		return
	}
	left := mc.goneAt - m.now.Steady
	save := ms(a.job.SaveS)
	if left > save+2*m.reportGap() || a.ends(m.now.Wall)-m.now.Wall < left {
		return
	}
	mc.commands = append(mc.commands, Command{Kind: Stop, Task: t.Task, Attempt: t.Attempt, GraceS: a.job.SaveS + m.p.ReportS})
}

// errorPauseLeases is the longest pause of a job after an error, in leases. All its tasks
// wait, those of a large job that met several faulty machines too.
const errorPauseLeases = 2

// brokenMachines is on how many machines a job fails, and is done nowhere, before its
// errors are its own.
const brokenMachines = 3

// broken tells whether a work's errors are its job's: it failed on several machines, and
// none of its tasks is done.
func (w *work) broken() bool { return len(w.failed) >= brokenMachines && w.nDone == 0 }

// probes tells whether a work may start one task at a time only, which shows whether a
// broken job still fails and takes no more room, fetches and machines than that. A probe
// that goes on for a lease after the pause has shown that it does not. Gangs begin
// together or not at all.
func (m *Member) probes(w *work) bool {
	return w.broken() && w.job.rec.Job.Kind == Array && m.now.Steady < w.retryAt+ms(m.p.LeaseS)
}

// probing tells whether a work's probe is on a machine.
func (m *Member) probing(w *work) bool { return w.nBusy > 0 && m.probes(w) }

// plannable is how many of a work's waiting tasks are planned, and asked machines for.
func (m *Member) plannable(w *work) int {
	switch {
	case m.probing(w):
		return 0
	case m.probes(w):
		return min(w.pending(), 1)
	}
	return w.pending()
}

// acquit takes a job's errors off the machines that they were counted against: it is
// broken, or was cancelled before any of its tasks was done, and nobody knows whose they were.
func (m *Member) acquit(w *work) {
	for id := range w.failed {
		if mc := m.machines[id]; mc != nil {
			delete(mc.faults, w.job.rec.Job.ID)
		}
	}
}

// failed counts an error against the machine and the job. Mostly the machine
// is faulty, so the task goes elsewhere; a job that fails on several machines
// waits longer each time, so that it does not eat the fleet.
func (m *Member) failed(mc *machine, w *work, a *attempt) {
	m.Counters.Errors++
	m.tally.Errors++
	if m.replaces(mc) {
		m.tally.Fresh++
	}
	if w.failed == nil {
		w.failed = map[string]int{}
	}
	w.failed[mc.id]++
	w.errors++
	m.countError(w, a)
	switch {
	case w.broken():
		m.acquit(w)
	case len(w.failed) < brokenMachines && m.current(w):
		if mc.faults == nil {
			mc.faults = map[string]bool{}
		}
		mc.faults[a.job.ID] = true
	}
	wait := ms(m.p.ReportS)
	for i := 1; i < min(len(w.failed), 8); i++ {
		wait *= 2
	}
	if len(w.failed) > 1 {
		w.retryAt = m.now.Steady + min(wait, ms(errorPauseLeases*m.p.LeaseS))
	}
	m.log(Info, "task failed", "task", a.key.task, "machine", mc.id, "errors", w.errors)
}

// learn corrects the owners' estimates of a class by what its tasks took.
func (m *Member) learn(j *Job, took int64) {
	if j.EstimateS <= 0 || took <= 0 {
		return
	}
	c := m.corrected[j.Class]
	if c == nil {
		c = &correction{ratio: 1}
		m.corrected[j.Class] = c
	}
	r := min(max(float64(took)/1000/j.EstimateS, 0.2), 5)
	c.seen++
	c.ratio += (r - c.ratio) / float64(min(c.seen+4, 40))
}

// length is how long a task of the job is expected to run.
func (m *Member) length(j *Job) int64 {
	l := j.EstimateS
	if c := m.corrected[j.Class]; c != nil {
		l *= min(max(c.ratio, 0.5), 3)
	}
	return max(ms(l), 100)
}

// fetchTime is how long the job's image takes on a machine, 0 if it is there.
func (m *Member) fetchTime(j *Job, mc *machine, t *MachineType) int64 {
	if t == nil || mc.seat.Has(j.Image) {
		return 0
	}
	return m.typeFetch(j, t.Name)
}

// room is what a machine's live attempts leave of it.
func (m *Member) room(mc *machine) availability.Room {
	return roomOf(m.types[mc.rec.Type]).Sub(mc.use)
}

// urgent tells whether a start should not wait for the machine's next report:
// half an interval is much against the start aim of its class or against the
// task's own length.
func (m *Member) urgent(p planned) bool {
	wait := ms(m.p.ReportS) / 2
	for _, o := range m.p.Objectives[p.w.job.rec.Job.Class] {
		if o.Kind == "wait" && wait*10 > ms(o.WithinS) {
			return true
		}
	}
	return wait*50 > p.length
}

// startNow sends urgent starts straight to their workers.
func (m *Member) startNow(s *shard) {
	for _, mc := range s.machines {
		if len(mc.plan) == 0 || mc.doing || mc.refused || !mc.Squared() || mc.addr == "" {
			continue
		}
		if now := m.now.Steady; now-mc.Last > m.reportGap() {
			continue // silent: a start would only be one more thing unknown
		}
		if !slices.ContainsFunc(mc.plan, m.urgent) {
			continue
		}
		mc.commands = mc.commands[:0]
		before := make(map[attemptKey]bool, len(mc.attempts))
		for k := range mc.attempts {
			before[k] = true
		}
		m.starts(s, mc, &Report{Session: mc.Session, Seq: mc.Seq})
		if len(mc.commands) == 0 {
			continue
		}
		var sent []*attempt
		for _, a := range mc.byKey {
			if !before[a.key] {
				a.doToken = s.token
				sent = append(sent, a)
			}
		}
		m.sendDo(s, mc, mc.Session, sent)
	}
}

// askMachines asks workers for their tasks that have our token and no reason to
// report before their interval is over: their answer squares them as a report does.
func (m *Member) askMachines(s *shard) {
	for _, u := range s.squares.Unseen() {
		mc := m.machines[u.ID]
		if mc == nil || mc.Machine != u || mc.doing || mc.addr == "" || !s.squares.Ask(u, m.now.Steady) {
			continue
		}
		mc.commands = mc.commands[:0]
		m.sendDo(s, mc, mc.Told(), nil)
	}
}

func (m *Member) sendDo(s *shard, mc *machine, session uint64, sent []*attempt) {
	m.nextID++
	id, token := m.nextID, s.token
	mc.doing = true
	m.dos[id] = func(r DoResult) {
		mc.doing = false
		if m.machines[mc.id] != mc || m.mine[s.name] != s {
			return
		}
		switch r.Outcome {
		case OK:
			for _, a := range sent {
				a.doToken = 0
			}
			b := r.Report
			if b != nil && !mc.Settled() && m.authority() {
				// Nothing of ours is under way to it yet.
				b.Machine = mc.id
				m.square(s, mc, b, s.squares.Answer(mc.Machine, m.now.Steady, b.Session, b.Seq, b.Token))
			} else if b != nil && b.Session == mc.Session && b.Seq > mc.Seq {
				// Not a report that renews a lease, and attempts that it
				// lacks may be in a report's answer still under way.
				mc.Seq = b.Seq
				mc.commands = mc.commands[:0]
				for _, t := range b.Tasks {
					if a := mc.attempts[attemptKey{t.Task, t.Attempt}]; a != nil {
						a.seen = true
						m.follow(s, mc, a, t, b)
					}
				}
			}
		case Conflict:
			// It is in another session, or obeys a later claim: until it
			// reports, the same would come of the next start, at once.
			mc.refused = true
			for _, a := range sent {
				if mc.attempts[a.key] == a {
					a.unbegun = true
					m.over(mc, a)
				}
			}
		default:
			if len(sent) == 0 {
				return // a question
			}
			// It may yet run, on whatever machine state there is by then.
			// A higher token makes that impossible.
			s.void = max(s.void, token)
			m.raise(s)
		}
	}
	m.out.Do = append(m.out.Do, Do{ID: id, Addr: mc.addr, Machine: mc.id, Token: s.token, Session: session,
		Commands: append([]Command(nil), mc.commands...)})
}

// DoDone takes a worker's answer to commands that were sent straight to it.
func (m *Member) DoDone(now Now, id uint64, r DoResult) {
	m.now = now
	if f := m.dos[id]; f != nil {
		delete(m.dos, id)
		f(r)
	}
}

// starts turns the plan's starts on this machine into commands.
func (m *Member) starts(s *shard, mc *machine, r *Report) {
	if !m.usable(mc) || !mc.Up || !mc.Squared() || !m.authority() {
		return
	}
	plan := mc.plan
	mc.plan = nil
	free := m.room(mc)
	for _, p := range plan {
		w := p.w
		j := &w.job.rec.Job
		if !m.current(w) || w.moving {
			continue
		}
		for range p.n {
			i := w.next()
			if i < 0 || !free.Holds(j.Request) || !m.mayStart(s, w, mc) {
				break
			}
			if j.Kind == Gang && (w.gangTry == 0 || w.gangSent.has(i)) {
				break // this try of it failed; a task has a number once
			}
			if !m.numbered(s) || !s.squares.Line.Start(m.now.Steady, p.aimed || j.Kind == Gang) {
				break
			}
			free = free.Sub(j.Request)
			m.start(s, mc, w, i, p.length, p.fetch, r)
		}
	}
}

// start begins an attempt; its command goes with whatever the machine is told
// next.
func (m *Member) start(s *shard, mc *machine, w *work, i int, length, fetch int64, r *Report) {
	j := &w.job.rec.Job
	length = max(length-w.saved[i], length/8)
	number := w.gangTry
	if j.Kind == Gang {
		w.gangSent.set(i)
	} else {
		number = s.numbers.Next(m.now.Wall)
	}
	a := &attempt{key: attemptKey{taskName(j.ID, w.rng.Lo+i), number}, job: j, work: w, claim: s, index: i, shard: s.name,
		session: r.Session, afterSeq: r.Seq, placedAt: m.now.Wall, length: length, fetch: fetch}
	m.begin(mc, a)
	if p := mc.pledge; p != nil && p.w == w {
		if p.n--; p.n == 0 {
			mc.pledge = nil
		}
	}
	m.repay(s, j)
	m.Counters.Starts++
	for _, o := range m.p.Objectives[j.Class] {
		if o.Kind == "wait" && m.now.Wall > w.job.rec.Accepted+ms(o.WithinS) {
			m.tally.Late++
		}
	}
	m.log(Debug, "start", "task", a.key.task, "attempt", a.key.attempt, "machine", mc.id)
	mc.commands = append(mc.commands, Command{Kind: Start, Task: a.key.task, Attempt: a.key.attempt})
}

// pick fills the room that a report shows beyond what the plan put there: the
// next tasks of the shard's queue, in the order of the last plan. A task whose
// image is there goes before one that would fetch, if the latter can still
// start behind it in time: l(δ) once more, with the passed-over task behind the
// insertion point.
func (m *Member) pick(s *shard, mc *machine, r *Report) {
	if len(s.queue) == 0 || !m.usable(mc) || !mc.Up || !mc.Squared() || !m.authority() {
		return
	}
	free := m.room(mc).Sub(m.held(mc))
	t := m.types[mc.rec.Type]
	x := int64(1) << 62 // the latest start of what was passed over
	for free.CPUs > 0 {
		var first, here *group
		for _, g := range s.queue {
			if g.j.Kind == Gang || g.w.pending() <= 0 || !free.Holds(withoutDisk(g.j.Request)) || !m.mayPick(s, mc, t, g) {
				continue
			}
			if first == nil {
				first = g
			}
			if g.j.Priority != first.j.Priority {
				break
			}
			fetch := m.fetchTime(g.j, mc, t)
			if fetch == 0 && (g == first || m.now.Wall+int64(float64(g.Length)*planner.Padding) <= x) {
				here = g
				break
			}
			// One that can still start as its class asks must not wait past
			// that, whatever its deadline.
			by := g.Due
			if g.Tight < by && g.Tight-g.Length-fetch > m.now.Wall {
				by = g.Tight
			}
			x = min(x, by-g.Length-fetch)
		}
		g := here
		if g == nil {
			g = first
		}
		if g == nil {
			return
		}
		fetch := m.fetchTime(g.j, mc, t)
		for free.Holds(withoutDisk(g.j.Request)) && m.mayPick(s, mc, t, g) {
			i := g.w.next()
			if i < 0 {
				break
			}
			if !m.numbered(s) || !s.squares.Line.Start(m.now.Steady, g.Aimed) {
				return
			}
			free = free.Sub(g.j.Request)
			s.spare -= g.j.Request.CPUs
			m.start(s, mc, g.w, i, g.Length, fetch, r)
		}
	}
}

// mayPick tells whether a task of a group may start on a machine without a new
// plan. What the plan decides with a view of the whole shard is left to it:
// types that others cannot do without, the reserve, and ordinary machines for
// work that spot machines end in time, or they would never be idle and returned.
func (m *Member) mayPick(s *shard, mc *machine, t *MachineType, g *group) bool {
	j := &g.w.job.rec.Job
	if g.First && g.w.begun() {
		return false // the rest has its own place in the queue
	}
	if !m.current(g.w) || g.w.moving || m.now.Steady < g.w.retryAt || g.w.failed[mc.id] > 0 {
		return false
	}
	if g.Tight >= g.Due && s.spare-s.reserve < j.Request.CPUs || m.short(j, t) || j.Spot && !mc.rec.Spot && !g.Dear && !m.catalog.Needed(t.Name) {
		return false
	}
	return m.mayStart(s, g.w, mc)
}

// mayStart checks, at the last moment, what the rules ask of a start.
func (m *Member) mayStart(s *shard, w *work, mc *machine) bool {
	j := &w.job.rec.Job
	if !m.allowed(j, mc.rec.Type, mc.rec.Zone, mc.rec.Spot) || mc.tries() || m.blocked(s, w) || m.probing(w) || !m.mayBegin(w) {
		return false
	}
	return m.zoneAllows(w, mc.rec.Zone) && m.teamAllows(s, j)
}

// tries tells whether a machine that did not hear of a start is trying another one. Its
// reports arrive, but it is not alive for more work than that: what was planned there
// waited for a report each time, to be started anew.
func (mc *machine) tries() bool {
	if !mc.unheard {
		return false
	}
	for _, a := range mc.byKey {
		if !a.seen && !a.exited {
			return true
		}
	}
	return false
}

// numbered tells whether starts can have numbers of their own.
func (m *Member) numbered(s *shard) bool { return !s.numbers.Spent(m.now.Wall) }

// blocked tells whether a work's tasks may still run somewhere unseen: on a
// machine that is unseen, that its job allows, and whose note, if there is one,
// names it.
func (m *Member) blocked(s *shard, w *work) bool {
	if !w.recovered {
		return false
	}
	for _, u := range s.squares.Unseen() {
		if mc := m.machines[u.ID]; mc == nil || m.mayHold(s, mc, w) {
			return true
		}
	}
	w.recovered = false
	m.recoveredOnce(w)
	return false
}

// mayHold tells whether an unseen machine may have tasks of a work.
func (m *Member) mayHold(s *shard, mc *machine, w *work) bool {
	if n, noted := s.squares.Book.Holds(mc.id); noted {
		return slices.Contains(n.Ranges, w.name())
	}
	j := &w.job.rec.Job
	return !(mc.rec.Spot && !j.Spot || j.Zone != "" && j.Zone != mc.rec.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, mc.rec.Type))
}

// zoneAllows checks one-zone and spread jobs against where their other tasks
// are. Such jobs are held whole by one shard, which sees all of them.
func (m *Member) zoneAllows(w *work, zone string) bool {
	j := &w.job.rec.Job
	if !j.whole() {
		return true
	}
	here, elsewhere := w.zones[zone], 0
	for z, n := range w.zones {
		if z != zone {
			elsewhere += n
		}
	}
	if j.OneZone && elsewhere > 0 {
		return false
	}
	return !j.Spread || here < (j.Tasks+1)/2
}
