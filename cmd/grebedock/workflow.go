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
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/workflow"
)

// Exit codes.
const (
	exitError     = 1 // no final response, or another error without a code of its own
	exitInvalid   = 2 // a document, its inputs or flags are invalid, a request is rejected or a job is unknown
	exitFailed    = 3 // a run failed, or its results violate a rule
	exitCancelled = 4 // a job or run was cancelled
)

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

func workflowCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "workflow",
		Short: "Check and run workflows in the Common Workflow Language",
		Long: "Check and run workflows in the Common Workflow Language, version 1.2.\n" +
			"Exit codes: 0 done, 1 no final response or no such run, 2 document or inputs invalid\n" +
			"or submission rejected, 3 the run failed, 4 the run was cancelled.",
	}
	cmd.AddCommand(checkWorkflowCommand(), runWorkflowCommand(), workflowStatusCommand(), abortWorkflowCommand())
	return cmd
}

// readInputs reads a file of inputs in JSON or YAML. Paths in it are relative to the file's directory.
func readInputs(name string) (map[string]any, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var raw map[string]any
	if err := yaml.Unmarshal(b, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	text, err := json.Marshal(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	v, err := cwl.DecodeJSON(text)
	if err != nil {
		return nil, err
	}
	in, _ := v.(map[string]any)
	dir, err := filepath.Abs(filepath.Dir(name))
	if err != nil {
		return nil, err
	}
	return absolutePaths(in, dir).(map[string]any), nil
}

// absolutePaths makes the paths of files and directories in v absolute: relative paths are joined to dir.
func absolutePaths(v any, dir string) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = absolutePaths(v[i], dir)
		}
	case map[string]any:
		for k := range v {
			v[k] = absolutePaths(v[k], dir)
		}
		if v["class"] == "File" || v["class"] == "Directory" {
			for _, k := range []string{"path", "location"} {
				if s, ok := v[k].(string); ok && !filepath.IsAbs(s) && !strings.Contains(s, "://") {
					v[k] = filepath.Join(dir, s)
				}
			}
		}
	case nil:
	}
	return v
}

// loadWorkflow reads a document and, if given, its inputs.
func loadWorkflow(args []string) (*cwl.Process, map[string]any, error) {
	p, err := cwl.Load(args[0], os.ReadFile)
	if err != nil {
		return nil, nil, &codedError{err, exitInvalid}
	}
	in := map[string]any{}
	if len(args) > 1 {
		if in, err = readInputs(args[1]); err == nil {
			_, err = p.CheckInputs(in)
		}
		if err != nil {
			return nil, nil, &codedError{fmt.Errorf("%s: %w", args[1], err), exitInvalid}
		}
	}
	return p, in, nil
}

func checkWorkflowCommand() *cobra.Command {
	var schema bool
	cmd := &cobra.Command{
		Use:     "check DOCUMENT [INPUTS]",
		Short:   "Validate a document and optionally its inputs, and report errors",
		Example: "  grebedock workflow check docs/examples/cwl/read-batch.cwl docs/examples/cwl/read-batch.json",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, _, err := loadWorkflow(args)
			if err != nil {
				return err
			}
			if schema {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(p.Schema())
			}
			tools, flows := 0, 0
			p.Walk(func(p *cwl.Process) {
				if p.Class == cwl.Flow {
					flows++
				} else {
					tools++
				}
			})
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%s: %s with %d inputs and %d outputs, %d tools and expressions: valid\n",
				args[0],
				p.Class,
				len(p.Inputs),
				len(p.Outputs),
				tools,
			)
			return nil
		},
	}
	cmd.Flags().BoolVar(&schema, "schema", false, "print the JSON Schema of the inputs instead")
	return cmd
}

// workflowClient sends requests to several members in turn, as the user API requires of clients. It
// retries a request without a final response for up to a minute.
type workflowClient struct{ addrs []string }

func addAddrFlag(cmd *cobra.Command) *workflowClient {
	m := &workflowClient{}
	cmd.Flags().StringSliceVar(
		&m.addrs,
		"addr",
		[]string{fmt.Sprintf("127.0.0.1:%d", defaultUserPort)},
		userAddrUsage,
	)
	return m
}

// workflowRequestTimeout bounds each attempt of a request. Users apply the same timeout to submissions.
const workflowRequestTimeout = 5 * time.Second

func (m *workflowClient) request(ctx context.Context, r wire.Request) (int, workflow.Response, error) {
	res, from, _, ok, err := httpclient.NewFailoverClient(m.addrs).DoUntilFinal(ctx, r, workflowRequestTimeout)
	var a workflow.Response
	if err != nil {
		return 0, a, err
	}
	if res.Status != 0 && json.Unmarshal(res.Body, &a) != nil {
		a.Error = strings.TrimSpace(string(res.Body))
	}
	switch {
	case !ok && res.Status == 0:
		return 0, a, fmt.Errorf("no final response from %s", strings.Join(m.addrs, ", "))
	case !ok:
		return res.Status, a, fmt.Errorf(
			"no final response; last error: %s returned status %d: %s", from, res.Status, a.Error,
		)
	}
	return res.Status, a, nil
}

func runWorkflowCommand() *cobra.Command {
	var id, team, priority, class string
	var asJSON, detach bool
	cmd := &cobra.Command{
		Use:   "run DOCUMENT [INPUTS]",
		Short: "Submit a workflow and wait for the end of its run",
		Long: "Submits a workflow and waits for the end of its run. Prints its outputs to standard output,\n" +
			"and progress to standard error. After an interrupt the run continues; the command prints\n" +
			"how to query and abort it.",
		Example: "  grebedock workflow run --team ops docs/examples/cwl/read-batch.cwl " +
			"docs/examples/cwl/read-batch.json",
		Args: cobra.RangeArgs(1, 2),
	}
	m := addAddrFlag(cmd)
	f := cmd.Flags()
	f.StringVar(
		&id,
		"id",
		"",
		"ID of the run (a-z, 0-9, -); repeated submissions with an ID are the same run; default: a new one",
	)
	f.StringVar(&team, "team", "", "team of steps without a team in their hints")
	f.StringVar(&class, "class", "", "class of steps without a class in their hints")
	f.StringVar(&priority, "priority", "", "priority of steps without one in hints: low, standard, high, production")
	f.BoolVar(&asJSON, "json", false, "print the last response as JSON instead of outputs and progress")
	f.BoolVar(&detach, "detach", false, "do not wait for the end of the run")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if id == "" {
			id = fmt.Sprintf("run-%x", rand.Uint64())
		}
		body, err := workflowSubmission(args, id, &cwl.JobHint{Team: team, Class: class, Priority: priority})
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		status, a, err := m.request(ctx, wire.Request{Method: "POST", Path: "/v1/workflows", Body: body})
		if err != nil {
			return err
		}
		if status != 200 && status != 201 {
			return &codedError{fmt.Errorf("rejected with status %d: %s", status, a.Error), exitInvalid}
		}
		if detach {
			return printResponse(cmd, a, asJSON, true)
		}
		return m.waitForRun(ctx, cmd, id, asJSON)
	}
	return cmd
}

// workflowSubmission returns the request body that submits the document and the inputs in args.
func workflowSubmission(args []string, id string, hint *cwl.JobHint) ([]byte, error) {
	p, in, err := loadWorkflow(args)
	if err != nil {
		return nil, err
	}
	doc, err := json.Marshal(cwl.Pack(p))
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(workflow.Submission{ID: id, Packed: workflow.Pack(doc), Inputs: in, Job: hint})
	if err != nil {
		return nil, err
	}
	if len(body) > wire.MaxBody {
		return nil, &codedError{
			fmt.Errorf(
				"packed document and inputs have %d bytes; a request may have at most %d", len(body),
				wire.MaxBody,
			),
			exitInvalid,
		}
	}
	return body, nil
}

// runPollInterval is the interval between queries of a run.
const runPollInterval = 500 * time.Millisecond

func (m *workflowClient) waitForRun(ctx context.Context, cmd *cobra.Command, id string, asJSON bool) error {
	p := &progressPrinter{w: cmd.ErrOrStderr(), quiet: asJSON, lastStates: map[string]string{}}
	if f, ok := p.w.(*os.File); ok {
		p.terminal = isatty.IsTerminal(f.Fd())
	}
	for {
		status, a, err := m.request(ctx, wire.Request{Method: "GET", Path: "/v1/workflows/" + id})
		if errors.Is(err, context.Canceled) {
			p.finishLine()
			return &codedError{
				fmt.Errorf("interrupted; the run continues; see grebedock workflow status %s, or abort %s", id, id),
				exitError,
			}
		}
		if err != nil {
			return err
		}
		if status != 200 {
			return &codedError{fmt.Errorf("%s: %s", id, a.Error), exitError}
		}
		p.print(a)
		if a.State.IsFinal() {
			p.finishLine()
			return printResponse(cmd, a, asJSON, false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(runPollInterval):
		}
	}
}

// progressPrinter prints the progress of a run: on a terminal as one line that is overwritten,
// elsewhere as one line for each state change of a step.
type progressPrinter struct {
	w               io.Writer
	terminal, quiet bool
	lastStates      map[string]string
	lineOpen        bool
}

func (p *progressPrinter) print(a workflow.Response) {
	if p.quiet {
		return
	}
	done, live := 0, []string{}
	for _, s := range a.Steps {
		if s.State == "done" {
			done++
		} else {
			live = append(live, s.Step)
		}
		if !p.terminal && p.lastStates[s.Step] != s.State {
			p.lastStates[s.Step] = s.State
			fmt.Fprintf(p.w, "%s: step %s %s (%s)\n", a.ID, s.Step, s.State, s.Job)
		}
	}
	if p.terminal && len(a.Steps) > 0 {
		p.lineOpen = true
		line := fmt.Sprintf("%s: %s, %d steps done; %s", a.ID, a.State, done, strings.Join(live, ", "))
		fmt.Fprintf(p.w, "\r\x1b[K%.100s", line)
	}
}

func (p *progressPrinter) finishLine() {
	if p.lineOpen {
		fmt.Fprintln(p.w)
	}
}

// printResponse prints a response, and returns an error with an exit code unless the run succeeded.
func printResponse(cmd *cobra.Command, a workflow.Response, asJSON, withSteps bool) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	switch {
	case asJSON || withSteps:
		if err := enc.Encode(a); err != nil {
			return err
		}
	case a.State == workflow.Done:
		if a.Outputs == nil {
			a.Outputs = map[string]any{}
		}
		if err := enc.Encode(a.Outputs); err != nil {
			return err
		}
	}
	switch a.State {
	case workflow.Failed, workflow.Failing:
		return &codedError{fmt.Errorf("%s %s: %s", a.ID, a.State, a.Error), exitFailed}
	case workflow.Cancelled, workflow.Cancelling:
		return &codedError{fmt.Errorf("%s is %s", a.ID, a.State), exitCancelled}
	}
	return nil
}

func workflowStatusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status RUN", Short: "Show the status of a run", Args: cobra.ExactArgs(1)}
	m := addAddrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		status, a, err := m.request(cmd.Context(), wire.Request{Method: "GET", Path: "/v1/workflows/" + args[0]})
		if err != nil {
			return err
		}
		if status != 200 {
			return fmt.Errorf("%s: %s", args[0], a.Error)
		}
		return printResponse(cmd, a, true, true)
	}
	return cmd
}

func abortWorkflowCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "abort RUN", Short: "Cancel a run with all its steps", Args: cobra.ExactArgs(1)}
	m := addAddrFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		status, a, err := m.request(cmd.Context(), wire.Request{
			Method: "POST",
			Path:   "/v1/workflows/" + args[0] + "/abort",
		})
		if err != nil {
			return err
		}
		if status != 200 {
			return fmt.Errorf("%s: %s", args[0], a.Error)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], a.State)
		return nil
	}
	return cmd
}
