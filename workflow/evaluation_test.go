package workflow

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/grebedock/grebedock/cwl"
)

// workflowGenerator generates random workflows. Their values are integers and lists of integers.
// Their tools only add and sum, so that direct evaluation gives the same result.
type workflowGenerator struct {
	rng   *rand.Rand
	depth int
}

type object = map[string]any

var addTool = object{
	"class":       "CommandLineTool",
	"id":          "add",
	"baseCommand": "add",
	"inputs":      object{"x": "int", "y": "int"},
	"outputs":     object{"z": "int"},
}

var sumTool = object{
	"class":       "CommandLineTool",
	"id":          "sum",
	"baseCommand": "sum",
	"inputs":      object{"xs": "int[]"},
	"outputs":     object{"z": "int"},
}

var threeTool = object{
	"class":        "ExpressionTool",
	"id":           "three",
	"requirements": []any{object{"class": "InlineJavascriptRequirement"}},
	"inputs": object{
		"x": "int",
	},
	"outputs":    object{"zs": "int[]"},
	"expression": "$({zs: [inputs.x, inputs.x + 1, inputs.x % 5]})",
}

func (p *workflowGenerator) generate(steps int) object {
	ints, lists, optionalInts := []string{"a", "b"}, []string{"l"}, []string{}
	pick := func(of []string) string { return of[p.rng.IntN(len(of))] }
	list := []any{}
	for i := range steps {
		id := fmt.Sprintf("s%d", i)
		step := object{"id": id, "out": []any{"z"}}
		switch k := p.rng.IntN(9); {
		case k == 0:
			step["run"], step["in"], step["out"] = threeTool, object{"x": pick(ints)}, []any{"zs"}
			lists = append(lists, id+"/zs")
		case k == 1:
			step["run"], step["in"] = sumTool, object{"xs": pick(lists)}
			ints = append(ints, id+"/z")
		case k == 2:
			step["run"], step["scatter"], step["in"] = addTool, "x", object{"x": pick(lists), "y": pick(ints)}
			lists = append(lists, id+"/z")
		case k == 3:
			step["run"], step["scatter"] = addTool, []any{"x", "y"}
			step["in"] = object{"x": pick(lists), "y": pick(lists)}
			step["scatterMethod"] = "flat_crossproduct"
			lists = append(lists, id+"/z")
		case k == 4:
			step["run"], step["when"], step["in"] = addTool, "$(inputs.x % 2 == 0)", object{
				"x": pick(ints),
				"y": object{"source": pick(ints), "valueFrom": "$(self + 2)"},
			}
			optionalInts = append(optionalInts, id+"/z")
		case k == 5 && len(optionalInts) > 0:
			step["run"], step["in"] = addTool, object{
				"x": object{"source": []any{pick(optionalInts), pick(ints)}, "pickValue": "first_non_null"},
				"y": pick(ints),
			}
			ints = append(ints, id+"/z")
		case k == 6 && p.depth < 2:
			p.depth++
			step["run"], step["in"], step["out"] = p.generate(
				1+p.rng.IntN(4),
			), object{
				"a": pick(ints),
				"b": pick(ints),
				"l": pick(lists),
			}, []any{
				"r",
			}
			p.depth--
			ints = append(ints, id+"/r")
		case k == 7 && p.depth < 1:
			p.depth++
			step["run"], step["in"], step["out"] = p.generate(
				1+p.rng.IntN(3),
			), object{
				"a": pick(lists),
				"b": pick(ints),
				"l": pick(lists),
			}, []any{
				"r",
			}
			step["scatter"] = "a"
			p.depth--
			lists = append(lists, id+"/r")
		case k == 8:
			step["run"], step["in"] = sumTool, object{
				"xs": object{"source": []any{pick(lists), pick(lists)}, "linkMerge": "merge_flattened"},
			}
			ints = append(ints, id+"/z")
		default:
			step["run"], step["in"] = addTool, object{"x": pick(ints), "y": pick(ints)}
			ints = append(ints, id+"/z")
		}
		list = append(list, step)
	}
	p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return object{"class": "Workflow", "requirements": []any{object{"class": "InlineJavascriptRequirement"}},
		"inputs": object{"a": "int", "b": "int", "l": "int[]"}, "steps": list,
		"outputs": object{
			"r":  object{"type": "int", "outputSource": ints[len(ints)-1]},
			"rs": object{"type": "int[]", "outputSource": lists[len(lists)-1]},
		}}
}

func loadDocument(t testing.TB, doc object) (*cwl.Process, []byte) {
	t.Helper()
	doc["cwlVersion"] = cwl.Version
	b, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	p, err := cwl.Load("w.json", func(string) ([]byte, error) { return b, nil })
	if err != nil {
		t.Fatalf("%v\n%s", err, b)
	}
	return p, b
}

// evaluateTool computes a tool's outputs, as a worker does. It fails for some inputs.
func evaluateTool(p *cwl.Process, in map[string]any) (map[string]any, error) {
	n := func(v any) int64 { i, _ := v.(int64); return i }
	var z int64
	if p.ID == "add" {
		if z = n(in["x"])*3 + n(in["y"]) + 1; z%41 == 40 {
			return nil, errors.New("tool failed")
		}
	} else {
		for _, x := range in["xs"].([]any) {
			z += n(x)
		}
	}
	return map[string]any{"z": z % 1000}, nil
}

// evaluateDirectly evaluates a process step by step, without any code of Run.
func evaluateDirectly(p *cwl.Process, in map[string]any) (map[string]any, error) {
	switch p.Class {
	case cwl.Tool:
		return evaluateTool(p, in)
	case cwl.Expression:
		return p.RunExpression(in)
	}
	values := map[string]any{}
	for k, v := range in {
		values[k] = v
	}
	get := func(s string) any { return values[s] }
	for _, s := range p.Steps {
		inputs, err := s.StepInputs(get)
		if err != nil {
			return nil, err
		}
		sc, err := s.ScatterInputs(inputs)
		if err != nil {
			return nil, err
		}
		results := map[string][]any{}
		for _, x := range sc.Inputs {
			x, run, err := s.EvalTaskInputs(x)
			if err != nil {
				return nil, err
			}
			out := map[string]any{}
			if run {
				if out, err = evaluateDirectly(s.Run, s.Run.Complete(x)); err != nil {
					return nil, err
				}
			}
			for _, o := range s.Out {
				results[o] = append(results[o], out[o])
			}
		}
		for _, o := range s.Out {
			values[s.ID+"/"+o] = sc.Gather(s, results[o])
		}
	}
	outs := map[string]any{}
	for _, o := range p.Outputs {
		v, err := o.Link.Value(get)
		if err != nil {
			return nil, err
		}
		outs[o.ID] = v
	}
	return outs, nil
}

func generateWorkflow(t testing.TB, seed uint64) (p *cwl.Process, doc []byte, in map[string]any) {
	rng := rand.New(rand.NewPCG(seed, 7))
	p, doc = loadDocument(t, (&workflowGenerator{rng: rng}).generate(1+rng.IntN(12)))
	return p, doc, map[string]any{"a": rng.Int64N(20), "b": rng.Int64N(20), "l": []any{rng.Int64N(9), rng.Int64N(9)}}
}

// TestRunEqualsDirectEvaluation checks that a run gives the same outputs as direct evaluation, in
// whatever order its jobs end, and that it fails if and only if direct evaluation fails.
func TestRunEqualsDirectEvaluation(t *testing.T) {
	failed, tasks := 0, 0
	for seed := range uint64(250) {
		p, _, in := generateWorkflow(t, seed)
		want, wantErr := evaluateDirectly(p, in)
		rng := rand.New(rand.NewPCG(seed, 1))
		r, err := New(p, in)
		if err != nil {
			t.Fatal(err)
		}
		started := map[string]bool{}
		var open []*Call
		for !r.IsOver() || len(open) > 0 {
			for _, c := range r.TakeNewCalls() {
				if started[c.Path] {
					t.Fatalf("seed %d: call %s was started twice", seed, c.Path)
				}
				started[c.Path] = true
				open = append(open, c)
			}
			if len(open) == 0 {
				break
			}
			i := rng.IntN(len(open))
			c := open[i]
			open = append(open[:i], open[i+1:]...)
			var outs []map[string]any
			var fault error
			for _, x := range c.Inputs {
				o, err := evaluateTool(c.Tool, x)
				if err != nil {
					fault = err
				}
				outs = append(outs, o)
				tasks++
			}
			if fault != nil {
				r.FailCall(c.Path, fault)
			} else {
				r.CompleteCall(c.Path, outs)
				r.CompleteCall(c.Path, outs)
			}
		}
		if !r.IsOver() {
			t.Fatalf("seed %d: no call is in progress, but the run has not ended", seed)
		}
		if (wantErr != nil) != (r.Err() != nil) {
			t.Fatalf("seed %d: got error %v, want as in direct evaluation: %v", seed, r.Err(), wantErr)
		}
		if wantErr != nil {
			failed++
		} else if !reflect.DeepEqual(r.Outputs(), want) {
			t.Fatalf("seed %d: got outputs %v, want %v", seed, r.Outputs(), want)
		}
	}
	if failed < 15 || failed > 200 || tasks < 1000 {
		t.Errorf("%d of 250 workflows failed, want 15 to 200; %d tasks ran, want at least 1000", failed, tasks)
	}
}
