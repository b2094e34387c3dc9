package scheduler

import "math"

// runtimeEstimator corrects the owners' estimates of run times by what tasks of
// the same class took.
type runtimeEstimator struct {
	*environment

	runtimeCorrections map[string]*runtimeCorrection // by class
}

func newRuntimeEstimator(env *environment) *runtimeEstimator {
	return &runtimeEstimator{environment: env, runtimeCorrections: map[string]*runtimeCorrection{}}
}

// runtimeCorrection learns how long a class takes against its owners' estimates.
type runtimeCorrection struct {
	ratio   float64
	samples int
}

// updateRuntimeEstimate corrects the owners' estimates of a class by what its tasks took.
func (re *runtimeEstimator) updateRuntimeEstimate(j *Job, runtimeMS int64) {
	if j.EstimateS <= 0 || runtimeMS <= 0 {
		return
	}
	estimate := re.runtimeCorrections[j.Class]
	if estimate == nil {
		estimate = &runtimeCorrection{ratio: 1}
		re.runtimeCorrections[j.Class] = estimate
	}
	ratio := min(max(float64(runtimeMS)/1000/j.EstimateS, 0.2), 5)
	estimate.samples++
	estimate.ratio += (ratio - estimate.ratio) / float64(min(estimate.samples+4, 40))
}

// expectedRuntime is how long a task of the job is expected to run.
func (re *runtimeEstimator) expectedRuntime(j *Job) int64 {
	seconds := j.EstimateS
	if estimate := re.runtimeCorrections[j.Class]; estimate != nil {
		seconds *= min(max(estimate.ratio, 0.5), 3)
	}
	return max(secondsToMS(seconds), 100)
}

// hasRuntimeUpdates tells whether some class's length is off what was written by a
// twentieth.
func (re *runtimeEstimator) hasRuntimeUpdates(s *shard) bool {
	for class, correction := range re.runtimeCorrections {
		if written, ok := s.memory.writtenRuntimes[class]; !ok || math.Abs(float64(written)-correction.ratio*100) > 5 {
			return true
		}
	}
	return false
}
