package emulator

import (
	"math"
	"slices"

	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// Result is the outcome of one run: one variant with one seed.
type Result struct {
	Experiment   string        `json:"experiment"`
	Variant      string        `json:"variant"`
	VariantIndex int           `json:"order"` // index of the variant in the experiment
	Seed         uint64        `json:"seed"`
	Classes      []ClassResult `json:"classes"`
	// Time from the first submission of a job to its acceptance.
	SubmitMS              Quantiles `json:"submit_ms"`
	InconclusiveResponses int       `json:"refused"` // requests with status 503 or no response
	Machines              int       `json:"machines"`
	// Cost relative to the cost of the useful work at the lowest price per processor.
	PriceRatio  float64      `json:"price"`
	UsefulShare float64      `json:"useful"`
	Requests    int          `json:"requests"` // to the state service
	Changes     int          `json:"changes"`
	Relayed     int          `json:"relayed"`
	Teams       []TeamResult `json:"teams"`
	TaskStarts  int          `json:"started"` // task starts
	// Starts of tasks that had started before.
	RepeatedStarts int              `json:"again"`
	CommandCounts  map[string][]int `json:"orders"` // per second, by kind
	Rollout        *RolloutResult   `json:"rollout,omitempty"`
	Timeline       []TimelinePoint  `json:"timeline"`
	Faults         []RecordedFault  `json:"faults,omitempty"`
	RuleViolations []string         `json:"broken,omitempty"` // violated rules
	// Responses that are not linearizable.
	OrderViolations []string `json:"disorder,omitempty"`
}

// WorstSecond returns the largest number of start, stop and clear commands within one second.
func (result *Result) WorstSecond() (worst int) {
	var perSecond []int
	for _, kind := range []scheduler.CommandKind{
		scheduler.CommandStart, scheduler.CommandStop, scheduler.CommandClear,
	} {
		for i, n := range result.CommandCounts[string(kind)] {
			if i == len(perSecond) {
				perSecond = append(perSecond, 0)
			}
			perSecond[i] += n
		}
	}
	for _, n := range perSecond {
		worst = max(worst, n)
	}
	return worst
}

// TimelinePoint is the state of the simulated platform at one point in time.
type TimelinePoint struct {
	AtS          float64 `json:"at_s"`
	Machines     int     `json:"machines"` // running machines
	RunningTasks int     `json:"running"`
	CPUs         float64 `json:"cpus"` // processors in use
	Jobs         int     `json:"jobs"` // accepted jobs that are not done
}

// RecordedFault is a fault that was injected.
type RecordedFault struct {
	AtS       float64 `json:"at_s"`
	DurationS float64 `json:"for_s,omitempty"`
	Kind      string  `json:"kind"`
}

// defaultTimelinePoints is the number of timeline points of a run that sets none.
const defaultTimelinePoints = 60

func (sim *Simulation) sampleTimeline(intervalMS int64, timeline *[]TimelinePoint) {
	point := TimelinePoint{AtS: float64(sim.Now) / 1000}
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; worker.Up && !worker.Gone {
			point.Machines++
			worker.Agent.ForEachOnMachine(func(t *platformfake.Task) {
				point.RunningTasks++
				point.CPUs += t.Job.Request.CPUs
			})
		}
	}
	for _, id := range sim.JobIDs {
		if j := sim.Jobs[id]; j.Accepted && j.DoneAt == 0 && j.CancelConfirmedAt == 0 {
			point.Jobs++
		}
	}
	*timeline = append(*timeline, point)
	sim.After(intervalMS, func() { sim.sampleTimeline(intervalMS, timeline) })
}

// ClassResult holds the results of one class of jobs. Times are in seconds.
type ClassResult struct {
	Class string `json:"class"`
	Jobs  int    `json:"jobs"`
	Done  int    `json:"done"`
	// Share of jobs that were done by their deadline; 0 without a deadline.
	InTimeShare     float64   `json:"in_time"`
	WaitWithinShare float64   `json:"within"` // share of jobs that started within the class's objective
	WaitS           Quantiles `json:"wait_s"` // from submission to the first task start
	DoneS           Quantiles `json:"done_s"`
}

// TeamResult holds the results of one team.
type TeamResult struct {
	Team            string  `json:"team"`
	Jobs            int     `json:"jobs"`
	Done            int     `json:"done"`
	WaitWithinShare float64 `json:"within"` // share of jobs that started within their class's objective
	// Tasks of jobs submitted within the team's guarantee: their number, the share that started
	// within the platform's objective and was not stopped by command within 30 s, and the time
	// until their first start.
	Guaranteed  int       `json:"guaranteed"`
	PromptShare float64   `json:"prompt"`
	PromptWaitS Quantiles `json:"prompt_wait_s"`
	// Mean share of the limit in use while demand reaches or exceeds it.
	LimitUsedShare  float64 `json:"limit_used"`
	LimitContendedS int     `json:"limit_used_s"` // seconds in which demand reached or exceeded the limit
	// Seconds in which the team was below its guarantee while tasks within it waited for longer
	// than the platform's objective.
	BelowGuaranteeS int `json:"below_guarantee_s"`
}

// RolloutResult holds the results of a rollout plan.
type RolloutResult struct {
	Plan         string        `json:"plan"`
	State        rollout.State `json:"state"`
	Reason       string        `json:"why,omitempty"`
	Total        int           `json:"total"`
	DurationS    float64       `json:"took_s"` // from application to completion or to the last sample
	StoppedTasks int           `json:"stopped"`
	// Largest number of a team's tasks at one time that were stopped and not yet restarted, as
	// observed on the machines, by team.
	MaxDown map[string]int `json:"down"`
}

// Quantiles holds quantiles of a sample, in the unit of the enclosing field.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
}

func quantiles(values []float64) Quantiles {
	slices.Sort(values)
	quantile := func(q float64) float64 {
		if len(values) == 0 {
			return 0
		}
		return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
	}
	return Quantiles{quantile(0.5), quantile(0.9), quantile(0.99)}
}

func (experiment *Experiment) collectResult(sim *Simulation, variant Variant, seed uint64) Result {
	result := Result{
		Experiment:     experiment.Name,
		Variant:        variant.Name,
		Seed:           seed,
		Machines:       len(sim.WorkerIDs),
		Changes:        sim.StoreChanges,
		Relayed:        sim.Relayed,
		RepeatedStarts: sim.RepeatedStarts,
		CommandCounts:  sim.CommandCounts,
	}
	for _, n := range sim.StoreRequests {
		result.Requests += n
	}
	result.addViolations(sim)
	for _, op := range sim.History {
		if op.Status == 0 {
			result.InconclusiveResponses++
		}
	}
	var submitMS []float64
	for i := range experiment.Classes {
		classResult, classSubmitMS := sim.classResult(&experiment.Classes[i])
		result.Classes = append(result.Classes, classResult)
		submitMS = append(submitMS, classSubmitMS...)
	}
	for _, team := range experiment.Teams {
		result.Teams = append(result.Teams, experiment.teamResult(sim, team.Name))
	}
	for _, j := range sim.Jobs {
		for _, n := range j.StartCounts {
			result.TaskStarts += n
		}
	}
	result.SubmitMS = quantiles(submitMS)
	result.UsefulShare, result.PriceRatio = sim.costs()
	return result
}

// addViolations adds the violated rules, and the responses that are not linearizable.
func (result *Result) addViolations(sim *Simulation) {
	for rule, violation := range sim.Violations {
		result.RuleViolations = append(result.RuleViolations, rule+" "+violation)
	}
	slices.Sort(result.RuleViolations)
	violations, err := history.Validate(sim.History, nil)
	if err != nil {
		result.OrderViolations = append(result.OrderViolations, err.Error())
		return
	}
	for _, violation := range violations {
		result.OrderViolations = append(result.OrderViolations, violation.String())
	}
}

// classResult returns the results of a class's jobs, and the time in ms to each one's acceptance.
func (sim *Simulation) classResult(class *Class) (result ClassResult, submitMS []float64) {
	result.Class = class.Name
	var waitsS, doneS []float64
	inTime, startedInTime := 0, 0
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		if j.Spec.Class != class.Name {
			continue
		}
		result.Jobs++
		if j.Accepted {
			submitMS = append(submitMS, float64(j.AcceptedAt-j.SubmittedAt))
		}
		if j.FirstStartAt > 0 {
			waitS := float64(j.FirstStartAt-j.SubmittedAt) / 1000
			waitsS = append(waitsS, waitS)
			if waitS <= class.WaitWithinS {
				startedInTime++
			}
		}
		if j.DoneAt > 0 {
			result.Done++
			tookS := float64(j.DoneAt-j.SubmittedAt) / 1000
			doneS = append(doneS, tookS)
			if tookS <= class.DeadlineS {
				inTime++
			}
		}
	}
	jobs := float64(max(1, result.Jobs))
	result.InTimeShare, result.WaitWithinShare = float64(inTime)/jobs, float64(startedInTime)/jobs
	result.WaitS, result.DoneS = quantiles(waitsS), quantiles(doneS)
	return result, submitMS
}

// teamResult returns the results of a team's jobs.
func (experiment *Experiment) teamResult(sim *Simulation, team string) TeamResult {
	result := TeamResult{Team: team}
	startedInTime := 0
	for _, id := range sim.JobIDs {
		j := sim.Jobs[id]
		if j.Spec.Team != team {
			continue
		}
		result.Jobs++
		if j.DoneAt > 0 {
			result.Done++
		}
		for _, class := range experiment.Classes {
			if class.Name == j.Spec.Class && j.startedWithin(class.WaitWithinS) {
				startedInTime++
			}
		}
	}
	result.WaitWithinShare = float64(startedInTime) / float64(max(1, result.Jobs))
	sim.countPromptStarts(&result, experiment.Platform.GuaranteeS, int64(experiment.WarmupS*1000))
	return result
}

// startedWithin reports whether the job's first task started within the given number of seconds of
// its submission or, for 0 seconds, whether it started at all.
func (j *Job) startedWithin(seconds float64) bool {
	return j.FirstStartAt > 0 && (seconds == 0 || float64(j.FirstStartAt-j.SubmittedAt) <= seconds*1000)
}
