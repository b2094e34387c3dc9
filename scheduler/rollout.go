package scheduler

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/rollout"
)

// Draining and replacing machines in steps: packages rollout (the plan) and disruption
// (what it may cost teams) decide; this file gives them what they look at, and keeps
// their records. The member that leads the fleet owns the plan's record; each holder
// empties its own machines, and owns the record of what it stopped for that.

const (
	rolloutKey       = "l/r/plan"
	disruptionPrefix = "l/d/"
)

// rollouts is what a member knows and, while it leads, decides of the plan.
type rollouts struct {
	rec      *rollout.Record
	accounts map[string]disruption.Record // by shard, as the store has them
	ledger   *disruption.Ledger           // while it leads
	ledgerOf string                       // the plan that the ledger is of
	next     int64
	writing  bool
	renting  bool
	nextRent int64
	past     []pastTally // of all members, for what is usual
	fleet    []rollout.Machine
}

type pastTally struct {
	at    int64
	tally rollout.Tally
}

// pastTallies and pastEvery bound what is remembered of what is usual: five minutes.
const (
	pastTallies = 30
	pastEvery   = 10_000
)

// disrupted is a shard's side: its account, what it would stop, and what it lost.
type disrupted struct {
	account *disruption.Account
	page    page
	wants   map[string]disruption.Demand
	next    int64
}

// openTasks bounds the charges of a shard that are open, within half a value.
func (m *Member) openTasks() int { return max(16, m.p.ValueBytes/2/80) }

func (m *Member) planMachine(mc *machine) rollout.Machine {
	return rollout.Machine{ID: mc.id, Type: mc.rec.Type, Zone: mc.rec.Zone, Shard: mc.rec.Shard, Spot: mc.rec.Spot, Up: mc.Up, Rented: mc.rec.Rented, For: mc.rec.For}
}

// applyRollout takes a record of a plan or of what a shard stopped.
func (m *Member) applyRollout(it Item) error {
	r := &m.roll
	if it.Key == rolloutKey {
		if it.Value == nil {
			r.rec = nil
			return nil
		}
		rec := &rollout.Record{}
		if err := json.Unmarshal(it.Value, rec); err != nil {
			return err
		}
		r.rec = rec
		m.dirtyAll()
		return nil
	}
	shard := it.Key[len(disruptionPrefix):]
	var rec disruption.Record
	if it.Value != nil {
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return err
		}
	}
	r.accounts[shard] = rec
	return nil
}

// covered tells whether the plan has a machine emptied now.
func (m *Member) covered(mc *machine) bool {
	if m.roll.rec == nil || !m.p.Rollout {
		return false
	}
	p := m.planMachine(mc)
	return m.roll.rec.Covers(&p)
}

// budget is a team's, by the operators' settings; "*" stands for teams without one.
func (m *Member) budget(team string) disruption.Budget {
	if b, ok := m.settings.Disruption[team]; ok {
		return b
	}
	return m.settings.Disruption["*"]
}

// tickRollout leads the plan on: once or twice a second, by one write for all that
// changed.
func (m *Member) tickRollout() {
	r, now := &m.roll, m.now.Steady
	if !m.p.Rollout || now < r.next {
		return
	}
	r.next = now + 500
	tally := m.tallyAll()
	if n := len(r.past); n == 0 || now-r.past[n-1].at >= pastEvery {
		r.past = append(r.past[max(0, n-pastTallies+1):], pastTally{now, tally})
	}
	if r.rec == nil || r.rec.State.Over() || r.writing {
		return
	}
	if r.ledger == nil || r.ledgerOf != r.rec.Plan.ID {
		r.ledger, r.ledgerOf = disruption.NewLedger(r.rec.Issued), r.rec.Plan.ID
	}
	rec := *r.rec
	changed, rent := rec.Next(m.now.Wall, m.planFleet(), tally, m.planPrice)
	if rec.State == rollout.Running && m.issue() {
		changed = true
	}
	if changed {
		rec.Issued = r.ledger.Issued()
		m.writeRollout(&rec, []Guard{{leadKey, m.fleet.rev}}, func(StoreResult) {})
	}
	if len(rent) > 0 && !r.renting && now >= r.nextRent {
		r.nextRent = now + 1000
		m.rentReplacements(rec.Plan.ID, rent)
	}
}

// issue hands out tokens for what the shards want to stop.
func (m *Member) issue() (changed bool) {
	r := &m.roll
	wants := map[string]map[string]disruption.Demand{} // team, shard
	m.heard(func(from string, msg *PeerMessage) {
		for i := range msg.Shards {
			if sr := &msg.Shards[i]; m.shards[sr.Shard].Holder == from {
				for team, d := range sr.Disruption {
					if wants[team] == nil {
						wants[team] = map[string]disruption.Demand{}
					}
					wants[team][sr.Shard] = d
				}
			}
		}
	})
	rows, most := 0, max(16, m.p.ValueBytes/2/40) // a row takes some forty bytes
	known := map[string]bool{}
	for _, teams := range r.ledger.Issued() {
		rows += len(teams)
		for t := range teams {
			known[t] = true
		}
	}
	for team, by := range inOrder(wants) {
		if !known[team] {
			if rows += len(by); rows > most {
				continue // no room in the record: its machines wait for their tasks to end
			}
		}
		settled := map[string]uint64{}
		for s, a := range r.accounts {
			settled[s] = a.Settled[team]
		}
		if r.ledger.Issue(m.now.Steady, team, m.budget(team), by, settled) {
			changed = true
		}
	}
	return changed
}

// planFleet lists the machines that are recorded, in order. What is asked back is on
// its way and counts as there until the cloud has said so.
func (m *Member) planFleet() []rollout.Machine {
	r := &m.roll
	r.fleet = r.fleet[:0]
	for _, mc := range m.machines {
		r.fleet = append(r.fleet, m.planMachine(mc))
	}
	slices.SortFunc(r.fleet, func(a, b rollout.Machine) int { return strings.Compare(a.ID, b.ID) })
	return r.fleet
}

func (m *Member) planPrice(k rollout.Kind) float64 {
	t := m.types[k.Type]
	switch {
	case t == nil:
		return 0
	case k.Spot:
		return t.SpotPrice
	}
	return t.Price
}

// tallyAll is what gates count, over all members that are heard.
func (m *Member) tallyAll() (sum rollout.Tally) {
	m.heard(func(_ string, msg *PeerMessage) { sum = sum.Add(msg.Tally) })
	return sum
}

// usual is what gates count in an ordinary second.
func (m *Member) usual() rollout.Rate {
	past := m.roll.past
	if len(past) == 0 {
		return rollout.Rate{}
	}
	return m.tallyAll().Since(past[0].tally).Per(m.now.Steady - past[0].at)
}

// rentReplacements asks for machines that a plan replaces others by, one call for all
// of a kind and zone.
func (m *Member) rentReplacements(plan string, rent map[rollout.Kind]int) {
	r := &m.roll
	by := map[offer]map[string]int{}
	var order []offer
	for k, n := range rent {
		o := offer{k.Type, k.Zone, k.Spot}
		if m.types[k.Type] == nil || m.now.Steady < m.fleet.refused[o] {
			continue
		}
		if by[o] == nil {
			by[o] = map[string]int{}
			order = append(order, o)
		}
		by[o][k.Shard] += n
	}
	slices.SortFunc(order, offer.compare)
	left := len(order)
	r.renting = left > 0
	for _, o := range order {
		m.rent(o, by[o], plan, func() {
			if left--; left == 0 {
				r.renting = false
			}
		})
	}
}

// writeRollout changes the plan's record, under a condition beside its revision.
func (m *Member) writeRollout(rec *rollout.Record, guards []Guard, done func(StoreResult)) {
	r := &m.roll
	r.writing = true
	m.txn(Answers, append(guards, Guard{rolloutKey, m.revs[rolloutKey]}), []Change{{Key: rolloutKey, Value: encode(rec)}}, func(res StoreResult) {
		if res.Outcome != Unknown && res.Outcome != Conflict {
			r.writing = false
			done(res)
			return
		}
		// Tokens that the record would have issued count as issued, in the ledger
		// of this leader and, if it was written, in the record.
		m.reread(rolloutKey, func(StoreResult) {
			r.writing = false
			done(res)
		})
	})
}

// keepRollout is a shard's part in each tick: what was stopped and runs again is
// settled, what is to be stopped is charged, and the account is written.
func (m *Member) keepRollout(s *shard) {
	d := &s.disrupted
	if !m.p.Rollout || m.now.Steady < d.next {
		return
	}
	d.next = m.now.Steady + 250
	if d.account == nil {
		d.account = disruption.Open(m.roll.accounts[s.name], m.openTasks())
		d.page.rev = m.revs[disruptionPrefix+s.name]
	}
	m.settle(s)
	m.wantStops(s)
	m.writeAccount(s)
}

// settle closes the charges of tasks that run again, are done or are nobody's any
// more, and of tasks that go on where they are.
func (m *Member) settle(s *shard) {
	d := &s.disrupted
	if d.account.Empty() {
		return
	}
	live := map[string]*attempt{}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				live[a.key.task] = a
			}
		}
	}
	d.account.Losses(func(task, _ string) {
		if w, i := m.workOf(task); w == nil || w.done.has(i) || live[task] != nil {
			d.account.Found(task)
		}
	})
	if len(s.squares.Unseen()) > 0 {
		return // what is not heard may be what runs
	}
	d.account.Each(func(task string, t disruption.Task) {
		w, i := m.workOf(task)
		a := live[task]
		switch {
		case w == nil, w.done.has(i):
			d.account.Settle(task)
		case a != nil && a.key.attempt != t.Attempt:
			d.account.Settle(task)
		case a != nil && !a.evicted && !m.covered(a.on):
			d.account.Settle(task) // it was never told to stop, and is not to be
		}
	})
}

// eviction is a task that would be stopped, with what that loses.
type eviction struct {
	a    *attempt
	lost float64 // work, in processor milliseconds
}

// wantStops finds what the plan would have stopped, charges what was issued for, and
// tells what more it wants. What ends in time is let end.
func (m *Member) wantStops(s *shard) {
	d, rec, wall := &s.disrupted, m.roll.rec, m.now.Wall
	d.wants = map[string]disruption.Demand{}
	if rec == nil || rec.State.Over() {
		return
	}
	for _, mc := range s.machines {
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				w := d.wants[a.job.Team]
				w.Running++
				d.wants[a.job.Team] = w
			}
		}
	}
	d.account.Losses(func(_, team string) {
		w := d.wants[team]
		w.Lost++
		d.wants[team] = w
	})
	if rec.State != rollout.Running || !s.squared {
		return
	}
	late, by := rec.Late(wall), rec.Deadline()
	var list []eviction
	for _, mc := range s.machines {
		if !mc.aside || !mc.Squared() || mc.live == 0 || !m.covered(mc) {
			continue
		}
		for _, a := range mc.byKey {
			if a.exited || a.saving || a.job.Once || d.account.IsOpen(a.key.task) {
				continue
			}
			ends := a.ends(wall)
			soon := ends-wall <= 2*m.reportGap()+ms(a.job.SaveS)
			e := eviction{a: a}
			switch {
			case a.job.Kind == Array && soon || by > 0 && !late && a.job.Kind == Array && ends <= by && a.running:
				continue // over by itself in time
			case !a.running && a.job.Kind == Array:
				// Nothing is lost.
			case late:
				e.lost = float64(wall-a.ranAt) * a.job.Request.CPUs
				if a.job.CheckpointS > 0 {
					e.lost = min(e.lost, a.job.SaveS*1000*a.job.Request.CPUs)
				}
			case a.job.Kind == Array && a.job.CheckpointS > 0 && by > 0 && !m.onlyHere(a.job, mc):
				e.lost = a.job.SaveS * 1000 * a.job.Request.CPUs
			default:
				continue
			}
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y eviction) int {
		return cmp.Or(cmp.Compare(x.lost, y.lost), cmp.Compare(x.a.key.task, y.a.key.task))
	})
	for _, e := range list {
		a := e.a
		tasks := m.withIt(s, a)
		if tasks == nil {
			continue
		}
		team := a.job.Team
		if d.account.Charge(team, rec.Issued[s.name][team], tasks) {
			continue
		}
		w := d.wants[team]
		w.Want += len(tasks)
		d.wants[team] = w
	}
	for team := range d.wants {
		if d.wants[team].Want == 0 {
			d.account.Return(team, rec.Issued[s.name][team])
		}
	}
}

// onlyHere tells whether no other type of machine takes a job.
func (m *Member) onlyHere(j *Job, mc *machine) bool {
	for _, t := range m.types {
		if t.Name != mc.rec.Type && m.fitsType(j, t) {
			return false
		}
	}
	return m.catalog.Needed(mc.rec.Type)
}

// withIt is what goes down with a task: a gang all of it; nil if a service would fall
// under what its team's budget keeps.
func (m *Member) withIt(s *shard, a *attempt) map[string]uint64 {
	tasks := map[string]uint64{a.key.task: a.key.attempt}
	switch a.job.Kind {
	case Service:
		down := 0
		s.disrupted.account.Each(func(task string, _ disruption.Task) {
			if w, _ := m.workOf(task); w == a.work {
				down++
			}
		})
		keep := int(math.Ceil(m.budget(a.job.Team).Keep * float64(a.work.size())))
		if min(a.work.running, a.work.size()-down)-1 < keep {
			return nil
		}
	case Gang:
		for _, mc := range s.machines {
			for _, o := range mc.byKey {
				if !o.exited && o.work == a.work {
					tasks[o.key.task] = o.key.attempt
				}
			}
		}
	}
	return tasks
}

// mayEvict tells whether a task's stop may leave: its charge is in the store.
func (m *Member) mayEvict(s *shard, mc *machine, a *attempt) bool {
	d := &s.disrupted
	if !m.p.Rollout || d.account == nil || !d.account.MayStop(a.key.task, a.key.attempt) {
		return false
	}
	// A gang goes down whole, wherever its tasks are.
	return a.evicted || m.roll.rec != nil && m.roll.rec.State == rollout.Running && (mc.aside && m.covered(mc) || a.job.Kind == Gang)
}

// writeAccount stores a shard's account when it changed.
func (m *Member) writeAccount(s *shard) {
	d := &s.disrupted
	if d.page.writing || !d.account.Dirty() || m.now.Steady < d.page.next {
		return
	}
	rec := d.account.Record()
	m.writeOwn(s, disruptionPrefix+s.name, &d.page, rec, m.progressEvery()/2, func(ok bool) {
		if ok {
			d.account.Stored(rec)
		} else {
			d.account.Failed()
		}
	})
}

// RolloutStatus is a plan as the administration API shows it.
type RolloutStatus struct {
	*rollout.Record
	Left     int            `json:"left"`              // machines of the plan that are there still
	Emptying int            `json:"emptying"`          // of them, being emptied now
	Booting  int            `json:"booting"`           // replacements that are not up yet
	Down     map[string]int `json:"down"`              // by team: tasks stopped that do not run again yet
	Waits    map[string]int `json:"waiting,omitempty"` // by team: tasks that wait for its budget
}

// Rollout tells how the plan stands, nil without one.
func (m *Member) Rollout(now Now) *RolloutStatus {
	m.now = now
	rec := m.roll.rec
	if rec == nil {
		return nil
	}
	st := &RolloutStatus{Record: rec, Down: map[string]int{}, Waits: map[string]int{}}
	for _, mc := range m.machines {
		p := m.planMachine(mc)
		switch {
		case rec.Names(&p):
			st.Left++
			if rec.Covers(&p) {
				st.Emptying++
			}
		case p.For == rec.Plan.ID && !p.Up:
			st.Booting++
		}
	}
	for _, a := range m.roll.accounts {
		for _, t := range a.Open {
			st.Down[t.Team]++
		}
	}
	m.heard(func(_ string, msg *PeerMessage) {
		for i := range msg.Shards {
			for team, d := range msg.Shards[i].Disruption {
				if d.Want > 0 {
					st.Waits[team] += d.Want
				}
			}
		}
	})
	return st
}

// RolloutPreview is what a plan would do, by what is there now.
type RolloutPreview struct {
	Machines int            `json:"machines"`
	Kinds    map[string]int `json:"kinds"` // by type, zone and kind
	Tasks    map[string]int `json:"tasks"` // by team: running on this member's machines of them
	Steps    int            `json:"steps"`
	Beyond   float64        `json:"beyond"`  // money an hour while all of the surge is there
	Budgets  map[string]int `json:"budgets"` // by team: tasks that may be down at once
	Wrong    string         `json:"wrong,omitempty"`
}

// PreviewRollout tells what a plan would do, and stores nothing.
func (m *Member) PreviewRollout(now Now, p rollout.Plan) RolloutPreview {
	m.now = now
	out := RolloutPreview{Kinds: map[string]int{}, Tasks: map[string]int{}, Budgets: map[string]int{}}
	rec, why := rollout.Begin(p, m.now.Wall, m.planFleet(), rollout.Rate{})
	if why != "" {
		out.Wrong = why
		return out
	}
	out.Machines = rec.Total
	var dearest float64
	zones := map[string]int{}
	for _, mc := range m.machines {
		x := m.planMachine(mc)
		if !rec.Names(&x) {
			continue
		}
		out.Kinds[planner.Kind{Type: x.Type, Zone: x.Zone, Spot: x.Spot}.Name()]++
		zones[x.Zone]++
		dearest = max(dearest, m.planPrice(rollout.Kind{Type: x.Type, Zone: x.Zone, Spot: x.Spot}))
		for _, a := range mc.byKey {
			if !a.exited && a.running {
				out.Tasks[a.job.Team]++
			}
		}
	}
	for team, n := range out.Tasks {
		out.Budgets[team] = m.budget(team).Most(n)
	}
	out.Steps = rec.Steps(zones)
	out.Beyond = dearest * float64(min(p.Surge, rec.Total))
	return out
}

// ApplyRollout stores a plan, for the member that leads the fleet to carry out;
// reply names the answer among the users'.
func (m *Member) ApplyRollout(now Now, reply uint64, p rollout.Plan) {
	m.changeRollout(now, reply, func() (*rollout.Record, string, int) {
		if old := m.roll.rec; old != nil && !old.State.Over() {
			return nil, "plan " + old.Plan.ID + " is " + string(old.State) + ": abort it first", 409
		} else if old != nil && old.Plan.ID == p.ID {
			return nil, "id: plan " + p.ID + " has been already", 409
		}
		if p.Type != "" && m.types[p.Type] == nil {
			return nil, "type: no machine type " + p.Type, 400
		}
		rec, why := rollout.Begin(p, m.now.Wall, m.planFleet(), m.usual())
		if rec != nil && m.roll.rec != nil {
			rec.Issued = m.roll.rec.Issued // tokens are the shards', whatever the plan
		}
		return rec, why, 400
	})
}

// CommandRollout carries an operator's command to the plan out.
func (m *Member) CommandRollout(now Now, reply uint64, c rollout.Command) {
	m.changeRollout(now, reply, func() (*rollout.Record, string, int) {
		if m.roll.rec == nil {
			return nil, "there is no plan", 404
		}
		rec := *m.roll.rec
		why := rec.Do(c, m.now.Wall, m.tallyAll())
		return &rec, why, 409
	})
}

func (m *Member) changeRollout(now Now, reply uint64, change func() (rec *rollout.Record, why string, status int)) {
	m.now = now
	m.questions[reply] = &question{reply: reply, at: now.Steady, own: true, relayed: true} // this member's to answer
	if !m.p.Rollout {
		m.reply(reply, UserAnswer{Status: 404, Error: "rollouts are switched off (features: [rollout])"})
		return
	}
	if !m.acc.Synced() || m.roll.writing {
		m.reply(reply, unavailable("", "state service unavailable"))
		return
	}
	rec, why, status := change()
	if why != "" {
		m.reply(reply, UserAnswer{Status: status, Error: why})
		return
	}
	m.log(Info, "rollout", "plan", rec.Plan.ID, "state", rec.State, "machines", rec.Total)
	m.writeRollout(rec, nil, func(r StoreResult) {
		switch r.Outcome {
		case OK:
			m.reply(reply, UserAnswer{Status: 200})
		case Conflict:
			m.reply(reply, UserAnswer{Status: 409, Error: "the plan moved on meanwhile; try again"})
		default:
			m.reply(reply, unavailable("", "state service unavailable"))
		}
	})
}
