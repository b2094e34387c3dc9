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

// health measures what a small machine runs short of: memory, and time for the
// loop.
type health struct {
	memoryLimit   uint64 // bytes held by the runtime above which memory is short
	memoryShort   atomic.Bool
	nextSampleAt  time.Time        // owned by the loop
	memorySamples []metrics.Sample // total and released; owned by the loop
	loopDelay     prometheus.Histogram
	shedRequests  prometheus.Counter
}

// memorySampleInterval is how often the runtime's memory is read.
const memorySampleInterval = time.Second

// shedMemoryShare is the share of its memory limit above which a controller
// accepts no new work: a process over its limit is killed, and its shards'
// users wait for a new owner. The garbage collector aims at a lower share, so
// what is held above this one cannot be freed.
const shedMemoryShare = 0.97

// shedRetryAfterS is when a user who was refused for memory should retry: the
// garbage collector needs a moment, and jobs must end.
const shedRetryAfterS = 5

// newHealth returns the health of a process whose runtime may hold heapBytes.
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

// observeTick records how late a tick is, and at most once in
// memorySampleInterval reads the runtime's memory. The loop calls it.
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
// false if the core should have it. Only submissions are refused: queries and
// cancellations take no lasting memory.
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
