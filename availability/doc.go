// Package availability implements the paper "A Highly Scalable Decentralized Scheduler of Tasks with Deadlines" by
// Celaya and Arronategui, as far as this design takes it over: the earliest-deadline queue with its admission rule,
// the availability l(δ) that it leaves, sampled functions of it, and the summaries that merge them by their minima.
//
// # What it owns
//
// Nothing beyond a call, but for a [Reducer], which keeps what it computed from round to round. The package knows no
// jobs, machines or clocks. Times and lengths are milliseconds on any one clock that the caller keeps to.
//
// # What it may assume
//
// Each value is used by one goroutine at a time. The samples of a [Function] ascend in time.
//
// # What it promises
//
// An admitted deadline is kept by every later admission. A function, sampled, reduced or merged, never promises more
// than the queues that it stands for: what is lost sends a task elsewhere, never to a queue that ends it late. A
// summary depends on its input alone, not on earlier rounds.
//
// # Failures
//
// There are none to meet: it does no input or output. A summary that is old promises what was free then; whoever
// receives it decides how long it is worth anything, and must expect that a queue refuses.
package availability
