package emulator

import (
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
)

// Experiment describes a set of simulations: the platform, its load, scheduled faults, and the
// settings to compare. Each variant runs with each seed.
type Experiment struct {
	Name           string   `toml:"name"`
	RunS           float64  `toml:"run_s"`    // period in which jobs arrive
	WarmupS        float64  `toml:"warmup_s"` // team results exclude jobs that arrive during it
	QuietS         float64  `toml:"quiet_s"`  // time for jobs to end after run_s; 0: as long as run_s
	Seeds          []uint64 `toml:"seeds"`
	Members        int      `toml:"members"`
	Machines       int      `toml:"machines"` // capacity of each instance offering
	Loss           float64  `toml:"loss"`     // share of messages that are lost
	TimelinePoints int      `toml:"moments"`  // points of the timeline; 0: 60
	// Interval between checks of placements and limits; 0: they are checked at each task start.
	SweepIntervalS float64     `toml:"check_s"`
	Platform       Platform    `toml:"platform"`
	Types          []Type      `toml:"type"`
	Teams          []Team      `toml:"team"`
	Classes        []Class     `toml:"class"`
	Faults         []FaultSpec `toml:"fault"`
	Rollouts       []Rollout   `toml:"rollout"`

	// Disruption budgets of teams during rollouts; "*" applies to all other teams.
	Disruption map[string]disruption.Budget `toml:"disruption"`
	Variants   []Variant                    `toml:"variant"`
}

// Platform holds the timing of workers and instances, and the limits of the state service.
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
	// Relative spread of the speeds of machines of a type, and of image fetch times around their
	// nominal value. Without fetch_spread a fetch takes about a second.
	SpeedSpread     float64 `toml:"speed_spread"`
	FetchSpread     float64 `toml:"fetch_spread"`
	SpotLossPerHour float64 `toml:"spot_loss_per_hour"` // reclaims per hour per hundred spot machines
	NoticeS         float64 `toml:"notice_s"`
	GangWaitS       float64 `toml:"gang_wait_s"`
	// Objective for the time until tasks within a team's guarantee start; 0: none.
	GuaranteeS float64 `toml:"guarantee_s"`
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
	Name      string  `toml:"name"`
	Team      string  `toml:"team"`
	Priority  string  `toml:"priority"`
	PerMinute float64 `toml:"per_minute"`
	Tasks     []int   `toml:"tasks"` // smallest and largest number
	CPUs      float64 `toml:"cpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	Image     string  `toml:"image"`
	ImageGB   float64 `toml:"image_gb"`
	Spot      bool    `toml:"spot"`
	RunS      float64 `toml:"run_s"` // median run time of a task
	// Standard deviation of the logarithm of a task's run time relative to its job's.
	Spread float64 `toml:"spread"`
	// Standard deviation of the logarithm of the user's estimate relative to the run time.
	EstimateError       float64 `toml:"error"`
	DeadlineS           float64 `toml:"deadline_s"` // 0: none
	CheckpointS         float64 `toml:"checkpoint_s"`
	CheckpointDurationS float64 `toml:"save_s"`
	WaitWithinS         float64 `toml:"wait_within_s"` // objective for the first start; 0: none
	Gang                bool    `toml:"gang"`          // all tasks run together or not at all
	Once                bool    `toml:"once"`          // a task starts at most once
}

// FaultSpec is a fault and the time at which it is injected.
type FaultSpec struct {
	AtS       float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"`
	Kind      string  `toml:"kind"`
	Member    string  `toml:"member"` // such as "m0"; empty: all members
	Count     int     `toml:"count"`  // number of machines
	Class     string  `toml:"class"`
	Factor    float64 `toml:"factor"`
	IntervalS float64 `toml:"every_s"`
	Zone      string  `toml:"zone"` // zone whose machines are partitioned from all other endpoints
	// For a partition: name prefix of the endpoints on the other side, or "all".
	OtherSide string `toml:"between"`
}

// Rollout is a rollout plan and the time at which operators apply it, in variants that name it.
type Rollout struct {
	AtS  float64      `toml:"at_s"`
	Plan rollout.Plan `toml:"plan"`
}

// Variant is a set of settings.
type Variant struct {
	Name      string  `toml:"name"`
	Functions int     `toml:"functions"`
	Samples   int     `toml:"samples"`
	LateShare float64 `toml:"late_share"`
	SummaryS  float64 `toml:"summary_s"`
	IdleBoots float64 `toml:"idle_boots"`
	// Lease TTL relative to the default; 0: the default.
	LeaseTTLRatio float64 `toml:"hold_life_times"`
	// Disables reclaiming capacity for another team's guarantee.
	NoQuota bool   `toml:"no_quota"`
	Rollout string `toml:"rollout"` // ID of the plan to apply; empty: none
	// Without lists the fault kinds that are not injected in this variant, to compare runs with
	// and without them.
	Without []string `toml:"without"`
}
