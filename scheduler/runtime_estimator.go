package scheduler

import "math"

// Bounds of what one task, and a class's record, may do to an estimate.
const (
	minRuntimeRatio, maxRuntimeRatio   = 0.2, 5 // of one task's run time to its estimate
	minRuntimeFactor, maxRuntimeFactor = 0.5, 3 // of the factor that is applied
	priorRuntimeSamples                = 4      // tasks that the owner's estimate counts for
	maxRuntimeSamples                  = 40     // tasks after which older ones begin to be forgotten
)

// runtimeUpdateHundredths is how far, in hundredths, a class's ratio must be off the written one for a write.
const runtimeUpdateHundredths = 5

// runtimeEstimator owns the corrections of the owners' estimates of run times, by what tasks of the same class
// took. They are this member's own; shards' recovery records carry them to its successors.
type runtimeEstimator struct {
	*environment

	runtimeCorrections map[string]*runtimeCorrection // by class
}

func newRuntimeEstimator(env *environment) *runtimeEstimator {
	return &runtimeEstimator{environment: env, runtimeCorrections: map[string]*runtimeCorrection{}}
}

// runtimeCorrection is how long a class takes against its owners' estimates.
type runtimeCorrection struct {
	ratio   float64
	samples int
}

// updateRuntimeEstimate corrects the estimates of a job's class by what one of its tasks took.
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

// expectedRuntime is how long a task of the job is expected to run, in milliseconds.
func (re *runtimeEstimator) expectedRuntime(j *Job) int64 {
	seconds := j.EstimateS
	if correction := re.runtimeCorrections[j.Class]; correction != nil {
		seconds *= min(max(correction.ratio, minRuntimeFactor), maxRuntimeFactor)
	}
	return max(secondsToMS(seconds), 100)
}

// hasUpdates reports whether some class's ratio is off what was written, in hundredths, by more than a
// twentieth.
func (re *runtimeEstimator) hasUpdates(writtenRuntimes map[string]int64) bool {
	for class, correction := range re.runtimeCorrections {
		written, ok := writtenRuntimes[class]
		if !ok || math.Abs(float64(written)-correction.ratio*100) > runtimeUpdateHundredths {
			return true
		}
	}
	return false
}

// buildRecord makes the run times of a recovery record, and each class's ratio in hundredths, also of those
// for which it has no room.
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

// restore takes a class's record of an earlier claim, if it rests on more tasks than what is known here.
func (re *runtimeEstimator) restore(class string, recorded runtimeRecord) {
	if recorded.Ratio <= 0 || recorded.Ratio > maxRuntimeRatio {
		return
	}
	if known := re.runtimeCorrections[class]; known != nil && known.samples >= recorded.Samples {
		return
	}
	re.runtimeCorrections[class] = &runtimeCorrection{ratio: recorded.Ratio, samples: recorded.Samples}
}
