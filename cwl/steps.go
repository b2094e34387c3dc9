package cwl

import (
	"fmt"
	"slices"
	"strings"
)

// mergeMethods and pickMethods are the permitted values of linkMerge and pickValue. The empty string means that the
// field is not given.
var (
	mergeMethods = []string{"", "merge_nested", "merge_flattened"}
	pickMethods  = []string{"", "first_non_null", "the_only_non_null", "all_non_null"}
)

// link reads the sources of a value and how they are combined. key is the field that names the sources.
func (b *builder) link(v *value, key, path string) Link {
	l := Link{Source: texts(v.get(key))}
	if s := v.get(key); s != nil {
		l.Listed = s.kind == array
	}
	for i, s := range l.Source {
		l.Source[i] = strings.TrimPrefix(s, "#")
	}
	l.Merge, _ = textOf(v.get("linkMerge"))
	l.Pick, _ = textOf(v.get("pickValue"))
	if !slices.Contains(mergeMethods, l.Merge) {
		b.fail(v.get("linkMerge").Pos, path+".linkMerge", "%q is none of merge_nested, merge_flattened", l.Merge)
	}
	if !slices.Contains(pickMethods, l.Pick) {
		pos := v.get("pickValue").Pos
		b.fail(pos, path+".pickValue", "%q is none of first_non_null, the_only_non_null, all_non_null", l.Pick)
	}
	return l
}

// flow reads the fields that are specific to a Workflow: its steps and their links. name is the name of the process.
func (b *builder) flow(p *Process, v *value, name string) {
	if v.get("steps") == nil {
		b.fail(v.Pos, "steps", "is missing")
	}
	l := &linker{builder: b, p: p, steps: map[string]*Step{}, dependencies: map[*Step][]*Step{}}
	for _, e := range b.idMap(v.get("steps"), "steps", "id", "run") {
		s := b.step(p, e, name)
		l.steps[s.ID] = s
		p.Steps = append(p.Steps, s)
	}
	for _, s := range p.Steps {
		for i := range s.In {
			in := &s.In[i]
			l.connect(in.Pos, fmt.Sprintf("steps.%s.in.%s", s.ID, in.ID), &in.Link, s.inputType(in), s)
		}
	}
	for i := range p.Outputs {
		o := &p.Outputs[i]
		l.connect(o.Pos, "outputs."+o.ID+".outputSource", &o.Link, o.Type, nil)
	}
	b.sortSteps(p, l.dependencies)
}

// inputType returns the type that the source of a step's input must have, or nil if any type is accepted.
func (s *Step) inputType(in *StepIn) *Type {
	if s.Run == nil || in.ValueFrom != "" {
		return nil
	}
	x := s.Run.Input(in.ID)
	if x == nil {
		return nil
	}
	t := x.Type
	if x.HasDefault || in.HasDefault {
		t = optional(t)
	}
	if slices.Contains(s.Scatter, in.ID) {
		t = &Type{Name: "array", Items: t}
	}
	return t
}

// optional returns the type that also accepts null.
func optional(t *Type) *Type {
	return &Type{Name: "union", Union: append([]*Type{{Name: "null"}}, t.options()...)}
}

// linker checks the links of the steps and outputs of a workflow, and records the dependencies between steps.
type linker struct {
	*builder
	p            *Process
	steps        map[string]*Step
	dependencies map[*Step][]*Step // the steps that each step depends on
}

// source returns the type of the source with the given name, and the step whose output it is. The step is nil for an
// input of the workflow. The type is nil if there is no such source.
func (l *linker) source(name string) (*Type, *Step) {
	parts := strings.Split(name, "/")
	last := parts[len(parts)-1]
	if in := l.p.Input(last); in != nil && (len(parts) == 1 || l.steps[parts[len(parts)-2]] == nil) {
		return in.Type, nil
	}
	if len(parts) < 2 {
		return nil, nil
	}
	s := l.steps[parts[len(parts)-2]]
	if s == nil || !slices.Contains(s.Out, last) {
		return nil, nil
	}
	t := &Type{Name: "Any"}
	if s.Run != nil {
		o := s.Run.Output(last)
		if o == nil {
			return nil, nil
		}
		t = o.Type
	}
	return s.outputType(t), s
}

// outputType returns the type of a step's output. t is the type of the same output of the process that the step runs.
func (s *Step) outputType(t *Type) *Type {
	if s.When != "" {
		t = optional(t)
	}
	depth := 0
	if len(s.Scatter) > 0 {
		depth = 1
	}
	if s.Method == nestedProduct {
		depth = len(s.Scatter)
	}
	for range depth {
		t = &Type{Name: "array", Items: t}
	}
	return t
}

// connect resolves the sources of a link. If the link passes the value of a single source unchanged, connect checks
// the type of the source against to, the type of the receiving input or output. A nil to accepts any type. If the
// receiver is an input of a step s, connect records the steps on which s depends. For an output of the workflow, s is
// nil.
func (l *linker) connect(at Pos, field string, link *Link, to *Type, s *Step) {
	for i, src := range link.Source {
		t, from := l.source(src)
		if t == nil {
			l.fail(at, field, "%q names no input of the workflow and no output of a step", src)
			continue
		}
		parts := strings.Split(src, "/")
		link.Source[i] = parts[len(parts)-1]
		if from != nil {
			link.Source[i] = from.ID + "/" + parts[len(parts)-1]
			if s != nil {
				l.dependencies[s] = append(l.dependencies[s], from)
			}
		}
		if to != nil && link.isPassThrough() && !t.compatibleWith(to) {
			l.fail(at, field, "%s gives %s, which is not taken as %s", src, t, to)
		}
	}
}

// isPassThrough reports whether a link passes the value of a single source unchanged.
func (l *Link) isPassThrough() bool {
	return l.Merge == "" && l.Pick == "" && len(l.Source) == 1 && !l.Listed
}

// visitState is the state of a step in the depth-first search of sortSteps.
type visitState int

const (
	unvisited visitState = iota
	onPath
	visited
)

// sortSteps sorts steps topologically, so that each step follows the steps that it depends on. A cycle is an error.
func (b *builder) sortSteps(p *Process, dependencies map[*Step][]*Step) {
	state := map[*Step]visitState{}
	var out []*Step
	var path []string
	var visit func(*Step) bool
	visit = func(s *Step) bool {
		switch state[s] {
		case visited:
			return true
		case onPath:
			b.fail(s.Pos, "steps."+s.ID, "depends on itself: %s", strings.Join(append(path, s.ID), ", "))
			return false
		}
		state[s] = onPath
		path = append(path, s.ID)
		for _, d := range dependencies[s] {
			if !visit(d) {
				return false
			}
		}
		path = path[:len(path)-1]
		state[s] = visited
		out = append(out, s)
		return true
	}
	for _, s := range p.Steps {
		if !visit(s) {
			return
		}
	}
	p.Steps = out
}

// step reads a step of a workflow. name is the name of the workflow.
func (b *builder) step(p *Process, e entry, name string) *Step {
	path := "steps." + e.id
	s := &Step{Pos: e.at, ID: e.id, Out: []string{}}
	b.check(e.v, path, stepObject)
	s.Req = b.requirements(e.v, p.Req)
	s.Run = b.stepProcess(e, path, name, s.Req)
	b.stepInputs(s, e, path)
	b.stepOutputs(s, e, path)
	b.checkRequiredInputs(s, path)
	b.stepScatter(s, e, path)
	if w := e.v.get("when"); w != nil {
		s.When = scalarText(w.data)
		b.expr(w, path+".when", s.Req)
	}
	return s
}

// stepProcess reads the process that a step runs: an embedded object, a process in the $graph of the same file, or a
// process in another file.
func (b *builder) stepProcess(e entry, path, name string, req Requirements) *Process {
	r := e.v.get("run")
	switch {
	case r == nil:
		b.fail(e.at, path+".run", "is missing")
		return nil
	case r.kind == object:
		return b.processOf(r, fmt.Sprintf("%s/%s", name, e.id), req)
	}
	ref, _ := r.text()
	file, part, _ := strings.Cut(ref, "#")
	if x := b.graph[shortID(part)]; file == "" && x != nil {
		base, _, _ := strings.Cut(name, "#")
		return b.processOf(x, base+"#"+shortID(part), req)
	}
	if file == "" {
		b.fail(r.Pos, path+".run", "%q names no process", ref)
		return nil
	}
	full := b.name(r.File, file, r.Pos)
	if full == "" {
		return nil
	}
	if slices.Contains(b.processStack, full) || slices.Contains(b.processStack, full+"#"+part) {
		b.fail(r.Pos, path+".run", "runs itself: %s", strings.Join(append(b.processStack, full), ", "))
		return nil
	}
	p := b.process(full, part, r.Pos, b.processStack)
	if p != nil {
		inheritRequirements(p, req)
	}
	return p
}

// stepInputs reads the inputs of a step.
func (b *builder) stepInputs(s *Step, e entry, path string) {
	for _, x := range b.idMap(e.v.get("in"), path+".in", "id", "source") {
		inputPath := path + ".in." + x.id
		b.check(x.v, inputPath, stepInputObject)
		in := StepIn{
			Pos:          x.at,
			ID:           x.id,
			Link:         b.link(x.v, "source", inputPath),
			LoadContents: boolOf(x.v.get("loadContents")),
		}
		if d := x.v.get("default"); d != nil {
			in.Default, in.HasDefault = d.plain(), true
		}
		if f := x.v.get("valueFrom"); f != nil {
			in.ValueFrom = scalarText(f.data)
			b.expr(f, inputPath+".valueFrom", s.Req)
		}
		s.In = append(s.In, in)
	}
}

// stepOutputs reads the outputs of a step.
func (b *builder) stepOutputs(s *Step, e entry, path string) {
	for _, x := range b.idMap(e.v.get("out"), path+".out", "id", "") {
		s.Out = append(s.Out, x.id)
		if s.Run != nil && s.Run.Output(x.id) == nil {
			b.fail(x.at, path+".out", "%q is no output of what the step runs", x.id)
		}
	}
}

// checkRequiredInputs checks that a step provides every required input of the process that it runs.
func (b *builder) checkRequiredInputs(s *Step, path string) {
	if s.Run == nil {
		return
	}
	for _, in := range s.Run.Inputs {
		if in.HasDefault || in.Type.Optional() {
			continue
		}
		if !s.hasInput(in.ID) {
			b.fail(s.Pos, path+".in", "the input %q of what the step runs gets no value", in.ID)
		}
	}
}

// hasInput reports whether a step has an input with this ID.
func (s *Step) hasInput(input string) bool {
	return slices.ContainsFunc(s.In, func(in StepIn) bool { return in.ID == input })
}

// stepScatter reads the inputs over which a step is scattered, and the scatter method.
func (b *builder) stepScatter(s *Step, e entry, path string) {
	s.Scatter = texts(e.v.get("scatter"))
	for i, x := range s.Scatter {
		s.Scatter[i] = shortID(x)
		if !s.hasInput(s.Scatter[i]) {
			b.fail(e.v.get("scatter").Pos, path+".scatter", "%q is no input of the step", x)
		}
	}
	s.Method, _ = textOf(e.v.get("scatterMethod"))
	if len(s.Scatter) == 1 {
		s.Method = dotProduct
	}
	isKnown := slices.Contains([]string{dotProduct, nestedProduct, flatProduct}, s.Method)
	if len(s.Scatter) > 1 && !isKnown {
		b.fail(e.at, path+".scatterMethod", "must be one of dotproduct, nested_crossproduct, flat_crossproduct")
	}
}
