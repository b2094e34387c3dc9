package connlimit

import (
	"fmt"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/internal/golden"
)

var helpText = regexp.MustCompile(`help: "[^"]*", `)

// TestMetricsKeepTheirNames compares the metrics of an address and their labels
// with a golden file.
func TestMetricsKeepTheirNames(t *testing.T) {
	d := newMetricDescs("front")
	var out []byte
	for _, desc := range []*prometheus.Desc{d.open, d.state, d.slots, d.bodyBytes, d.closed} {
		out = fmt.Appendln(out, desc)
	}
	golden.Compare(t, "metrics.txt", helpText.ReplaceAll(out, nil))
}
