package node

import (
	"bytes"
	"fmt"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/schedules"
	"github.com/grebedock/grebedock/workflow"
)

var helpText = regexp.MustCompile(`(?m)^# HELP .*\n|help: "[^"]*", `)

// TestMetricsKeepTheirNames compares the metrics of a controller's process with a
// golden file: names, types, labels and buckets, but not the help texts.
func TestMetricsKeepTheirNames(t *testing.T) {
	h := newHealth(1)
	registry := prometheus.NewRegistry()
	registry.MustRegister(h.loopDelay, h.shedRequests)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	enc := expfmt.NewEncoder(&out, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	counters := (&workflowRunner{host: &workflow.Host{}}).counters()
	counters = append(counters, (&scheduleRunner{host: &schedules.Host{}}).counters()...)
	for _, c := range counters {
		fmt.Fprintf(&out, "%v %s\n", c.desc, c.event)
	}
	golden.Compare(t, "metrics.txt", helpText.ReplaceAll(out.Bytes(), nil))
}
