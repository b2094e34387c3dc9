package cwl

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema returns the JSON schema of a process's inputs, for users who submit the process.
func (p *Process) Schema() map[string]any {
	props, req := map[string]any{}, []any{}
	for _, in := range p.Inputs {
		props[in.ID] = in.Type.schema()
		switch {
		case in.Type.Optional():
		case in.HasDefault:
			props[in.ID] = map[string]any{"anyOf": []any{map[string]any{"type": "null"}, in.Type.schema()}}
		default:
			req = append(req, in.ID)
		}
	}
	return map[string]any{
		"$schema":    "https://json-schema.org/draft/2020-12/schema",
		"type":       "object",
		"properties": props,
		"required":   req,
	}
}

// validate checks a value against a JSON schema. The error gives the most deeply nested cause, which is the most
// specific.
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
	deepest := deepestCause(ve, ve)
	reason := deepest.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if len(deepest.InstanceLocation) > 0 {
		return fmt.Errorf("%s: %s", strings.Join(deepest.InstanceLocation, "."), reason)
	}
	return errors.New(reason)
}

// deepestCause returns the first of the causes below e, including e itself, that lies deepest in the validated value.
// deepest is the deepest cause found so far.
func deepestCause(e, deepest *jsonschema.ValidationError) *jsonschema.ValidationError {
	isDeeper := len(deepest.Causes) > 0 || len(e.InstanceLocation) > len(deepest.InstanceLocation)
	if len(e.Causes) == 0 && isDeeper {
		deepest = e
	}
	for _, cause := range e.Causes {
		deepest = deepestCause(cause, deepest)
	}
	return deepest
}

// checkValue returns an error if a value is not of a type.
func checkValue(t *Type, v any) error { return validate(t.schema(), v) }

// CheckInputs checks the inputs of a process and completes them with defaults and with the file names that
// expressions read. Inputs that the process does not have are rejected, since they are usually misspelled.
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

// Complete returns the inputs of a process completed with defaults and file names. It does not check the values.
func (p *Process) Complete(given map[string]any) map[string]any {
	out := make(map[string]any, len(p.Inputs))
	for _, in := range p.Inputs {
		v := given[in.ID]
		if v == nil {
			v = in.Default
		}
		out[in.ID] = WithFileNames(v)
	}
	return out
}

// CheckOutputs returns an error if an output of a tool or expression is not of its declared type.
func (p *Process) CheckOutputs(outs map[string]any) error {
	for _, o := range p.Outputs {
		if err := checkValue(o.Type, outs[o.ID]); err != nil {
			return fmt.Errorf("output %s: %w", o.ID, err)
		}
	}
	return nil
}

// WithFileNames returns a copy of a value in which files and directories have the fields path and basename, and files
// also have nameroot and nameext.
func WithFileNames(v any) any {
	switch v := v.(type) {
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = WithFileNames(v[i])
		}
		return out
	case map[string]any:
		out := make(map[string]any, len(v)+3)
		for k, x := range v {
			out[k] = WithFileNames(x)
		}
		if isFileOrDirectory(v) {
			addFileNames(out)
		}
		return out
	}
	return v
}

// addFileNames adds the name fields of a file or directory.
func addFileNames(file map[string]any) {
	at, _ := file["path"].(string)
	if at == "" {
		location, _ := file["location"].(string)
		at = strings.TrimPrefix(location, "file://")
		if at != "" {
			file["path"] = at
		}
	}
	base, _ := file["basename"].(string)
	if base == "" && at != "" {
		base = path.Base(at)
		file["basename"] = base
	}
	if file["class"] == "File" && base != "" {
		ext := path.Ext(base)
		if ext == base {
			ext = "" // a dotfile has no extension
		}
		file["nameroot"], file["nameext"] = strings.TrimSuffix(base, ext), ext
	}
}

// StepInputs returns a step's inputs before scattering, with the values of links and defaults. EvalTaskInputs then
// evaluates valueFrom for each task.
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
		in[x.ID] = WithFileNames(v)
	}
	return in, nil
}

// EvalTaskInputs evaluates valueFrom and when for one task. run is false if the task is to be skipped.
func (s *Step) EvalTaskInputs(in map[string]any) (out map[string]any, run bool, err error) {
	out = make(map[string]any, len(in))
	maps.Copy(out, in)
	for _, x := range s.In {
		if x.ValueFrom == "" {
			continue
		}
		v, err := Eval(x.ValueFrom, Scope{Inputs: in, Self: in[x.ID]}, s.Req)
		if err != nil {
			return nil, false, fmt.Errorf("in.%s.valueFrom: %w", x.ID, err)
		}
		out[x.ID] = WithFileNames(v)
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

// SelectInputs returns those of a step's inputs that this process declares, completed and checked. The process is the
// one that the step runs.
func (p *Process) SelectInputs(in map[string]any) (map[string]any, error) {
	given := map[string]any{}
	for _, x := range p.Inputs {
		if v := in[x.ID]; v != nil {
			given[x.ID] = v
		}
	}
	return p.CheckInputs(given)
}

// RunExpression evaluates the outputs of an ExpressionTool.
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
		out[o.ID] = WithFileNames(m[o.ID])
	}
	return out, p.CheckOutputs(out)
}
