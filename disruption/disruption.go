// Package disruption bounds what a team loses by our own will: tasks that are
// stopped to empty a machine. It is pure: what happened comes in, and what may be
// stopped goes out.
//
// A budget holds over all members by tokens. One member, the one that leads the
// fleet, issues them to shards; a shard spends one before it orders a stop, and
// settles it on evidence that the task runs again or is done, or that its job is over.
// All three are numbers that only grow, a row for each shard and team:
//
//	issued   written by the leader under its claim, in the plan's record
//	spent    written by the shard's holder under its claim, before the stop leaves
//	settled  written by the shard's holder, after the evidence
//
//	settled <= spent <= issued, and over all shards issued - settled <= the budget
//
// So at no moment more tasks of a team are stopped and not running again than its
// budget says, whoever decides when, whatever is lost on the way: a leader that does
// not see the newest settled issues less, a holder that does not see the newest issued
// spends less, and whoever takes over reads the same rows. A write whose outcome is
// unknown counts as spent, and its settling as not written. Tokens that are not needed
// any more are settled unspent, which returns them.
//
// Losses that nobody chose count against the same budget: while a team is over it by
// them, nothing is issued and nothing that was issued is spent.
package disruption

import (
	"maps"
	"slices"
)

// Budget is what a team may lose at a time. Zero values mean: no bound in the
// window, no tasks at all for Tasks and Share together.
type Budget struct {
	Tasks    int     `json:"tasks,omitempty" toml:"tasks"`         // stopped and not running again at once
	Share    float64 `json:"share,omitempty" toml:"share"`         // the same, of the tasks that run; the larger counts
	WindowS  float64 `json:"window_s,omitempty" toml:"window_s"`   // and within so many seconds
	InWindow int     `json:"in_window,omitempty" toml:"in_window"` // no more than these
	Keep     float64 `json:"keep,omitempty" toml:"keep"`           // of a service's replicas, this share stays
}

// Check says what is wrong with a budget, or nothing, naming the field.
func (b Budget) Check() string {
	switch {
	case b.Tasks < 0 || b.Tasks > 1_000_000:
		return "tasks must be from 0 to 1000000"
	case !(b.Share >= 0) || b.Share > 1:
		return "share must be from 0 to 1"
	case !(b.WindowS >= 0) || b.WindowS > 86_400:
		return "window_s must be from 0 to 86400"
	case b.InWindow < 0 || b.InWindow > 1_000_000:
		return "in_window must be from 0 to 1000000"
	case (b.WindowS > 0) != (b.InWindow > 0):
		return "window_s and in_window go together"
	case !(b.Keep >= 0) || b.Keep > 1:
		return "keep must be from 0 to 1"
	}
	return ""
}

// Most is how many tasks of a team may be down at once when so many run.
func (b Budget) Most(running int) int {
	return max(b.Tasks, int(b.Share*float64(running)))
}

// Demand is what a shard asks for and shows of a team.
type Demand struct {
	Want    int `msgpack:"Want"` // tasks that it would stop now
	Running int `msgpack:"Running"`
	Lost    int `msgpack:"Lost"` // tasks that it lost against its will, and that do not run again yet
}

// Ledger is the leader's side: what was issued, by shard and team. The zero value is
// not ready; use NewLedger.
type Ledger struct {
	issued map[string]map[string]uint64
	recent map[string][]stamp // by team: what was issued within its window
}

type stamp struct {
	at int64
	n  int
}

// NewLedger goes on with what an earlier leader issued. Nobody knows when: all that
// is not settled counts as issued now.
func NewLedger(issued map[string]map[string]uint64) *Ledger {
	l := &Ledger{issued: map[string]map[string]uint64{}, recent: map[string][]stamp{}}
	for s, by := range issued {
		l.issued[s] = maps.Clone(by)
	}
	return l
}

// Issued is what is to be written: numbers by shard and team.
func (l *Ledger) Issued() map[string]map[string]uint64 {
	out := make(map[string]map[string]uint64, len(l.issued))
	for s, by := range l.issued {
		out[s] = maps.Clone(by)
	}
	return out
}

// Issue hands out tokens of a team by what shards want, within its budget, and tells
// whether any were. settled is the shards' own word, as the store has it: a shard
// that is not heard has settled nothing. The shards with the least outstanding come
// first, one token at a time, so that none takes all.
func (l *Ledger) Issue(now int64, team string, b Budget, wants map[string]Demand, settled map[string]uint64) bool {
	running, lost, out := 0, 0, 0
	open := map[string]int{}
	for s, d := range wants {
		running += d.Running
		lost += d.Lost
		open[s] = 0
	}
	for s, by := range l.issued {
		if n := int(by[team] - min(by[team], settled[s])); n > 0 {
			open[s] = n
			out += n
		}
	}
	room := b.Most(running+out) - out - lost
	if b.InWindow > 0 {
		in := l.recent[team]
		in = slices.DeleteFunc(in, func(s stamp) bool { return now-s.at >= int64(b.WindowS*1000) })
		l.recent[team] = in
		n := 0
		for _, s := range in {
			n += s.n
		}
		room = min(room, b.InWindow-n)
	}
	given := 0
	order := slices.Sorted(maps.Keys(wants))
	for given < room {
		best := ""
		for _, s := range order {
			if open[s] < wants[s].Want && (best == "" || open[s] < open[best]) {
				best = s
			}
		}
		if best == "" {
			break
		}
		if l.issued[best] == nil {
			l.issued[best] = map[string]uint64{}
		}
		l.issued[best][team]++
		open[best]++
		given++
	}
	if given > 0 {
		l.recent[team] = append(l.recent[team], stamp{now, given})
	}
	return given > 0
}

// Task is a stopped task in a shard's record: of which team, and under which attempt.
type Task struct {
	Team    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Record is a shard's, in the store under its claim.
type Record struct {
	Spent   map[string]uint64 `json:"spent,omitempty"`
	Settled map[string]uint64 `json:"settled,omitempty"`
	Open    map[string]Task   `json:"open,omitempty"` // by task: spent and not settled
	Lost    map[string]string `json:"lost,omitempty"` // by task: its team; lost against its will, not running again
}

// Account is a shard's side. A charge is made in two steps: Charge notes it, and the
// stop may leave when the record with it is stored (Stored). It survives its holder
// as the record.
type Account struct {
	rec    Record
	stored map[string]bool // charges that the store has
	dirty  bool
	limit  int
}

// Open goes on with what an earlier holder stored. At most so many tasks are open at
// once, so that the record stays bounded.
func Open(rec Record, limit int) *Account {
	a := &Account{rec: Record{Spent: map[string]uint64{}, Settled: map[string]uint64{}, Open: map[string]Task{}}, stored: map[string]bool{}, limit: limit}
	a.rec.Lost = map[string]string{}
	maps.Copy(a.rec.Lost, rec.Lost)
	maps.Copy(a.rec.Spent, rec.Spent)
	maps.Copy(a.rec.Settled, rec.Settled)
	for t, o := range rec.Open {
		a.rec.Open[t] = o
		a.stored[t] = true
	}
	return a
}

// Lose notes a task that was lost against the team's will, and Found that it runs
// again or need not. What is open already counts as that; beyond the limit losses are
// not told apart any more, and weigh as the limit.
func (a *Account) Lose(task, team string) {
	if _, open := a.rec.Open[task]; !open && len(a.rec.Lost) < a.limit && a.rec.Lost[task] == "" {
		a.rec.Lost[task] = team
		a.dirty = true
	}
}

// Found takes a task off those that are lost.
func (a *Account) Found(task string) {
	if _, lost := a.rec.Lost[task]; lost {
		delete(a.rec.Lost, task)
		a.dirty = true
	}
}

// Losses visits the tasks that are lost, in order.
func (a *Account) Losses(f func(task, team string)) {
	for _, task := range slices.Sorted(maps.Keys(a.rec.Lost)) {
		f(task, a.rec.Lost[task])
	}
}

// Lost is how many tasks of a team are lost and do not run again.
func (a *Account) Lost(team string) (n int) {
	for _, t := range a.rec.Lost {
		if t == team {
			n++
		}
	}
	return n
}

// Room is how many more tasks of a team may be charged, with what was issued to the
// shard. What the team lost here against its will is taken off.
func (a *Account) Room(team string, issued uint64) int {
	return min(int(issued-min(issued, a.rec.Spent[team]))-a.Lost(team), a.limit-len(a.rec.Open))
}

// Charge notes that tasks are to be stopped together, all or none: a gang is charged
// whole. It says whether they are.
func (a *Account) Charge(team string, issued uint64, tasks map[string]uint64) bool {
	n := 0
	for t := range tasks {
		if _, open := a.rec.Open[t]; !open {
			n++
		}
	}
	if n > a.Room(team, issued) {
		return false
	}
	for t, attempt := range tasks {
		if _, open := a.rec.Open[t]; open {
			continue
		}
		a.rec.Open[t] = Task{team, attempt}
		a.rec.Spent[team]++
	}
	a.dirty = a.dirty || n > 0
	return true
}

// MayStop tells whether the store has a task's charge: its stop may leave.
func (a *Account) MayStop(task string, attempt uint64) bool {
	o, open := a.rec.Open[task]
	return open && o.Attempt == attempt && a.stored[task]
}

// IsOpen tells whether a task is charged, stored or not.
func (a *Account) IsOpen(task string) bool {
	_, open := a.rec.Open[task]
	return open
}

// Each visits the open charges, in order.
func (a *Account) Each(f func(task string, t Task)) {
	for _, name := range slices.Sorted(maps.Keys(a.rec.Open)) {
		f(name, a.rec.Open[name])
	}
}

// Settle closes a charge: there is evidence that the task runs again under another
// attempt, is done, or is nobody's any more.
func (a *Account) Settle(task string) {
	o, open := a.rec.Open[task]
	if !open {
		return
	}
	delete(a.rec.Open, task)
	delete(a.stored, task)
	a.rec.Settled[o.Team]++
	a.dirty = true
}

// Return gives back tokens of a team that were issued and are not needed.
func (a *Account) Return(team string, issued uint64) {
	if n := issued - min(issued, a.rec.Spent[team]); n > 0 {
		a.rec.Spent[team] += n
		a.rec.Settled[team] += n
		a.dirty = true
	}
}

// Empty tells whether nothing is charged and nothing lost.
func (a *Account) Empty() bool { return len(a.rec.Open)+len(a.rec.Lost) == 0 }

// Dirty tells whether the store has another record.
func (a *Account) Dirty() bool { return a.dirty }

// Record is what the store should have.
func (a *Account) Record() Record {
	a.dirty = false
	return Record{maps.Clone(a.rec.Spent), maps.Clone(a.rec.Settled), maps.Clone(a.rec.Open), maps.Clone(a.rec.Lost)}
}

// Stored tells that a record is in the store: stops that it charges may leave.
func (a *Account) Stored(rec Record) {
	for t, o := range rec.Open {
		if a.rec.Open[t] == o {
			a.stored[t] = true
		}
	}
}

// Failed tells that a record may not be in the store. What it charges stays spent.
func (a *Account) Failed() { a.dirty = true }
