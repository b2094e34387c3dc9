package cwl

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON schema of a process's inputs, for whoever submits them.
func (p *Process) Schema() map[string]any {
	props, req := map[string]any{}, []any{}
	for _, in := range p.Inputs {
		props[in.ID] = in.Type.schema()
		if !in.HasDefault && !in.Type.Optional() {
			req = append(req, in.ID)
		} else if in.HasDefault && !in.Type.Optional() {
			props[in.ID] = map[string]any{"anyOf": []any{map[string]any{"type": "null"}, in.Type.schema()}}
		}
	}
	return map[string]any{
		"$schema":    "https://json-schema.org/draft/2020-12/schema",
		"type":       "object",
		"properties": props,
		"required":   req,
	}
}

func validate(schema map[string]any, v any) error {
	c := jsonschema.NewCompiler()
	if err := c.AddResource("value.json", schema); err != nil {
		return err
	}
	s, err := c.Compile("value.json")
	if err != nil {
		return err
	}
	err = s.Validate(v)
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return err
	}
	deepest := ve
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 && (len(deepest.Causes) > 0 || len(e.InstanceLocation) > len(deepest.InstanceLocation)) {
			deepest = e
		}
		for _, x := range e.Causes {
			walk(x)
		}
	}
	walk(ve)
	what := deepest.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if len(deepest.InstanceLocation) > 0 {
		return fmt.Errorf("%s: %s", strings.Join(deepest.InstanceLocation, "."), what)
	}
	return errors.New(what)
}

// checkValue says why a value is not of a type.
func checkValue(t *Type, v any) error { return validate(t.schema(), v) }

// CheckInputs checks and completes the inputs of a process: defaults are filled in,
// files get the names that expressions ask for. Inputs that the process does
// not have are an error, since they are mostly misspelt.
func (p *Process) CheckInputs(given map[string]any) (map[string]any, error) {
	for k := range given {
		if p.Input(k) == nil && !strings.Contains(k, ":") {
			return nil, fmt.Errorf("input %q: the process has none of this name", k)
		}
	}
	if err := validate(p.Schema(), given); err != nil {
		return nil, fmt.Errorf("inputs: %w", err)
	}
	return p.Complete(given), nil
}

// Complete fills in defaults and what files lack. Values are taken to be of
// their types.
func (p *Process) Complete(given map[string]any) map[string]any {
	out := make(map[string]any, len(p.Inputs))
	for _, in := range p.Inputs {
		v := given[in.ID]
		if v == nil {
			v = in.Default
		}
		out[in.ID] = Named(v)
	}
	return out
}

// CheckOutputs says why a tool's or expression's outputs are not of their types.
func (p *Process) CheckOutputs(outs map[string]any) error {
	for _, o := range p.Outputs {
		if err := checkValue(o.Type, outs[o.ID]); err != nil {
			return fmt.Errorf("output %s: %w", o.ID, err)
		}
	}
	return nil
}

// Named gives files and directories in a value their basename, nameroot and
// nameext.
func Named(v any) any {
	switch v := v.(type) {
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = Named(v[i])
		}
		return out
	case map[string]any:
		out := make(map[string]any, len(v)+3)
		for k, x := range v {
			out[k] = Named(x)
		}
		if c := v["class"]; c != "File" && c != "Directory" {
			return out
		}
		at, _ := out["path"].(string)
		if at == "" {
			at, _ = out["location"].(string)
			at = strings.TrimPrefix(at, "file://")
			if at != "" {
				out["path"] = at
			}
		}
		base, _ := out["basename"].(string)
		if base == "" && at != "" {
			base = path.Base(at)
			out["basename"] = base
		}
		if out["class"] == "File" && base != "" {
			ext := path.Ext(base)
			if ext == base {
				ext = "" // a dot file
			}
			out["nameroot"], out["nameext"] = strings.TrimSuffix(base, ext), ext
		}
		return out
	}
	return v
}

// Value joins what a link's sources gave.
func (l Link) Value(get func(source string) any) (any, error) {
	if len(l.Source) == 0 {
		return nil, nil
	}
	var v any
	if len(l.Source) == 1 && !l.Listed && l.Merge == "" {
		v = get(l.Source[0])
	} else {
		list := []any{}
		for _, s := range l.Source {
			x := get(s)
			if inner, ok := x.([]any); ok && l.Merge == "merge_flattened" {
				list = append(list, inner...)
			} else {
				list = append(list, x)
			}
		}
		v = any(list)
		if len(l.Source) == 1 && l.Merge == "" {
			// A list of one source is its value, unless it is to be merged.
			v = get(l.Source[0])
			if l.Pick != "" {
				v = any(list)
			}
		}
	}
	if l.Pick == "" {
		return v, nil
	}
	list, ok := v.([]any)
	if !ok {
		return nil, fmt.Errorf("pickValue needs a list, not %s", typeName(v))
	}
	some := slices.DeleteFunc(slices.Clone(list), func(x any) bool { return x == nil })
	switch l.Pick {
	case "all_non_null":
		return some, nil
	case "the_only_non_null":
		if len(some) != 1 {
			return nil, fmt.Errorf("the_only_non_null: %d of %d values are not null", len(some), len(list))
		}
	case "first_non_null":
		if len(some) == 0 {
			return nil, errors.New("first_non_null: all values are null")
		}
	}
	return some[0], nil
}

// Scatter is how a step's inputs are dealt out to its tasks.
type Scatter struct {
	Inputs []map[string]any
	shape  []int // of a nested cross product
}

// Deal deals a scattered step's inputs out.
func (s *Step) Deal(in map[string]any) (Scatter, error) {
	if len(s.Scatter) == 0 {
		return Scatter{Inputs: []map[string]any{in}}, nil
	}
	lists := make([][]any, len(s.Scatter))
	for i, id := range s.Scatter {
		l, ok := in[id].([]any)
		if !ok {
			return Scatter{}, fmt.Errorf("scatter needs a list in %s, not %s", id, typeName(in[id]))
		}
		lists[i] = l
	}
	with := func(at []int) map[string]any {
		m := make(map[string]any, len(in))
		for k, v := range in {
			m[k] = v
		}
		for i, id := range s.Scatter {
			m[id] = lists[i][at[i]]
		}
		return m
	}
	var sc Scatter
	if s.Method == "dotproduct" {
		for i, l := range lists {
			if len(l) != len(lists[0]) {
				return Scatter{}, fmt.Errorf(
					"dotproduct needs lists of one length: %s has %d, %s has %d",
					s.Scatter[0],
					len(lists[0]),
					s.Scatter[i],
					len(l),
				)
			}
		}
		for i := range lists[0] {
			at := make([]int, len(lists))
			for k := range at {
				at[k] = i
			}
			sc.Inputs = append(sc.Inputs, with(at))
		}
		return sc, nil
	}
	n := 1
	for _, l := range lists {
		if n *= len(l); n > MaxTasks {
			return Scatter{}, fmt.Errorf("the cross product has more than %d tasks", MaxTasks)
		}
		if s.Method == "nested_crossproduct" {
			sc.shape = append(sc.shape, len(l))
		}
	}
	for i := range n {
		at := make([]int, len(lists))
		for k, rest := len(lists)-1, i; k >= 0; k-- {
			at[k], rest = rest%len(lists[k]), rest/len(lists[k])
		}
		sc.Inputs = append(sc.Inputs, with(at))
	}
	return sc, nil
}

// MaxTasks is the most that a step can be scattered to: as many as a job of the
// platform can have.
const MaxTasks = 100_000

// Gather puts the tasks' values of one output back together.
func (sc Scatter) Gather(s *Step, values []any) any {
	if len(s.Scatter) == 0 {
		return values[0]
	}
	if len(sc.shape) == 0 {
		if values == nil {
			values = []any{}
		}
		return values
	}
	next := 0
	var nest func(shape []int) any
	nest = func(shape []int) any {
		if len(shape) == 0 {
			next++
			return values[next-1]
		}
		l := []any{}
		for range shape[0] {
			l = append(l, nest(shape[1:]))
		}
		return l
	}
	return nest(sc.shape)
}

// StepInputs gives a step's inputs before they are dealt out: sources joined,
// defaults filled in. valueFrom follows with Finish, task by task.
func (s *Step) StepInputs(get func(source string) any) (map[string]any, error) {
	in := map[string]any{}
	for _, x := range s.In {
		v, err := x.Link.Value(get)
		if err != nil {
			return nil, fmt.Errorf("in.%s: %w", x.ID, err)
		}
		if v == nil && x.HasDefault {
			v = x.Default
		}
		in[x.ID] = Named(v)
	}
	return in, nil
}

// Finish evaluates valueFrom and when for one task. run is false when the task
// is to be skipped.
func (s *Step) Finish(in map[string]any) (out map[string]any, run bool, err error) {
	out = make(map[string]any, len(in))
	for k, v := range in {
		out[k] = v
	}
	for _, x := range s.In {
		if x.ValueFrom == "" {
			continue
		}
		v, err := Eval(x.ValueFrom, Scope{Inputs: in, Self: in[x.ID]}, s.Req)
		if err != nil {
			return nil, false, fmt.Errorf("in.%s.valueFrom: %w", x.ID, err)
		}
		out[x.ID] = Named(v)
	}
	if s.When == "" {
		return out, true, nil
	}
	v, err := Eval(s.When, Scope{Inputs: out}, s.Req)
	if err != nil {
		return nil, false, fmt.Errorf("when: %w", err)
	}
	ok, isBool := v.(bool)
	if !isBool {
		return nil, false, fmt.Errorf("when gives %s, not a boolean", typeName(v))
	}
	return out, ok, nil
}

// ForRun keeps what the process that a step runs has as inputs, complete and
// checked.
func (p *Process) ForRun(in map[string]any) (map[string]any, error) {
	given := map[string]any{}
	for _, x := range p.Inputs {
		if v := in[x.ID]; v != nil {
			given[x.ID] = v
		}
	}
	return p.CheckInputs(given)
}

// RunExpression gives the outputs of an ExpressionTool.
func (p *Process) RunExpression(in map[string]any) (map[string]any, error) {
	v, err := Eval(p.Expression, Scope{Inputs: in}, p.Req)
	if err != nil {
		return nil, err
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("the expression gives %s, not an object of outputs", typeName(v))
	}
	out := map[string]any{}
	for _, o := range p.Outputs {
		out[o.ID] = Named(m[o.ID])
	}
	return out, p.CheckOutputs(out)
}
