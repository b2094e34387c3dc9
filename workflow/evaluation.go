// Package workflow runs workflows of the Common Workflow Language as jobs.
//
// Run is one workflow's evaluation: given what its steps' jobs gave, it says
// which jobs come next, and in the end what the workflow gave or why it failed.
// Host keeps the runs of a member: where they are in the state service, which
// of them this member drives, what is sent to the core. Both are state machines
// without input or output; time comes with the inputs, and only the bounds on
// expressions look at a clock.
//
// A run's state is its document, its inputs and what its jobs ended as, and
// nothing else: a job's id follows from the run and the step, its submission
// can be repeated, its end is in the state service. So whoever holds the run's
// shard can go on from the document alone, however its predecessor ended, and
// starts no step twice.
package workflow

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/grebedock/grebedock/cwl"
)

// Call is a tool that a step runs: one job, with a task for each of Inputs.
type Call struct {
	Path   string // of steps, down to this one: "outer[3]/inner"
	Tool   *cwl.Process
	Inputs []map[string]any

	step   *stepState
	slots  []int // task: which of the scattered values it gives
	isOver bool
}

// frame is a workflow that runs, the whole or one that a step runs.
type frame struct {
	process        *cwl.Process
	path           string
	inputs         map[string]any
	steps          map[string]*stepState
	remainingSteps int // steps that are not over

	parent *stepState // whose value at slot it gives
	slot   int
}

// stepState is a step that has begun.
type stepState struct {
	frame         *frame
	step          *cwl.Step
	path          string
	scatter       cwl.Scatter
	values        []map[string]any // by slot; nil: skipped
	missingValues int              // slots without a value
	outputs       map[string]any   // once it is over
	isOver        bool
}

// Run is a workflow's evaluation.
type Run struct {
	root          *frame
	calls         map[string]*Call // begun and not over
	finishedCalls int              // calls that are over
	newCalls      []*Call
	err           error
	outputs       map[string]any
	isOver        bool

	exploring bool
}

// New begins a run. A process that is no workflow runs as the one step of one.
func New(p *cwl.Process, inputs map[string]any) (*Run, error) { return newRun(p, inputs, false) }

// Explore begins a run that goes on past failures and is never over, for whoever
// has to find every call that may have been started before a run was given up:
// what does not depend on a failure is begun all the same.
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

// singleStepWorkflow is a workflow of one step.
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

// TakeNewCalls gives the calls that are to be started, each once.
func (r *Run) TakeNewCalls() []*Call {
	f := r.newCalls
	r.newCalls = nil
	return f
}

// IsOver tells whether the run has ended; then Outputs or Err say how. Calls may
// still be under way when it failed.
func (r *Run) IsOver() bool { return r.isOver }

// Outputs gives what the workflow gave.
func (r *Run) Outputs() map[string]any { return r.outputs }

// Err says why the workflow failed, or nothing.
func (r *Run) Err() error { return r.err }

// OpenCalls lists the calls that have begun and are not over, by path.
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

// CompleteCall takes the outputs of a call's tasks, in their order. It may be called
// again: a call is over once.
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

// FailCall takes the failure of a call: the run fails, and starts nothing more.
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

// advance begins the steps of a frame whose sources are all there, and ends the
// frame after the last.
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

// splitSource splits "step/output"; an input of the workflow has no step.
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

// maxStepEvaluation bounds the evaluation of one step's expressions, all its tasks
// together: each is bounded by itself, but a step may have 100,000 tasks, and
// other runs of the member wait.
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
		st.scatter, err = s.Deal(in)
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

// addSlot takes one set of a step's inputs: into the call of a tool, as the value of
// an expression, or as the frame of a workflow, which is returned. A step whose
// condition does not hold is not run.
func (c *Call) addSlot(slot int, path string, inputs map[string]any) (*frame, error) {
	st := c.step
	s := st.step
	inputs, run, err := s.Finish(inputs)
	if err != nil {
		return nil, err
	}
	if !run {
		st.missingValues--
		return nil, nil
	}
	if inputs, err = s.Run.ForRun(inputs); err != nil {
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

// finishStepIfComplete ends a step that has all its values, and goes on with its frame.
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
