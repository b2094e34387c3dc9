package scheduler

// runtimeEstimator corrects the owners' estimates of run times by what tasks of
// the same class took.
type runtimeEstimator struct {
	*environment

	runtimeCorrections map[string]*runtimeCorrection // by class
}

func newRuntimeEstimator(env *environment) *runtimeEstimator {
	return &runtimeEstimator{environment: env, runtimeCorrections: map[string]*runtimeCorrection{}}
}
