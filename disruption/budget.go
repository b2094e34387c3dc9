// Package disruption bounds what a team loses by the operators' will: tasks that are stopped to
// empty a machine. It is pure: events come in, and what may be stopped goes out. Nothing in it is safe
// for concurrent use.
//
// A budget holds over all members by means of tokens. The leader issues them to shards; a shard
// spends one before it orders a stop, and settles it on evidence that the task runs again
// or is done, or that its job is over. All three are counters that only grow, one row for each shard
// and team:
//
//	counter   written by                                    when
//	issued    the leader under its claim, in the plan's     before the shard may spend
//	          record (Ledger)
//	spent     the shard's owner under its claim (Account)   before the stop is sent
//	settled   the shard's owner under its claim (Account)   after the evidence
//
//	settled <= spent <= issued, and over all shards issued - settled <= the budget
//
// So at no moment are more tasks of a team stopped and not running again than its budget allows,
// whoever decides when, and whatever is lost on the way: a leader that does not see the newest
// settled issues less, an owner that does not see the newest issued spends less, and whoever takes
// over reads the same rows. A write whose outcome is unknown counts as spent, and its settling as not
// written. Tokens that are no longer needed are settled unspent, which returns them.
//
// Losses that nobody chose count against the same budget: while they take a team beyond it, no
// token is issued and no issued token is spent.
//
// A task in an Account:
//
//	state         input                                 to           what it allows
//	-             Reserve, within what was issued       reserved     nothing yet
//	reserved      ConfirmStored with its reservation    stored       CanStop: the stop may be sent
//	reserved      MarkStoreFailed                       reserved     the record is written again
//	reserved,     Release: it runs again, is done       settled      the leader may issue its token again
//	stored        or is nobody's
//	-             RecordLoss                            lost         counts against the budget
//	lost          RecordRecovery                        -
//	any           a new owner opens the stored record   as stored
package disruption

// Budget is what a team may lose at a time. Zero values mean: no bound in the window, and no tasks
// at all for MaxTasks and MaxShare together.
type Budget struct {
	// MaxTasks bounds the tasks that are stopped and not running again at once; MaxShare does so by
	// their share of all running tasks, from 0 to 1. The larger bound counts.
	MaxTasks int     `json:"tasks,omitempty" toml:"tasks"`
	MaxShare float64 `json:"share,omitempty" toml:"share"`
	// MaxInWindow bounds the tokens issued within any WindowS seconds.
	WindowS     float64 `json:"window_s,omitempty"  toml:"window_s"`
	MaxInWindow int     `json:"in_window,omitempty" toml:"in_window"`
	// MinReplicaShare is the share of a service's replicas that stays up.
	MinReplicaShare float64 `json:"keep,omitempty" toml:"keep"`
}

// FieldError is the first invalid field of a budget.
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

// MaxDown returns how many tasks of a team may be down at once if so many run.
func (b Budget) MaxDown(running int) int {
	return max(b.MaxTasks, int(b.MaxShare*float64(running)))
}
