// Package workflow runs workflows of the Common Workflow Language (CWL) as jobs.
//
// Run evaluates one workflow. From the outputs of finished jobs it derives the jobs to start next,
// and finally the workflow's outputs or its error. Host manages the runs of a member: it writes
// their records to the state service, drives the runs of the shards that the member owns, and sends
// requests to the core. Both are state machines without I/O. The caller passes the time with each
// input, and only the time limits of expressions read a clock.
//
// The state of a run consists only of its document, its inputs and the results of its jobs. A job's
// ID is derived from the run and the step, its submission is idempotent, and its result is in the
// state service. The owner of the run's shard can therefore continue from the stored document
// alone, however the previous owner stopped, and it starts no step twice.
package workflow

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/grebedock/grebedock/cwl"
)

// Call is a tool that a step runs: one job, with one task for each element of Inputs.
type Call struct {
	Path   string // step IDs, outermost first, with scatter indexes: "outer[3]/inner"
	Tool   *cwl.Process
	Inputs []map[string]any

	step   *stepState
	slots  []int // for each task, the index of its value in step.values
	isOver bool
}

// frame is a workflow in evaluation: the run's own or a subworkflow that a step runs.
type frame struct {
	process        *cwl.Process
	path           string
	inputs         map[string]any
	steps          map[string]*stepState
	remainingSteps int // number of unfinished steps

	parent *stepState // step whose value at slot the frame computes; nil: the run's own
	slot   int
}

// stepState is a step that has started.
type stepState struct {
	frame         *frame
	step          *cwl.Step
	path          string
	scatter       cwl.Scatter
	values        []map[string]any // outputs by slot; nil: skipped or missing
	missingValues int              // number of slots without a result
	outputs       map[string]any   // set when the step is finished
	isOver        bool
}

// Run is the evaluation of a workflow.
type Run struct {
	root          *frame
	calls         map[string]*Call // unfinished calls by path
	finishedCalls int              // number of finished calls
	newCalls      []*Call
	err           error
	outputs       map[string]any
	isOver        bool

	exploring bool
}

// New starts a run. It wraps a process that is not a workflow in a workflow with a single step.
func New(p *cwl.Process, inputs map[string]any) (*Run, error) { return newRun(p, inputs, false) }

// Explore starts a run that continues past failures and never ends. It finds every call that may
// have been started before a run failed or was cancelled: after a failure it still starts the calls
// that do not depend on the failed one.
func Explore(p *cwl.Process, inputs map[string]any) (*Run, error) { return newRun(p, inputs, true) }

func newRun(p *cwl.Process, inputs map[string]any, exploring bool) (*Run, error) {
	in, err := p.CheckInputs(inputs)
	if err != nil {
		return nil, err
	}
	if p.Class != cwl.Flow {
		p = singleStepWorkflow(p)
	}
	r := &Run{calls: map[string]*Call{}, exploring: exploring}
	r.root = &frame{process: p, inputs: in, steps: map[string]*stepState{}, remainingSteps: len(p.Steps)}
	r.advance(r.root)
	return r, nil
}

// singleStepWorkflow returns a workflow with p as its only step.
func singleStepWorkflow(p *cwl.Process) *cwl.Process {
	id := p.ID
	if id == "" {
		id = "main"
	}
	s := &cwl.Step{Pos: p.Pos, ID: id, Run: p, Req: p.Req}
	w := &cwl.Process{Pos: p.Pos, Class: cwl.Flow, ID: id, Inputs: p.Inputs, Req: p.Req, Steps: []*cwl.Step{s}}
	for _, in := range p.Inputs {
		s.In = append(s.In, cwl.StepIn{Pos: in.Pos, ID: in.ID, Link: cwl.Link{Source: []string{in.ID}}})
	}
	for _, o := range p.Outputs {
		s.Out = append(s.Out, o.ID)
		w.Outputs = append(
			w.Outputs,
			cwl.Output{Pos: o.Pos, ID: o.ID, Type: o.Type, Link: cwl.Link{Source: []string{id + "/" + o.ID}}},
		)
	}
	return w
}

// TakeNewCalls returns the calls that became ready since its last invocation, each exactly once.
func (r *Run) TakeNewCalls() []*Call {
	f := r.newCalls
	r.newCalls = nil
	return f
}

// IsOver reports whether the run has ended, with Outputs or Err. After a failure, calls may still be
// in progress.
func (r *Run) IsOver() bool { return r.isOver }

// Outputs returns the outputs of the workflow.
func (r *Run) Outputs() map[string]any { return r.outputs }

// Err returns the error that failed the run, or nil.
func (r *Run) Err() error { return r.err }

// OpenCalls returns the unfinished calls, sorted by path.
func (r *Run) OpenCalls() []*Call {
	out := slices.Collect(maps.Values(r.calls))
	slices.SortFunc(out, func(a, b *Call) int {
		if a.Path < b.Path {
			return -1
		}
		return 1
	})
	return out
}

// CompleteCall applies the outputs of a call's tasks, in task order. It is idempotent.
func (r *Run) CompleteCall(path string, outputs []map[string]any) {
	c := r.calls[path]
	if c == nil || c.isOver {
		return
	}
	c.isOver = true
	delete(r.calls, path)
	r.finishedCalls++
	if r.isOver {
		return
	}
	if len(outputs) != len(c.Inputs) {
		r.fail(path, fmt.Errorf("%d of %d tasks gave outputs", len(outputs), len(c.Inputs)))
		return
	}
	for i, o := range outputs {
		if err := c.Tool.CheckOutputs(o); err != nil {
			r.fail(path, fmt.Errorf("task %d: %w", i, err))
			return
		}
		c.step.values[c.slots[i]] = o
	}
	c.step.missingValues -= len(outputs)
	r.finishStepIfComplete(c.step)
}

// FailCall applies the failure of a call: the run fails and starts no more calls, unless it explores.
func (r *Run) FailCall(path string, err error) {
	if c := r.calls[path]; c != nil && !c.isOver {
		c.isOver = true
		delete(r.calls, path)
		r.finishedCalls++
		r.fail(path, err)
	}
}

func (r *Run) fail(path string, err error) {
	if r.isOver || r.exploring {
		return
	}
	if path != "" {
		err = fmt.Errorf("step %s: %w", path, err)
	}
	r.err, r.isOver, r.newCalls = err, true, nil
}

// advance starts the steps of a frame whose sources are all available, and finishes the frame after
// its last step.
func (r *Run) advance(f *frame) {
	for _, s := range f.process.Steps {
		if r.isOver || f.steps == nil {
			return
		}
		if f.steps[s.ID] == nil && f.isReady(s) {
			r.beginStep(f, s)
		}
	}
	if f.remainingSteps == 0 && f.steps != nil && !r.isOver {
		r.endFrame(f)
	}
}

func (f *frame) isReady(s *cwl.Step) bool {
	for _, in := range s.In {
		for _, src := range in.Link.Source {
			if id, _, ok := splitSource(src); ok && (f.steps[id] == nil || !f.steps[id].isOver) {
				return false
			}
		}
	}
	return true
}

// splitSource splits "step/output". A source without a step is an input of the workflow.
func splitSource(src string) (step, out string, ok bool) {
	for i := len(src) - 1; i > 0; i-- {
		if src[i] == '/' {
			return src[:i], src[i+1:], true
		}
	}
	return "", src, false
}

func (f *frame) valueOf(src string) any {
	if id, out, ok := splitSource(src); ok {
		return f.steps[id].outputs[out]
	}
	return f.inputs[src]
}

// maxStepEvaluation limits the total time to evaluate one step's expressions for all its tasks.
// Each expression has its own time limit, but a step may have 100,000 tasks, and the evaluation
// blocks the member's other runs.
const maxStepEvaluation = 30 * time.Second

func (r *Run) beginStep(f *frame, s *cwl.Step) {
	startedAt := time.Now()
	path := s.ID
	if f.path != "" {
		path = f.path + "/" + s.ID
	}
	st := &stepState{frame: f, step: s, path: path}
	f.steps[s.ID] = st
	in, err := s.StepInputs(f.valueOf)
	if err == nil {
		st.scatter, err = s.ScatterInputs(in)
	}
	if err != nil {
		r.fail(path, err)
		return
	}
	n := len(st.scatter.Inputs)
	st.values, st.missingValues = make([]map[string]any, n), n
	call := &Call{Path: path, Tool: s.Run, step: st}
	var frames []*frame
	for i, inputs := range st.scatter.Inputs {
		slotPath := path
		if len(s.Scatter) > 0 {
			slotPath = fmt.Sprintf("%s[%d]", path, i)
		}
		if i%64 == 63 && time.Since(startedAt) > maxStepEvaluation {
			r.fail(path, fmt.Errorf("its expressions take longer than %v", maxStepEvaluation))
			return
		}
		sub, err := call.addSlot(i, slotPath, inputs)
		if err != nil {
			r.fail(slotPath, err)
			return
		}
		if sub != nil {
			frames = append(frames, sub)
		}
	}
	st.scatter.Inputs = nil
	if len(call.Inputs) > 0 {
		r.calls[path] = call
		r.newCalls = append(r.newCalls, call)
	}
	for _, x := range frames {
		if !r.isOver {
			r.advance(x)
		}
	}
	r.finishStepIfComplete(st)
}

// addSlot processes a step's inputs for one slot: it adds a task to the call of a tool, evaluates an
// expression, or returns the frame of a subworkflow. It skips the slot if the step's condition is
// false.
func (c *Call) addSlot(slot int, path string, inputs map[string]any) (*frame, error) {
	st := c.step
	s := st.step
	inputs, run, err := s.EvalTaskInputs(inputs)
	if err != nil {
		return nil, err
	}
	if !run {
		st.missingValues--
		return nil, nil
	}
	if inputs, err = s.Run.SelectInputs(inputs); err != nil {
		return nil, err
	}
	switch s.Run.Class {
	case cwl.Tool:
		c.Inputs = append(c.Inputs, inputs)
		c.slots = append(c.slots, slot)
	case cwl.Expression:
		out, err := s.Run.RunExpression(inputs)
		if err != nil {
			return nil, err
		}
		st.values[slot] = out
		st.missingValues--
	case cwl.Flow:
		return &frame{
			process:        s.Run,
			path:           path,
			inputs:         inputs,
			steps:          map[string]*stepState{},
			remainingSteps: len(s.Run.Steps),
			parent:         st,
			slot:           slot,
		}, nil
	}
	return nil, nil
}

// finishStepIfComplete finishes a step that has all its values, and advances its frame.
func (r *Run) finishStepIfComplete(st *stepState) {
	if st.missingValues > 0 || st.isOver || r.isOver {
		return
	}
	st.isOver, st.outputs = true, map[string]any{}
	for _, id := range st.step.Out {
		values := make([]any, len(st.values))
		for i, v := range st.values {
			values[i] = v[id]
		}
		st.outputs[id] = st.scatter.Gather(st.step, values)
	}
	st.values = nil
	st.frame.remainingSteps--
	r.advance(st.frame)
}

func (r *Run) endFrame(f *frame) {
	outs := map[string]any{}
	for _, o := range f.process.Outputs {
		v, err := o.Link.Value(f.valueOf)
		if err != nil {
			r.fail(f.path, fmt.Errorf("outputs.%s: %w", o.ID, err))
			return
		}
		outs[o.ID] = v
	}
	if err := f.process.CheckOutputs(outs); err != nil {
		r.fail(f.path, err)
		return
	}
	f.steps = nil
	if f.parent == nil {
		r.outputs, r.isOver = outs, !r.exploring
		return
	}
	f.parent.values[f.slot] = outs
	f.parent.missingValues--
	r.finishStepIfComplete(f.parent)
}
