package connlimit

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Limiter holds the table and the sockets of one address. It is safe for
// concurrent use, and it is a collector of its own metrics.
type Limiter struct {
	descs     metricDescs
	startedAt time.Time

	mu    sync.Mutex
	table *Table
}

// NewLimiter returns a limiter. name is the name of the address in metrics. Run
// must be called once.
func NewLimiter(name string, limits Limits, classes []Class) *Limiter {
	return &Limiter{descs: newMetricDescs(name), startedAt: time.Now(), table: New(limits, classes)}
}

// Run evicts connections that have exceeded their timeouts until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(l.table.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.withTable((*Table).Sweep)
		}
	}
}

// withTable calls f with the table and the time, and closes the sockets of the
// connections that f evicts. They are closed on separate goroutines, since
// closing may block.
func (l *Limiter) withTable(f func(*Table, time.Duration) []Closed) {
	l.mu.Lock()
	closed := f(l.table, time.Since(l.startedAt))
	l.mu.Unlock()
	for _, c := range closed {
		go c.socket.abort(c)
	}
}

// Stats returns the statistics of the address's table.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Stats()
}

// metricDescs holds the descriptions of a limiter's metrics. The address is a
// constant label, so that two limiters can share a registry.
type metricDescs struct{ open, state, slots, bodyBytes, closed *prometheus.Desc }

func newMetricDescs(address string) metricDescs {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("grebedock_"+name, help, labels, prometheus.Labels{"address": address})
	}
	return metricDescs{
		open:      desc("connections", "Open connections.", "class"),
		state:     desc("connections_state", "Open connections by what they wait for.", "state"),
		slots:     desc("connection_slots", "Connections that the address may have."),
		bodyBytes: desc("half_read_bytes", "Bytes held for bodies that are under way."),
		closed:    desc("connections_given_up_total", "Connections that were given up.", "class", "why"),
	}
}

// Describe sends the descriptions of the metrics.
func (l *Limiter) Describe(ch chan<- *prometheus.Desc) {
	d := l.descs
	for _, desc := range []*prometheus.Desc{d.open, d.state, d.slots, d.bodyBytes, d.closed} {
		ch <- desc
	}
}

// Collect sends the values of the metrics.
func (l *Limiter) Collect(ch chan<- prometheus.Metric) {
	s := l.Stats()
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	gauge(l.descs.slots, s.Slots)
	gauge(l.descs.bodyBytes, s.BodyBytes)
	for class, n := range s.Open {
		gauge(l.descs.open, n, class)
	}
	for state, n := range s.State {
		gauge(l.descs.state, n, state)
	}
	for class, byReason := range s.Closed {
		for reason, n := range byReason {
			ch <- prometheus.MustNewConstMetric(l.descs.closed, prometheus.CounterValue, float64(n), class, reason)
		}
	}
}
