// Package planner admits pending tasks to queues on a shard's machines, by the rules of the paper that package
// availability cites: earliest deadline first, and least leftover resources first. An admission never breaks a deadline
// that a queue has already accepted.
//
// # Scope
//
// A [ClusterView] holds a shard's machines for one round: their free resources, a queue for each running task, and the
// images in their caches. [ClusterView.Place] takes one group of tasks and returns a [Placement]. The placement lists
// how many tasks start now on which machines, and how many tasks no machine can finish in time. The package has no
// clock and does no I/O. The caller sorts the groups ([SortGroups]) and enforces all other bounds, such as a team's
// limit. The caller may also reject a placement.
//
// # Preconditions
//
// A view is used by one goroutine at a time. The caller adds machines between Begin and FinishAdding, in the same order
// in each round. A caller that changes a machine's free resources itself then calls MarkFreeChanged.
//
// # Guarantees
//
// The decisions equal those of a scan of every machine for every group; the tests compare the two. The view avoids that
// scan by grouping machines into blocks. A block stores bounds of the free resources of its machines, and of the work
// that their queues can still accept. A group that waits in a full shard therefore examines few machines. The paper's
// l(δ) grows with δ and falls with each admission, so that
//
//	l(δ) <= δ - end                        if no queued task has a later deadline, and
//	l(δ) <= min(δ - start, last - end)     otherwise,
//
// where end is the end of the queue's last task, start is the earliest start of its first task, and last is its latest
// deadline. Over all queues of a block, the minimum of end and start and the maximum of last and of the slack
// (last - end) bound what any queue can accept. The maximum resources of the queues bound the tasks that fit at all.
//
// # Failures
//
// The view is rebuilt in each round from the caller's information about its machines, so wrong information affects one
// round only. Image caches persist between rounds and may be wrong: a missing image costs its fetch time but never
// invalidates a decision.
package planner
