package scheduler

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/reconcile"
)

// shard is a claim that this member holds: the machines and task ranges whose
// records name it. Every member has one of its own and may adopt others'.
type shard struct {
	name       string
	nonce      uint64
	base       uint64 // revision of the claim
	token      uint64 // revision that the claim was last raised to; workers obey the highest they saw
	raising    bool
	void       uint64 // commands with this token or a lower one must not run any more
	raiseAt    int64
	ready      bool // progress is read
	reading    bool
	read       bool
	numbers    reconcile.Numbers
	squares    *reconcile.Claim // what is known of its machines
	mostSilent int64            // when most of its machines were last silent past their lease
	squared    bool             // nothing of earlier claims is unseen any more
	pacedAt    int64
	nextReturn int64 // no idle machine is returned before
	nextDraft  int64 // no team's record is written before
	strays     int   // machines with tasks that are not ours to keep
	memory     memory

	disrupted disrupted
	dirty     bool
	planned   int64
	leaving   bool // being handed back

	// What the shard owns, in order, and what of it is in use: nothing that
	// happens on a report or a tick may look at other shards' machines and
	// jobs, nor at machines times jobs.
	machines []*machine
	works    []*work
	use      map[string]availability.Room // by team, of live attempts
	live     map[string][]*attempt        // by team, those: what a team asks must not cost all machines
	owed     map[string]owed              // by team, of its limit
	kept     map[string]*Job              // by team, the job for whose first task room of the limit is kept
	pledged  map[*work]int                // for how many tasks room is kept, at the last plan
	cedes    map[string]bool              // teams that had something to cede at this plan; nil: not looked up
	ceded    map[string]quota.Amounts     // by team: of use, what is told to stop for others' guarantees
	soon     map[string]quota.Amounts     // by team with a limit: what of its waiting work had room at the last plan
	rest     map[string]float64           // by team: what they have left to do, in processor milliseconds
	pages    map[string]*page

	// Machines that reported and are not listed as up yet.
	upNew     []string
	upWriting bool
	nextUp    int64

	// The last plan: the machines it considered, and the groups that waited,
	// in their order.
	board   *planner.Board
	onBoard []*machine // by their places on it
	queue   []*group
	steps   int // how much work it was, for the pace of the next one
	hasten  bool

	// Room that is kept free for jobs with a start aim, in processors.
	reserve, spare, average, jobSize float64
	aimed                            float64 // processors that tasks with a start aim use
	reserveAt                        int64
	needs                            []Need
	foreseen                         []Need // of tasks that their machines will not end
}

func (m *Member) newShard(name string, nonce, rev uint64) *shard {
	s := &shard{name: name, nonce: nonce, base: rev, token: rev, dirty: true, board: planner.NewBoard(m.catalog),
		squares: reconcile.New(reconcile.Settings{Report: m.reportGap(), Lease: ms(m.p.LeaseS), Drift: drift, Slack: leaseSlack}, rev, m.now.Steady), use: map[string]availability.Room{}, live: map[string][]*attempt{}, rest: map[string]float64{}, owed: map[string]owed{}, kept: map[string]*Job{}, ceded: map[string]quota.Amounts{}, pledged: map[*work]int{}, soon: map[string]quota.Amounts{}, pages: map[string]*page{}}
	s.numbers.Rebase(rev, m.now.Wall)
	return s
}

// leaseSlack is what measuring a lease costs, in milliseconds.
const leaseSlack = 300

// work is a range of a job that a shard of ours runs.
type work struct {
	job    *job
	rng    Range
	shard  string
	claim  *shard
	done   bits
	nDone  int
	busy   bits // an attempt has it, running or not known to be over
	nBusy  int
	low    int
	stored bits   // done, as the store has it
	key    string // of its progress in the store

	// recovered works were run by an earlier claim, so a task of theirs may
	// still run on any machine that has not spoken under our token.
	recovered bool

	dirty    bool // done differs from stored
	writing  bool
	wroteAt  int64
	admitted bool
	retryAt  int64 // after errors: wait until then
	errors   int
	failed   map[string]int // machine: errors of this job there
	taskErrs map[int]int    // task: errors, for jobs that bound them
	ceded    map[int]string // task: the team that it was last stopped for
	saved    map[int]int64  // task: how long it had run when it saved and stopped
	moving   bool
	running  int            // attempts that run
	zones    map[string]int // zone: live attempts
	gangAt   int64          // when the last try to start all of a gang began
	gangTry  uint64         // its attempt, the same for all tasks
	gangSent bits           // the tasks that were started in it
}

func (w *work) size() int    { return w.rng.Hi - w.rng.Lo }
func (w *work) pending() int { return w.size() - w.nDone - w.nBusy }

// begun tells whether a task of the range runs or is done.
func (w *work) begun() bool { return w.nBusy > 0 || w.nDone > 0 }

// next finds the lowest task that is neither done nor taken. All below low are.
func (w *work) next() int {
	for ; w.low < w.size(); w.low++ {
		if !w.done.has(w.low) && !w.busy.has(w.low) {
			return w.low
		}
	}
	return -1
}

func (m *Member) tickShards() {
	if !m.acc.Synced() || m.acc.Hold() == 0 {
		return
	}
	now := m.now.Steady
	for _, name := range m.members() {
		rec, held := m.shards[name]
		if !held {
			if _, ok := m.absent[name]; !ok {
				m.absent[name] = now
			}
		} else {
			delete(m.absent, name)
		}
		if s := m.mine[name]; s != nil {
			m.tickShard(s)
			continue
		}
		if now < m.claiming[name] || now-m.acc.Fresh() > m.step()*3 {
			continue
		}
		own := name == m.p.Member
		switch {
		case own && (!held || rec.Holder == m.p.Member):
			// Held under our own name and not by us: by our predecessor,
			// which is dead.
		case !held && !own && now-m.absent[name] > m.adoptAfter():
			// Its hold ended, and its member does not come back.
		case held && rec.Holder == m.p.Member:
			// An adoption of our predecessor's.
		default:
			continue
		}
		m.claim(name)
	}
}

// adoptAfter is how long a shard must have been without a holder before
// another member adopts it, a step of a hold at most. Its hold has ended by then; the rest lets its own
// member, which starts again within seconds, come first.
func (m *Member) adoptAfter() int64 {
	if m.now.Steady-m.started < m.life() {
		return m.life()
	}
	return m.step()/2 + m.rng.Int64N(m.step()/2)
}

func (m *Member) claim(name string) {
	nonce := m.rng.Uint64()
	key := shardKey(name)
	m.claiming[name] = m.now.Steady + 10*m.step()
	hold := m.acc.Hold()
	take := func(rev uint64) {
		if m.acc.Hold() != hold {
			m.claiming[name] = 0
			return
		}
		delete(m.claiming, name)
		m.mine[name] = m.newShard(name, nonce, rev)
		m.Counters.Claims++
		m.log(Info, "shard claimed", "shard", name, "token", rev)
		m.beginShard(m.mine[name])
	}
	again := func() { m.claiming[name] = m.now.Steady + 300 + m.rng.Int64N(300) }
	m.ask(StoreOp{Kind: StoreTxn, Urgency: Holds, Guards: []Guard{{key, m.revs[key]}},
		Changes: []Change{{Key: key, Value: encode(shardRecord{m.p.Member, nonce}), Hold: hold}}},
		func(r StoreResult) {
			switch r.Outcome {
			case OK:
				take(r.Rev)
				m.apply(Item{Key: key, Value: encode(shardRecord{m.p.Member, nonce}), Rev: r.Rev})
			case Unknown, Conflict:
				m.reread(key, func(r StoreResult) {
					again()
					if r.Outcome != OK || len(r.Items) != 1 {
						return
					}
					var rec shardRecord
					if json.Unmarshal(r.Items[0].Value, &rec) == nil && rec.Nonce == nonce {
						take(r.Items[0].Rev)
					}
				})
			default:
				again()
			}
		})
}

// raise gives a shard a higher token. Once a worker has seen it, commands that
// were sent to it before and never answered can no longer run, however long the
// network held them.
func (m *Member) raise(s *shard) {
	if s.raising || s.leaving || m.acc.Hold() == 0 || m.now.Steady < s.raiseAt {
		return
	}
	s.raising, s.raiseAt = true, m.now.Steady+500
	key := shardKey(s.name)
	rec := shardRecord{m.p.Member, s.nonce}
	m.ask(StoreOp{Kind: StoreTxn, Urgency: Holds, Guards: []Guard{{key, s.token}},
		Changes: []Change{{Key: key, Value: encode(rec), Hold: m.acc.Hold()}}}, func(r StoreResult) {
		s.raising = false
		if r.Outcome == OK {
			m.apply(Item{Key: key, Value: encode(rec), Rev: r.Rev})
			m.log(Info, "token raised", "shard", s.name, "token", r.Rev)
			return
		}
		m.reread(key, func(StoreResult) {})
	})
}

// dropShard forgets a claim that ended.
func (m *Member) dropShard(s *shard) {
	if m.mine[s.name] != s {
		return
	}
	delete(m.mine, s.name)
	for _, j := range inOrder(m.jobs) {
		m.syncWorks(j, false)
	}
}

// beginShard takes over what the mirror says the shard owns. The path is the
// same for a first start, a restart, an adoption and a hand-back.
func (m *Member) beginShard(s *shard) {
	for _, mc := range inOrder(m.machines) {
		if mc.rec.Shard == s.name {
			m.resetMachine(mc)
			s.machines = append(s.machines, mc)
		}
	}
	for _, j := range inOrder(m.jobs) {
		m.syncWorks(j, true)
	}
	m.readProgress(s)
}

func (m *Member) readProgress(s *shard) {
	if s.reading {
		return
	}
	s.reading = true
	m.list(progressPrefix+s.name+"/", func(items []Item, _ uint64, o Outcome) {
		s.reading = false
		if o != OK || m.mine[s.name] != s {
			s.planned = m.now.Steady
			return
		}
		done := map[string][]byte{}
		for _, it := range items {
			if it.Key == memoryKey(s.name) {
				m.recall(s, it)
				continue
			}
			var rec progressRecord
			if json.Unmarshal(it.Value, &rec) != nil {
				continue
			}
			s.page(it.Key).rev = it.Rev
			for name, d := range rec.Done {
				done[name] = d
			}
		}
		for _, w := range s.works {
			for i := range w.size() {
				if bits(done[w.name()]).has(i) {
					w.stored.set(i)
					w.finish(i)
				}
			}
		}
		s.read = true
	})
}

// shrink cuts a work down to what its shard keeps. A machine that was thought
// lost may have told of a result while the move was under way: left in the
// count, it made the work done more often than it has tasks, and its job never
// ended. The peer runs that task once more, or hears the same result.
func (w *work) shrink(r Range) {
	for i := r.Hi - r.Lo; i < w.size(); i++ {
		if w.done.has(i) {
			w.done.clear(i)
			w.nDone--
		}
		w.stored.clear(i)
	}
	w.rng = r
}

func (w *work) finish(i int) {
	if !w.done.has(i) {
		w.done.set(i)
		w.nDone++
	}
}

func (w *work) take(i int) {
	if !w.busy.has(i) {
		w.busy.set(i)
		w.nBusy++
	}
}

func (w *work) free(i int) {
	if w.busy.has(i) {
		w.busy.clear(i)
		w.nBusy--
		w.low = min(w.low, i)
	}
}

// jobChanged follows a live job's record.
func (m *Member) jobChanged(id string, rec jobRecord, rev uint64) {
	j := m.jobs[id]
	if j == nil {
		j = &job{works: map[int]*work{}}
		m.jobs[id] = j
	}
	j.rec, j.rev = rec, rev
	m.standing.known = false
	m.syncWorks(j, false)
}

// syncWorks makes a job's works those of its ranges that are ours.
func (m *Member) syncWorks(j *job, recovered bool) {
	keep := map[int]bool{}
	for _, r := range j.rec.Ranges {
		s := m.mine[r.Shard]
		if s == nil {
			continue
		}
		keep[r.Lo] = true
		s.dirty = true
		w := j.works[r.Lo]
		if w == nil || w.claim != s {
			// A work of a claim that ended must not pass for one of this
			// claim: a shard handed back and a range moved here from it
			// left a range that nobody ran.
			n := r.Hi - r.Lo
			w = &work{job: j, rng: r, shard: r.Shard, claim: s, done: newBits(n), busy: newBits(n), stored: newBits(n),
				recovered: recovered, zones: map[string]int{}}
			j.works[r.Lo] = w
			at, _ := slices.BinarySearchFunc(s.works, w, (*work).compare)
			s.works = slices.Insert(s.works, at, w)
			s.hasten = true
			continue
		}
		if r.Hi != w.rng.Hi {
			// The tail went to a peer; none of it was started.
			w.shrink(r)
		}
	}
	for lo, w := range j.works {
		if !keep[lo] {
			m.dropWork(w)
			delete(j.works, lo)
		}
	}
}

// dropWork takes a work off its claim's list.
func (m *Member) dropWork(w *work) {
	s := w.claim
	s.dirty = true
	if w.nDone == 0 {
		m.acquit(w)
	}
	if p := s.pages[w.key]; p != nil && p.rev != 0 && strings.HasSuffix(w.key, w.name()) {
		p.dirty = true // a page of its own goes with it
	}
	if at, ok := slices.BinarySearchFunc(s.works, w, (*work).compare); ok && s.works[at] == w {
		s.works = slices.Delete(s.works, at, at+1)
	}
}

// compare orders works by job and place in it.
func (w *work) compare(o *work) int {
	if c := strings.Compare(w.job.rec.Job.ID, o.job.rec.Job.ID); c != 0 {
		return c
	}
	return w.rng.Lo - o.rng.Lo
}

// jobGone handles the end of a job's live record: it is done or cancelled, and
// whatever still runs of it is stopped when its machine reports.
func (m *Member) jobGone(id string) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	delete(m.jobs, id)
	m.standing.known = false
	for _, w := range j.works {
		m.dropWork(w)
	}
	clear(j.works)
}

// workOf finds the work that a task of ours belongs to.
func (m *Member) workOf(name string) (*work, int) {
	id, n, ok := splitTask(name)
	if !ok {
		return nil, 0
	}
	j := m.jobs[id]
	if j == nil {
		return nil, 0
	}
	for _, w := range j.works {
		if n >= w.rng.Lo && n < w.rng.Hi {
			return w, n - w.rng.Lo
		}
	}
	return nil, 0
}

// guard returns the conditions under which a shard may change a job's record:
// the claim still stands, and the record is the one that we know.
func (m *Member) guard(s *shard, j *job) []Guard {
	return []Guard{{shardKey(s.name), s.token}, {jobKey(j.rec.Job.ID), j.rev}}
}

// progressEvery is how long progress may stay unwritten: a result is kept by
// its machine until it is stored, so only a machine's loss costs it.
func (m *Member) progressEvery() int64 { return max(ms(m.p.ReportS), 1500) }

// tickShard writes results and progress, watches for silent machines, and
// plans when something changed.
func (m *Member) tickShard(s *shard) {
	now := m.now.Steady
	if s.leaving {
		if !s.reading && now-s.planned > 500 {
			m.removeClaim(s)
		}
		return
	}
	if !s.ready {
		// The mirror must have passed the claim: a machine that the earlier
		// claim listed as up last of all may run what would start again.
		if s.read && m.rev >= s.base {
			s.ready, s.dirty = true, true
			if m.p.Recovery && len(s.works) > 0 {
				s.squares.Line.Begin(now, len(s.machines), ms(m.p.ReportS), ms(m.p.LeaseS))
			}
			m.log(Info, "shard ready", "shard", s.name, "machines", len(s.machines), "ranges", len(s.works))
		} else if !s.read && !s.reading && now-s.planned > 500 {
			m.readProgress(s)
		}
		return
	}
	if !m.authority() {
		return
	}
	if s.token <= s.void {
		// Tried until it worked: refused once, in an outage, it left a task
		// waiting for good.
		m.raise(s)
	}
	if s.numbers.Worn(m.now.Wall) {
		m.raise(s)
	}
	for _, w := range s.works {
		if w.writing || w.job.busy || now < w.wroteAt {
			continue
		}
		if w.job.doom != "" {
			m.failJob(s, w)
			continue
		}
		if w.job.begin {
			m.writeBegun(s, w)
			continue
		}
		if w.nDone == w.size() && w.job.rec.Job.Kind != Service {
			m.endRange(s, w)
		}
	}
	m.tickSquares(s)
	m.keepRollout(s)
	m.writeProgress(s)
	m.writeUps(s)
	if s.mostAreSilent() {
		s.mostSilent = m.now.Steady
	}
	for _, mc := range s.machines {
		m.tickMachine(s, mc)
	}
	if m.planDue(s) {
		m.plan(s)
		m.stopNow(s)
		m.startNow(s)
	}
	m.draftTeams(s)
}

// stepCost is what a step of the planner is taken to cost, in milliseconds of a
// whole processor. It only paces the planner, so a rough figure does.
const stepCost = 20e-6

// planShare is which part of its processor a member spends on planning at most.
const planShare = 0.2

// planDue tells whether a shard is to be planned anew: soon when a job arrived,
// otherwise as often as the last plan's cost allows. Machines that report room
// in between take the next task of the queue by themselves.
func (m *Member) planDue(s *shard) bool {
	gap := m.planGap(s)
	passed := float64(m.now.Steady - s.planned)
	switch {
	case s.hasten:
		return passed >= max(50, gap/2)
	case s.dirty:
		return passed >= max(50, min(m.p.ReportS*1000/4, 500), gap)
	}
	return passed >= max(1000, 2*gap)
}

// planGap is how long the last plan's cost asks to wait for the next one, in
// milliseconds.
func (m *Member) planGap(s *shard) float64 {
	gap := float64(s.steps) * stepCost / planShare
	if m.p.CPUShare > 0 {
		gap /= m.p.CPUShare
	}
	return gap
}

// page is a value of the store with the progress of several ranges of a shard:
// one for each would cost a change each, every few seconds.
type page struct {
	rev     uint64
	dirty   bool
	writing bool
	next    int64
}

// pages is how many values the progress of a shard's small ranges is spread over.
const pages = 4

func (s *shard) page(key string) *page {
	p := s.pages[key]
	if p == nil {
		p = &page{}
		s.pages[key] = p
	}
	return p
}

// name names a range in its page.
func (w *work) name() string { return taskName(w.job.rec.Job.ID, w.rng.Lo) }

// pageKey is the value that a range's progress is kept in: one of its own for a
// large range, which would fill a shared one.
func (m *Member) pageKey(w *work) string {
	if w.key == "" {
		w.key = progressPrefix + w.shard + "/"
		if name := w.name(); len(w.done) > m.p.ValueBytes/16 {
			w.key += name
		} else {
			h := fnv.New32a()
			h.Write([]byte(name))
			w.key += strconv.Itoa(int(h.Sum32() % pages))
		}
	}
	return w.key
}

// writeOwn writes a value of a shard's own, or removes it (nil), under its claim and the
// value's revision, and not again before a while. stored says whether the store is known to have it; if
// it may, the revision is read before anything is written again.
func (m *Member) writeOwn(s *shard, key string, p *page, value any, gap int64, stored func(ok bool)) {
	p.writing, p.next = true, m.now.Steady+gap
	change := Change{Key: key}
	if value != nil {
		change.Value = encode(value)
	}
	m.txn(Progress, []Guard{{shardKey(s.name), s.token}, {key, p.rev}}, []Change{change}, func(r StoreResult) {
		p.writing = false
		if r.Outcome == OK {
			p.rev = r.Rev
		}
		stored(r.Outcome == OK)
		if r.Outcome == Unknown || r.Outcome == Conflict {
			p.writing = true
			m.reread(key, func(r StoreResult) {
				p.writing = false
				if r.Outcome == OK && len(r.Items) == 1 {
					p.rev = r.Items[0].Rev
				} else if r.Outcome == NotFound {
					p.rev = 0
				}
			})
		}
	})
}

// writeProgress writes the pages of a shard that have news.
func (m *Member) writeProgress(s *shard) {
	now := m.now.Steady
	for _, w := range s.works {
		if w.dirty {
			s.page(m.pageKey(w)).dirty = true
		}
	}
	for key, p := range inOrder(s.pages) {
		if p.dirty && !p.writing && now >= p.next {
			m.writePage(s, key, p)
		}
	}
}

func (m *Member) writePage(s *shard, key string, p *page) {
	rec := progressRecord{Done: map[string][]byte{}}
	snaps := map[*work]bits{}
	size := 0
	for _, w := range s.works {
		if w.nDone == 0 || m.pageKey(w) != key {
			continue
		}
		// What does not fit waits until other ranges end: their machines
		// keep the results.
		if size += len(w.done)*4/3 + len(w.name()) + 12; size > m.p.ValueBytes-64 {
			break
		}
		snap := append(bits(nil), w.done...)
		snaps[w], rec.Done[w.name()] = snap, snap
		w.dirty = false
	}
	p.dirty = false
	var value any
	if len(rec.Done) > 0 {
		value = rec
	}
	m.writeOwn(s, key, p, value, m.progressEvery(), func(ok bool) {
		if !ok {
			p.dirty = true
			for w := range snaps {
				w.dirty = true
			}
			return
		}
		if value == nil {
			delete(s.pages, key)
		}
		for w, snap := range snaps {
			w.stored = snap
		}
	})
}

// endRange records that all of a range is done. The last range of a job moves
// it to its final record in the same transaction.
func (m *Member) endRange(s *shard, w *work) {
	j := w.job
	id := j.rec.Job.ID
	var guards []Guard
	var changes []Change
	rest := make([]Range, 0, len(j.rec.Ranges))
	for _, r := range j.rec.Ranges {
		if r.Lo != w.rng.Lo {
			rest = append(rest, r)
		}
	}
	final := finalRecord{State: Done, Tasks: j.rec.Job.Tasks, Run: j.rec.Job.Run}
	if len(rest) == 0 {
		changes = append(changes, Change{Key: jobKey(id)}, Change{Key: finalKey(id), Value: encode(final)})
		guards = append(guards, Guard{finalKey(id), 0})
	} else {
		rec := j.rec
		rec.Ranges = rest
		changes = append(changes, Change{Key: jobKey(id), Value: encode(rec)})
	}
	m.writeJob(s, w, changes, guards, func() {
		if len(rest) == 0 {
			m.Counters.Finished++
			if dl := j.rec.Job.DeadlineS; dl > 0 && m.now.Wall > j.rec.Accepted+ms(dl) {
				m.tally.Missed++
			}
			m.remember(id, final)
		}
	})
}

// writeJob changes a job's record under its shard's claim.
func (m *Member) writeJob(s *shard, w *work, changes []Change, guards []Guard, done func()) {
	j := w.job
	w.writing, j.busy, w.wroteAt = true, true, m.now.Steady
	m.txn(Answers, append(m.guard(s, j), guards...), changes, func(r StoreResult) {
		w.writing, j.busy = false, false
		if r.Outcome == OK {
			done()
			return
		}
		w.wroteAt = m.now.Steady + 200 // not before
		if r.Outcome == Unknown || r.Outcome == Conflict {
			w.writing, j.busy = true, true
			m.reread(jobKey(j.rec.Job.ID), func(StoreResult) {
				w.writing, j.busy = false, false
			})
		}
	})
}

// release hands a shard back to its own member: first we stop acting for it,
// then the claim is removed. There is no way back once the removal was sent: it
// may be applied late, and the next claim may follow at once.
func (m *Member) release(s *shard) {
	if s.leaving {
		return
	}
	s.leaving = true
	m.log(Info, "shard handed back", "shard", s.name)
	m.removeClaim(s)
}

func (m *Member) removeClaim(s *shard) {
	key := shardKey(s.name)
	s.reading = true
	m.txn(Holds, []Guard{{key, s.token}}, []Change{{Key: key}}, func(r StoreResult) {
		s.reading = false
		s.planned = m.now.Steady
		if r.Outcome == OK || r.Outcome == Conflict {
			m.dropShard(s)
			m.absent[s.name] = m.now.Steady
		}
	})
}
