package cwl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Pack writes a process as one JSON document, in which each reference is replaced by the process that it refers to.
// Load can read the document.
func Pack(p *Process) map[string]any {
	doc := p.pack()
	doc["requirements"] = p.Req.pack(doc["requirements"])
	delete(doc, "hints")
	doc["cwlVersion"] = Version
	doc["$namespaces"] = map[string]any{"gd": strings.TrimSuffix(JobHintClass, "Job")}
	return doc
}

// pack writes requirements, including inherited ones, so that a tool that is packed separately behaves as it does
// within its workflow. src are the requirements in the source document, from which the type definitions are copied
// unchanged.
func (r Requirements) pack(src any) []any {
	out := []any{}
	add := func(class string, fields map[string]any) {
		fields["class"] = class
		out = append(out, fields)
	}
	if r.JS {
		add("InlineJavascriptRequirement", map[string]any{"expressionLib": r.Lib})
	}
	if r.Shell {
		add("ShellCommandRequirement", map[string]any{})
	}
	if r.Image != "" {
		add("DockerRequirement", map[string]any{"dockerPull": r.Image})
	}
	if r.TimeLimit != nil {
		add("ToolTimeLimit", map[string]any{"timelimit": r.TimeLimit})
	}
	if len(r.Env) > 0 {
		env := []any{}
		for _, e := range r.Env {
			env = append(env, map[string]any{"envName": e.Name, "envValue": e.Value})
		}
		add("EnvVarRequirement", map[string]any{"envDef": env})
	}
	if r.Resources != nil {
		add("ResourceRequirement", maps.Clone(r.Resources))
	}
	if listing := r.listing(); listing != nil {
		add("InitialWorkDirRequirement", map[string]any{"listing": listing})
	}
	if r.Job != nil {
		out = append(out, withJobHint(nil, r.Job).([]any)...)
	}
	for _, types := range schemaDefsOf(src) {
		add("SchemaDefRequirement", types)
	}
	return out
}

// listing writes the listing of InitialWorkDirRequirement: the files placed in a tool's working directory. It returns
// nil if there are none.
func (r Requirements) listing() any {
	if r.WorkDirExpr != "" {
		return r.WorkDirExpr
	}
	if len(r.WorkDir) == 0 {
		return nil
	}
	list := []any{}
	for _, d := range r.WorkDir {
		if d.Name == "" && !d.Writable {
			list = append(list, d.Entry)
			continue
		}
		e := map[string]any{"entry": d.Entry, "writable": d.Writable}
		if d.Name != "" {
			e["entryname"] = d.Name
		}
		list = append(list, e)
	}
	return list
}

// schemaDefsOf returns copies of the SchemaDefRequirement entries among a document's requirements.
func schemaDefsOf(requirements any) (defs []map[string]any) {
	keep := func(class string, x any) {
		if m, ok := x.(map[string]any); ok && class == "SchemaDefRequirement" {
			defs = append(defs, maps.Clone(m))
		}
	}
	switch list := requirements.(type) {
	case []any:
		for _, x := range list {
			if m, ok := x.(map[string]any); ok {
				keep(fmt.Sprint(m["class"]), m)
			}
		}
	case map[string]any:
		for _, class := range slices.Sorted(maps.Keys(list)) {
			keep(class, list[class])
		}
	}
	return defs
}

// pack writes a process. Its job hint includes the inherited fields, so that the hint has the same meaning outside
// the enclosing workflow.
func (p *Process) pack() map[string]any {
	doc := p.src.plain().(map[string]any)
	doc = maps.Clone(doc)
	delete(doc, "$schemas")
	delete(doc, "$namespaces")
	if p.Req.Job != nil {
		doc["hints"] = withJobHint(doc["hints"], p.Req.Job)
	}
	if p.Class != Flow {
		return doc
	}
	steps := map[string]any{}
	for _, s := range p.Steps {
		steps[s.ID] = s.pack(p.src)
	}
	doc["steps"] = steps
	return doc
}

// pack writes a step of the workflow whose source is src.
func (s *Step) pack(src *value) map[string]any {
	var doc map[string]any
	reader := &builder{loader: &loader{}} // its errors are discarded: Load has already reported them
	for _, e := range reader.idMap(src.get("steps"), "steps", "id", "run") {
		if e.id == s.ID {
			doc = maps.Clone(e.v.plain().(map[string]any))
		}
	}
	delete(doc, "id")
	doc["run"] = s.Run.pack()
	if s.Req.Job != nil {
		doc["hints"] = withJobHint(doc["hints"], s.Req.Job)
	}
	return doc
}

// withJobHint returns a list of hints that begins with the job hint h. Other job hints in the list are removed.
func withJobHint(hints any, h *JobHint) any {
	list := []any{h.pack()}
	switch hs := hints.(type) {
	case []any:
		for _, x := range hs {
			m, ok := x.(map[string]any)
			if !ok || !isJobHint(fmt.Sprint(m["class"])) {
				list = append(list, x)
			}
		}
	case map[string]any:
		for _, class := range slices.Sorted(maps.Keys(hs)) {
			if isJobHint(class) {
				continue
			}
			m := map[string]any{}
			if fields, ok := hs[class].(map[string]any); ok {
				m = maps.Clone(fields)
			}
			m["class"] = class
			list = append(list, m)
		}
	}
	return list
}

// isJobHint reports whether a class is that of the job hint, with any namespace prefix.
func isJobHint(class string) bool { return strings.HasSuffix(class, "Job") }

// pack writes a job hint.
func (h *JobHint) pack() map[string]any {
	job := map[string]any{"class": "gd:Job"}
	put := func(key string, v any, isSet bool) {
		if isSet {
			job[key] = v
		}
	}
	put("team", h.Team, h.Team != "")
	put("jobClass", h.Class, h.Class != "")
	put("priority", h.Priority, h.Priority != "")
	put("deadline", h.DeadlineS, h.DeadlineS != 0)
	put("estimate", h.EstimateS, h.EstimateS != 0)
	put("imageSize", h.ImageGB, h.ImageGB != 0)
	if h.Spot != nil {
		job["spot"] = *h.Spot
	}
	if h.Once != nil {
		job["once"] = *h.Once
	}
	if h.Retries != nil {
		job["retries"] = *h.Retries
	}
	return job
}
