package cwl

import (
	"slices"
	"strings"
)

// inheritRequirements adds the requirements of the enclosing workflow to a process from another file and to its
// steps. The requirements of the process itself take precedence.
func inheritRequirements(p *Process, outer Requirements) {
	p.Req = p.Req.withDefaults(outer)
	for _, s := range p.Steps {
		s.Req = s.Req.withDefaults(outer)
		if s.Run != nil {
			inheritRequirements(s.Run, s.Req)
		}
	}
}

// withDefaults returns r with its unset requirements taken from outer. Environment variables are combined, and those
// of r take precedence.
func (r Requirements) withDefaults(outer Requirements) Requirements {
	r.JS = r.JS || outer.JS
	if len(r.Lib) == 0 {
		r.Lib = outer.Lib
	}
	r.Shell = r.Shell || outer.Shell
	if r.Image == "" {
		r.Image = outer.Image
	}
	if r.TimeLimit == nil {
		r.TimeLimit = outer.TimeLimit
	}
	env := slices.Clone(outer.Env)
	for _, e := range r.Env {
		env = slices.DeleteFunc(env, func(o EnvVar) bool { return o.Name == e.Name })
		env = append(env, e)
	}
	r.Env = env
	if r.Resources == nil {
		r.Resources = outer.Resources
	}
	if r.WorkDir == nil && r.WorkDirExpr == "" {
		r.WorkDir, r.WorkDirExpr = outer.WorkDir, outer.WorkDirExpr
	}
	r.Job = r.Job.WithDefaults(outer.Job)
	return r
}

// ignoredRequirements are the requirements that are accepted but do not affect how grebedock runs a process.
var ignoredRequirements = []string{
	"SubworkflowFeatureRequirement",
	"ScatterFeatureRequirement",
	"MultipleInputFeatureRequirement",
	"StepInputExpressionRequirement",
	"SchemaDefRequirement",
	"SoftwareRequirement",
	"NetworkAccess",
	"WorkReuse",
	"LoadListingRequirement",
	"InplaceUpdateRequirement",
}

// resourceFields are the fields of ResourceRequirement.
var resourceFields = []string{
	"coresMin", "coresMax", "ramMin", "ramMax", "tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax",
}

// requirements reads the requirements and hints of a process or step, and adds the inherited ones. Requirements take
// precedence over hints.
func (b *builder) requirements(v *value, outer Requirements) Requirements {
	r := Requirements{}
	for _, list := range []string{"hints", "requirements"} {
		for _, e := range b.idMap(v.get(list), list, "class", "") {
			path := list + "." + e.id
			class := b.expandPrefix(e.id)
			isKnown := b.requirement(&r, class, e, path, outer)
			if !isKnown && list == "requirements" && !slices.Contains(ignoredRequirements, class) {
				b.fail(e.at, path, "is not supported")
			}
		}
	}
	return r.withDefaults(outer)
}

// expandPrefix replaces the prefix of a declared namespace with the namespace.
func (b *builder) expandPrefix(class string) string {
	if prefix, rest, ok := strings.Cut(class, ":"); ok && b.namespaces[prefix] != "" {
		return b.namespaces[prefix] + rest
	}
	return class
}

// requirement reads one requirement into r. It reports whether the class is one that this package implements.
func (b *builder) requirement(r *Requirements, class string, e entry, path string, outer Requirements) (isKnown bool) {
	switch class {
	case "InlineJavascriptRequirement":
		r.JS = true
		r.Lib = texts(e.v.get("expressionLib"))
	case "ShellCommandRequirement":
		r.Shell = true
	case "DockerRequirement":
		r.Image = b.image(e, path)
	case "ToolTimeLimit":
		if x := e.v.get("timelimit"); x != nil {
			r.TimeLimit = x.data
			b.expr(x, path+".timelimit", outer)
		}
	case "EnvVarRequirement":
		r.Env = append(r.Env, b.env(e.v.get("envDef"), path)...)
	case "ResourceRequirement":
		r.Resources = b.resources(e.v, path)
	case "InitialWorkDirRequirement":
		if e.v.get("listing") == nil {
			b.fail(e.at, path, "needs listing")
		} else {
			b.workDir(e.v.get("listing"), path, r)
		}
	case JobHintClass:
		r.Job = b.jobHint(e.v, path)
	default:
		return false
	}
	return true
}

func (b *builder) image(e entry, path string) string {
	image, _ := textOf(e.v.get("dockerPull"))
	if image == "" {
		image, _ = textOf(e.v.get("dockerImageId"))
	}
	if image == "" {
		b.fail(e.at, path, "needs dockerPull: images are not built or loaded here")
	}
	return image
}

func (b *builder) env(defs *value, path string) (env []EnvVar) {
	for _, d := range b.idMap(defs, path+".envDef", "envName", "envValue") {
		x := d.v.get("envValue")
		if x == nil {
			b.fail(d.at, path, "%s needs envValue", d.id)
			continue
		}
		env = append(env, EnvVar{d.id, scalarText(x.data)})
	}
	return env
}

func (b *builder) resources(v *value, path string) map[string]any {
	resources := map[string]any{}
	for _, f := range v.fields {
		if f.key == "class" {
			continue
		}
		if !slices.Contains(resourceFields, f.key) {
			b.fail(f.at, path+"."+f.key, "is no field of %s", Version)
		}
		resources[f.key] = f.v.data
	}
	return resources
}

// workDir reads the listing of InitialWorkDirRequirement.
func (b *builder) workDir(v *value, path string, r *Requirements) {
	if s, ok := v.text(); ok {
		r.WorkDirExpr = s
		return
	}
	r.WorkDir = []Dirent{}
	for _, x := range v.items {
		if s, ok := x.text(); ok {
			r.WorkDir = append(r.WorkDir, Dirent{Entry: s})
			continue
		}
		d := Dirent{Writable: boolOf(x.get("writable"))}
		d.Name, _ = textOf(x.get("entryname"))
		d.Entry, _ = textOf(x.get("entry"))
		if x.get("entry") == nil {
			b.fail(x.Pos, path+".listing", "needs entry: files and directories written out are not taken")
		}
		r.WorkDir = append(r.WorkDir, d)
	}
}

// maxRetries is the maximum number of retries that a job hint may request.
const maxRetries = 1000

// jobPriorities are the priorities that a job hint may request.
var jobPriorities = []string{"low", "standard", "high", "production"}

// jobHint reads the grebedock job hint.
func (b *builder) jobHint(v *value, path string) *JobHint {
	h := &JobHint{}
	for _, f := range v.fields {
		isKnown, isValid := h.set(f)
		if !isKnown {
			b.fail(f.at, joinPath(path, f.key), "is no field of the hint")
		} else if !isValid {
			b.fail(f.v.Pos, joinPath(path, f.key), "has a wrong value")
		}
	}
	return h
}

// set sets a field of the hint. It reports whether the field exists and whether the value is valid.
func (h *JobHint) set(f field) (isKnown, isValid bool) {
	switch f.key {
	case "class":
		isValid = true
	case "team":
		h.Team, isValid = f.v.text()
	case "jobClass":
		h.Class, isValid = f.v.text()
	case "priority":
		h.Priority, _ = f.v.text()
		isValid = slices.Contains(jobPriorities, h.Priority)
	case "deadline":
		h.DeadlineS, isValid = f.v.nonNegative()
	case "estimate":
		h.EstimateS, isValid = f.v.nonNegative()
	case "imageSize":
		h.ImageGB, isValid = f.v.nonNegative()
	case "spot":
		h.Spot, isValid = f.v.boolean()
	case "once":
		h.Once, isValid = f.v.boolean()
	case "retries":
		n, ok := f.v.data.(int64)
		isValid = ok && n >= 0 && n <= maxRetries
		retries := int(n)
		h.Retries = &retries
	default:
		return false, false
	}
	return true, isValid
}

// nonNegative returns the number in a value. ok is false if the value is not a number or is negative.
func (v *value) nonNegative() (x float64, ok bool) {
	x, isNumber := toFloat(v.data)
	isNegative := x < 0
	return x, isNumber && !isNegative
}

// boolean returns the boolean in a value. ok is false if the value is not a boolean.
func (v *value) boolean() (x *bool, ok bool) {
	t, ok := v.data.(bool)
	return &t, ok
}

// expr checks the expressions in a string or a list of strings.
func (b *builder) expr(v *value, path string, req Requirements) {
	if v == nil {
		return
	}
	for _, s := range texts(v) {
		if err := checkExpr(s, req); err != nil {
			b.fail(v.Pos, path, "%v", err)
		}
	}
}
