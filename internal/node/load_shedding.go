package node

import (
	"net/http"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/grebedock/grebedock/scheduler"
)

// health measures the two resources that a small machine runs short of: memory
// and CPU time for the loop.
type health struct {
	memoryLimit   uint64 // bytes of runtime memory above which memory is short
	memoryShort   atomic.Bool
	nextSampleAt  time.Time        // owned by the loop
	memorySamples []metrics.Sample // total and released; owned by the loop
	loopDelay     prometheus.Histogram
	shedRequests  prometheus.Counter
}

// memorySampleInterval is how often the runtime's memory is read.
const memorySampleInterval = time.Second

// shedMemoryShare is the share of its memory limit above which a controller
// accepts no new work. The system kills a process over its limit, and the users
// of its shards then wait for a new owner. The garbage collector aims at a lower
// share, so it cannot free the memory in use above this one.
const shedMemoryShare = 0.97

// shedRetryAfterS is the retry time, in seconds, for a user who was refused for
// memory: the garbage collector needs some time, and jobs must end.
const shedRetryAfterS = 5

// newHealth returns the health of a process whose runtime may use heapBytes.
func newHealth(heapBytes float64) *health {
	return &health{
		memoryLimit: uint64(heapBytes * shedMemoryShare),
		memorySamples: []metrics.Sample{
			{Name: "/memory/classes/total:bytes"},
			{Name: "/memory/classes/heap/released:bytes"},
		},
		loopDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "grebedock_loop_delay_seconds",
			Help:    "How late the loop takes up a tick: how far a member is behind.",
			Buckets: prometheus.ExponentialBuckets(tick.Seconds()/100, 4, 8),
		}),
		shedRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "grebedock_shed_total",
			Help: "Requests refused because memory is short or too many wait.",
		}),
	}
}

func (h *health) collectors() []prometheus.Collector {
	return []prometheus.Collector{h.loopDelay, h.shedRequests, collectors.NewGoCollector()}
}

// observeTick records how late a tick is, and reads the runtime's memory at most
// once per memorySampleInterval. The loop calls it.
func (h *health) observeTick(due, now time.Time) {
	h.loopDelay.Observe(now.Sub(due).Seconds())
	if now.Before(h.nextSampleAt) {
		return
	}
	h.nextSampleAt = now.Add(memorySampleInterval)
	metrics.Read(h.memorySamples)
	total, released := h.memorySamples[0].Value.Uint64(), h.memorySamples[1].Value.Uint64()
	h.memoryShort.Store(total-released > h.memoryLimit)
}

// rejectIfMemoryShort returns the refusal of a request while memory is short, or
// false if the core should handle the request. Only submissions are refused:
// queries and cancellations take no lasting memory.
func (h *health) rejectIfMemoryShort(r scheduler.UserRequest) (scheduler.UserResponse, bool) {
	if r.Kind != scheduler.SubmitJob || !h.memoryShort.Load() {
		return scheduler.UserResponse{}, false
	}
	h.shedRequests.Inc()
	return scheduler.UserResponse{
		Status:      http.StatusServiceUnavailable,
		ID:          r.ID,
		Error:       "memory is short",
		RetryAfterS: shedRetryAfterS,
	}, true
}
