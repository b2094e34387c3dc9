// Package availability implements parts of the paper "A Highly Scalable Decentralized Scheduler of Tasks with
// Deadlines" by Celaya and Arronategui: the earliest-deadline queue with its admission rule, the availability l(δ) of a
// queue, sampled functions of l(δ), and the summaries that merge these functions by their minima.
//
// # Ownership
//
// The package keeps no state between calls, except in a [Reducer], which caches results from round to round. It does
// not depend on jobs, machines or clocks. Times and lengths are milliseconds of one clock, which the caller chooses.
//
// # Assumptions
//
// Each value is used by one goroutine at a time. The samples of a [Function] ascend in time.
//
// # Guarantees
//
// An admitted deadline is kept by every later admission. A sampled, reduced or merged function never promises more
// than the queues that it represents. The loss of accuracy may send a task elsewhere, but never to a queue that ends it
// late. A summary depends only on its input, not on earlier rounds.
//
// # Failures
//
// The package does no input or output and has no failures to handle. An outdated summary promises the availability of
// its own time. The receiver decides how long it is valid, and must expect that a queue refuses a task.
package availability
