package emulator

import (
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/rollout"
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
