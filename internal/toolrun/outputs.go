package toolrun

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/grebedock/grebedock/cwl"
)

// outputObjectFile is the file in the tool's directory to which a tool can write its outputs itself.
const outputObjectFile = "cwl.output.json"

// collectOutputs reads a tool's outputs from its directory and checks their types.
func collectOutputs(p *cwl.Process, inputs, runtime map[string]any, out string) (map[string]any, error) {
	if b, err := os.ReadFile(filepath.Join(out, outputObjectFile)); err == nil {
		return decodeOutputs(p, b)
	}
	outputs := map[string]any{}
	scope := cwl.Scope{Inputs: inputs, Runtime: runtime}
	for _, o := range p.Outputs {
		v, err := collectOutput(p, &o, scope, out)
		if err != nil {
			return nil, fmt.Errorf("outputs.%s: %w", o.ID, err)
		}
		outputs[o.ID] = v
	}
	return outputs, p.CheckOutputs(outputs)
}

// decodeOutputs decodes the outputs that a tool wrote to outputObjectFile and checks their types.
func decodeOutputs(p *cwl.Process, b []byte) (map[string]any, error) {
	v, err := cwl.DecodeJSON(b)
	object, ok := v.(map[string]any)
	if err != nil || !ok {
		return nil, errors.New("cwl.output.json is no JSON object")
	}
	outputs := map[string]any{}
	for id, x := range object {
		outputs[id] = cwl.WithFileNames(x)
	}
	return outputs, p.CheckOutputs(outputs)
}

// collectOutput returns the value of one output: the files that match its globs, or the result of its outputEval
// expression for them.
func collectOutput(p *cwl.Process, o *cwl.Output, scope cwl.Scope, out string) (any, error) {
	files := []any{}
	for _, glob := range o.Glob {
		matches, err := collectGlob(p, o, glob, scope, out)
		if err != nil {
			return nil, err
		}
		files = append(files, matches...)
	}
	for _, f := range files {
		if err := addSecondaryFiles(p, f, o.Secondary, scope.Inputs); err != nil {
			return nil, err
		}
	}
	switch {
	case o.OutputEval != "":
		scope.Self = files
		return cwl.Eval(o.OutputEval, scope, p.Req)
	case o.Type.Name == "array":
		return files, nil
	case len(files) == 0:
		return nil, nil
	case len(files) > 1:
		return nil, fmt.Errorf("%d files match, where one is wanted", len(files))
	}
	return files[0], nil
}

// collectGlob returns the CWL values of the files that match a glob. The glob can be an expression, whose result is one
// pattern or a list of patterns.
func collectGlob(p *cwl.Process, o *cwl.Output, glob string, scope cwl.Scope, out string) (files []any, err error) {
	v, err := cwl.Eval(glob, scope, p.Req)
	if err != nil {
		return nil, err
	}
	patterns, isList := v.([]any)
	if !isList {
		patterns = []any{v}
	}
	for _, x := range patterns {
		pattern, _ := x.(string)
		if !filepath.IsLocal(pattern) {
			return nil, fmt.Errorf("glob: %v is no name within the tool's directory", x)
		}
		names, err := filepath.Glob(filepath.Join(out, pattern))
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			f, err := describeFile(name, o.LoadContents)
			if err != nil {
				return nil, err
			}
			files = append(files, f)
		}
	}
	return files, nil
}
