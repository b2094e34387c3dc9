package cwl

import (
	"fmt"
	"maps"
)

// Values of scatterMethod.
const (
	dotProduct    = "dotproduct"
	nestedProduct = "nested_crossproduct"
	flatProduct   = "flat_crossproduct"
)

// MaxTasks is the maximum number of tasks of a cross product. It equals the maximum number of tasks of a grebedock
// job.
const MaxTasks = 100_000

// Scatter is the distribution of a step's inputs to its tasks.
type Scatter struct {
	Inputs []map[string]any // one element per task
	shape  []int            // lengths of the scattered lists; set only for a nested cross product
}

// ScatterInputs distributes a step's inputs to its tasks. A step that is not scattered has a single task.
func (s *Step) ScatterInputs(in map[string]any) (Scatter, error) {
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
	if s.Method == dotProduct {
		return s.scatterDotProduct(in, lists)
	}
	return s.scatterCrossProduct(in, lists)
}

// taskInputs returns the inputs of the task that takes the items at the given positions of the scattered lists.
func (s *Step) taskInputs(in map[string]any, lists [][]any, positions []int) map[string]any {
	inputs := make(map[string]any, len(in))
	maps.Copy(inputs, in)
	for i, id := range s.Scatter {
		inputs[id] = lists[i][positions[i]]
	}
	return inputs
}

// scatterDotProduct creates one task per position: the first takes the first item of each list, the second the
// second, and so on.
func (s *Step) scatterDotProduct(in map[string]any, lists [][]any) (Scatter, error) {
	for i, l := range lists {
		if len(l) != len(lists[0]) {
			return Scatter{}, fmt.Errorf("dotproduct needs lists of one length: %s has %d, %s has %d",
				s.Scatter[0], len(lists[0]), s.Scatter[i], len(l))
		}
	}
	var sc Scatter
	for i := range lists[0] {
		positions := make([]int, len(lists))
		for k := range positions {
			positions[k] = i
		}
		sc.Inputs = append(sc.Inputs, s.taskInputs(in, lists, positions))
	}
	return sc, nil
}

// scatterCrossProduct creates one task for each combination of items. The item of the last list varies fastest.
func (s *Step) scatterCrossProduct(in map[string]any, lists [][]any) (Scatter, error) {
	var sc Scatter
	tasks := 1
	for _, l := range lists {
		if tasks *= len(l); tasks > MaxTasks {
			return Scatter{}, fmt.Errorf("the cross product has more than %d tasks", MaxTasks)
		}
		if s.Method == nestedProduct {
			sc.shape = append(sc.shape, len(l))
		}
	}
	for i := range tasks {
		positions := make([]int, len(lists))
		for k, rest := len(lists)-1, i; k >= 0; k-- {
			positions[k], rest = rest%len(lists[k]), rest/len(lists[k])
		}
		sc.Inputs = append(sc.Inputs, s.taskInputs(in, lists, positions))
	}
	return sc, nil
}

// Gather combines the tasks' values of one output, in the order of Inputs, into the value of the step's output.
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
