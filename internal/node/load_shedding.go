package node

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/grebedock/grebedock/scheduler"
)

// health watches what a small machine runs short of.
type health struct {
	memoryLimit   uint64 // bytes that the process may hold
	memoryShort   atomic.Bool
	nextSampleAt  time.Time
	memorySamples []metrics.Sample
	loopDelay     prometheus.Histogram
	shedRequests  prometheus.Counter
}

// shedMemoryShare is how much of the memory that it may hold the runtime has when a
// member takes no new work: one over its limit is killed, and everybody waits
// for its shard. The collector works towards a lower share, so this is what it
// cannot free.
const shedMemoryShare = 0.97

// shedRetryAfterS is when a refused user should come back: the collector needs a
// moment, and jobs must end.
const shedRetryAfterS = 5

func newHealth(heapBytes float64) *health {
	return &health{
		memoryLimit:   uint64(heapBytes * shedMemoryShare),
		memorySamples: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}},
		loopDelay: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "grebedock_loop_delay_seconds",
			Help:    "How late the loop takes up a tick: how far a member is behind.",
			Buckets: prometheus.ExponentialBuckets(tick.Seconds()/100, 4, 8)}),
		shedRequests: prometheus.NewCounter(
			prometheus.CounterOpts{
				Name: "grebedock_shed_total",
				Help: "Requests refused because memory is short or too many wait.",
			},
		),
	}
}

func (h *health) collectors() []prometheus.Collector {
	return []prometheus.Collector{h.loopDelay, h.shedRequests, collectors.NewGoCollector()}
}

// observeTick notes a tick that was due at a time, and once a second what the process
// holds.
func (h *health) observeTick(due, now time.Time) {
	h.loopDelay.Observe(now.Sub(due).Seconds())
	if now.Before(h.nextSampleAt) {
		return
	}
	h.nextSampleAt = now.Add(time.Second)
	metrics.Read(h.memorySamples)
	h.memoryShort.Store(h.memorySamples[0].Value.Uint64()-h.memorySamples[1].Value.Uint64() > h.memoryLimit)
}

// rejectIfMemoryShort tells whether a request is answered without asking the core, and how.
// Only new work is: questions and cancellations make nothing grow.
func (h *health) rejectIfMemoryShort(r scheduler.UserRequest) (scheduler.UserResponse, bool) {
	if r.Kind != scheduler.SubmitJob || !h.memoryShort.Load() {
		return scheduler.UserResponse{}, false
	}
	h.shedRequests.Inc()
	return scheduler.UserResponse{Status: 503, ID: r.ID, Error: "memory is short", RetryAfterS: shedRetryAfterS}, true
}
