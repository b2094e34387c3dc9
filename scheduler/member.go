// Package scheduler is the controllers' core: a state machine that takes
// inputs (reports, requests of users, answers of the state service, of the
// cloud and of peers, and the passing of time) and returns what to send, write
// and answer. It does no input or output, starts no goroutine and reads no
// clock, so a whole cluster of cores runs in simulated time in its tests.
package scheduler

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/admission"
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/planner"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
)

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	CPUs, GPUs       float64
	MaxCPUs, MaxGPUs float64
}

// Objective is an aim for a class of jobs. Kind is deadline, wait, finished or
// guarantee; others are ignored.
type Objective struct {
	Kind    string
	WithinS float64
	Times   float64 // deadline: the deadline times this
}

// Params is what a core needs of the settings.
type Params struct {
	Member     string
	Zone       string
	Peers      []string
	Teams      map[string]Team
	Objectives map[string][]Objective // by class
	GuaranteeS float64                // work within a guarantee starts this soon; 0: no such aim
	ReportS    float64
	LeaseS     float64
	CancelS    float64
	CPUShare   float64 // of one core; 0: not limited
	Debug      bool    // debug lines are wanted
	ValueBytes int
	TxnOps     int
	ListLagS   float64
	AcceptRate float64 // changes a second that the state service allows this member; 0: submissions are written one by one
	Relays     int     // users' requests that peers may be answering at once; 0: none
	Aging      bool    // first tasks of jobs that waited too long to begin go before their equals
	Quota      bool    // teams get their guarantees by what others run beyond theirs
	Rollout    bool    // machines are drained and replaced in steps, by plans
	Recovery   bool    // orders after a claim are paced, and what reports do not say is remembered
	HoldLife   float64 // life of holds, against the longest that is safe; 0: that
}

const drift = access.Drift

// Settings are the operators' own, kept in the store and changed through the
// administration API.
type Settings struct {
	Functions int      `json:"functions"`  // functions in a summary
	Samples   int      `json:"samples"`    // samples in a function
	LateShare float64  `json:"late_share"` // of a job's span, by which a late task aims late
	SummaryS  float64  `json:"summary_s"`  // between two summaries to a peer
	IdleBoots float64  `json:"idle_boots"` // idle time before return, in boot times of the machine's type
	Drain     []string `json:"drain,omitempty"`

	// BeginWithinS is the time in which the first task of each job is to start, if
	// its priority finds room at all (feature aging).
	BeginWithinS float64 `json:"begin_within_s"`

	// Disruption is by team what may be stopped to empty machines (rollouts); "*"
	// stands for teams that are not named. Without either, nothing is.
	Disruption map[string]disruption.Budget `json:"disruption,omitempty"`
}

// DefaultSettings are the paper's limits and the design's starting values.
func DefaultSettings() Settings {
	return Settings{Functions: 125, Samples: 10, LateShare: 0.25, SummaryS: 1, IdleBoots: 1.5, BeginWithinS: 240}
}

// Check says what is wrong with settings, or nothing.
func (s Settings) Check() string {
	switch {
	case s.Functions < 1 || s.Functions > 1000:
		return "functions must be from 1 to 1000"
	case s.Samples < 2 || s.Samples > 100:
		return "samples must be from 2 to 100"
	case !(s.LateShare > 0) || s.LateShare > 10:
		return "late_share must be above 0 and at most 10"
	case !(s.SummaryS >= 0.1) || s.SummaryS > 60:
		return "summary_s must be from 0.1 to 60"
	case !(s.IdleBoots >= 0) || s.IdleBoots > 1000:
		return "idle_boots must be from 0 to 1000"
	case !(s.BeginWithinS >= 1) || s.BeginWithinS > 1e6:
		return "begin_within_s must be from 1 to 1000000"
	case len(s.Drain) > 100:
		return "drain must name at most 100 machines"
	case len(s.Disruption) > 100:
		return "disruption must name at most 100 teams"
	}
	for team, b := range inOrder(s.Disruption) {
		if why := b.Check(); why != "" {
			return "disruption." + team + "." + why
		}
	}
	return ""
}

// job is a live job of the mirror.
type job struct {
	rec   jobRecord
	rev   uint64
	busy  bool // a write on its record is under way
	works map[int]*work
	doom  string // why the job is to be given up
	begin bool   // Once: a task waits for the record to say that it may begin
}

// Member is the core of one controller.
type Member struct {
	p   Params
	rng *rand.Rand
	now Now
	out Outputs

	nextID  uint64
	store   map[uint64]func(StoreResult)
	clouds  map[uint64]func(CloudResult)
	dos     map[uint64]func(DoResult)
	started int64

	acc *access.Access // how the member stands with the state service

	// The mirror of everything live.
	revs     map[string]uint64 // revision of every mirrored key
	tombs    map[string]uint64 // removals that the watch has not passed yet
	jobs     map[string]*job
	machines map[string]*machine
	rosters  map[string]*roster  // by key
	ups      map[string][]string // machines that are up, by the key of their list
	shards   map[string]shardRecord
	books    map[string]*quota.Book // of teams with a limit
	watch    *quota.Watch
	standing standing
	up       capacity
	volumes  volumes
	lead     string
	types    map[string]*MachineType
	catalog  *planner.Catalog // the same, as placement sees it
	settings Settings
	rev      uint64

	mine     map[string]*shard
	claiming map[string]int64 // shard: when to try again
	absent   map[string]int64 // shard: since when nobody holds it
	wants    map[string]int64 // shard: when its own member last asked for it

	beside map[string]Item // what subsystems beside the core keep in the mirror

	pauses []pause // of writes in doubt

	notes    map[string]*peerState // of members that the lead may not hear
	noting   bool
	noted    bool // the last note said something
	nextNote int64

	accepts   *admission.Queue[accept]
	questions map[uint64]*question // without an answer, by reply
	asked     []*question          // the same, in order
	relays    map[uint64]relay
	nextRelay uint64
	hurry     float64 // relays that may go only to hurry

	reads    reads
	finals   map[string]finalRecord
	finalLog []string
	waiting  map[string][]waiter // machine: reports that wait for its registration

	peers      map[string]*peerState
	nextPeer   int64
	turns      int // of peers that get summaries
	corrected  map[string]*correction
	fleet      fleet
	roll       rollouts
	tally      rollout.Tally     // what the gates of rollouts count, here
	homes      map[string]string // team with a limit: the shard that its jobs go to
	Counters   Counters
	lastUsable bool
	lastLink   access.Link
}

// Counters counts what operators watch.
type Counters struct {
	Starts    uint64 `json:"starts"`
	Lost      uint64 `json:"lost"`
	Errors    uint64 `json:"errors"`
	Claims    uint64 `json:"claims"`
	Rented    uint64 `json:"rented"`
	Returned  uint64 `json:"returned"`
	Moved     uint64 `json:"moved"`
	Replans   uint64 `json:"replans"`
	Accepted  uint64 `json:"accepted"`
	Finished  uint64 `json:"finished"`
	Preempted uint64 `json:"preempted"`
	Refused   uint64 `json:"refused"`
	Relayed   uint64 `json:"relayed"`
	Batches   uint64 `json:"read_batches"` // of users' questions that shared a read
	Shed      uint64 `json:"shed"`
	Adopted   uint64 `json:"adopted"`    // tasks of earlier claims that go on
	Strays    uint64 `json:"strays"`     // tasks that were not ours to keep
	Ceded     uint64 `json:"ceded"`      // tasks stopped for another team's guarantee
	InDoubt   uint64 `json:"in_doubt"`   // writes of which nobody said whether they were carried out
	Old       uint64 `json:"old_report"` // reports that were no newer than another
	Confirmed uint64 `json:"confirmed"`  // submissions answered by their record, with no answer to their write
	Unheard   uint64 `json:"unheard"`    // starts in the answer to a report that its worker did not hear
}

type waiter struct {
	reply  uint64
	report Report
	at     int64
}

type peerState struct {
	at   int64 // steady time of the last message
	wall int64 // its own time of day
	msg  PeerMessage
}

// correction learns how long a class takes against its owners' estimates.
type correction struct {
	ratio float64
	seen  int
}

// New makes the core of a member. The seed only spreads retries and names
// claims; nothing that others rely on hangs on it.
func New(p Params, seed uint64, now Now) *Member {
	m := &Member{
		p: p, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), now: now, started: now.Steady,
		store: map[uint64]func(StoreResult){}, clouds: map[uint64]func(CloudResult){}, dos: map[uint64]func(DoResult){},
		revs: map[string]uint64{}, tombs: map[string]uint64{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		rosters: map[string]*roster{}, ups: map[string][]string{},
		shards: map[string]shardRecord{}, types: map[string]*MachineType{}, catalog: planner.NewCatalog(),
		settings: DefaultSettings(), mine: map[string]*shard{}, claiming: map[string]int64{}, absent: map[string]int64{},
		wants: map[string]int64{}, notes: map[string]*peerState{}, questions: map[uint64]*question{}, relays: map[uint64]relay{}, hurry: hurryBurst, finals: map[string]finalRecord{}, waiting: map[string][]waiter{},
		beside: map[string]Item{}, peers: map[string]*peerState{}, corrected: map[string]*correction{},
	}
	m.acc = access.New(access.Settings{Life: m.life(), Drift: drift, Slack: 50, Timeout: access.Timeout.Milliseconds()})
	m.accepts = newAccepts(m)
	m.openTeams()
	m.watch = quota.NewWatch(p.Member, now.Wall)
	m.fleet.init()
	m.roll.accounts = map[string]disruption.Record{}
	return m
}

// Take returns what the inputs since the last call want done.
func (m *Member) Take() Outputs {
	o := m.out
	m.out = Outputs{}
	return o
}

func (m *Member) log(l Level, text string, args ...any) {
	if l == Debug && !m.p.Debug {
		return
	}
	m.out.Logs = append(m.out.Logs, LogLine{l, text, args})
}

func (m *Member) ask(op StoreOp, done func(StoreResult)) {
	m.nextID++
	op.ID = m.nextID
	switch {
	case op.Kind == StoreWatch && op.MS > 0: // waits by its nature
		m.store[op.ID] = done
	case op.Urgency == Progress:
		// Put off for as long as the rate is short: its time is not the state
		// service's.
		m.store[op.ID] = func(r StoreResult) {
			m.acc.Heard(m.now.Steady, r.Outcome)
			done(r)
		}
	default:
		t := m.acc.Sent(m.now.Steady)
		m.store[op.ID] = func(r StoreResult) {
			m.acc.Ended(m.now.Steady, t, r.QueueMS, r.Outcome)
			done(r)
		}
	}
	m.out.Store = append(m.out.Store, op)
}

// StoreDone takes the answer of the state service to a request.
func (m *Member) StoreDone(now Now, id uint64, r StoreResult) {
	m.now = now
	if f := m.store[id]; f != nil {
		delete(m.store, id)
		f(r)
	}
}

func (m *Member) askCloud(op CloudOp, done func(CloudResult)) {
	m.nextID++
	op.ID = m.nextID
	m.clouds[op.ID] = done
	m.out.Cloud = append(m.out.Cloud, op)
}

// CloudDone takes the cloud's answer to a request.
func (m *Member) CloudDone(now Now, id uint64, r CloudResult) {
	m.now = now
	if f := m.clouds[id]; f != nil {
		delete(m.clouds, id)
		f(r)
	}
}

// life is how long this member's holds last (access.Life).
func (m *Member) life() int64 {
	l := access.Life(ms(m.p.CancelS), ms(m.p.LeaseS))
	if m.p.HoldLife > 0 {
		l = int64(float64(l) * min(1, m.p.HoldLife))
	}
	return l
}

// step is how often holds are extended and watches renewed.
func (m *Member) step() int64 { return m.acc.Step() }

// authority tells whether this member may act for its shards. Past it, no
// starts, no decisions, and no answer that would renew a worker's lease.
func (m *Member) authority() bool { return m.acc.Authority(m.now.Steady) }

// Tick lets time pass. The caller does so every tenth of a second.
func (m *Member) Tick(now Now) {
	m.now = now
	m.tickAccess()
	m.tickPauses()
	if a := m.authority(); a != m.lastUsable {
		m.lastUsable = a
		m.log(Info, "authority", "held", a)
	}
	m.tickShards()
	m.tickPeers()
	m.tickFleet()
	m.pumpAccepts()
	m.pumpReads()
	m.confirmSeen()
	m.hurryQuestions()
}

// tickAccess asks what the member's standing needs: its hold, and the mirror of
// everything live, by one list and then watches. A watch that comes back proves
// that everything up to its sending was seen.
func (m *Member) tickAccess() {
	ask := m.acc.Tick(m.now.Steady)
	if l := m.acc.Link(m.now.Steady); l != m.lastLink {
		m.lastLink = l
		m.log(Info, "state service", "link", l)
	}
	if ask.Hold {
		m.ask(StoreOp{Kind: StoreHold, MS: m.life()}, func(r StoreResult) { m.acc.Held(m.now.Steady, r.Outcome, r.Hold) })
	}
	if ask.Extend != 0 {
		m.ask(StoreOp{Kind: StoreExtend, Hold: ask.Extend}, func(r StoreResult) {
			if !m.acc.Held(m.now.Steady, r.Outcome, 0) {
				return
			}
			// The hold ended: every claim that hung on it is gone.
			m.log(Warn, "hold lost", "shards", len(m.mine))
			for _, s := range inOrder(m.mine) {
				m.dropShard(s)
			}
		})
	}
	if ask.List {
		m.list(livePrefix, func(items []Item, rev uint64, o Outcome) {
			if o == OK {
				m.mirror(items, rev)
			}
			m.acc.Looked(m.now.Steady, ask.Look, o, m.rng.Float64())
		})
	}
	if ask.Watch {
		m.ask(StoreOp{Kind: StoreWatch, Key: livePrefix, Rev: m.rev, MS: m.step()}, func(r StoreResult) {
			if !m.acc.Looked(m.now.Steady, ask.Look, r.Outcome, m.rng.Float64()) || r.Outcome != OK {
				return
			}
			m.watched(r)
		})
	}
}

// watched takes all changes since a revision that the mirror had.
func (m *Member) watched(r StoreResult) {
	for _, it := range r.Items {
		m.apply(it)
	}
	m.rev = max(m.rev, r.Rev)
	for k, at := range m.tombs {
		if at <= m.rev {
			delete(m.tombs, k)
		}
	}
}

// mirror takes a list of everything live.
func (m *Member) mirror(items []Item, rev uint64) {
	found := make(map[string]bool, len(items))
	for _, it := range items {
		found[it.Key] = true
		m.apply(it)
	}
	var gone []string
	for k, at := range m.revs {
		if !found[k] && at <= rev {
			gone = append(gone, k)
		}
	}
	slices.Sort(gone)
	for _, k := range gone {
		m.apply(Item{Key: k, Rev: rev})
	}
	m.rev = rev
	m.log(Info, "mirror read", "keys", len(items), "revision", rev)
}

// list reads all keys with a prefix. rev is the revision of the first page:
// watching from there on misses nothing.
func (m *Member) list(prefix string, done func(items []Item, rev uint64, o Outcome)) {
	var all []Item
	var rev uint64
	var page func(from string)
	page = func(from string) {
		m.ask(StoreOp{Kind: StoreList, Key: prefix, From: from}, func(r StoreResult) {
			if r.Outcome != OK {
				done(nil, 0, r.Outcome)
				return
			}
			if from == "" {
				rev = r.Rev
			}
			all = append(all, r.Items...)
			if r.More && len(r.Items) > 0 {
				page(r.Items[len(r.Items)-1].Key)
				return
			}
			done(all, rev, OK)
		})
	}
	page("")
}

// apply brings the mirror up to a change, unless it has a newer one already.
func (m *Member) apply(it Item) {
	if !strings.HasPrefix(it.Key, livePrefix) {
		return
	}
	if it.Rev <= m.revs[it.Key] || it.Rev <= m.tombs[it.Key] {
		return
	}
	// The mirror has everything up to m.rev. A read that was under way while its
	// key was removed says less: applied, it made a cancelled job start again.
	if _, known := m.revs[it.Key]; !known && m.acc.Synced() && it.Rev <= m.rev {
		return
	}
	gone := it.Value == nil
	if gone {
		// A watch that lags behind our own removal must not bring the key
		// back: a job that is over would start again.
		if it.Rev > m.rev {
			m.tombs[it.Key] = it.Rev
		}
		if _, ok := m.revs[it.Key]; !ok {
			return
		}
		delete(m.revs, it.Key)
	} else {
		m.revs[it.Key] = it.Rev
	}
	bad := func(err error) {
		m.log(Warn, "record unreadable", "key", it.Key, "error", err)
	}
	switch {
	case strings.HasPrefix(it.Key, jobPrefix):
		id := it.Key[len(jobPrefix):]
		if gone {
			m.jobGone(id)
			return
		}
		var rec jobRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			bad(err)
			return
		}
		m.jobChanged(id, rec, it.Rev)
	case strings.HasPrefix(it.Key, machinePrefix), strings.HasPrefix(it.Key, upPrefix):
		if err := m.applyFleet(it); err != nil {
			bad(err)
		}
	case strings.HasPrefix(it.Key, shardPrefix):
		id := it.Key[len(shardPrefix):]
		var rec shardRecord
		if !gone {
			if err := json.Unmarshal(it.Value, &rec); err != nil {
				bad(err)
				return
			}
			m.shards[id] = rec
		} else {
			delete(m.shards, id)
		}
		// Another claim of a shard that we held: it is no longer ours. The
		// same claim with a higher revision is one that we raised.
		if s := m.mine[id]; s != nil && !gone && rec.Nonce == s.nonce {
			s.token = max(s.token, it.Rev)
			s.numbers.Rebase(s.token, m.now.Wall)
		} else if s != nil && it.Rev > s.token {
			m.log(Warn, "shard lost", "shard", id)
			m.dropShard(s)
		}
	case strings.HasPrefix(it.Key, teamPrefix):
		id := it.Key[len(teamPrefix):]
		b := m.books[id]
		if b == nil {
			return // it had a limit once
		}
		if gone {
			b.Heard(nil, 0)
		} else {
			var rec quota.Record
			if err := json.Unmarshal(it.Value, &rec); err != nil {
				bad(err)
				return
			}
			b.Heard(&rec, it.Rev)
		}
		m.dirtyAll()
	case strings.HasPrefix(it.Key, notePrefix):
		if err := m.applyNote(it); err != nil {
			bad(err)
		}
	case it.Key == rolloutKey, strings.HasPrefix(it.Key, disruptionPrefix):
		if err := m.applyRollout(it); err != nil {
			bad(err)
		}
	case strings.HasPrefix(it.Key, besidePrefix):
		if gone {
			delete(m.beside, it.Key)
		} else {
			m.beside[it.Key] = it
		}
	case it.Key == leadKey:
		var rec shardRecord
		if !gone {
			if err := json.Unmarshal(it.Value, &rec); err != nil {
				bad(err)
				return
			}
		}
		if rec.Nonce != m.fleet.nonce {
			m.fleet.leading = false
		}
		m.lead = rec.Holder
	case it.Key == catalogKey:
		var rec catalogRecord
		if gone {
			return
		}
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			bad(err)
			return
		}
		m.setTypes(rec.Types)
	case it.Key == settingsKey:
		s := DefaultSettings()
		if !gone {
			if err := json.Unmarshal(it.Value, &s); err != nil || s.Check() != "" {
				return
			}
		}
		m.settings = s
		m.dirtyAll()
	}
}

func (m *Member) setTypes(ts []MachineType) {
	for _, t := range ts {
		m.types[t.Name] = &t
		m.catalog.Set(planner.Type{Name: t.Name, Room: t.Room, FetchGBps: t.FetchGBps, Boot: ms(t.BootS), Zones: t.Zones})
	}
	m.dirtyAll()
}

func (m *Member) dirtyAll() {
	for _, s := range m.mine {
		s.dirty = true
	}
}

// txn sends a transaction. When it is known to have worked, the mirror has its
// changes before done is called.
func (m *Member) txn(u Urgency, guards []Guard, changes []Change, done func(StoreResult)) {
	m.ask(StoreOp{Kind: StoreTxn, Urgency: u, Guards: guards, Changes: changes}, func(r StoreResult) {
		if r.Outcome == OK {
			for _, c := range changes {
				m.apply(Item{Key: c.Key, Value: c.Value, Rev: r.Rev})
			}
		}
		done(r)
	})
}

// reread settles a write whose outcome is not known: the store's word on the
// keys, before anything rests on them.
func (m *Member) reread(key string, done func(StoreResult)) {
	m.ask(StoreOp{Kind: StoreGet, Urgency: Answers, Key: key}, func(r StoreResult) {
		if r.Outcome == OK && len(r.Items) == 1 {
			m.apply(r.Items[0])
		}
		if r.Outcome == NotFound {
			m.apply(Item{Key: key, Rev: r.Rev})
		}
		done(r)
	})
}

// members lists all members in order.
func (m *Member) members() []string {
	return m.p.Members()
}

func roomOf(t *MachineType) availability.Room {
	if t == nil {
		return availability.Room{}
	}
	return t.Room
}

// Usable tells whether users should be sent here. A member that can't act for
// its shards steps aside only while a peer says that it can: when the state
// service is away from all, answering 503 at once is as good as any member can
// do, and one that left would be kept out for a while after the outage.
func (m *Member) Usable() bool {
	if m.authority() && len(m.types) > 0 {
		return true
	}
	for name, p := range m.peers {
		if name != m.p.Member && m.fresh(p) && len(p.msg.Shards) > 0 {
			return false
		}
	}
	return true
}
