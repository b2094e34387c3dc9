// Package emulator is the project's own model of the systems that grebedock
// serves, in simulated time: a state service, a cloud, workers, a network that
// delays, loses, doubles and holds packets, clocks that drift, and users who ask,
// cancel and remember what they were told. It runs real cores of the scheduler.
// One seed gives one history. The rules are checked from the world's side: by
// what ran on the machines and by what users heard.
package emulator

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

type event struct {
	at  int64
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// Sabotage breaks something between the cores and the world, so that a test can
// see each rule's check fail.
type Sabotage struct {
	Start   func(*scheduler.WorkerAnswer) // answers to workers
	Report  func(*scheduler.Report)       // reports of workers
	Params  func(*scheduler.Params)
	Submit  func(*scheduler.Job)        // what the cores are told of a job
	Answers func(*scheduler.UserAnswer) // answers to users
	// Told changes the answers to users by what they asked.
	Told func(scheduler.UserRequest, *scheduler.UserAnswer)
}

// Member is a member's place in the world, and its core while it runs.
type Member struct {
	Name string
	Core *scheduler.Member // nil while it is down
	Step int64             // its time of day is off by so many milliseconds

	w       *World
	epoch   int
	drift   float64
	started int64
	free    int64 // when its part of the rates has room again
	// When its process, which stands still, goes on.
	stillTill int64
	replies   uint64
	workers   map[uint64]func(scheduler.WorkerAnswer)
	users     map[uint64]func(scheduler.UserAnswer)
}

// Host is a rented machine.
type Host struct {
	Worker   *standin.Worker // nil until it is up
	Rental   *standin.Rental
	Up, Gone bool
	GoneAt   int64
	HungTill int64
	HeardAt  int64 // when a report of it was last taken

	typ      scheduler.MachineType
	began    map[string]int64 // when each task last started here
	at       int              // member that it reports to
	inFlight bool
	nextAt   int64
	lastAt   int64
	again    bool  // the last report had no answer that counts
	deafTill int64 // it hears nothing
	muteTill int64 // it can open no connection to a member
	// Direct commands to it, and their answers, are held up.
	commandsTill, answersTill int64
	pause                     int64 // until the next report if nothing changes
	drift                     float64
}

// Job is a job with what its user knows of it.
type Job struct {
	Job       scheduler.Job
	Accepted  bool
	Told      scheduler.State
	Cancel    bool  // its user asked
	Cancelled int64 // when its user was told so
	Done      map[string]bool
	Began     map[string]int // starts by task
	Length    float64        // of its tasks, in seconds, for whoever runs them
	Submitted int64
	// AcceptedAt is when its user was first told that it is known.
	AcceptedAt int64
	First      int64 // when its first task started, 0: not yet
	Ended      int64 // when its last task was done, 0: not yet

	toldAt int64 // when its user was told its final state
	// When its user last had an answer about it.
	answeredAt   int64
	longestRunMS int64 // of its tasks' run times, of those that ran
	within       bool  // it came within its team's guarantee
	starts       map[string]int64
}

// NewJob returns a job that nobody has submitted yet.
func NewJob(j scheduler.Job) *Job {
	return &Job{Job: j, Done: map[string]bool{}, Began: map[string]int{}, starts: map[string]int64{}}
}

// Cut holds what goes between two groups of endpoints until it ends. Members
// have their names, machines "w" and theirs, and there are "store", "cloud" and
// "users".
type Cut struct {
	A, B  string // prefixes of endpoints' names
	Until int64
	Loses bool // what goes between them is lost, not held
}

// Lag is how far a member that lacks processor time falls behind: what reaches
// it waits, what it decided leaves late, and its ticks come seldom.
type Lag struct{ Until, MS int64 }

// failing is a task that ends by itself with an error, now and then.
type failing struct {
	w  *World
	at int64
	ok bool
}

func (f *failing) Over() (bool, error) {
	if f.w.Now < f.at {
		return false, nil
	}
	if f.ok {
		return true, nil
	}
	return true, errors.New("failed")
}

func (f *failing) Stop() {}

type parked struct {
	op    scheduler.StoreOp
	until int64
	m     string
	back  func(scheduler.StoreResult)
}

// Options are what a world is made of.
type Options struct {
	Seed     uint64
	Members  int
	Types    []scheduler.MachineType
	Capacity int // machines of a type, zone and kind
	Params   scheduler.Params
	Sabotage Sabotage
	Loss     float64 // share of messages that are lost
	// RunMS is how long a task runs; nil: some seconds.
	RunMS func(w *World, j *Job, task string) int64
	// Spread is how far machines of a type differ in speed, and FetchSpread how far
	// images take longer or shorter than their size over the type's rate. Without
	// the latter each image takes a machine the same time.
	Spread, FetchSpread float64
	// SpotLoss is how many spot machines of a hundred are taken back in an hour, with
	// a notice of so many seconds, give or take a half.
	SpotLoss, NoticeS float64
	MatesMS           int64 // gangs wait for their mates as long as this; 0: they need not wait
}

// World is a simulated platform with a cluster of cores in it.
type World struct {
	Rand    *rand.Rand
	Now     int64 // ms since the beginning
	State   *standin.State
	Cloud   *standin.Cloud
	Members []*Member
	Hosts   map[string]*Host
	IDs     []string // of all machines that ever were, in order
	Jobs    map[string]*Job
	Order   []string // of jobs
	Cuts    []Cut
	Outage  map[string]int64 // of the state service, for a member or "all": until when
	Lags    map[string]Lag   // by member
	Params  scheduler.Params
	Loss    float64
	Broken  map[string]string // rule: first breach
	Trace   bool
	Log     []string
	Stops   int64             // tasks stopped for a higher priority
	GivenUp map[string]string // jobs that failed, and why
	Relayed int               // requests that members passed on
	RPS     float64           // requests and changes a second that the state service allows; 0: any
	WPS     float64
	Asked   map[scheduler.StoreKind]int
	Changes int
	Orders  map[string][]int // commands, questions to workers, machines rented and returned: by kind, for each second
	Again   int              // starts of tasks that had started before
	History []history.Op
	// Unchecked leaves out the rules, whose checks look at all tasks at each
	// start: for measurements at sizes where that takes all the time.
	Unchecked bool
	// SweepMS has the rules on places and limits checked over all tasks at once, so often,
	// instead of over all tasks at each start: at ten thousand machines the latter
	// takes all the time. 0: at each start.
	SweepMS int64
	// Messages counts what members sent each other, Summaries those that had summaries.
	Messages, Summaries int
	// Delay is how much longer a message from one endpoint to another takes, Refused
	// whether a member has no connection left for a worker, and Spy sees what a
	// member wants done before it is: for tests that fail at a certain moment.
	Delay   func(from, to string) int64
	Refused func(member string) bool
	// Faulty machines fail every task.
	Faulty func(*Host) bool
	// Mistaken jobs were submitted with a mistake: their tasks fail on every machine.
	Mistaken func(*Job) bool
	// Boot changes how long a machine takes to come up, in ms; below 0 it never does.
	Boot func(h *Host, usual int64) int64
	Spy  func(*Member, *scheduler.Outputs)
	// Stopped is told of each task that a worker was told to stop though its job goes
	// on: with some grace. Without any, "stopped_well" is the rule.
	Stopped func(*Host, *standin.Task)
	// Ended is told of each task that is done.
	Ended func(*standin.Task)

	// Late counts changes that were carried out late, by their keys' prefix, Copies
	// reports that arrived once more.
	Late, Copies map[string]int
	// LostAnswerCount counts transactions that were carried out and whose answer was lost.
	LostAnswerCount int
	// CancelledStarts counts tasks that started after their users were told that they
	// are cancelled.
	CancelledStarts int
	// NewTeams are those of settings that members take over one by one, if there are any: a
	// job over their limits may wait.
	NewTeams map[string]scheduler.Team
	// LongestLeftMS is the longest time that a job waited though it could start.
	LongestLeftMS int64
	// Lost counts changes of which only the answer was lost, by their keys' prefix.
	Lost map[string]int
	// LoseIf tells of which further transactions that were carried out the answer is lost.
	LoseIf func(*Member, scheduler.StoreOp) bool
	// Looks counts how often users asked at all members at once.
	Looks int
	// NotConnected counts reports of machines that could open no connection.
	NotConnected int
	// LateIf tells which further transactions are carried out late.
	LateIf func(*Member, scheduler.StoreOp) bool

	o           Options
	lateWrites  share
	lateReports share
	lostAnswers share // of transactions that are carried out at once
	nextReports share // of reports of which a copy is kept for the next claim
	keptReports []keptReport
	holdReports share // of reports that are held until a new holder has acted
	heldReports []keptReport
	newHolders  map[string]bool // members that claimed something and told no worker anything yet
	lateOrders  share           // of direct commands
	endCancels  share           // of jobs that are cancelled as they end
	closeLooks  int64           // until when users ask at all members at once
	oddRequests int64           // until when users send what makes no sense
	oddJobs     int             // how many such jobs were sent
	slowBy      int64
	slowTill    int64
	calmSince   int64 // when the last trouble was over
	// Since when each job waits though it could start.
	waitsSince  map[string]int64
	seq         int
	q           events
	watches     []parked
	usefulCPU   float64         // of done tasks, ms of a processor
	usefulMoney float64         // the same at the price of the machines it ran on, by ms
	tries       map[string]bool // of gangs, that had all their tasks on machines
	moment      int64           // orders what users ask and hear
	operations  uint64
	limits      map[string]limitCount // by team
}

// New returns a world whose members start within its first tenth of a second.
func New(o Options) *World {
	if o.RunMS == nil {
		o.RunMS = func(w *World, _ *Job, _ string) int64 { return 1000 + w.Rand.Int64N(9000) }
	}
	w := &World{Rand: rand.New(rand.NewPCG(o.Seed, 1)), State: standin.NewState(), Cloud: standin.NewCloud(o.Types, o.Capacity), Hosts: map[string]*Host{},
		Jobs: map[string]*Job{}, Lags: map[string]Lag{}, Outage: map[string]int64{}, Broken: map[string]string{}, Asked: map[scheduler.StoreKind]int{}, Orders: map[string][]int{}, Late: map[string]int{}, Lost: map[string]int{}, Copies: map[string]int{},
		GivenUp: map[string]string{}, tries: map[string]bool{}, limits: map[string]limitCount{}, waitsSince: map[string]int64{}, Loss: o.Loss, Params: o.Params, o: o}
	w.Cloud.Rented = func(r *standin.Rental) { w.rented(r) }
	w.Cloud.Released = func(r *standin.Rental) {
		if h := w.Hosts[r.ID]; h != nil {
			h.Gone, h.GoneAt = true, w.Now
		}
	}
	for i := range o.Members {
		m := &Member{w: w, Name: fmt.Sprintf("m%d", i), drift: 1 + (w.Rand.Float64()-0.5)*0.001}
		w.Members = append(w.Members, m)
		w.After(int64(i)*37, m.boot)
	}
	return w
}

// After runs f so many milliseconds from now.
func (w *World) After(d int64, f func()) {
	w.seq++
	heap.Push(&w.q, event{w.Now + d, w.seq, f})
}

// until runs f at a time, at once if that has passed.
func (w *World) until(at int64, f func()) {
	if at <= w.Now {
		f()
		return
	}
	w.After(at-w.Now, f)
}

// Tell notes what happened, for whoever looks into a seed with -sim.
func (w *World) Tell(format string, a ...any) {
	if w.Trace {
		w.Log = append(w.Log, fmt.Sprintf("%7d ", w.Now)+fmt.Sprintf(format, a...))
	}
}

func (w *World) fail(rule, format string, a ...any) {
	if w.Broken[rule] == "" {
		w.Tell("BROKEN %s", rule)
		w.Broken[rule] = fmt.Sprintf("at %d ms: ", w.Now) + fmt.Sprintf(format, a...)
	}
}

// order counts orders of a kind in this second.
func (w *World) order(kind string, n int) {
	s := w.Orders[kind]
	for len(s) <= int(w.Now/1000) {
		s = append(s, 0)
	}
	s[w.Now/1000] += n
	w.Orders[kind] = s
}

// commands counts orders to workers. One that stops an attempt at once, though its job
// goes on and nobody else has the task, stops what runs well. A stop for another attempt
// than the one that runs stops nothing: it answers a report that was held for long.
func (w *World) commands(cs []scheduler.Command) {
	for _, c := range cs {
		w.order(string(c.Kind), 1)
		j := w.Jobs[c.Task[:strings.IndexByte(c.Task, '/')]]
		if c.Kind != scheduler.Stop || c.GraceS > 0 || w.Unchecked || j == nil || j.Cancel || j.Told.Final() || j.Done[c.Task] || j.Job.Once || j.Job.MaxErrors > 0 {
			continue
		}
		n, hit := 0, false
		w.Each(func(_ *Host, t *standin.Task) {
			if t.Name == c.Task {
				n++
				hit = t.Attempt == c.Attempt
			}
		})
		if n == 1 && hit {
			w.fail("stopped_well", "%s, attempt %d", c.Task, c.Attempt)
		}
	}
}

// hop carries a message: late, lost, or held by a cut until it ends.
func (w *World) hop(from, to string, f func()) {
	delay := 1 + w.Rand.Int64N(12)
	if w.Rand.Float64() < 0.01 {
		delay += w.Rand.Int64N(600)
	}
	for _, c := range w.Cuts {
		if c.Until > w.Now && (strings.HasPrefix(from, c.A) && strings.HasPrefix(to, c.B) || strings.HasPrefix(to, c.A) && strings.HasPrefix(from, c.B)) {
			if c.Loses {
				return
			}
			delay = max(delay, c.Until-w.Now+1+w.Rand.Int64N(20))
		}
	}
	if w.Rand.Float64() < w.Loss {
		return
	}
	if w.Delay != nil {
		delay += w.Delay(from, to)
	}
	w.After(delay+w.behind(from)+w.behind(to)+w.held(from, to), f)
}

func (w *World) behind(name string) int64 {
	if l := w.Lags[name]; l.Until > w.Now {
		return w.Rand.Int64N(l.MS)
	}
	return 0
}

func (w *World) away(m string) bool { return w.Outage["all"] > w.Now || w.Outage[m] > w.Now }

// Clock is the time as the member sees it.
func (m *Member) Clock() scheduler.Now {
	return scheduler.Now{Steady: int64(float64(m.w.Now-m.started)*m.drift) + 1, Wall: 1_700_000_000_000 + m.w.Now + m.Step + m.w.Rand.Int64N(11) - 5}
}

func (m *Member) boot() {
	p := m.w.Params
	p.Member = m.Name
	for _, o := range m.w.Members {
		if o != m {
			p.Peers = append(p.Peers, o.Name)
		}
	}
	if m.w.o.Sabotage.Params != nil {
		m.w.o.Sabotage.Params(&p)
	}
	m.epoch++
	m.started = m.w.Now
	m.workers, m.users = map[uint64]func(scheduler.WorkerAnswer){}, map[uint64]func(scheduler.UserAnswer){}
	m.Core = scheduler.New(p, m.w.Rand.Uint64(), m.Clock())
	m.tick(m.epoch)
}

// Crash ends a member at once; it starts again after so many milliseconds.
func (m *Member) Crash(down int64) {
	if m.Core == nil {
		return
	}
	m.Core = nil
	m.epoch++
	m.w.After(down, m.boot)
}

func (m *Member) tick(epoch int) {
	if m.epoch != epoch || m.Core == nil {
		return
	}
	if still := m.stillTill - m.w.Now; still > 0 {
		m.w.After(still+1, func() { m.tick(epoch) })
		return
	}
	m.Core.Tick(m.Clock())
	m.drain()
	m.w.After(50+m.w.behind(m.Name), func() { m.tick(epoch) })
}

// live runs f if the member is still the process that asked.
func (m *Member) live(epoch int, f func()) func() {
	var run func()
	run = func() {
		if still := m.stillTill - m.w.Now; still > 0 {
			m.w.After(still+1, run)
			return
		}
		if m.epoch == epoch && m.Core != nil {
			f()
			m.drain()
		}
	}
	return run
}

const simTimeout = 2000

// paced sends a request to the state service, within the member's part of its
// rates if the world has any. First come, first served: the real budget lets
// holds go first.
func (w *World) paced(m *Member, op scheduler.StoreOp, f func()) {
	if w.RPS == 0 {
		w.hop(m.Name, "store", f)
		return
	}
	n := float64(len(w.Members))
	m.free = max(m.free, w.Now-1000) + int64(max(1, n/w.RPS*1000, n/w.WPS*1000*float64(len(op.Changes))))
	w.After(max(0, m.free-w.Now), func() { w.hop(m.Name, "store", f) })
}

func (m *Member) drain() {
	w, epoch := m.w, m.epoch
	o := m.Core.Take()
	if w.Spy != nil {
		w.Spy(m, &o)
	}
	for _, l := range o.Logs {
		if l.Text == "task stopped for a higher priority" {
			w.Stops++
		}
		w.Tell("%s %s %v", m.Name, l.Text, l.Args)
	}
	w.noteActs(m, &o)
	for _, id := range slices.Sorted(maps.Keys(o.Workers)) {
		a := o.Workers[id]
		w.commands(a.Commands)
		if f := m.workers[id]; f != nil {
			delete(m.workers, id)
			f(a)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.Users)) {
		a := o.Users[id]
		if f := m.users[id]; f != nil {
			delete(m.users, id)
			f(a)
		}
	}
	for _, op := range o.Store {
		limit := int64(simTimeout)
		if op.Kind == scheduler.StoreWatch {
			limit += op.MS
		}
		back := func(r scheduler.StoreResult) {
			w.hop("store", m.Name, m.live(epoch, func() { m.Core.StoreDone(m.Clock(), op.ID, r) }))
		}
		w.Asked[op.Kind]++
		w.Changes += len(op.Changes)
		w.paced(m, op, func() {
			if w.away(m.Name) {
				back(scheduler.StoreResult{Outcome: scheduler.Refused})
				return
			}
			if w.lateWrite(m, op) {
				return
			}
			r, ready := w.State.Do(w.Now, op)
			if op.Kind == scheduler.StoreWatch && !ready {
				w.watches = append(w.watches, parked{op, w.Now + op.MS, m.Name, back})
				return
			}
			w.noteClaim(m, op, r)
			if w.losesAnswer(m, op, r) {
				return
			}
			back(r)
		})
		w.After(limit, m.live(epoch, func() { m.Core.StoreDone(m.Clock(), op.ID, scheduler.StoreResult{Outcome: scheduler.Unknown}) }))
	}
	for _, op := range o.Cloud {
		switch op.Kind {
		case scheduler.CloudRent:
			w.order("rent", op.Count)
		case scheduler.CloudRelease:
			w.order("return", len(op.Machines))
		}
		w.hop(m.Name, "cloud", func() {
			r := w.Cloud.Do(w.Now, op)
			w.hop("cloud", m.Name, m.live(epoch, func() { m.Core.CloudDone(m.Clock(), op.ID, r) }))
		})
		w.After(2*simTimeout, m.live(epoch, func() { m.Core.CloudDone(m.Clock(), op.ID, scheduler.CloudResult{Outcome: scheduler.Unknown}) }))
	}
	for _, d := range o.Do {
		w.commands(d.Commands)
		if len(d.Commands) == 0 {
			w.order("ask", 1)
		}
		h := w.Hosts[d.Machine]
		if h == nil {
			continue
		}
		if len(d.Commands) > 0 && w.lateOrders.draws(w) {
			w.runLate(h, d)
		} else {
			w.hop(m.Name, "w"+d.Machine, func() { w.until(h.commandsTill, func() { w.runDo(m, epoch, h, d) }) })
		}
		w.After(simTimeout, m.live(epoch, func() { m.Core.DoDone(m.Clock(), d.ID, scheduler.DoResult{Outcome: scheduler.Unknown}) }))
	}
	for _, r := range o.Relays {
		p := w.Members[slices.IndexFunc(w.Members, func(p *Member) bool { return p.Name == r.Peer })]
		over := false
		end := func(a scheduler.UserAnswer, ok bool) {
			if !over {
				over = true
				m.live(epoch, func() { m.Core.RelayDone(m.Clock(), r.ID, a, ok) })()
			}
		}
		w.Relayed++
		w.hop(m.Name, p.Name, func() {
			if p.Core == nil {
				return
			}
			p.replies++
			p.users[p.replies] = func(a scheduler.UserAnswer) { w.hop(p.Name, m.Name, func() { end(a, true) }) }
			p.Core.User(p.Clock(), p.replies, r.Request)
			p.drain()
		})
		w.After(simTimeout/2, func() { end(scheduler.UserAnswer{}, false) })
	}
	if o.Peers != nil {
		for _, p := range w.Members {
			if p == m {
				continue
			}
			msg := *o.Peers
			if o.Whole != nil && !slices.Contains(o.Whole, p.Name) {
				msg = *o.Peers.WithoutSummaries()
			}
			if w.Messages++; !msg.Brief {
				w.Summaries++
			}
			times := 1
			if w.Rand.Float64() < 0.02 {
				times = 2
			}
			for range times {
				w.hop(m.Name, p.Name, func() {
					if p.Core != nil {
						// Each has a copy of its own, as on the network.
						msg := msg
						msg.Shards = slices.Clone(msg.Shards)
						for i := range msg.Shards {
							msg.Shards[i].Summary = slices.Clone(msg.Shards[i].Summary)
						}
						p.Core.Peer(p.Clock(), msg)
						p.drain()
					}
				})
			}
		}
	}
}

func (w *World) runDo(m *Member, epoch int, h *Host, d scheduler.Do) {
	if !h.Up || h.Gone || h.deafTill > w.Now {
		return
	}
	if h.HungTill > w.Now {
		// A machine that hangs carries the command out when it resumes.
		w.After(h.HungTill-w.Now+1, func() { w.runDo(m, epoch, h, d) })
		return
	}
	r := h.Worker.Do(h.Clock(w), d)
	back := m.live(epoch, func() { m.Core.DoDone(m.Clock(), d.ID, r) })
	w.until(h.answersTill, func() { w.hop("w"+d.Machine, m.Name, back) })
}

// LastAt is the member that the machine reports to.
func (h *Host) LastAt(w *World) string { return w.Members[h.at].Name }

// Clock is the machine's own steady clock.
func (h *Host) Clock(w *World) int64 { return int64(float64(w.Now) * h.drift) }

func (w *World) rented(r *standin.Rental) {
	h := &Host{Rental: r, began: map[string]int64{}, drift: 1 + (w.Rand.Float64()-0.5)*0.001, at: w.Rand.IntN(w.o.Members)}
	w.Hosts[r.ID] = h
	w.IDs = append(w.IDs, r.ID)
	var t scheduler.MachineType
	for _, x := range w.Cloud.Types {
		if x.Name == r.Type {
			t = x
		}
	}
	h.typ = t
	speed, pull := 1.0, 1.0
	if w.o.Spread > 0 {
		speed = 1 + w.o.Spread*(2*w.Rand.Float64()-1)
	}
	if w.o.FetchSpread > 0 {
		pull = 1 + w.o.FetchSpread*(2*w.Rand.Float64()-1)
	}
	if r.Spot && w.o.SpotLoss > 0 {
		w.After(max(1, int64(w.Rand.ExpFloat64()*3_600_000*100/w.o.SpotLoss)), func() { w.takeSpot(h) })
	}
	boot := int64(t.BootS * 1000 * (0.6 + 0.9*w.Rand.Float64()))
	if w.Rand.Float64() < 0.05 {
		return // never comes up
	}
	if w.Boot != nil {
		boot = w.Boot(h, boot)
	}
	if boot < 0 {
		return
	}
	w.After(boot, func() {
		if h.Gone {
			return
		}
		h.Up = true
		r.State = "running"
		h.Worker = &standin.Worker{Machine: r.Listed, Room: t.Room, LeaseMS: int64(w.Params.LeaseS * 1000), FetchMS: 300 + w.Rand.Int64N(900),
			Find: func(id string) *scheduler.Job {
				if j := w.Jobs[id]; j != nil {
					return &j.Job
				}
				return nil
			},
			RunMS: func(task string) int64 {
				j := w.Jobs[task[:strings.IndexByte(task, '/')]]
				ms := w.o.RunMS(w, j, task)
				j.longestRunMS = max(j.longestRunMS, ms)
				return ms * int64(1000*speed) / 1000
			},
			MatesMS: w.o.MatesMS,
			Started: func(_ *standin.Worker, t *standin.Task) { w.onStart(h, t) },
			Stopped: func(_ *standin.Worker, t *standin.Task) {
				w.stopped(h, t)
				if w.Stopped != nil {
					w.Stopped(h, t)
				}
			},
			Ended: func(_ *standin.Worker, t *standin.Task) {
				if w.Ended != nil {
					w.Ended(t)
				}
				j := w.Jobs[t.Job.ID]
				if began, ok := h.began[t.Name]; ok && !j.Done[t.Name] {
					ms := float64(w.Now-began) * j.Job.Request.CPUs
					w.usefulCPU += ms
					w.usefulMoney += ms / h.typ.Room.CPUs * h.rate()
				}
				if j.Done[t.Name] = true; len(j.Done) == j.Job.Tasks && j.Ended == 0 {
					j.Ended = w.Now
					w.endedJob(j)
				}
			},
			Execute: func(t *standin.Task) standin.Execution {
				if w.Faulty != nil && w.Faulty(h) || w.Mistaken != nil && w.Mistaken(w.Jobs[t.Job.ID]) {
					return &failing{w, w.Now + 1000, false}
				}
				if t.Job.MaxErrors == 0 {
					return nil
				}
				return &failing{w, w.Now + 1000 + w.Rand.Int64N(4000), w.Rand.IntN(4) > 0}
			},
		}
		if w.o.MatesMS > 0 {
			h.Worker.Mates = w.together
		}
		if w.o.FetchSpread > 0 && t.FetchGBps > 0 {
			h.Worker.FetchOf = func(j *scheduler.Job) int64 { return int64(1000 * j.Request.DiskGB / t.FetchGBps * pull) }
		}
		h.Worker.Begin(h.Clock(w))
	})
}

// together tells whether all tasks of a gang's try have their images.
func (w *World) together(t *standin.Task) bool {
	try := fmt.Sprintf("%s %d", t.Job.ID, t.Attempt)
	n := len(w.Jobs[t.Job.ID].Done) // those of an earlier try
	w.Each(func(_ *Host, o *standin.Task) {
		if o.Job.ID == t.Job.ID && o.Attempt == t.Attempt {
			n++
		}
	})
	w.tries[try] = w.tries[try] || n >= t.Job.Tasks
	return w.tries[try]
}

// takeSpot takes a spot machine back, after a notice.
func (w *World) takeSpot(h *Host) {
	if h.Gone {
		return
	}
	notice := w.o.NoticeS * (0.5 + w.Rand.Float64())
	if h.Up {
		h.Worker.NoticeS, h.Worker.Changed = &notice, true
	}
	w.After(int64(notice*1000), func() { w.Cloud.Take(h.Rental.ID) })
}

// Replace takes machines away and brings as many others up that nobody asked for,
// as when rentals of long ago are carried out late.
func (w *World) Replace(hs []*Host) {
	for i, h := range hs {
		w.Cloud.Take(h.Rental.ID)
		w.Cloud.Do(w.Now, scheduler.CloudOp{Kind: scheduler.CloudRent, Request: fmt.Sprintf("late-%d-%d", w.Now, i), Type: h.Rental.Type, Zone: h.Rental.Zone, Spot: h.Rental.Spot, Count: 1})
	}
}

// step lets a worker act.
func (w *World) step(h *Host) {
	if !h.Up || h.Gone || h.HungTill > w.Now {
		return
	}
	h.Worker.Advance(h.Clock(w))
	switch {
	case h.inFlight || w.Now < h.nextAt:
		return
	case !h.again && (w.Now-h.lastAt < 500 || !h.Worker.Changed && w.Now-h.lastAt < h.pause):
		return
	}
	h.inFlight, h.lastAt, h.again = true, w.Now, false
	h.pause = int64(w.Params.ReportS * 1000 * (0.75 + w.Rand.Float64()/2))
	sent := h.Clock(w)
	r := h.Worker.Report()
	if w.o.Sabotage.Report != nil {
		w.o.Sabotage.Report(&r)
	}
	session := r.Session
	m := w.Members[h.at]
	done, delivered := false, false
	next := func() {
		h.inFlight = false
		h.at = (h.at + 1) % len(w.Members)
		h.nextAt, h.again = w.Now+1000, true
	}
	me := "w" + h.Rental.ID
	if h.muteTill > w.Now {
		w.NotConnected++
		w.After(connectMS, next)
		return
	}
	deliver := func() {
		if h.muteTill > w.Now || w.holdReport(h, r) {
			return
		}
		if m.Core == nil || w.Refused != nil && w.Refused(m.Name) {
			// Refused: nothing listens there, or it has no connection left.
			w.hop(m.Name, me, func() {
				if !done {
					done = true
					next()
				}
			})
			return
		}
		m.replies++
		id := m.replies
		if delivered { // nobody waits for the answer to a copy
			m.workers[id] = func(scheduler.WorkerAnswer) { w.hop(m.Name, me, func() {}) }
			m.Core.Report(m.Clock(), id, r)
			m.drain()
			return
		}
		delivered = true
		m.workers[id] = func(a scheduler.WorkerAnswer) {
			if w.o.Sabotage.Start != nil {
				w.o.Sabotage.Start(&a)
			}
			w.hop(m.Name, me, func() {
				if done || h.Gone || h.deafTill > w.Now || h.muteTill > w.Now {
					return
				}
				if h.HungTill > w.Now {
					return // dropped: answers are never executed late
				}
				done = true
				switch {
				case a.Accepted:
					h.inFlight, h.HeardAt = false, w.Now
					h.Worker.Answer(h.Clock(w), sent, session, a)
				case a.Redirect != "":
					h.inFlight = false
					h.at = slices.IndexFunc(w.Members, func(m *Member) bool { return m.Name == a.Redirect })
					h.nextAt, h.again = w.Now+w.Rand.Int64N(500), true
				default:
					next()
				}
			})
		}
		m.Core.Report(m.Clock(), id, r)
		m.drain()
		w.lateReport(h, m, r)
		w.keepReport(h, r)
	}
	w.hop(me, m.Name, deliver)
	if w.Rand.Float64() < 0.01 {
		w.hop(me, m.Name, deliver) // once more
	}
	w.After(4000, func() {
		if !done {
			done = true
			next()
		}
	})
}

// Each visits every task on every machine that exists.
func (w *World) Each(f func(h *Host, t *standin.Task)) {
	for _, id := range w.IDs {
		h := w.Hosts[id]
		if h.Gone || !h.Up || h.Worker.Expired(h.Clock(w)) {
			continue
		}
		h.Worker.Running(func(t *standin.Task) { f(h, t) })
	}
}

func (w *World) onStart(h *Host, t *standin.Task) {
	j := w.Jobs[t.Job.ID]
	job := &j.Job
	if j.First == 0 {
		j.First = w.Now
	}
	if j.Began[t.Name]++; j.Began[t.Name] > 1 {
		w.Again++
	}
	if job.Once && j.Began[t.Name] > 1 {
		w.fail("began_again", "%s begins for the %d. time", t.Name, j.Began[t.Name])
	}
	w.Tell("world: %s try %d starts on %s", t.Name, t.Attempt, h.Rental.ID)
	h.began[t.Name] = w.Now
	delete(w.waitsSince, job.ID)
	w.checkStart(h, t)
	if _, started := j.starts[t.Name]; !started {
		j.starts[t.Name] = w.Now
	}
	if w.Unchecked || w.SweepMS > 0 {
		return
	}
	use, gpus, zones, total := 0.0, 0.0, map[string]int{}, 0
	w.Each(func(o *Host, x *standin.Task) {
		if x.Job.Team == job.Team {
			use += x.Job.Request.CPUs
			gpus += x.Job.Request.GPUs
		}
		if x.Job.ID == job.ID {
			zones[o.Rental.Zone]++
			total++
		}
		if x.Name == t.Name && o != h {
			w.fail("ran_twice", "%s starts on %s while on %s", t.Name, h.Rental.ID, o.Rental.ID)
		}
	})
	w.checkUse(job.Team, use, gpus)
	w.checkPlace(h, t, zones)
}

func (w *World) checkUse(team string, use, gpus float64) {
	if t := w.Params.Teams[team]; t.MaxCPUs > 0 && use > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && gpus > t.MaxGPUs+1e-6 {
		w.fail("quota", "%s uses %v processors, %v accelerators", team, use, gpus)
	}
}

// checkPlace checks where a task runs; zones are those of its job's tasks.
func (w *World) checkPlace(h *Host, t *standin.Task, zones map[string]int) {
	job := &w.Jobs[t.Job.ID].Job
	if h.Rental.Spot && !job.Spot || job.Zone != "" && job.Zone != h.Rental.Zone || len(job.Types) > 0 && !slices.Contains(job.Types, h.Rental.Type) ||
		job.OneZone && len(zones) > 1 || job.Spread && zones[h.Rental.Zone] > (job.Tasks+1)/2 {
		w.fail("wrong_place", "%s on %s", t.Name, h.Rental.ID)
	}
}

// sweep checks the rules on places and limits over all tasks.
func (w *World) sweep() {
	use, gpus, zones, on := map[string]float64{}, map[string]float64{}, map[string]map[string]int{}, map[string]*Host{}
	w.Each(func(h *Host, t *standin.Task) {
		if o := on[t.Name]; o != nil {
			w.fail("ran_twice", "%s on %s while on %s", t.Name, h.Rental.ID, o.Rental.ID)
		}
		on[t.Name] = h
		use[t.Job.Team] += t.Job.Request.CPUs
		gpus[t.Job.Team] += t.Job.Request.GPUs
		if zones[t.Job.ID] == nil {
			zones[t.Job.ID] = map[string]int{}
		}
		zones[t.Job.ID][h.Rental.Zone]++
	})
	for _, team := range slices.Sorted(maps.Keys(use)) { // the first that fails is told
		w.checkUse(team, use[team], gpus[team])
	}
	w.Each(func(h *Host, t *standin.Task) { w.checkPlace(h, t, zones[t.Job.ID]) })
	w.After(w.SweepMS, w.sweep)
}

func (w *World) checkCancelled() {
	if w.Unchecked {
		return
	}
	w.Each(func(h *Host, t *standin.Task) {
		j := w.Jobs[t.Job.ID]
		if j.Cancelled > 0 && w.Now-j.Cancelled > int64(w.Params.CancelS*1000) {
			w.fail("ran_cancelled", "%s on %s, %d ms after its cancellation", t.Name, h.Rental.ID, w.Now-j.Cancelled)
		}
	})
}

// Ask sends a user's request to a random member.
func (w *World) Ask(r scheduler.UserRequest, done func(scheduler.UserAnswer, bool)) {
	w.AskAt(w.Members[w.Rand.IntN(len(w.Members))], r, done)
}

// AskAt sends a user's request to a member.
func (w *World) AskAt(m *Member, r scheduler.UserRequest, done func(scheduler.UserAnswer, bool)) {
	over := false
	op := w.noteAsked(r)
	end := func(a scheduler.UserAnswer, ok bool) {
		if !over {
			over = true
			w.noteTold(op, a, ok)
			done(a, ok)
		}
	}
	w.hop("users", m.Name, func() {
		if m.Core == nil {
			return
		}
		m.replies++
		id := m.replies
		m.users[id] = func(a scheduler.UserAnswer) {
			if w.o.Sabotage.Answers != nil {
				w.o.Sabotage.Answers(&a)
			}
			if w.o.Sabotage.Told != nil {
				w.o.Sabotage.Told(r, &a)
			}
			w.checkAnswer(r, a)
			w.hop(m.Name, "users", func() { end(a, true) })
		}
		m.Core.User(m.Clock(), id, r)
		m.drain()
	})
	w.After(5000, func() { end(scheduler.UserAnswer{}, false) })
}

// Hear checks an answer to a question that was asked at some time against what
// the user had been told by then.
func (w *World) Hear(j *Job, asked int64, a scheduler.UserAnswer) {
	switch a.Status {
	case 200, 201:
		j.answeredAt = w.Now
		if j.Told.Final() && asked > j.toldAt && a.State != j.Told {
			w.fail("went_back", "%s was %s, is %s", j.Job.ID, j.Told, a.State)
		}
		bounded := j.Job.Once || j.Job.MaxErrors > 0
		if a.State == scheduler.Cancelled && !j.Cancel && !(bounded && a.Failed != "") {
			w.fail("went_back", "%s is cancelled, by nobody", j.Job.ID)
		}
		if a.State == scheduler.Cancelled && j.Cancelled == 0 {
			j.Cancelled = w.Now
		}
		if a.Failed != "" {
			w.GivenUp[a.ID] = a.Failed
		}
		if !j.Accepted {
			j.Accepted, j.AcceptedAt = true, w.Now
			w.checkAccepted(j)
			w.lookClosely(j)
		}
		if a.State.Final() && !j.Told.Final() {
			j.Told, j.toldAt = a.State, w.Now
			w.lookClosely(j)
		}
	case 404, 400, 422:
		if j.Accepted && asked > j.AcceptedAt {
			w.fail("forgotten", "%s gets %d", j.Job.ID, a.Status)
		}
		w.checkRefused(j, a)
	}
}

// Submit has a job's user submit it until it is accepted, and ask how it is from
// then on.
func (w *World) Submit(j *Job) {
	id := j.Job.ID
	w.Jobs[id] = j
	w.Order = append(w.Order, id)
	j.Submitted = w.Now
	j.within = w.fitsGuarantee(j)
	told := j.Job
	if w.o.Sabotage.Submit != nil {
		w.o.Sabotage.Submit(&told)
	}
	var try func()
	try = func() {
		asked := w.Now
		w.Ask(scheduler.UserRequest{Kind: scheduler.Submit, ID: id, Job: &told}, func(a scheduler.UserAnswer, ok bool) {
			if ok {
				w.Hear(j, asked, a)
				w.Tell("user: %s submitted, gets %d %s", id, a.Status, a.Error)
			}
			if !j.Accepted {
				w.After(1000*int64(max(1, a.RetryS)), try)
			}
		})
	}
	try()
	w.Poll(j)
}

// AskMember sends a request to a member without a network between.
func (m *Member) AskMember(r scheduler.UserRequest, done func(scheduler.UserAnswer)) {
	m.replies++
	op := m.w.noteAsked(r)
	m.users[m.replies] = func(a scheduler.UserAnswer) {
		m.w.noteTold(op, a, true)
		m.w.checkAnswer(r, a)
		done(a)
	}
	m.Core.User(m.Clock(), m.replies, r)
	m.drain()
}

// CancelJob has a job's user cancel it, again until it is told the end.
func (w *World) CancelJob(j *Job) {
	if !j.Accepted {
		w.After(1000, func() { w.CancelJob(j) })
		return
	}
	j.Cancel = true
	asked := w.Now
	w.Ask(scheduler.UserRequest{Kind: scheduler.Cancel, ID: j.Job.ID}, func(a scheduler.UserAnswer, ok bool) {
		if ok {
			w.Hear(j, asked, a)
		}
		if !ok || a.Status != 200 {
			w.After(1000, func() { w.CancelJob(j) })
		}
	})
}

// Poll has a job's user ask for it from now on.
func (w *World) Poll(j *Job) {
	w.After(4000+w.Rand.Int64N(2000), func() {
		asked := w.Now
		w.Ask(scheduler.UserRequest{Kind: scheduler.Query, ID: j.Job.ID}, func(a scheduler.UserAnswer, ok bool) {
			if ok {
				w.Hear(j, asked, a)
			}
		})
		w.Poll(j)
	})
}

// Stranger asks about jobs that nobody submitted.
func (w *World) Stranger() {
	id := fmt.Sprintf("job-9%05d", w.Rand.IntN(100000))
	w.Ask(scheduler.UserRequest{Kind: scheduler.Query, ID: id}, func(a scheduler.UserAnswer, ok bool) {
		if ok && a.Status == 200 {
			w.fail("invented", "%s gets 200", id)
		}
	})
	w.After(5000, w.Stranger)
}

// Run plays the world until a time, or until over says so.
func (w *World) Run(until int64, over func() bool) {
	var tick func()
	tick = func() {
		for _, id := range w.IDs {
			w.step(w.Hosts[id])
		}
		rest := w.watches[:0]
		for _, p := range w.watches {
			if w.away(p.m) {
				rest = append(rest, p)
				continue
			}
			r, ready := w.State.Do(w.Now, p.op)
			if ready || w.Now >= p.until {
				p.back(r)
			} else {
				rest = append(rest, p)
			}
		}
		w.watches = rest
		if w.Outage["all"] <= w.Now {
			w.State.Expire(w.Now)
		}
		w.checkCancelled()
		w.checkForgotten()
		w.After(40, tick)
	}
	tick()
	if !w.Unchecked {
		w.After(progressLookMS, w.checkProgress)
	}
	if w.SweepMS > 0 && !w.Unchecked {
		w.After(w.SweepMS, w.sweep)
	}
	for len(w.q) > 0 {
		e := heap.Pop(&w.q).(event)
		if e.at > until || over() {
			return
		}
		w.Now = e.at
		e.f()
	}
}

// rate is what the machine costs.
func (h *Host) rate() float64 {
	if h.Rental.Spot {
		return h.typ.SpotPrice
	}
	return h.typ.Price
}

// money is the share of what was paid that done tasks used, and what was paid
// against the cost of the same work at the lowest price of a processor. What ran
// and was lost counts for nothing.
func (w *World) money() (useful, price float64) {
	paid, lowest := 0.0, 0.0
	for _, id := range w.IDs {
		h := w.Hosts[id]
		end := w.Now
		if h.Gone {
			end = h.GoneAt
		}
		paid += float64(end-h.Rental.Since) * h.rate()
	}
	for _, t := range w.o.Types {
		for _, p := range []float64{t.Price, t.SpotPrice} {
			if p > 0 && t.Room.CPUs > 0 && (lowest == 0 || p/t.Room.CPUs < lowest) {
				lowest = p / t.Room.CPUs
			}
		}
	}
	if paid == 0 || w.usefulCPU == 0 {
		return 0, 0
	}
	return w.usefulMoney / paid, paid / (w.usefulCPU * lowest)
}

// Finished tells whether the users of all jobs know how they ended.
func (w *World) Finished() bool {
	for _, j := range w.Jobs {
		if !j.Told.Final() {
			return false
		}
	}
	return len(w.Jobs) > 0
}
