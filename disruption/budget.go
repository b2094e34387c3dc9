// Package disruption limits how many of a team's tasks operators stop at once to empty machines. It
// performs no I/O: callers pass in events and query which stops are allowed. Nothing in it is safe for
// concurrent use.
//
// Tokens enforce a team's budget across all members. The leader issues tokens to shards. A shard spends a
// token before it orders a stop. It settles the token on evidence that the task runs again or is done, or
// that its job is over. Three counters record this; they only grow, with one row for each shard and team:
//
//	counter   written by                                        when
//	issued    the leader, in the plan's record (Ledger), with   before the shard may spend
//	          a precondition on the leader record
//	spent     the shard's owner (Account), with a               before the stop is sent
//	          precondition on its claim
//	settled   the shard's owner (Account), with a               after the evidence
//	          precondition on its claim
//
//	settled <= spent <= issued, and over all shards issued - settled <= the budget
//
// So the number of a team's tasks that are stopped and not running again never exceeds its budget,
// regardless of timing, lost messages and changes of leader or owner. A leader that does not see the latest
// settled counters issues less; an owner that does not see the latest issued counters spends less. A new
// leader or owner reads the same rows. If the outcome of a write is unknown, the tokens that it spends count
// as spent, and those that it settles as not settled. Tokens that are no longer needed are settled without a
// stop, which returns them.
//
// Involuntary losses count against the same budget: while they take a team beyond it, no token is
// issued and no issued token is spent.
//
// A task in an Account:
//
//	state         input                                 to           effect
//	-             Reserve, within the issued tokens     reserved     none yet
//	reserved      ConfirmStored with its reservation    stored       CanStop: the stop may be sent
//	reserved      MarkStoreFailed                       reserved     the record is written again
//	reserved,     Release: the task runs again, is      settled      the leader may issue its token again
//	stored        done, or is no longer owned
//	-             RecordLoss                            lost         counts against the budget
//	lost          RecordRecovery                        -
//	any           a new owner opens the stored record   as stored
package disruption

// Budget limits how many of a team's tasks may be down at a time. If WindowS and MaxInWindow are zero, the
// rate of issued tokens is not limited. If MaxTasks and MaxShare are both zero, no task may be stopped.
type Budget struct {
	// MaxTasks limits the number of tasks that are stopped and not running again at the same time.
	// MaxShare limits them as a share of the team's running tasks, from 0 to 1. The larger limit applies.
	MaxTasks int     `json:"tasks,omitempty" toml:"tasks"`
	MaxShare float64 `json:"share,omitempty" toml:"share"`
	// MaxInWindow limits the tokens issued within any period of WindowS seconds.
	WindowS     float64 `json:"window_s,omitempty"  toml:"window_s"`
	MaxInWindow int     `json:"in_window,omitempty" toml:"in_window"`
	// MinReplicaShare is the minimum share of a service's replicas that keep running.
	MinReplicaShare float64 `json:"keep,omitempty" toml:"keep"`
}

// FieldError reports the first invalid field of a budget.
type FieldError struct {
	Field string // name of the field in JSON and TOML
	Text  string // complete message for operators; begins with the field
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

// MaxDown returns how many tasks of a team may be down at once, given its number of running tasks.
func (b Budget) MaxDown(running int) int {
	return max(b.MaxTasks, int(b.MaxShare*float64(running)))
}
