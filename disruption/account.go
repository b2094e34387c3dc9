package disruption

import (
	"maps"
	"slices"
)

// StoppedTask is a reservation in a shard's record: the team and the attempt of a task to be stopped.
type StoppedTask struct {
	Team    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Record is a shard's record in the store, written under its claim.
type Record struct {
	Spent    map[string]uint64      `json:"spent,omitempty"`   // by team
	Settled  map[string]uint64      `json:"settled,omitempty"` // by team
	Reserved map[string]StoppedTask `json:"open,omitempty"`    // by task: spent and not settled
	Lost     map[string]string      `json:"lost,omitempty"`    // team by task: lost and not running again
}

// Account is a shard's side. A stop takes two steps: Reserve notes it, and it may be sent once a
// record with the reservation is stored (ConfirmStored, CanStop). The account outlives the shard's
// owner as the record.
type Account struct {
	record            Record
	reservationStored map[string]bool // by task: the store has its reservation
	dirty             bool            // the store may have another record
	maxReserved       int
}

// OpenAccount continues from what an earlier owner stored. At most maxReserved tasks are reserved at
// once, and as many lost, so that the record stays bounded.
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

// RecordLoss notes a task that was lost against the team's will, until RecordRecovery. A reserved
// task counts already. Beyond maxReserved losses are no longer noted one by one, and weigh as
// that many.
func (a *Account) RecordLoss(task, team string) {
	if a.IsReserved(task) || a.record.Lost[task] != "" || len(a.record.Lost) >= a.maxReserved {
		return
	}
	a.record.Lost[task] = team
	a.dirty = true
}

// RecordRecovery notes that a lost task runs again or need not.
func (a *Account) RecordRecovery(task string) {
	if _, lost := a.record.Lost[task]; lost {
		delete(a.record.Lost, task)
		a.dirty = true
	}
}

// EachLost visits the lost tasks, in order.
func (a *Account) EachLost(visit func(task, team string)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Lost)) {
		visit(task, a.record.Lost[task])
	}
}

// LostCount returns how many tasks of a team are lost and do not run again.
func (a *Account) LostCount(team string) (n int) {
	for _, lostBy := range a.record.Lost {
		if lostBy == team {
			n++
		}
	}
	return n
}

// Available returns how many more tasks of a team may be reserved with the tokens issued to the
// shard, less what the team lost here against its will. It may be negative.
func (a *Account) Available(team string, issued uint64) int {
	return min(int(a.unspent(team, issued))-a.LostCount(team), a.maxReserved-len(a.record.Reserved))
}

// unspent returns how many of a team's issued tokens are not spent.
func (a *Account) unspent(team string, issued uint64) uint64 {
	return issued - min(issued, a.record.Spent[team])
}

// Reserve notes that tasks (attempt by task) are to be stopped together, all or none: a gang is
// reserved whole. It reports whether all are reserved now.
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

// CanStop reports whether the store has the reservation of a task's attempt: its stop may be sent.
func (a *Account) CanStop(task string, attempt uint64) bool {
	stopped, reserved := a.record.Reserved[task]
	return reserved && stopped.Attempt == attempt && a.reservationStored[task]
}

// IsReserved reports whether a task is reserved, stored or not.
func (a *Account) IsReserved(task string) bool {
	_, reserved := a.record.Reserved[task]
	return reserved
}

// EachReserved visits the reservations, in the order of tasks.
func (a *Account) EachReserved(visit func(task string, stopped StoppedTask)) {
	for _, task := range slices.Sorted(maps.Keys(a.record.Reserved)) {
		visit(task, a.record.Reserved[task])
	}
}

// Release settles a reservation. The caller has evidence that the task runs again under another
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

// ReturnUnspent settles tokens of a team that were issued and are not needed.
func (a *Account) ReturnUnspent(team string, issued uint64) {
	if n := a.unspent(team, issued); n > 0 {
		a.record.Spent[team] += n
		a.record.Settled[team] += n
		a.dirty = true
	}
}

// IsEmpty reports whether no task is reserved or lost.
func (a *Account) IsEmpty() bool { return len(a.record.Reserved)+len(a.record.Lost) == 0 }

// HasUnstoredChanges reports whether the store may have another record.
func (a *Account) HasUnstoredChanges() bool { return a.dirty }

// BuildRecord returns a copy of the record to be stored, and counts its changes as stored unless
// MarkStoreFailed follows.
func (a *Account) BuildRecord() Record {
	a.dirty = false
	return Record{
		Spent:    maps.Clone(a.record.Spent),
		Settled:  maps.Clone(a.record.Settled),
		Reserved: maps.Clone(a.record.Reserved),
		Lost:     maps.Clone(a.record.Lost),
	}
}

// ConfirmStored notes that the store has a record: stops that it reserves may be sent.
func (a *Account) ConfirmStored(record Record) {
	for task, stopped := range record.Reserved {
		if a.record.Reserved[task] == stopped {
			a.reservationStored[task] = true
		}
	}
}

// MarkStoreFailed notes that the store may not have the record. Its reservations stay spent.
func (a *Account) MarkStoreFailed() { a.dirty = true }
