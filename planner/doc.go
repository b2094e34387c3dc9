// Package planner admits waiting tasks to the queues of a shard's machines, by the rules of the paper that package
// availability cites: tightest deadline first, least leftover first, and never at the cost of a deadline that a queue
// already holds.
//
// # What it owns
//
// A [ClusterView] is one view of a shard's machines: their free resources, a queue for each task that runs on them,
// and the images in their caches. [ClusterView.Place] takes one group of tasks and returns a [Placement]: which
// machines start how many of them now, and for which no machine ends them in time. It has no clock and calls nothing
// else. Its caller orders the groups ([SortGroups]) and applies whatever else bounds them, such as a team's limit; the
// caller may also refuse a placement.
//
// # What it may assume
//
// One goroutine. Machines are added between Begin and FinishAdding, in the same order each round; a caller that
// changes a machine's free resources itself says so with MarkFreeChanged.
//
// # What it promises
//
// The decisions are those of a scan of every machine for every group, which the tests compare them with. What the
// view saves is the scan: machines stand in blocks, and a block knows bounds of what its machines have free and of
// what their queues could still end, so a group that waits in a full shard touches few of them. The paper's l(δ)
// grows with δ and falls with what is admitted, so that
//
//	l(δ) <= δ - end                        if nothing in the queue has a later deadline, and
//	l(δ) <= min(δ - start, last - end)     otherwise,
//
// with end the end of the queue's last task, start when its first task can start, and last its latest deadline. The
// least end and start and the greatest slack (last - end) and last over all queues of a block bound what any of them
// may take, and the greatest resources of a queue say whether a task fits at all.
//
// # Failures
//
// A view is rebuilt every round from what the caller believes of its machines, so a wrong belief costs one round.
// Image caches outlive rounds and may be wrong: a missing image costs its fetch time, never a decision's validity.
package planner
