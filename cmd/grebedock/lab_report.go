package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/grebedock/grebedock/emulator"
	"github.com/spf13/cobra"
)

// readResults reads a file of results. Truncated or invalid lines are skipped and returned in
// malformed.
func readResults(name string) (out []emulator.Result, malformed []string, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 16<<20)
	for n := 1; s.Scan(); n++ {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		var r emulator.Result
		if err := json.Unmarshal(s.Bytes(), &r); err != nil || r.Variant == "" {
			malformed = append(malformed, fmt.Sprintf("%s: line %d is truncated or invalid", name, n))
			continue
		}
		out = append(out, r)
	}
	return out, malformed, s.Err()
}

func reportCommand() *cobra.Command {
	var page string
	cmd := &cobra.Command{
		Use:   "report RESULTS.jsonl [RESULTS.jsonl]",
		Short: "Compare the variants of an experiment, or two results files",
		Long: "Prints each metric's mean over the seeds with the half-width of its 95 % confidence\n" +
			"interval, one column per variant. A metric is marked with * if it differs from that of\n" +
			"the first variant: the confidence interval of the differences, paired by seed, excludes 0.\n" +
			"With two files, the first is the baseline.",
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []emulator.Result
			for i, name := range args {
				rs, malformed, err := readResults(name)
				if err != nil {
					return &codedError{err, exitInvalid}
				}
				for _, b := range malformed {
					fmt.Fprintln(cmd.ErrOrStderr(), b)
				}
				for _, r := range rs {
					if len(args) == 2 {
						r.Variant = fmt.Sprintf("%s (%d)", r.Variant, i+1)
					}
					all = append(all, r)
				}
			}
			if len(all) == 0 {
				return &codedError{errors.New("no results"), exitInvalid}
			}
			// In the order of the experiment's file, not in the order of completion.
			slices.SortStableFunc(all, func(a, b emulator.Result) int {
				return cmp.Or(cmp.Compare(a.VariantIndex, b.VariantIndex), cmp.Compare(a.Seed, b.Seed))
			})
			t := compareVariants(all)
			if err := t.print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if page == "" {
				return nil
			}
			b, err := t.html(all)
			if err != nil {
				return err
			}
			return os.WriteFile(page, b, 0o644)
		},
	}
	cmd.Flags().StringVar(&page, "html", "", "write an HTML page with plots to this file")
	return cmd
}

// metric is one number of a result.
type metric struct {
	name  string
	value func(*emulator.Result) float64
}

func metricsOf(r *emulator.Result) []metric {
	var metrics []metric
	for i, c := range r.Classes {
		metrics = append(metrics, classMetrics(i, c.Class)...)
	}
	for i, t := range r.Teams {
		metrics = append(metrics, teamMetrics(i, t.Team)...)
	}
	if r.Rollout != nil {
		metrics = append(metrics, rolloutMetrics()...)
	}
	return append(
		metrics,
		metric{"tasks started again", func(r *emulator.Result) float64 { return float64(r.RepeatedStarts) }},
		metric{"most commands in a second", func(r *emulator.Result) float64 { return float64(r.WorstSecond()) }},
		metric{"accepted p99, ms", func(r *emulator.Result) float64 { return r.SubmitMS.P99 }},
		metric{
			"inconclusive responses",
			func(r *emulator.Result) float64 { return float64(r.InconclusiveResponses) },
		},
		metric{"price", func(r *emulator.Result) float64 { return r.PriceRatio }},
		metric{"useful", func(r *emulator.Result) float64 { return r.UsefulShare }},
		metric{"machines", func(r *emulator.Result) float64 { return float64(r.Machines) }},
		metric{"requests to the state service", func(r *emulator.Result) float64 { return float64(r.Requests) }},
		metric{
			"rules broken",
			func(r *emulator.Result) float64 { return float64(len(r.RuleViolations) + len(r.OrderViolations)) },
		},
	)
}

// classMetrics returns the metrics of the class of jobs at index i.
func classMetrics(i int, class string) []metric {
	var metrics []metric
	add := func(name string, value func(*emulator.ClassResult) float64) {
		metrics = append(metrics, metric{class + ": " + name, func(r *emulator.Result) float64 {
			if i >= len(r.Classes) {
				return math.NaN()
			}
			return value(&r.Classes[i])
		}})
	}
	add("in time", func(c *emulator.ClassResult) float64 { return c.InTimeShare })
	add("started within its objective", func(c *emulator.ClassResult) float64 { return c.WaitWithinShare })
	add("wait p50, s", func(c *emulator.ClassResult) float64 { return c.WaitS.P50 })
	add("wait p90, s", func(c *emulator.ClassResult) float64 { return c.WaitS.P90 })
	add("done p90, s", func(c *emulator.ClassResult) float64 { return c.DoneS.P90 })
	return metrics
}

// teamMetrics returns the metrics of the team at index i.
func teamMetrics(i int, team string) []metric {
	var metrics []metric
	metrics = append(metrics, metric{"team " + team + ": done", func(r *emulator.Result) float64 {
		if i >= len(r.Teams) {
			return math.NaN()
		}
		return float64(r.Teams[i].Done) / float64(max(1, r.Teams[i].Jobs))
	}})
	// A run without work within the guarantee, or in which the limit was never contended, has no
	// value.
	add := func(name string, count func(*emulator.TeamResult) int, value func(*emulator.TeamResult) float64) {
		metrics = append(metrics, metric{"team " + team + ": " + name, func(r *emulator.Result) float64 {
			if i >= len(r.Teams) || count(&r.Teams[i]) == 0 {
				return math.NaN()
			}
			return value(&r.Teams[i])
		}})
	}
	guaranteed := func(t *emulator.TeamResult) int { return t.Guaranteed }
	add("guaranteed work started in time", guaranteed, func(t *emulator.TeamResult) float64 { return t.PromptShare })
	add("wait of guaranteed work p90, s", guaranteed, func(t *emulator.TeamResult) float64 { return t.PromptWaitS.P90 })
	add(
		"time below its guarantee, s",
		guaranteed,
		func(t *emulator.TeamResult) float64 { return float64(t.BelowGuaranteeS) },
	)
	add(
		"limit in use under contention",
		func(t *emulator.TeamResult) int { return t.LimitContendedS },
		func(t *emulator.TeamResult) float64 { return t.LimitUsedShare },
	)
	return metrics
}

// rolloutMetrics returns the metrics of a rollout plan.
func rolloutMetrics() []metric {
	planMetric := func(value func(*emulator.RolloutResult) float64) func(*emulator.Result) float64 {
		return func(r *emulator.Result) float64 {
			if r.Rollout == nil {
				return math.NaN()
			}
			return value(r.Rollout)
		}
	}
	return []metric{
		{"plan: duration, s", planMetric(func(p *emulator.RolloutResult) float64 { return p.DurationS })},
		{"plan: tasks stopped", planMetric(func(p *emulator.RolloutResult) float64 { return float64(p.StoppedTasks) })},
		{"plan: most tasks down of a team", planMetric(func(p *emulator.RolloutResult) float64 {
			most := 0
			for _, n := range p.MaxDown {
				most = max(most, n)
			}
			return float64(most)
		})},
	}
}

// meanEstimate is a mean over seeds and the half-width of its confidence interval.
type meanEstimate struct {
	mean, halfWidth float64
	n               int
}

// text formats the estimate; it is "-" for a variant that has no value of the metric.
func (e meanEstimate) text() string {
	if math.IsNaN(e.mean) {
		return "-"
	}
	return fmt.Sprintf("%.3g ± %.2g", e.mean, e.halfWidth)
}

// studentT975 holds the 97.5 % quantiles of Student's t distribution, by degrees of freedom from 1 on.
// For more degrees of freedom the quantile of the normal distribution is close enough.
var studentT975 = []float64{
	12.71,
	4.30,
	3.18,
	2.78,
	2.57,
	2.45,
	2.36,
	2.31,
	2.26,
	2.23,
	2.20,
	2.18,
	2.16,
	2.14,
	2.13,
	2.12,
	2.11,
	2.10,
	2.09,
	2.09,
}

// estimateOf estimates the mean of xs. It ignores NaN, the mark of runs without a value.
func estimateOf(xs []float64) meanEstimate {
	xs = slices.DeleteFunc(slices.Clone(xs), math.IsNaN)
	n := float64(len(xs))
	if n == 0 {
		return meanEstimate{mean: math.NaN()}
	}
	mean, squareSum := 0.0, 0.0
	for _, x := range xs {
		mean += x / n
	}
	for _, x := range xs {
		squareSum += (x - mean) * (x - mean)
	}
	if n < 2 {
		return meanEstimate{mean, math.Inf(1), 1}
	}
	t := 1.96
	if len(xs)-2 < len(studentT975) {
		t = studentT975[len(xs)-2]
	}
	return meanEstimate{mean, t * math.Sqrt(squareSum/(n-1)/n), len(xs)}
}

// cell is a metric of a variant. It differs from the first variant's if the confidence interval of
// the differences between runs with the same seed excludes zero.
type cell struct {
	meanEstimate
	differsFromFirst bool
}

// comparison has one row for each metric and one column for each variant.
type comparison struct {
	variants []string
	rows     []string
	cells    [][]cell
}

// differsSignificantly reports whether metrics paired by seed differ: the confidence interval of
// their differences excludes zero.
func differsSignificantly(a, b map[uint64]float64) bool {
	var differences []float64
	for seed, x := range a {
		if y, ok := b[seed]; ok && !math.IsNaN(y-x) {
			differences = append(differences, y-x)
		}
	}
	if len(differences) < 2 {
		return false
	}
	e := estimateOf(differences)
	return math.Abs(e.mean) > e.halfWidth
}

func compareVariants(all []emulator.Result) *comparison {
	t := &comparison{}
	byVariant := map[string][]*emulator.Result{}
	for i := range all {
		v := all[i].Variant
		if byVariant[v] == nil {
			t.variants = append(t.variants, v)
		}
		byVariant[v] = append(byVariant[v], &all[i])
	}
	template := &all[0]
	if at := slices.IndexFunc(all, func(r emulator.Result) bool { return r.Rollout != nil }); at >= 0 {
		template = &all[at] // a result with a rollout has the most metrics
	}
	for _, f := range metricsOf(template) {
		var row []cell
		var first map[uint64]float64
		for k, v := range t.variants {
			var xs []float64
			bySeed := map[uint64]float64{}
			for _, r := range byVariant[v] {
				xs = append(xs, f.value(r))
				bySeed[r.Seed] = f.value(r)
			}
			if k == 0 {
				first = bySeed
			}
			row = append(row, cell{estimateOf(xs), k > 0 && differsSignificantly(first, bySeed)})
		}
		// Omit metrics that have no value in any variant.
		if slices.ContainsFunc(row, func(c cell) bool { return !math.IsNaN(c.mean) }) {
			t.rows, t.cells = append(t.rows, f.name), append(t.cells, row)
		}
	}
	return t
}

func (t *comparison) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "mean of the seeds")
	for i, v := range t.variants {
		fmt.Fprintf(w, "\t%s (%d)", v, t.cells[0][i].n)
	}
	fmt.Fprintln(w)
	for i, name := range t.rows {
		fmt.Fprint(w, name)
		for _, e := range t.cells[i] {
			mark := ""
			if e.differsFromFirst {
				mark = " *"
			}
			fmt.Fprintf(w, "\t%s%s", e.text(), mark)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
