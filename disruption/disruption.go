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
	MaxTasks        int     `json:"tasks,omitempty"     toml:"tasks"`     // stopped and not running again at once
	MaxShare        float64 `json:"share,omitempty"     toml:"share"`     // the same, of the tasks that run; the larger counts
	WindowS         float64 `json:"window_s,omitempty"  toml:"window_s"`  // and within so many seconds
	MaxInWindow     int     `json:"in_window,omitempty" toml:"in_window"` // no more than these
	MinReplicaShare float64 `json:"keep,omitempty"      toml:"keep"`      // of a service's replicas, this share stays
}

// FieldError is the first fault that Validate finds in a budget.
type FieldError struct {
	Field string // as in JSON and TOML
	Text  string // the whole text for operators; it begins with the field
}

func (e *FieldError) Error() string { return e.Text }

// Validate returns a *FieldError for the first field that is out of its range, or nil.
func (b Budget) Validate() error {
	invalid := func(field, rest string) error { return &FieldError{Field: field, Text: field + " " + rest} }
	switch {
	case b.MaxTasks < 0 || b.MaxTasks > 1_000_000:
		return invalid("tasks", "must be from 0 to 1000000")
	case !(b.MaxShare >= 0) || b.MaxShare > 1:
		return invalid("share", "must be from 0 to 1")
	case !(b.WindowS >= 0) || b.WindowS > 86_400:
		return invalid("window_s", "must be from 0 to 86400")
	case b.MaxInWindow < 0 || b.MaxInWindow > 1_000_000:
		return invalid("in_window", "must be from 0 to 1000000")
	case (b.WindowS > 0) != (b.MaxInWindow > 0):
		return invalid("window_s", "and in_window go together")
	case !(b.MinReplicaShare >= 0) || b.MinReplicaShare > 1:
		return invalid("keep", "must be from 0 to 1")
	}
	return nil
}

// MaxDown is how many tasks of a team may be down at once when so many run.
func (b Budget) MaxDown(running int) int {
	return max(b.MaxTasks, int(b.MaxShare*float64(running)))
}

// Demand is what a shard asks for and shows of a team.
type Demand struct {
	Requested int `msgpack:"Want"` // tasks that it would stop now
	Running   int `msgpack:"Running"`
	Lost      int `msgpack:"Lost"` // tasks that it lost against its will, and that do not run again yet
}

// Ledger is the leader's side: what was issued, by shard and team. The zero value is
// not ready; use NewLedger.
type Ledger struct {
	issued map[string]map[string]uint64
	recent map[string][]issuance // by team: what was issued within its window
}

type issuance struct {
	atMS  int64
	count int
}

// NewLedger goes on with what an earlier leader issued. Nobody knows when: all that
// is not settled counts as issued now.
func NewLedger(issued map[string]map[string]uint64) *Ledger {
	ledger := &Ledger{issued: map[string]map[string]uint64{}, recent: map[string][]issuance{}}
	for shard, byTeam := range issued {
		ledger.issued[shard] = maps.Clone(byTeam)
	}
	return ledger
}

// Issued is what is to be written: numbers by shard and team.
func (l *Ledger) Issued() map[string]map[string]uint64 {
	issued := make(map[string]map[string]uint64, len(l.issued))
	for shard, byTeam := range l.issued {
		issued[shard] = maps.Clone(byTeam)
	}
	return issued
}

// Issue hands out tokens of a team by what shards want, within its budget, and tells
// whether any were. settled is the shards' own word, as the store has it: a shard
// that is not heard has settled nothing. The shards with the least outstanding come
// first, one token at a time, so that none takes all.
func (l *Ledger) Issue(
	now int64,
	team string,
	budget Budget,
	demands map[string]Demand,
	settled map[string]uint64,
) bool {
	running, lost, outstanding := 0, 0, 0
	outstandingByShard := map[string]int{}
	for shard, demand := range demands {
		running += demand.Running
		lost += demand.Lost
		outstandingByShard[shard] = 0
	}
	for shard, byTeam := range l.issued {
		if n := int(byTeam[team] - min(byTeam[team], settled[shard])); n > 0 {
			outstandingByShard[shard] = n
			outstanding += n
		}
	}
	available := budget.MaxDown(running+outstanding) - outstanding - lost
	if budget.MaxInWindow > 0 {
		issuances := l.recent[team]
		issuances = slices.DeleteFunc(
			issuances,
			func(issued issuance) bool { return now-issued.atMS >= int64(budget.WindowS*1000) },
		)
		l.recent[team] = issuances
		n := 0
		for _, issued := range issuances {
			n += issued.count
		}
		available = min(available, budget.MaxInWindow-n)
	}
	issuedNow := 0
	shards := slices.Sorted(maps.Keys(demands))
	for issuedNow < available {
		nextShard := ""
		for _, shard := range shards {
			if outstandingByShard[shard] < demands[shard].Requested &&
				(nextShard == "" || outstandingByShard[shard] < outstandingByShard[nextShard]) {
				nextShard = shard
			}
		}
		if nextShard == "" {
			break
		}
		if l.issued[nextShard] == nil {
			l.issued[nextShard] = map[string]uint64{}
		}
		l.issued[nextShard][team]++
		outstandingByShard[nextShard]++
		issuedNow++
	}
	if issuedNow > 0 {
		l.recent[team] = append(l.recent[team], issuance{now, issuedNow})
	}
	return issuedNow > 0
}

// StoppedTask is a stopped task in a shard's record: of which team, and under which attempt.
type StoppedTask struct {
	Team    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Record is a shard's, in the store under its claim.
type Record struct {
	Spent    map[string]uint64      `json:"spent,omitempty"`
	Settled  map[string]uint64      `json:"settled,omitempty"`
	Reserved map[string]StoppedTask `json:"open,omitempty"` // by task: spent and not settled
	Lost     map[string]string      `json:"lost,omitempty"` // by task: its team; lost against its will, not running again
}

// Account is a shard's side. A charge is made in two steps: Charge notes it, and the
// stop may leave when the record with it is stored (Stored). It survives its holder
// as the record.
type Account struct {
	record            Record
	reservationStored map[string]bool // charges that the store has
	dirty             bool
	maxReserved       int
}

// OpenAccount goes on with what an earlier holder stored. At most so many tasks are open at
// once, so that the record stays bounded.
func OpenAccount(record Record, maxReserved int) *Account {
	account := &Account{
		record: Record{
			Spent:    map[string]uint64{},
			Settled:  map[string]uint64{},
			Reserved: map[string]StoppedTask{},
		},
		reservationStored: map[string]bool{},
		maxReserved:       maxReserved,
	}
	account.record.Lost = map[string]string{}
	maps.Copy(account.record.Lost, record.Lost)
	maps.Copy(account.record.Spent, record.Spent)
	maps.Copy(account.record.Settled, record.Settled)
	for task, stopped := range record.Reserved {
		account.record.Reserved[task] = stopped
		account.reservationStored[task] = true
	}
	return account
}

// RecordLoss notes a task that was lost against the team's will, and Found that it runs
// again or need not. What is open already counts as that; beyond the limit losses are
// not told apart any more, and weigh as the limit.
func (a *Account) RecordLoss(task, team string) {
	if _, reserved := a.record.Reserved[task]; !reserved && len(a.record.Lost) < a.maxReserved &&
		a.record.Lost[task] == "" {
		a.record.Lost[task] = team
		a.dirty = true
	}
}

// RecordRecovery takes a task off those that are lost.
func (a *Account) RecordRecovery(task string) {
	if _, lost := a.record.Lost[task]; lost {
		delete(a.record.Lost, task)
		a.dirty = true
	}
}

// EachLost visits the tasks that are lost, in order.
func (a *Account) EachLost(visit func(task, team string)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Lost)) {
		visit(task, a.record.Lost[task])
	}
}

// LostCount is how many tasks of a team are lost and do not run again.
func (a *Account) LostCount(team string) (n int) {
	for _, owner := range a.record.Lost {
		if owner == team {
			n++
		}
	}
	return n
}

// Available is how many more tasks of a team may be charged, with what was issued to the
// shard. What the team lost here against its will is taken off.
func (a *Account) Available(team string, issued uint64) int {
	return min(int(issued-min(issued, a.record.Spent[team]))-a.LostCount(team), a.maxReserved-len(a.record.Reserved))
}

// Reserve notes that tasks are to be stopped together, all or none: a gang is charged
// whole. It says whether they are.
func (a *Account) Reserve(team string, issued uint64, tasks map[string]uint64) bool {
	n := 0
	for task := range tasks {
		if _, reserved := a.record.Reserved[task]; !reserved {
			n++
		}
	}
	if n > a.Available(team, issued) {
		return false
	}
	for task, attempt := range tasks {
		if _, reserved := a.record.Reserved[task]; reserved {
			continue
		}
		a.record.Reserved[task] = StoppedTask{team, attempt}
		a.record.Spent[team]++
	}
	a.dirty = a.dirty || n > 0
	return true
}

// CanStop tells whether the store has a task's charge: its stop may leave.
func (a *Account) CanStop(task string, attempt uint64) bool {
	stopped, reserved := a.record.Reserved[task]
	return reserved && stopped.Attempt == attempt && a.reservationStored[task]
}

// IsReserved tells whether a task is charged, stored or not.
func (a *Account) IsReserved(task string) bool {
	_, reserved := a.record.Reserved[task]
	return reserved
}

// EachReserved visits the open charges, in order.
func (a *Account) EachReserved(visit func(task string, stopped StoppedTask)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Reserved)) {
		visit(task, a.record.Reserved[task])
	}
}

// Release closes a charge: there is evidence that the task runs again under another
// attempt, is done, or is nobody's any more.
func (a *Account) Release(task string) {
	stopped, reserved := a.record.Reserved[task]
	if !reserved {
		return
	}
	delete(a.record.Reserved, task)
	delete(a.reservationStored, task)
	a.record.Settled[stopped.Team]++
	a.dirty = true
}

// ReturnUnspent gives back tokens of a team that were issued and are not needed.
func (a *Account) ReturnUnspent(team string, issued uint64) {
	if n := issued - min(issued, a.record.Spent[team]); n > 0 {
		a.record.Spent[team] += n
		a.record.Settled[team] += n
		a.dirty = true
	}
}

// IsEmpty tells whether nothing is charged and nothing lost.
func (a *Account) IsEmpty() bool { return len(a.record.Reserved)+len(a.record.Lost) == 0 }

// HasUnstoredChanges tells whether the store has another record.
func (a *Account) HasUnstoredChanges() bool { return a.dirty }

// BuildRecord is what the store should have.
func (a *Account) BuildRecord() Record {
	a.dirty = false
	return Record{
		maps.Clone(a.record.Spent),
		maps.Clone(a.record.Settled),
		maps.Clone(a.record.Reserved),
		maps.Clone(a.record.Lost),
	}
}

// ConfirmStored tells that a record is in the store: stops that it charges may leave.
func (a *Account) ConfirmStored(record Record) {
	for task, stopped := range record.Reserved {
		if a.record.Reserved[task] == stopped {
			a.reservationStored[task] = true
		}
	}
}

// MarkStoreFailed tells that a record may not be in the store. What it charges stays spent.
func (a *Account) MarkStoreFailed() { a.dirty = true }
