package disruption

import (
	"maps"
	"slices"
)

// StoppedTask is a reservation in a shard's record: the team and the attempt of a task that is to be stopped.
type StoppedTask struct {
	Team    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Record is a shard's record in the state service, written with a precondition on the shard's claim.
type Record struct {
	Spent    map[string]uint64      `json:"spent,omitempty"`   // tokens spent, keyed by team
	Settled  map[string]uint64      `json:"settled,omitempty"` // tokens settled, keyed by team
	Reserved map[string]StoppedTask `json:"open,omitempty"`    // spent and not settled, keyed by task
	Lost     map[string]string      `json:"lost,omitempty"`    // teams of tasks lost and not running again, by task
}

// Account holds the tokens that a shard spends and settles. A stop takes two steps: Reserve
// reserves the task, and the stop may be sent once a record with the reservation is stored (ConfirmStored,
// CanStop). A new owner of the shard restores the account from the record.
type Account struct {
	record            Record
	reservationStored map[string]bool // reservation is in the state service, keyed by task
	dirty             bool            // the stored record may differ
	maxReserved       int
}

// OpenAccount restores an account from the record that an earlier owner stored. At most maxReserved tasks
// are reserved at once, and at most maxReserved recorded as lost, so that the size of the record is bounded.
func OpenAccount(record Record, maxReserved int) *Account {
	account := &Account{
		record: Record{
			Spent:    map[string]uint64{},
			Settled:  map[string]uint64{},
			Reserved: map[string]StoppedTask{},
			Lost:     map[string]string{},
		},
		reservationStored: map[string]bool{},
		maxReserved:       maxReserved,
	}
	maps.Copy(account.record.Spent, record.Spent)
	maps.Copy(account.record.Settled, record.Settled)
	maps.Copy(account.record.Reserved, record.Reserved)
	maps.Copy(account.record.Lost, record.Lost)
	for task := range record.Reserved {
		account.reservationStored[task] = true
	}
	return account
}

// RecordLoss records the involuntary loss of a task until RecordRecovery. A reserved task is counted
// already, so its loss is not recorded. Losses beyond maxReserved are not recorded either, so the losses of
// a shard count as at most maxReserved.
func (a *Account) RecordLoss(task, team string) {
	if a.IsReserved(task) || a.record.Lost[task] != "" || len(a.record.Lost) >= a.maxReserved {
		return
	}
	a.record.Lost[task] = team
	a.dirty = true
}

// RecordRecovery records that a lost task runs again or no longer has to run.
func (a *Account) RecordRecovery(task string) {
	if _, lost := a.record.Lost[task]; lost {
		delete(a.record.Lost, task)
		a.dirty = true
	}
}

// EachLost calls visit for each lost task, in the order of tasks.
func (a *Account) EachLost(visit func(task, team string)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Lost)) {
		visit(task, a.record.Lost[task])
	}
}

// LostCount returns how many tasks of a team are recorded as lost and not running again.
func (a *Account) LostCount(team string) (n int) {
	for _, lostBy := range a.record.Lost {
		if lostBy == team {
			n++
		}
	}
	return n
}

// Available returns how many more tasks of a team may be reserved with the tokens issued to the shard, minus
// the team's involuntary losses in the shard. It may be negative.
func (a *Account) Available(team string, issued uint64) int {
	return min(int(a.unspent(team, issued))-a.LostCount(team), a.maxReserved-len(a.record.Reserved))
}

// unspent returns how many of the tokens issued for a team are not spent.
func (a *Account) unspent(team string, issued uint64) uint64 {
	return issued - min(issued, a.record.Spent[team])
}

// Reserve reserves tasks (attempts keyed by task) that are to be stopped together, either all or none of
// them, since a gang must be stopped as a whole. It reports whether all of them are reserved now.
func (a *Account) Reserve(team string, issued uint64, tasks map[string]uint64) bool {
	n := 0
	for task := range tasks {
		if !a.IsReserved(task) {
			n++
		}
	}
	if n > a.Available(team, issued) {
		return false
	}
	for task, attempt := range tasks {
		if a.IsReserved(task) {
			continue
		}
		a.record.Reserved[task] = StoppedTask{team, attempt}
		a.record.Spent[team]++
	}
	a.dirty = a.dirty || n > 0
	return true
}

// CanStop reports whether the reservation of a task's attempt is stored, so that its stop may be sent.
func (a *Account) CanStop(task string, attempt uint64) bool {
	stopped, reserved := a.record.Reserved[task]
	return reserved && stopped.Attempt == attempt && a.reservationStored[task]
}

// IsReserved reports whether a task is reserved, regardless of whether the reservation is stored.
func (a *Account) IsReserved(task string) bool {
	_, reserved := a.record.Reserved[task]
	return reserved
}

// EachReserved calls visit for each reservation, in the order of tasks.
func (a *Account) EachReserved(visit func(task string, stopped StoppedTask)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Reserved)) {
		visit(task, a.record.Reserved[task])
	}
}

// Release settles a reservation. The caller must have evidence that the task runs again under another
// attempt, is done, or belongs to no task range of the owner any more, for example since its job is over.
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

// ReturnUnspent settles the team's issued but unspent tokens, which are not needed.
func (a *Account) ReturnUnspent(team string, issued uint64) {
	if n := a.unspent(team, issued); n > 0 {
		a.record.Spent[team] += n
		a.record.Settled[team] += n
		a.dirty = true
	}
}

// IsEmpty reports whether no task is reserved or lost.
func (a *Account) IsEmpty() bool { return len(a.record.Reserved)+len(a.record.Lost) == 0 }

// HasUnstoredChanges reports whether the stored record may differ from the account.
func (a *Account) HasUnstoredChanges() bool { return a.dirty }

// BuildRecord returns a copy of the record for the state service. It marks the changes as stored; if the
// write fails, the caller must call MarkStoreFailed.
func (a *Account) BuildRecord() Record {
	a.dirty = false
	return Record{
		Spent:    maps.Clone(a.record.Spent),
		Settled:  maps.Clone(a.record.Settled),
		Reserved: maps.Clone(a.record.Reserved),
		Lost:     maps.Clone(a.record.Lost),
	}
}

// ConfirmStored records that the state service has stored a record: the stops that it reserves may be sent.
func (a *Account) ConfirmStored(record Record) {
	for task, stopped := range record.Reserved {
		if a.record.Reserved[task] == stopped {
			a.reservationStored[task] = true
		}
	}
}

// MarkStoreFailed records that a write may have failed. The tokens of its reservations remain spent.
func (a *Account) MarkStoreFailed() { a.dirty = true }
