package emulator

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/strict"
)

// Experiment is a file that says what to play: a platform, its load, what fails
// when, and the settings that are compared. Each variant is played with each
// seed.
type Experiment struct {
	Name           string      `toml:"name"`
	RunS           float64     `toml:"run_s"`    // jobs arrive for so long
	WarmupS        float64     `toml:"warmup_s"` // what teams get is counted of jobs that come later
	QuietS         float64     `toml:"quiet_s"`  // and then have so long to end; 0: as long again
	Seeds          []uint64    `toml:"seeds"`
	Members        int         `toml:"members"`
	Machines       int         `toml:"machines"` // of a type, zone and kind that can be rented
	Loss           float64     `toml:"loss"`     // share of messages that are lost
	TimelinePoints int         `toml:"moments"`  // of the timeline; 0: 60
	SweepIntervalS float64     `toml:"check_s"`  // places and limits are checked so often; 0: at each start
	Platform       Platform    `toml:"platform"`
	Types          []Type      `toml:"type"`
	Teams          []Team      `toml:"team"`
	Classes        []Class     `toml:"class"`
	Faults         []FaultSpec `toml:"fault"`
	Rollouts       []Rollout   `toml:"rollout"`

	// What teams may lose at a time to rollouts; "*" stands for all others.
	Disruption map[string]disruption.Budget `toml:"disruption"`
	Variants   []Variant                    `toml:"variant"`
}

// Platform holds the intervals of workers and the state service's rates.
type Platform struct {
	HeartbeatS    float64 `toml:"report_s"`
	LeaseS        float64 `toml:"lease_s"`
	CancelS       float64 `toml:"cancel_s"`
	ListLagS      float64 `toml:"list_lag_s"`
	ValueKB       float64 `toml:"value_kb"`
	TxnOps        int     `toml:"txn_ops"`
	StoreRPS      float64 `toml:"rps"`
	StoreWriteRPS float64 `toml:"write_rps"`
	CPUShare      float64 `toml:"cpu_share"`
	// How far machines of a type differ in speed, and fetches from their nominal
	// time; without the latter a fetch takes about a second.
	SpeedSpread     float64 `toml:"speed_spread"`
	FetchSpread     float64 `toml:"fetch_spread"`
	SpotLossPerHour float64 `toml:"spot_loss_per_hour"` // of a hundred spot machines
	NoticeS         float64 `toml:"notice_s"`
	GangWaitS       float64 `toml:"gang_wait_s"`
	GuaranteeS      float64 `toml:"guarantee_s"` // work within a guarantee starts this soon; 0: no such aim
}

// Type is a machine type.
type Type struct {
	Name      string   `toml:"name"`
	CPUs      float64  `toml:"cpus"`
	MemoryGB  float64  `toml:"memory_gb"`
	CacheGB   float64  `toml:"cache_gb"`
	FetchGBps float64  `toml:"fetch_gb_per_s"`
	Price     float64  `toml:"price"`
	SpotPrice float64  `toml:"spot_price"`
	BootS     float64  `toml:"boot_s"`
	Zones     []string `toml:"zones"`
}

// Team is a team's guarantee and limit, in processors; 0: none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
}

// Class is a class of jobs: its arrivals, sizes and estimates.
type Class struct {
	Name                string  `toml:"name"`
	Team                string  `toml:"team"`
	Priority            string  `toml:"priority"`
	PerMinute           float64 `toml:"per_minute"`
	Tasks               []int   `toml:"tasks"` // smallest and largest
	CPUs                float64 `toml:"cpus"`
	MemoryGB            float64 `toml:"memory_gb"`
	Image               string  `toml:"image"`
	ImageGB             float64 `toml:"image_gb"`
	Spot                bool    `toml:"spot"`
	RunS                float64 `toml:"run_s"`      // of a task, in the middle
	Spread              float64 `toml:"spread"`     // of tasks' logarithms of run times around a job's
	EstimateError       float64 `toml:"error"`      // of the owner's estimate: the logarithm's deviation
	DeadlineS           float64 `toml:"deadline_s"` // 0: none
	CheckpointS         float64 `toml:"checkpoint_s"`
	CheckpointDurationS float64 `toml:"save_s"`
	WaitWithinS         float64 `toml:"wait_within_s"` // an aim for starts; 0: none
	Gang                bool    `toml:"gang"`          // tasks run only all together
	Once                bool    `toml:"once"`          // tasks begin once
}

// FaultSpec is something that fails at a time.
type FaultSpec struct {
	AtS       float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"`
	Kind      string  `toml:"kind"`
	Member    string  `toml:"member"` // "m0"; empty: all
	Count     int     `toml:"count"`  // of machines
	Class     string  `toml:"class"`
	Factor    float64 `toml:"factor"`
	IntervalS float64 `toml:"every_s"`
	Zone      string  `toml:"zone"`    // zone: its machines are cut off from everything
	OtherSide string  `toml:"between"` // cut: the other side, an endpoint's prefix or "all"
}

// Rollout is a plan that operators apply at a time, in the variants that name it.
type Rollout struct {
	AtS  float64      `toml:"at_s"`
	Plan rollout.Plan `toml:"plan"`
}

// Variant is a set of settings.
type Variant struct {
	Name          string  `toml:"name"`
	Functions     int     `toml:"functions"`
	Samples       int     `toml:"samples"`
	LateShare     float64 `toml:"late_share"`
	SummaryS      float64 `toml:"summary_s"`
	IdleBoots     float64 `toml:"idle_boots"`
	LeaseTTLRatio float64 `toml:"hold_life_times"` // life of holds against the usual; 0: the usual
	NoQuota       bool    `toml:"no_quota"`        // nothing is stopped for another team's guarantee
	Rollout       string  `toml:"rollout"`         // the plan that is applied; empty: none
	// Without names kinds of faults that this variant is spared: a twin.
	Without []string `toml:"without"`
}

// faultKinds are the faults, with what each needs.
var faultKinds = map[string]func(*FaultSpec) string{
	"crash":  func(spec *FaultSpec) string { return "" },
	"roll":   func(spec *FaultSpec) string { return requireParameters(spec.IntervalS > 0, "every_s") },
	"outage": func(spec *FaultSpec) string { return requireParameters(spec.DurationS > 0, "for_s") },
	"cut": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.OtherSide != "", "for_s and between")
	},
	"hang": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Count > 0, "for_s and count")
	},
	"zone": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Zone != "", "for_s and zone")
	},
	"replace": func(spec *FaultSpec) string { return requireParameters(spec.Count > 0, "count") },
	"die":     func(spec *FaultSpec) string { return requireParameters(spec.Count > 0, "count") },
	"lag": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Factor > 0, "for_s and factor, ms")
	},
	"burst": func(spec *FaultSpec) string {
		return requireParameters(spec.DurationS > 0 && spec.Factor > 0 && spec.Class != "", "for_s, factor and class")
	},
}

func requireParameters(ok bool, names string) string {
	if ok {
		return ""
	}
	return "needs " + names
}

// ParseExperiment reads and checks an experiment. Its error names line and field
// of what is no TOML or no field, and the fault of what contradicts itself.
func ParseExperiment(b []byte) (*Experiment, error) {
	experiment := &Experiment{}
	if err := strict.Decode(b, experiment); err != nil {
		return nil, err
	}
	var problems []error
	fail := func(format string, a ...any) { problems = append(problems, fmt.Errorf(format, a...)) }
	positive := func(name string, v float64) {
		if !(v > 0) {
			fail("%s must be above 0", name)
		}
	}
	positive("run_s", experiment.RunS)
	positive("members", float64(experiment.Members))
	positive("machines", float64(experiment.Machines))
	platform := experiment.Platform
	for _, spec := range []struct {
		name string
		v    float64
	}{{"report_s", platform.HeartbeatS}, {"lease_s", platform.LeaseS}, {"value_kb", platform.ValueKB}, {"txn_ops", float64(platform.TxnOps)}, {"rps", platform.StoreRPS}, {"write_rps", platform.StoreWriteRPS}} {
		positive("platform."+spec.name, spec.v)
	}
	if minCancelS := float64(access.MinCancelMS(int64(platform.LeaseS*1000))) / 1000; !(platform.CancelS >= minCancelS) {
		fail("platform.cancel_s must be above lease_s: %g or more", minCancelS)
	}
	if len(experiment.Seeds) == 0 {
		fail("seeds is empty")
	}
	if len(experiment.Types) == 0 || len(experiment.Classes) == 0 || len(experiment.Teams) == 0 {
		fail("a type, a team and a class are needed")
	}
	classes, teams := map[string]bool{}, map[string]bool{}
	for _, t := range experiment.Teams {
		teams[t.Name] = true
	}
	for i, c := range experiment.Classes {
		position := fmt.Sprintf("line %d: class %d (%s)", lineOf(b, "[[class]]", i), i+1, c.Name)
		classes[c.Name] = true
		if !teams[c.Team] {
			fail("%s: team %q is none of the teams", position, c.Team)
		}
		if _, ok := priorities[c.Priority]; !ok {
			fail("%s: priority %q is none of low, standard, high, production", position, c.Priority)
		}
		if len(c.Tasks) != 2 || c.Tasks[0] < 1 || c.Tasks[1] < c.Tasks[0] {
			fail("%s: tasks must be the smallest and the largest number", position)
		}
		positive(position+": per_minute", c.PerMinute)
		positive(position+": run_s", c.RunS)
		positive(position+": cpus", c.CPUs)
	}
	type span struct {
		from, to float64
		i        int
	}
	spans := map[string][]span{}
	for i := range experiment.Faults {
		spec := &experiment.Faults[i]
		position := fmt.Sprintf("line %d: fault %d (%s at %g s)", lineOf(b, "[[fault]]", i), i+1, spec.Kind, spec.AtS)
		validate, ok := faultKinds[spec.Kind]
		if !ok {
			fail("%s: unknown kind", position)
			continue
		}
		if reason := validate(spec); reason != "" {
			fail("%s: %s", position, reason)
		}
		if spec.Class != "" && !classes[spec.Class] {
			fail("%s: class %q is none of the classes", position, spec.Class)
		}
		if spec.Member != "" && !slices.Contains(experiment.memberNames(), spec.Member) {
			fail("%s: member %q is none of %v", position, spec.Member, experiment.memberNames())
		}
		if spec.AtS < 0 || spec.AtS > experiment.RunS {
			fail("%s: at_s is not within run_s", position)
		}
		// Two of the same kind on the same thing cannot overlap: what would
		// end first?
		key := spec.Kind + "|" + spec.Member + "|" + spec.Class + "|" + spec.OtherSide
		for _, other := range spans[key] {
			if spec.DurationS > 0 && spec.AtS < other.to && other.from < spec.AtS+spec.DurationS {
				fail("%s: overlaps fault %d of the same kind on the same", position, other.i+1)
			}
		}
		spans[key] = append(spans[key], span{spec.AtS, spec.AtS + spec.DurationS, i})
	}
	for i := range experiment.Rollouts {
		if err := experiment.Rollouts[i].Plan.Validate(); err != nil {
			fail("line %d: rollout %d: %w", lineOf(b, "[[rollout]]", i), i+1, err)
		}
	}
	names := map[string]bool{}
	if len(experiment.Variants) == 0 {
		experiment.Variants = []Variant{{Name: "default"}}
	}
	for _, v := range experiment.Variants {
		if v.Name == "" || names[v.Name] {
			fail("variant %q: each needs a name of its own", v.Name)
		}
		names[v.Name] = true
		for _, kind := range v.Without {
			if _, ok := faultKinds[kind]; !ok || kind == "burst" {
				fail(
					"variant %s: without names %q, which is no kind of fault that a variant can be spared (bursts change the jobs)",
					v.Name,
					kind,
				)
			}
		}
		if v.Rollout != "" &&
			!slices.ContainsFunc(experiment.Rollouts, func(r Rollout) bool { return r.Plan.ID == v.Rollout }) {
			fail("variant %s: rollout %q is none of the plans", v.Name, v.Rollout)
		}
		if err := v.settings().Validate(); err != nil {
			fail("variant %s: %w", v.Name, err)
		}
	}
	return experiment, errors.Join(problems...)
}

// lineOf is the line of the nth header, from 0, of a list of tables.
func lineOf(b []byte, header string, n int) int {
	for i, line := range bytes.Split(b, []byte("\n")) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(header)) {
			if n == 0 {
				return i + 1
			}
			n--
		}
	}
	return 0
}

var priorities = map[string]scheduler.Priority{
	"low":        scheduler.Low,
	"standard":   scheduler.Normal,
	"high":       scheduler.High,
	"production": scheduler.Production,
}

func (experiment *Experiment) memberNames() []string {
	var names []string
	for i := range experiment.Members {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (variant Variant) settings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	for _, override := range []struct {
		to   *float64
		from float64
	}{{&settings.LateShare, variant.LateShare}, {&settings.SummaryS, variant.SummaryS}, {&settings.IdleBoots, variant.IdleBoots}} {
		if override.from != 0 {
			*override.to = override.from
		}
	}
	settings.Functions, settings.Samples = cmp.Or(
		variant.Functions,
		settings.Functions,
	), cmp.Or(
		variant.Samples,
		settings.Samples,
	)
	return settings
}

// Result is what came of one run.
type Result struct {
	Experiment            string           `json:"experiment"`
	Variant               string           `json:"variant"`
	VariantIndex          int              `json:"order"` // of the variant in the experiment
	Seed                  uint64           `json:"seed"`
	Classes               []ClassResult    `json:"classes"`
	SubmitMS              Quantiles        `json:"submit_ms"` // from the first try to the acceptance
	InconclusiveResponses int              `json:"refused"`   // answers that settle nothing
	Machines              int              `json:"machines"`
	PriceRatio            float64          `json:"price"` // money against that of the useful work at the lowest price
	UsefulShare           float64          `json:"useful"`
	Requests              int              `json:"requests"` // of the state service
	Changes               int              `json:"changes"`
	Relayed               int              `json:"relayed"`
	Teams                 []TeamResult     `json:"teams"`
	TaskStarts            int              `json:"started"` // tasks
	RepeatedStarts        int              `json:"again"`   // starts of tasks that had started before
	CommandCounts         map[string][]int `json:"orders"`  // by kind, for each second
	Rollout               *RolloutResult   `json:"rollout,omitempty"`
	Timeline              []TimelinePoint  `json:"timeline"`
	Faults                []RecordedFault  `json:"faults,omitempty"`
	RuleViolations        []string         `json:"broken,omitempty"`   // rules
	OrderViolations       []string         `json:"disorder,omitempty"` // what no order of events explains
}

// WorstSecond is the most starts, stops and clears of one second.
func (result *Result) WorstSecond() (worst int) {
	var perSecond []int
	for _, kind := range []scheduler.CommandKind{scheduler.CommandStart, scheduler.CommandStop, scheduler.CommandForget} {
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

// TimelinePoint is how the world stood at a time.
type TimelinePoint struct {
	AtS          float64 `json:"at_s"`
	Machines     int     `json:"machines"` // up
	RunningTasks int     `json:"running"`  // tasks
	CPUs         float64 `json:"cpus"`     // in use
	Jobs         int     `json:"jobs"`     // accepted and not done
}

// RecordedFault is a fault that happened.
type RecordedFault struct {
	AtS       float64 `json:"at_s"`
	DurationS float64 `json:"for_s,omitempty"`
	Kind      string  `json:"kind"`
}

// defaultTimelinePoints is how many there are in a run.
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

// ClassResult is a class in a Result. Times are seconds.
type ClassResult struct {
	Class           string    `json:"class"`
	Jobs            int       `json:"jobs"`
	Done            int       `json:"done"`
	InTimeShare     float64   `json:"in_time"` // share of those with a deadline that were done by it
	WaitWithinShare float64   `json:"within"`  // share that started within the class's aim
	WaitS           Quantiles `json:"wait_s"`  // until the first task starts
	DoneS           Quantiles `json:"done_s"`
}

// TeamResult is a team in a Result.
type TeamResult struct {
	Team            string  `json:"team"`
	Jobs            int     `json:"jobs"`
	Done            int     `json:"done"`
	WaitWithinShare float64 `json:"within"` // share that started within its class's aim
	// Of the tasks of jobs that came within the team's guarantee: those that started as
	// soon as the platform promises and were not stopped within half a minute, and how
	// long their first starts took.
	Guaranteed      int       `json:"guaranteed"`
	PromptShare     float64   `json:"prompt"`
	PromptWaitS     Quantiles `json:"prompt_wait_s"`
	LimitUsedShare  float64   `json:"limit_used"`        // mean share of the limit in use while more than it is asked for
	LimitContendedS int       `json:"limit_used_s"`      // seconds in which that was so
	BelowGuaranteeS int       `json:"below_guarantee_s"` // seconds below its guarantee while work within it waited for longer than promised
}

// RolloutResult is a plan in a Result.
type RolloutResult struct {
	Plan         string         `json:"plan"`
	State        rollout.State  `json:"state"`
	Reason       string         `json:"why,omitempty"`
	Total        int            `json:"total"`
	DurationS    float64        `json:"took_s"`  // until it was done
	StoppedTasks int            `json:"stopped"` // tasks
	MaxDown      map[string]int `json:"down"`    // by team: most that were stopped and did not run again yet, by the machines' count
}

// applyRollout has a plan applied, and tells how it stands.
func (sim *Simulation) applyRollout(plan Rollout, result *RolloutResult) {
	counter := sim.CountStops(func(*platformfake.Task, int) {})
	result.MaxDown = counter.MaxDown
	var appliedAt int64
	var sample func()
	sample = func() {
		for _, m := range sim.Members {
			if m.Core == nil || result.State == rollout.Done {
				continue
			}
			if status := m.Core.Rollout(m.Clock()); status != nil {
				result.State, result.Reason, result.Total, result.StoppedTasks, result.DurationS = status.State, status.Reason, status.TotalMachines, counter.Total, float64(
					sim.Now-appliedAt,
				)/1000
				break
			}
		}
		sim.After(1000, sample)
	}
	sim.After(int64(plan.AtS*1000), func() {
		sim.SendOperatorRequest(func(m *scheduler.Controller, now scheduler.Now, replyID uint64) {
			m.ApplyRollout(now, replyID, plan.Plan)
		}, func(scheduler.UserResponse) {
			appliedAt = sim.Now
			sample()
		})
	})
}

// Quantiles is some quantiles.
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

// Run plays one variant with one seed.
func (experiment *Experiment) Run(variant Variant, seed uint64) Result {
	sim := experiment.newSimulation(variant, seed)
	quietS := experiment.QuietS
	if quietS == 0 {
		quietS = experiment.RunS
	}
	for i := range experiment.Classes {
		experiment.scheduleArrivals(sim, &experiment.Classes[i], seed)
	}
	if experiment.Platform.GuaranteeS > 0 {
		sim.After(1000+int64(experiment.WarmupS*1000), sim.sampleLimits)
	}
	for _, fault := range experiment.Faults {
		if !slices.Contains(variant.Without, fault.Kind) {
			sim.After(int64(fault.AtS*1000), func() { experiment.injectFault(sim, fault) })
		}
	}
	settings := variant.settings()
	settings.Disruption = experiment.Disruption
	sim.After(1000, func() { sim.Members[0].Core.ChangeSettings(sim.Members[0].Clock(), 1<<50, settings) })
	var rolloutResult *RolloutResult
	for _, plan := range experiment.Rollouts {
		if plan.Plan.ID == variant.Rollout {
			rolloutResult = &RolloutResult{Plan: plan.Plan.ID}
			sim.applyRollout(plan, rolloutResult)
		}
	}
	var timeline []TimelinePoint
	sim.sampleTimeline(
		int64((experiment.RunS+quietS)*1000)/int64(cmp.Or(experiment.TimelinePoints, defaultTimelinePoints)),
		&timeline,
	)
	sim.Run(
		int64((experiment.RunS+quietS)*1000),
		func() bool { return sim.Now > int64(experiment.RunS*1000)+5000 && sim.IsFinished() },
	)
	result := experiment.collectResult(sim, variant, seed)
	result.VariantIndex = slices.IndexFunc(
		experiment.Variants,
		func(other Variant) bool { return other.Name == variant.Name },
	)
	result.Timeline, result.Rollout = timeline, rolloutResult
	for _, fault := range experiment.Faults {
		if slices.Contains(variant.Without, fault.Kind) {
			continue
		}
		result.Faults = append(result.Faults, RecordedFault{fault.AtS, fault.DurationS, fault.Kind})
	}
	return result
}

func (experiment *Experiment) newSimulation(variant Variant, seed uint64) *Simulation {
	platform := experiment.Platform
	cfg := scheduler.Params{
		Teams:            map[string]scheduler.Team{},
		Objectives:       map[string][]scheduler.Objective{},
		HeartbeatS:       platform.HeartbeatS,
		LeaseS:           platform.LeaseS,
		CancelWithinS:    platform.CancelS,
		CloudListLagS:    platform.ListLagS,
		MaxValueBytes:    int(platform.ValueKB * 1024),
		MaxTxnOps:        platform.TxnOps,
		CPUShare:         platform.CPUShare,
		GuaranteeWithinS: platform.GuaranteeS,
		MaxPendingRelays: 16,
		Recovery:         true,
		Rollout:          true,
		Quota:            !variant.NoQuota,
		StoreChangeRate:  platform.StoreWriteRPS / float64(experiment.Members),
		LeaseTTLRatio:    variant.LeaseTTLRatio,
	}
	for _, spec := range experiment.Teams {
		cfg.Teams[spec.Name] = scheduler.Team{CPUs: spec.CPUs, MaxCPUs: spec.MaxCPUs}
	}
	classes := map[string]*Class{}
	for i := range experiment.Classes {
		class := &experiment.Classes[i]
		classes[class.Name] = class
		if class.DeadlineS > 0 {
			cfg.Objectives[class.Name] = append(
				cfg.Objectives[class.Name],
				scheduler.Objective{Kind: "deadline", DeadlineFactor: 1},
			)
		}
		if class.WaitWithinS > 0 {
			cfg.Objectives[class.Name] = append(
				cfg.Objectives[class.Name],
				scheduler.Objective{Kind: "wait", WithinS: class.WaitWithinS},
			)
		}
	}
	var types []scheduler.MachineType
	for _, spec := range experiment.Types {
		types = append(
			types,
			scheduler.MachineType{
				Name:           spec.Name,
				Resources:      availability.Resources{CPUs: spec.CPUs, MemoryGB: spec.MemoryGB, DiskGB: spec.CacheGB},
				ImageFetchGBps: spec.FetchGBps,
				Price:          spec.Price,
				SpotPrice:      spec.SpotPrice,
				BootS:          spec.BootS,
				Zones:          spec.Zones,
			},
		)
	}
	sim := New(
		Options{
			Seed:                seed,
			Members:             experiment.Members,
			Types:               types,
			CapacityPerOffering: experiment.Machines,
			Params:              cfg,
			MessageLoss:         experiment.Loss,
			SpeedSpread:         platform.SpeedSpread,
			FetchSpread:         platform.FetchSpread,
			SpotLossPerHour:     platform.SpotLossPerHour,
			NoticeS:             platform.NoticeS,
			GangWaitMS:          int64(platform.GangWaitS * 1000),
			TaskRunMS: func(_ *Simulation, j *Job, task string) int64 {
				h := fnv.New64a()
				h.Write([]byte(task))
				r := rand.New(rand.NewPCG(seed, h.Sum64()))
				return max(1, int64(1000*j.TaskRunS*math.Exp(classes[j.Spec.Class].Spread*r.NormFloat64())))
			},
		},
	)
	sim.StoreRPS, sim.StoreWriteRPS, sim.Store.PageSize, sim.SweepIntervalMS = platform.StoreRPS, platform.StoreWriteRPS, 500, int64(
		experiment.SweepIntervalS*1000,
	)
	return sim
}

// scheduleArrivals has a class's jobs come, without memory, more often while a burst lasts.
// All variants get the same jobs with a seed, and tasks as long: what comes has a
// random source of its own, so that pairs of runs differ by their settings alone.
func (experiment *Experiment) scheduleArrivals(sim *Simulation, class *Class, seed uint64) {
	classNumber := 1 + slices.IndexFunc(experiment.Classes, func(other Class) bool { return other.Name == class.Name })
	rng := rand.New(rand.NewPCG(seed, uint64(classNumber)))
	n := 0
	var next func()
	next = func() {
		rate := class.PerMinute / 60_000
		for _, fault := range experiment.Faults {
			if nowS := float64(sim.Now) / 1000; fault.Kind == "burst" && fault.Class == class.Name && nowS >= fault.AtS &&
				nowS < fault.AtS+fault.DurationS {
				rate *= fault.Factor
			}
		}
		sim.After(max(1, int64(rng.ExpFloat64()/rate)), func() {
			if sim.Now > int64(experiment.RunS*1000) {
				return
			}
			n++
			runS := class.RunS * math.Exp(0.3*rng.NormFloat64())
			j := NewJob(
				scheduler.Job{
					ID:                  fmt.Sprintf("job-%d%05d", classNumber, n),
					Class:               class.Name,
					Team:                class.Team,
					Kind:                scheduler.Array,
					Priority:            priorities[class.Priority],
					Tasks:               class.Tasks[0] + rng.IntN(class.Tasks[1]-class.Tasks[0]+1),
					Request:             availability.Resources{CPUs: class.CPUs, MemoryGB: class.MemoryGB, DiskGB: class.ImageGB},
					Image:               class.Image,
					Spot:                class.Spot,
					EstimateS:           runS * math.Exp(class.EstimateError*rng.NormFloat64()),
					DeadlineS:           class.DeadlineS,
					CheckpointIntervalS: class.CheckpointS,
					CheckpointDurationS: class.CheckpointDurationS,
				},
			)
			j.Spec.AtMostOnce = class.Once
			if class.Gang {
				j.Spec.Kind = scheduler.Gang
			}
			j.TaskRunS = runS
			sim.Submit(j)
			next()
		})
	}
	sim.After(3000, next)
}

// restartDelayMS is how long a member that crashed stays away.
const restartDelayMS = 3000

// injectFault makes a fault happen.
func (experiment *Experiment) injectFault(sim *Simulation, fault FaultSpec) {
	durationMS := int64(fault.DurationS * 1000)
	var members []*Member
	for _, m := range sim.Members {
		if fault.Member == "" || m.Name == fault.Member {
			members = append(members, m)
		}
	}
	forSomeWorkers := func(action func(*Worker)) {
		for _, worker := range sim.PickLiveWorkers(fault.Count) {
			action(worker)
		}
	}
	sim.Tracef("fault: %s", fault.Kind)
	switch fault.Kind {
	case "crash":
		for _, m := range members {
			m.Crash(max(restartDelayMS, durationMS))
		}
	case "roll":
		for i, m := range members {
			sim.After(int64(float64(i)*fault.IntervalS*1000), func() { m.Crash(restartDelayMS) })
		}
	case "outage":
		target := fault.Member
		if target == "" {
			target = "all"
		}
		sim.StartOutage(target, durationMS)
	case "cut":
		sideA := fault.Member
		if sideA == "" {
			sideA = "m"
		}
		sideB := fault.OtherSide
		if sideB == "all" {
			sideB = "" // a prefix of every name
		}
		sim.Partitions = append(sim.Partitions, Partition{A: sideA, B: sideB, Until: sim.Now + durationMS})
	case "zone":
		sim.PartitionZone(fault.Zone, durationMS)
	case "hang":
		forSomeWorkers(func(worker *Worker) { worker.HangUntil = sim.Now + durationMS })
	case "replace":
		var workers []*Worker
		forSomeWorkers(func(worker *Worker) { workers = append(workers, worker) })
		sim.ReplaceWorkers(workers)
	case "die":
		forSomeWorkers(func(worker *Worker) { sim.Cloud.Reclaim(worker.Instance.ID) })
	case "lag":
		for _, m := range members {
			sim.Lags[m.Name] = Lag{Until: sim.Now + durationMS, MaxDelayMS: int64(fault.Factor)}
		}
	}
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
	for rule, violation := range sim.Violations {
		result.RuleViolations = append(result.RuleViolations, rule+" "+violation)
	}
	slices.Sort(result.RuleViolations)
	if violations, err := history.Validate(sim.History, nil); err != nil {
		result.OrderViolations = append(result.OrderViolations, err.Error())
	} else {
		for _, violation := range violations {
			result.OrderViolations = append(result.OrderViolations, violation.String())
		}
	}
	var submitMS []float64
	for _, op := range sim.History {
		if op.Status == 0 {
			result.InconclusiveResponses++
		}
	}
	for _, class := range experiment.Classes {
		classResult := ClassResult{Class: class.Name}
		var waitsS, doneS []float64
		inTime, startedInTime := 0, 0
		for _, id := range sim.JobIDs {
			j := sim.Jobs[id]
			if j.Spec.Class != class.Name {
				continue
			}
			classResult.Jobs++
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
				classResult.Done++
				tookS := float64(j.DoneAt-j.SubmittedAt) / 1000
				doneS = append(doneS, tookS)
				if tookS <= class.DeadlineS {
					inTime++
				}
			}
		}
		classResult.InTimeShare, classResult.WaitWithinShare = float64(
			inTime,
		)/float64(
			max(1, classResult.Jobs),
		), float64(
			startedInTime,
		)/float64(
			max(1, classResult.Jobs),
		)
		classResult.WaitS, classResult.DoneS = quantiles(waitsS), quantiles(doneS)
		result.Classes = append(result.Classes, classResult)
	}
	for _, team := range experiment.Teams {
		teamResult := TeamResult{Team: team.Name}
		startedInTime := 0
		for _, id := range sim.JobIDs {
			j := sim.Jobs[id]
			if j.Spec.Team != team.Name {
				continue
			}
			teamResult.Jobs++
			if j.DoneAt > 0 {
				teamResult.Done++
			}
			for _, class := range experiment.Classes {
				if class.Name == j.Spec.Class && j.FirstStartAt > 0 &&
					(class.WaitWithinS == 0 || float64(j.FirstStartAt-j.SubmittedAt) <= class.WaitWithinS*1000) {
					startedInTime++
				}
			}
		}
		teamResult.WaitWithinShare = float64(startedInTime) / float64(max(1, teamResult.Jobs))
		sim.countPromptStarts(&teamResult, experiment.Platform.GuaranteeS, int64(experiment.WarmupS*1000))
		result.Teams = append(result.Teams, teamResult)
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
