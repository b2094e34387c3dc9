package scheduler

import "math"

// Bounds on the effect of one task, and of a class's correction, on an estimate.
const (
	minRuntimeRatio, maxRuntimeRatio   = 0.2, 5 // bounds on the ratio of a task's runtime to its estimate
	minRuntimeFactor, maxRuntimeFactor = 0.5, 3 // bounds on the factor applied to an estimate
	priorRuntimeSamples                = 4      // weight of the user's estimate, in tasks
	maxRuntimeSamples                  = 40     // tasks after which the weight of older tasks decays
)

// runtimeUpdateHundredths is the difference between a class's ratio and the written one, in hundredths, above
// which the ratio is written again.
const runtimeUpdateHundredths = 5

// runtimeEstimator owns the corrections of the users' runtime estimates, based on the measured runtimes of tasks
// of the same class. Each member has its own corrections; the recovery records of shards pass them on to later
// owners.
type runtimeEstimator struct {
	*environment

	runtimeCorrections map[string]*runtimeCorrection // by class
}

func newRuntimeEstimator(env *environment) *runtimeEstimator {
	return &runtimeEstimator{environment: env, runtimeCorrections: map[string]*runtimeCorrection{}}
}

// runtimeCorrection is the weighted mean ratio of a class's runtimes to the users' estimates.
type runtimeCorrection struct {
	ratio   float64
	samples int
}

// updateRuntimeEstimate updates the correction of a job's class with the runtime of one of the job's tasks.
func (re *runtimeEstimator) updateRuntimeEstimate(j *Job, runtimeMS int64) {
	if j.EstimateS <= 0 || runtimeMS <= 0 {
		return
	}
	correction := re.runtimeCorrections[j.Class]
	if correction == nil {
		correction = &runtimeCorrection{ratio: 1}
		re.runtimeCorrections[j.Class] = correction
	}
	ratio := min(max(float64(runtimeMS)/1000/j.EstimateS, minRuntimeRatio), maxRuntimeRatio)
	correction.samples++
	weight := min(correction.samples+priorRuntimeSamples, maxRuntimeSamples)
	correction.ratio += (ratio - correction.ratio) / float64(weight)
}

// expectedRuntime returns the expected runtime of a task of the job, in milliseconds.
func (re *runtimeEstimator) expectedRuntime(j *Job) int64 {
	seconds := j.EstimateS
	if correction := re.runtimeCorrections[j.Class]; correction != nil {
		seconds *= min(max(correction.ratio, minRuntimeFactor), maxRuntimeFactor)
	}
	return max(secondsToMS(seconds), 100)
}

// hasUpdates reports whether any class's ratio is unwritten or differs from the written one by more than
// runtimeUpdateHundredths. writtenRuntimes are ratios by class, in hundredths.
func (re *runtimeEstimator) hasUpdates(writtenRuntimes map[string]int64) bool {
	for class, correction := range re.runtimeCorrections {
		written, ok := writtenRuntimes[class]
		if !ok || math.Abs(float64(written)-correction.ratio*100) > runtimeUpdateHundredths {
			return true
		}
	}
	return false
}

// buildRecord returns the runtimes of a recovery record, and the ratio of every class in hundredths. The ratios
// include classes that the record omits.
func (re *runtimeEstimator) buildRecord() (runtimes map[string]runtimeRecord, hundredths map[string]int64) {
	runtimes, hundredths = map[string]runtimeRecord{}, map[string]int64{}
	for class, correction := range sortedByKey(re.runtimeCorrections) {
		if len(runtimes) < maxRecoveryClasses && len(class) < maxRecoveryClassBytes {
			runtimes[class] = runtimeRecord{math.Round(correction.ratio*1000) / 1000, correction.samples}
		}
		hundredths[class] = int64(math.Round(correction.ratio * 100))
	}
	return runtimes, hundredths
}

// restore applies a class's correction from the recovery record of an earlier claim, if it is based on more
// tasks than this member's own.
func (re *runtimeEstimator) restore(class string, recorded runtimeRecord) {
	if recorded.Ratio <= 0 || recorded.Ratio > maxRuntimeRatio {
		return
	}
	if known := re.runtimeCorrections[class]; known != nil && known.samples >= recorded.Samples {
		return
	}
	re.runtimeCorrections[class] = &runtimeCorrection{ratio: recorded.Ratio, samples: recorded.Samples}
}
