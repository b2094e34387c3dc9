// Package indoubt settles transactions in doubt: guarded writes of which nobody said
// whether they were carried out. It is pure. A write is guarded by a key's revision, so
// it works once at most, however often it is sent; but while that revision stands, a
// try that had no answer may yet be carried out, after newer ones of the same writer.
//
//	state    input                                  to       asks
//	sent     OK                                     settled  -
//	sent     Refused, Throttled, NotFound, Gone     settled  -             it was not carried out
//	sent     Conflict                               decided  ReadBack      nor was it, but what stands is another
//	sent     Unknown                                doubt    ReadBack
//	doubt    OK                                     settled  -             one try worked, the others are void
//	doubt    Refused, Throttled, NotFound, Gone     doubt    ReadBack      says nothing of the earlier try
//	doubt    Conflict                               decided  ReadBack      the earlier try worked, or nothing will
//	doubt    Unknown                                doubt    ReadBack
//	doubt    read, another revision                 settled  -
//	doubt    read, the same revision                doubt    Resend     one of both tries will be the last
//	doubt    not read                               doubt    Resend
//	decided  read                                   settled  -
//	decided  not read                               decided  ReadBack
//
// Until a write is settled, what it gives away counts as given, and what it brings as
// not there. It may be left unsettled when the writer's other guard is gone for good: its
// claim is over.
package indoubt

import "github.com/grebedock/grebedock/access"

// NextStep is what is to be done about a write.
type NextStep int

// What is to be done.
const (
	Settled NextStep = iota
	ReadBack
	Resend
)

func (s NextStep) String() string { return [...]string{"settled", "read back", "send again"}[s] }

// ConditionalWrite is a write that was sent, guarded by a key's revision.
type ConditionalWrite struct {
	Revision uint64
	inDoubt  bool
	decided  bool
}

// CompleteAttempt tells how a try of the write ended.
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

// CompleteRead tells how reading the key ended, and its revision if that is known (0: the key
// does not exist).
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
