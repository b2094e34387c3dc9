package emulator

import "strings"

// Partition delays messages between two groups of endpoints until it ends. The endpoint of a
// member is its name, that of a machine "w" followed by its ID; the others are "store", "cloud" and
// "users".
type Partition struct {
	A, B          string // prefixes of endpoint names
	Until         int64
	DropsMessages bool // messages are dropped, not delayed
}

// Lag simulates a member with too little processor time: its input, its output and its ticks are
// each delayed by a random time below MaxDelayMS.
type Lag struct{ Until, MaxDelayMS int64 }

// sendMessage delivers a message after a random delay, or drops it. A partition delays it until the
// partition ends, or drops it.
func (sim *Simulation) sendMessage(from, to string, deliver func()) {
	delay := 1 + sim.Rand.Int64N(12)
	if sim.Rand.Float64() < 0.01 {
		delay += sim.Rand.Int64N(600)
	}
	for _, partition := range sim.Partitions {
		if partition.Until > sim.Now &&
			(strings.HasPrefix(from, partition.A) && strings.HasPrefix(to, partition.B) ||
				strings.HasPrefix(to, partition.A) && strings.HasPrefix(from, partition.B)) {
			if partition.DropsMessages {
				return
			}
			delay = max(delay, partition.Until-sim.Now+1+sim.Rand.Int64N(20))
		}
	}
	if sim.Rand.Float64() < sim.MessageLoss {
		return
	}
	if sim.ExtraDelay != nil {
		delay += sim.ExtraDelay(from, to)
	}
	sim.After(delay+sim.lagDelay(from)+sim.lagDelay(to)+sim.pauseDelay(from, to), deliver)
}

func (sim *Simulation) lagDelay(name string) int64 {
	if lag := sim.Lags[name]; lag.Until > sim.Now {
		return sim.Rand.Int64N(lag.MaxDelayMS)
	}
	return 0
}

func (sim *Simulation) storeRefuses(m string) bool {
	return sim.OutageUntil["all"] > sim.Now || sim.OutageUntil[m] > sim.Now
}
