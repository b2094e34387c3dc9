// Package indoubt resolves in-doubt writes: conditional writes for which it is unknown whether the store
// applied them. It holds the state of one write at a time and is pure: its input is the outcomes of requests,
// its output is the next step.
//
// The package assumes that a write has a key's revision as its precondition, so the store applies it at most
// once, however often it is sent. While the key has that revision, an attempt without a response may still be
// applied, even after later attempts of the same writer. The package guarantees that a write is Settled only
// when no attempt of it can be applied any more. It tolerates lost responses, refusals, attempts that are
// applied late, and other writers of the same key.
//
//	state    input                                to       next step
//	sent     OK                                   settled  -
//	sent     Refused, Throttled, NotFound, Gone   settled  -         the write was not applied
//	sent     Conflict                             decided  ReadBack  not applied either, but the record has changed
//	sent     Unknown                              doubt    ReadBack
//	doubt    OK                                   settled  -         one attempt was applied, the others are void
//	doubt    Refused, Throttled, NotFound, Gone   doubt    ReadBack  the earlier attempt is still in doubt
//	doubt    Conflict                             decided  ReadBack  the earlier attempt was applied, or none will be
//	doubt    Unknown                              doubt    ReadBack
//	doubt    read, another revision               settled  -
//	doubt    read, the same revision              doubt    Resend    at most one of the two attempts can be applied
//	doubt    read failed                          doubt    Resend
//	decided  read                                 settled  -
//	decided  read failed                          decided  ReadBack
//
// Until a write is settled, the writer counts what the write gives away as given away, and what it gains as
// not yet gained. A write may remain unsettled if the writer's other precondition can never hold again, that
// is, when its claim has ended.
package indoubt

import "github.com/grebedock/grebedock/access"

// NextStep is the next step for a write.
type NextStep int

// The next steps.
const (
	Settled  NextStep = iota // none: the outcome of the write is known, or the record of its key shows it
	ReadBack                 // read the key, and call CompleteRead
	Resend                   // send the write again, and call CompleteAttempt
)

func (s NextStep) String() string { return [...]string{"settled", "read back", "send again"}[s] }

// ConditionalWrite is a write that was sent with a key's revision as its precondition.
type ConditionalWrite struct {
	Revision uint64
	inDoubt  bool
	decided  bool
}

// CompleteAttempt processes the outcome of an attempt and returns the next step.
func (w *ConditionalWrite) CompleteAttempt(outcome access.Outcome) NextStep {
	switch {
	case outcome == access.OK:
		return Settled
	case outcome == access.Conflict:
		w.decided = true
		return ReadBack
	case outcome == access.Unknown:
		w.inDoubt = true
		return ReadBack
	case w.inDoubt:
		return ReadBack
	}
	return Settled
}

// CompleteRead processes the outcome of a read of the key and the key's revision, if known (0: the key does
// not exist). It returns the next step.
func (w *ConditionalWrite) CompleteRead(outcome access.Outcome, revision uint64) NextStep {
	succeeded := outcome == access.OK || outcome == access.NotFound
	switch {
	case succeeded && (w.decided || revision != w.Revision):
		return Settled
	case w.decided:
		return ReadBack
	}
	return Resend
}
