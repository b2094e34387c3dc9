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

	state *stepState
	slots []int // task: which of the scattered values it gives
	over  bool
}

// frame is a workflow that runs, the whole or one that a step runs.
type frame struct {
	p     *cwl.Process
	path  string
	in    map[string]any
	steps map[string]*stepState
	left  int // steps that are not over

	parent *stepState // whose value at slot it gives
	slot   int
}

// stepState is a step that has begun.
type stepState struct {
	f       *frame
	step    *cwl.Step
	path    string
	scatter cwl.Scatter
	values  []map[string]any // by slot; nil: skipped
	left    int              // slots without a value
	outs    map[string]any   // once it is over
	over    bool
}

// Run is a workflow's evaluation.
type Run struct {
	root  *frame
	calls map[string]*Call // begun and not over
	done  int              // calls that are over
	fresh []*Call
	err   error
	outs  map[string]any
	over  bool

	exploring bool
}

// New begins a run. A process that is no workflow runs as the one step of one.
func New(p *cwl.Process, inputs map[string]any) (*Run, error) { return begin(p, inputs, false) }

// Explore begins a run that goes on past failures and is never over, for whoever
// has to find every call that may have been started before a run was given up:
// what does not depend on a failure is begun all the same.
func Explore(p *cwl.Process, inputs map[string]any) (*Run, error) { return begin(p, inputs, true) }

func begin(p *cwl.Process, inputs map[string]any, exploring bool) (*Run, error) {
	in, err := p.CheckInputs(inputs)
	if err != nil {
		return nil, err
	}
	if p.Class != cwl.Flow {
		p = alone(p)
	}
	r := &Run{calls: map[string]*Call{}, exploring: exploring}
	r.root = &frame{p: p, in: in, steps: map[string]*stepState{}, left: len(p.Steps)}
	r.advance(r.root)
	return r, nil
}

// alone is a workflow of one step.
func alone(p *cwl.Process) *cwl.Process {
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
		w.Outputs = append(w.Outputs, cwl.Output{Pos: o.Pos, ID: o.ID, Type: o.Type, Link: cwl.Link{Source: []string{id + "/" + o.ID}}})
	}
	return w
}

// Fresh gives the calls that are to be started, each once.
func (r *Run) Fresh() []*Call {
	f := r.fresh
	r.fresh = nil
	return f
}

// Over tells whether the run has ended; then Outputs or Err say how. Calls may
// still be under way when it failed.
func (r *Run) Over() bool { return r.over }

// Outputs gives what the workflow gave.
func (r *Run) Outputs() map[string]any { return r.outs }

// Err says why the workflow failed, or nothing.
func (r *Run) Err() error { return r.err }

// Open lists the calls that have begun and are not over, by path.
func (r *Run) Open() []*Call {
	out := slices.Collect(maps.Values(r.calls))
	slices.SortFunc(out, func(a, b *Call) int {
		if a.Path < b.Path {
			return -1
		}
		return 1
	})
	return out
}

// Done takes the outputs of a call's tasks, in their order. It may be called
// again: a call is over once.
func (r *Run) Done(path string, outs []map[string]any) {
	c := r.calls[path]
	if c == nil || c.over {
		return
	}
	c.over = true
	delete(r.calls, path)
	r.done++
	if r.over {
		return
	}
	if len(outs) != len(c.Inputs) {
		r.fail(path, fmt.Errorf("%d of %d tasks gave outputs", len(outs), len(c.Inputs)))
		return
	}
	for i, o := range outs {
		if err := c.Tool.CheckOutputs(o); err != nil {
			r.fail(path, fmt.Errorf("task %d: %w", i, err))
			return
		}
		c.state.values[c.slots[i]] = o
	}
	c.state.left -= len(outs)
	r.settle(c.state)
}

// Fail takes the failure of a call: the run fails, and starts nothing more.
func (r *Run) Fail(path string, err error) {
	if c := r.calls[path]; c != nil && !c.over {
		c.over = true
		delete(r.calls, path)
		r.done++
		r.fail(path, err)
	}
}

func (r *Run) fail(path string, err error) {
	if r.over || r.exploring {
		return
	}
	if path != "" {
		err = fmt.Errorf("step %s: %w", path, err)
	}
	r.err, r.over, r.fresh = err, true, nil
}

// advance begins the steps of a frame whose sources are all there, and ends the
// frame after the last.
func (r *Run) advance(f *frame) {
	for _, s := range f.p.Steps {
		if r.over || f.steps == nil {
			return
		}
		if f.steps[s.ID] == nil && f.ready(s) {
			r.begin(f, s)
		}
	}
	if f.left == 0 && f.steps != nil && !r.over {
		r.endFrame(f)
	}
}

func (f *frame) ready(s *cwl.Step) bool {
	for _, in := range s.In {
		for _, src := range in.Link.Source {
			if id, _, ok := cutStep(src); ok && (f.steps[id] == nil || !f.steps[id].over) {
				return false
			}
		}
	}
	return true
}

// cutStep splits "step/output"; an input of the workflow has no step.
func cutStep(src string) (step, out string, ok bool) {
	for i := len(src) - 1; i > 0; i-- {
		if src[i] == '/' {
			return src[:i], src[i+1:], true
		}
	}
	return "", src, false
}

func (f *frame) get(src string) any {
	if id, out, ok := cutStep(src); ok {
		return f.steps[id].outs[out]
	}
	return f.in[src]
}

// stepTime bounds the evaluation of one step's expressions, all its tasks
// together: each is bounded by itself, but a step may have 100,000 tasks, and
// other runs of the member wait.
const stepTime = 30 * time.Second

func (r *Run) begin(f *frame, s *cwl.Step) {
	began := time.Now()
	path := s.ID
	if f.path != "" {
		path = f.path + "/" + s.ID
	}
	st := &stepState{f: f, step: s, path: path}
	f.steps[s.ID] = st
	in, err := s.StepInputs(f.get)
	if err == nil {
		st.scatter, err = s.Deal(in)
	}
	if err != nil {
		r.fail(path, err)
		return
	}
	n := len(st.scatter.Inputs)
	st.values, st.left = make([]map[string]any, n), n
	call := &Call{Path: path, Tool: s.Run, state: st}
	var frames []*frame
	for i, given := range st.scatter.Inputs {
		where := path
		if len(s.Scatter) > 0 {
			where = fmt.Sprintf("%s[%d]", path, i)
		}
		if i%64 == 63 && time.Since(began) > stepTime {
			r.fail(path, fmt.Errorf("its expressions take longer than %v", stepTime))
			return
		}
		sub, err := call.add(i, where, given)
		if err != nil {
			r.fail(where, err)
			return
		}
		if sub != nil {
			frames = append(frames, sub)
		}
	}
	st.scatter.Inputs = nil
	if len(call.Inputs) > 0 {
		r.calls[path] = call
		r.fresh = append(r.fresh, call)
	}
	for _, x := range frames {
		if !r.over {
			r.advance(x)
		}
	}
	r.settle(st)
}

// add takes one set of a step's inputs: into the call of a tool, as the value of
// an expression, or as the frame of a workflow, which is returned. A step whose
// condition does not hold is not run.
func (c *Call) add(slot int, path string, given map[string]any) (*frame, error) {
	st := c.state
	s := st.step
	given, run, err := s.Finish(given)
	if err != nil {
		return nil, err
	}
	if !run {
		st.left--
		return nil, nil
	}
	if given, err = s.Run.ForRun(given); err != nil {
		return nil, err
	}
	switch s.Run.Class {
	case cwl.Tool:
		c.Inputs = append(c.Inputs, given)
		c.slots = append(c.slots, slot)
	case cwl.Expression:
		out, err := s.Run.RunExpression(given)
		if err != nil {
			return nil, err
		}
		st.values[slot] = out
		st.left--
	case cwl.Flow:
		return &frame{p: s.Run, path: path, in: given, steps: map[string]*stepState{}, left: len(s.Run.Steps), parent: st, slot: slot}, nil
	}
	return nil, nil
}

// settle ends a step that has all its values, and goes on with its frame.
func (r *Run) settle(st *stepState) {
	if st.left > 0 || st.over || r.over {
		return
	}
	st.over, st.outs = true, map[string]any{}
	for _, id := range st.step.Out {
		values := make([]any, len(st.values))
		for i, v := range st.values {
			values[i] = v[id]
		}
		st.outs[id] = st.scatter.Gather(st.step, values)
	}
	st.values = nil
	st.f.left--
	r.advance(st.f)
}

func (r *Run) endFrame(f *frame) {
	outs := map[string]any{}
	for _, o := range f.p.Outputs {
		v, err := o.Link.Value(f.get)
		if err != nil {
			r.fail(f.path, fmt.Errorf("outputs.%s: %w", o.ID, err))
			return
		}
		outs[o.ID] = v
	}
	if err := f.p.CheckOutputs(outs); err != nil {
		r.fail(f.path, err)
		return
	}
	f.steps = nil
	if f.parent == nil {
		r.outs, r.over = outs, !r.exploring
		return
	}
	f.parent.values[f.slot] = outs
	f.parent.left--
	r.settle(f.parent)
}
