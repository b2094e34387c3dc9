package scheduler

import (
	"math/rand/v2"

	"github.com/grebedock/grebedock/rollout"
)

// environment is what all owners of state share: the settings of the member, the
// time and the random numbers of the present input, and where outputs go. It
// holds no state of the cluster.
type environment struct {
	params        Params
	rng           *rand.Rand
	now           Now // of the present input
	outputs       Outputs
	startedAtMS   int64 // monotonic
	lastRequestID uint64

	Counters      Counters
	rolloutCounts rollout.HealthCounts // what the health gates of rollouts count at this member
}

func newEnvironment(params Params, seed uint64, now Now) *environment {
	return &environment{
		params:      params,
		rng:         rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		now:         now,
		startedAtMS: now.MonotonicMS,
	}
}
