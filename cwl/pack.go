package cwl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Pack writes a process, with all that it runs in place of references, as one
// JSON document. Load reads it back.
func Pack(p *Process) map[string]any {
	doc := p.pack()
	doc["requirements"] = p.Req.pack(doc["requirements"])
	delete(doc, "hints")
	doc["cwlVersion"] = Version
	doc["$namespaces"] = map[string]any{"gd": strings.TrimSuffix(JobHintClass, "Job")}
	return doc
}

// pack writes requirements, the inherited ones among them: a tool that is packed
// by itself still means what it did within its workflow. Types that a document
// defines are kept as they stand.
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

// listing writes the files that a tool finds in its directory; nil: none.
func (r Requirements) listing() any {
	if r.WorkDirAll != "" {
		return r.WorkDirAll
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

// schemaDefsOf copies what a document's requirements say of types of its own.
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

// pack writes a process. Its requirements include what it inherited, so that
// its meaning does not hang on where it stands.
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
		var src map[string]any
		for _, e := range (&builder{loader: &loader{}}).idMap(p.src.get("steps"), "steps", "id", "run") {
			if e.id == s.ID {
				src = maps.Clone(e.v.plain().(map[string]any))
			}
		}
		delete(src, "id")
		src["run"] = s.Run.pack()
		if s.Req.Job != nil {
			src["hints"] = withJobHint(src["hints"], s.Req.Job)
		}
		steps[s.ID] = src
	}
	doc["steps"] = steps
	return doc
}

func withJobHint(hints any, h *JobHint) any {
	job := map[string]any{"class": "gd:Job"}
	put := func(k string, v any, there bool) {
		if there {
			job[k] = v
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
	list := []any{job}
	switch hs := hints.(type) {
	case []any:
		for _, x := range hs {
			if m, ok := x.(map[string]any); !ok || !strings.HasSuffix(fmt.Sprint(m["class"]), "Job") {
				list = append(list, x)
			}
		}
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(hs)) {
			if strings.HasSuffix(k, "Job") {
				continue
			}
			m := map[string]any{}
			if sub, ok := hs[k].(map[string]any); ok {
				m = maps.Clone(sub)
			}
			m["class"] = k
			list = append(list, m)
		}
	}
	return list
}
