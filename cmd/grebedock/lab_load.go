package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/client"
	"github.com/grebedock/grebedock/internal/history"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// loadOptions configure a load test.
type loadOptions struct {
	addrs              []string
	team               string
	rate               float64 // requests per second
	duration           time.Duration
	pollsPerSubmission float64 // queries for each submission
	cancelShare        float64 // cancellations for each submission, at most 1
	tasks              int
	estimateS          float64
	seed               uint64
	json               bool
}

func (o *loadOptions) validate() error {
	invalidRate := !(o.rate > 0) || o.duration <= 0 || o.pollsPerSubmission < 0
	invalidShare := o.cancelShare < 0 || o.cancelShare > 1
	if !invalidRate && !invalidShare && o.tasks >= 1 && len(o.addrs) > 0 {
		return nil
	}
	return &codedError{
		errors.New("--rate, --for and --tasks must be above 0, --cancels from 0 to 1, --polls not negative"),
		exitInvalid,
	}
}

func loadCommand() *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests to running members at a given rate and measure latencies",
		Long: "Sends submissions, queries and cancellations at a rate that does not depend on responses\n" +
			"(open loop), without retries, to the members in turn. Latencies count from the time for\n" +
			"which a request was scheduled, so that a stalled member's results include the requests\n" +
			"that it delayed. At the end the responses are checked for linearizability.\n" +
			"Exit codes: 0 success, 1 no request was sent, 2 invalid flags, 3 the responses are not\n" +
			"linearizable.",
		Example: "  grebedock lab load --rate 200 --for 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r := runLoad(ctx, o)
			if err := r.print(cmd.OutOrStdout(), o.json); err != nil {
				return err
			}
			switch {
			case r.Sent == 0:
				return errors.New("no request was sent")
			case len(r.HistoryViolations) > 0:
				return &codedError{
					fmt.Errorf("responses are not linearizable for %d jobs; the first: %s",
						len(r.HistoryViolations), r.HistoryViolations[0]),
					exitFailed,
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(
		&o.addrs,
		"addr",
		[]string{fmt.Sprintf("127.0.0.1:%d", defaultUserPort), fmt.Sprintf("127.0.0.1:%d", defaultUserPort+1)},
		"addresses of the members' user API (front in their settings files), host:port",
	)
	f.StringVar(&o.team, "team", "ops", "team of the jobs")
	f.Float64Var(&o.rate, "rate", 50, "requests per second")
	f.DurationVar(&o.duration, "for", 10*time.Second, "duration of the load test")
	f.Float64Var(&o.pollsPerSubmission, "polls", 4, "queries per submission")
	f.Float64Var(&o.cancelShare, "cancels", 0.1, "cancellations per submission")
	f.IntVar(&o.tasks, "tasks", 1, "tasks of a job")
	f.Float64Var(&o.estimateS, "estimate", 1, "estimated run time of a task, s")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the kinds and times of requests")
	f.BoolVar(&o.json, "json", false, "print JSON")
	return cmd
}

// loadTimeout bounds each request. Users apply the same timeout to submissions.
const loadTimeout = 5 * time.Second

// loadConns bounds the connections to each member; the wait for a connection counts as latency.
const loadConns = 512

// Latencies are recorded from 100 µs to one minute, with three significant digits.
const (
	latencyUnit   = 100 * time.Microsecond
	maxLatency    = int64(time.Minute / latencyUnit)
	latencyDigits = 3
)

// loadResult is the outcome of a load test.
type loadResult struct {
	Sent              int                    `json:"sent"`
	Kinds             map[string]*kindResult `json:"kinds"`
	Statuses          map[int]int            `json:"statuses"` // 0: no response
	HistoryViolations []string               `json:"disorder,omitempty"`
	mu                sync.Mutex
	ops               []history.Op
	jobs              []string // accepted
}

type kindResult struct {
	Count int                `json:"count"`
	MS    map[string]float64 `json:"ms"`
	hist  *hdrhistogram.Histogram
}

var loadKinds = map[scheduler.UserRequestKind]string{
	scheduler.SubmitJob: "submit",
	scheduler.QueryJob:  "query",
	scheduler.CancelJob: "cancel",
}

// percentiles are those of the latencies that are printed.
var percentiles = []float64{50, 90, 99, 99.9, 100}

func runLoad(ctx context.Context, o loadOptions) *loadResult {
	rng := rand.New(rand.NewPCG(o.seed, 1))
	r := &loadResult{Kinds: map[string]*kindResult{}, Statuses: map[int]int{}}
	for _, k := range loadKinds {
		r.Kinds[k] = &kindResult{hist: hdrhistogram.New(1, maxLatency, latencyDigits), MS: map[string]float64{}}
	}
	hosts := httpclient.NewMultiHostClient(loadConns)
	startedAt := time.Now()
	var wait sync.WaitGroup
	scheduledAt := startedAt
	for n := 0; ; n++ {
		// A Poisson process: users act independently of each other.
		scheduledAt = scheduledAt.Add(time.Duration(rng.ExpFloat64() / o.rate * float64(time.Second)))
		if scheduledAt.Sub(startedAt) > o.duration {
			break
		}
		t := time.NewTimer(time.Until(scheduledAt))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		if ctx.Err() != nil {
			break
		}
		kind, id := r.nextRequest(rng, o)
		at, addr := scheduledAt, o.addrs[n%len(o.addrs)]
		r.Sent++
		request := loadRequest{addr: addr, kind: kind, jobID: id, scheduledAt: at}
		wait.Go(func() { r.sendRequest(hosts, o, request, startedAt) })
	}
	wait.Wait()
	r.summarize()
	return r
}

// nextRequest chooses the kind of the next request and its job.
func (r *loadResult) nextRequest(rng *rand.Rand, o loadOptions) (scheduler.UserRequestKind, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := rng.Float64() * (1 + o.pollsPerSubmission + o.cancelShare)
	switch {
	case len(r.jobs) == 0 || p < 1:
		return scheduler.SubmitJob, client.NewID() // random, so that it is not the ID of an earlier load test
	case p < 1+o.cancelShare:
		return scheduler.CancelJob, r.jobs[rng.IntN(len(r.jobs))]
	}
	return scheduler.QueryJob, r.jobs[max(0, len(r.jobs)-1-int(rng.ExpFloat64()*20))]
}

// loadRequest is one request of a load test.
type loadRequest struct {
	addr        string // address of the member's user API
	kind        scheduler.UserRequestKind
	jobID       string
	scheduledAt time.Time
}

func (r *loadResult) sendRequest(
	hosts *httpclient.MultiHostClient, o loadOptions, request loadRequest, startedAt time.Time,
) {
	id, kind := request.jobID, request.kind
	req := wire.QueryRequest(id)
	switch kind {
	case scheduler.SubmitJob:
		j := &scheduler.Job{
			ID:        id,
			Team:      o.team,
			Kind:      scheduler.Array,
			Priority:  scheduler.Normal,
			Tasks:     o.tasks,
			Spot:      true,
			EstimateS: o.estimateS,
		}
		j.Request.CPUs, j.Request.MemoryGB = 1, 1
		req = wire.SubmitRequest(j)
	case scheduler.CancelJob:
		req = wire.CancelRequest(id)
	}
	op := history.Op{Job: id, Kind: kind, Call: time.Since(startedAt).Nanoseconds()}
	res := hosts.DoWithRetryAfter(request.addr, req, loadTimeout)
	op.Return = time.Since(startedAt).Nanoseconds()
	took := time.Since(request.scheduledAt)
	if res.Status != 0 && res.Status < 429 {
		op.Status, op.State = res.Status, wire.ParseUserResponse(res.Status, res.Body).State
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.Kinds[loadKinds[kind]]
	k.Count++
	_ = k.hist.RecordValue(min(maxLatency, max(1, int64(took/latencyUnit))))
	r.Statuses[res.Status]++
	r.ops = append(r.ops, op)
	if kind == scheduler.SubmitJob && res.Status/100 == 2 {
		r.jobs = append(r.jobs, id)
	}
}

func (r *loadResult) summarize() {
	for _, k := range r.Kinds {
		for _, q := range percentiles {
			k.MS[fmt.Sprintf("p%g", q)] = float64(k.hist.ValueAtPercentile(q)) * latencyUnit.Seconds() * 1000
		}
	}
	v, err := history.Validate(r.ops, nil)
	for _, v := range v {
		r.HistoryViolations = append(r.HistoryViolations, v.String())
	}
	if err != nil {
		r.HistoryViolations = append(r.HistoryViolations, err.Error())
	}
}

func (r *loadResult) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "REQUEST\tCOUNT\t")
	for _, q := range percentiles {
		fmt.Fprintf(w, "p%g ms\t", q)
	}
	fmt.Fprintln(w)
	for _, name := range []string{"submit", "query", "cancel"} {
		k := r.Kinds[name]
		fmt.Fprintf(w, "%s\t%d\t", name, k.Count)
		for _, q := range percentiles {
			fmt.Fprintf(w, "%.1f\t", k.MS[fmt.Sprintf("p%g", q)])
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	var codes []int
	for c := range r.Statuses {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	fmt.Fprint(out, "answers:")
	for _, c := range codes {
		name := fmt.Sprint(c)
		if c == 0 {
			name = "none"
		}
		fmt.Fprintf(out, " %s: %d", name, r.Statuses[c])
	}
	_, err := fmt.Fprintf(out, "; %d jobs, linearizable: %v\n", len(r.jobs), len(r.HistoryViolations) == 0)
	return err
}
