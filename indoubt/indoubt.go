// Package indoubt resolves writes in doubt: conditional writes of which it is unknown whether they were
// applied. It owns the state of one write at a time, and is pure: outcomes are the input, the next step
// is the output.
//
// It assumes that a write has a key's revision as its precondition, so it is applied once at most, however
// often it is sent. While that revision stands, an attempt that got no response may still be applied, after
// later attempts of the same writer. It promises that a write is Settled only when no attempt of it can be
// applied any more. It is built for responses that are lost, refusals, attempts that are applied late, and
// other writers of the same key.
//
//	state    input                                to       next step
//	sent     OK                                   settled  -
//	sent     Refused, Throttled, NotFound, Gone   settled  -         it was not applied
//	sent     Conflict                             decided  ReadBack  nor was this, but the record is another
//	sent     Unknown                              doubt    ReadBack
//	doubt    OK                                   settled  -         one attempt was applied, the others are void
//	doubt    Refused, Throttled, NotFound, Gone   doubt    ReadBack  says nothing of the earlier attempt
//	doubt    Conflict                             decided  ReadBack  the earlier attempt was applied, or none will be
//	doubt    Unknown                              doubt    ReadBack
//	doubt    read, another revision               settled  -
//	doubt    read, the same revision              doubt    Resend    one of both attempts will be the last
//	doubt    not read                             doubt    Resend
//	decided  read                                 settled  -
//	decided  not read                             decided  ReadBack
//
// Until a write is settled, what it gives away counts as given away, and what it gains as not yet gained.
// It may be left unsettled when the writer's other precondition can never hold again, that is, when its
// claim is over.
package indoubt

import "github.com/grebedock/grebedock/access"

// NextStep is what is to be done about a write.
type NextStep int

// The next steps.
const (
	Settled  NextStep = iota // nothing: its outcome is known, or its key's record shows it
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

// CompleteAttempt takes the outcome of an attempt.
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

// CompleteRead takes the outcome of reading the key, and its revision if that is known (0: the key does
// not exist).
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
