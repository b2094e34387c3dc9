package cwl

import (
	"slices"
	"strings"
)

// inherit gives a process that stands in a file of its own what the workflow
// above asks for and it does not.
func inherit(p *Process, outer Requirements) {
	p.Req = p.Req.under(outer)
	for _, s := range p.Steps {
		s.Req = s.Req.under(outer)
		if s.Run != nil {
			inherit(s.Run, s.Req)
		}
	}
}

func (r Requirements) under(outer Requirements) Requirements {
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
	if r.WorkDir == nil && r.WorkDirAll == "" {
		r.WorkDir, r.WorkDirAll = outer.WorkDir, outer.WorkDirAll
	}
	r.Job = r.Job.Under(outer.Job)
	return r
}

// ignored requirements change nothing about how a process runs here.
var ignored = []string{
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

func (b *builder) requirements(v *value, outer Requirements) Requirements {
	r := Requirements{}
	for _, list := range []string{"hints", "requirements"} {
		for _, e := range b.idMap(v.get(list), list, "class", "") {
			class := e.id
			if ns, rest, ok := strings.Cut(class, ":"); ok && b.spaces[ns] != "" {
				class = b.spaces[ns] + rest
			}
			at := list + "." + e.id
			switch class {
			case "InlineJavascriptRequirement":
				r.JS = true
				r.Lib = texts(e.v.get("expressionLib"))
			case "ShellCommandRequirement":
				r.Shell = true
			case "DockerRequirement":
				r.Image, _ = textOf(e.v.get("dockerPull"))
				if r.Image == "" {
					r.Image, _ = textOf(e.v.get("dockerImageId"))
				}
				if r.Image == "" {
					b.fail(e.at, at, "needs dockerPull: images are not built or loaded here")
				}
			case "ToolTimeLimit":
				if x := e.v.get("timelimit"); x != nil {
					r.TimeLimit = x.data
					b.expr(x, at+".timelimit", outer)
				}
			case "EnvVarRequirement":
				for _, d := range b.idMap(e.v.get("envDef"), at+".envDef", "envName", "envValue") {
					x := d.v.get("envValue")
					if x == nil {
						b.fail(d.at, at, "%s needs envValue", d.id)
						continue
					}
					r.Env = append(r.Env, EnvVar{d.id, scalarText(x.data)})
				}
			case "ResourceRequirement":
				r.Resources = map[string]any{}
				for _, f := range e.v.fields {
					if f.key == "class" {
						continue
					}
					if !slices.Contains(
						[]string{"coresMin", "coresMax", "ramMin", "ramMax", "tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax"},
						f.key,
					) {
						b.fail(f.at, at+"."+f.key, "is no field of %s", Version)
					}
					r.Resources[f.key] = f.v.data
				}
			case "InitialWorkDirRequirement":
				if e.v.get("listing") == nil {
					b.fail(e.at, at, "needs listing")
				} else {
					b.workDir(e.v.get("listing"), at, &r)
				}
			case JobHintClass:
				r.Job = b.jobHint(e.v, at)
			default:
				if list == "requirements" && !slices.Contains(ignored, class) {
					b.fail(e.at, at, "is not supported")
				}
			}
		}
	}
	return r.under(outer)
}

func (b *builder) workDir(v *value, at string, r *Requirements) {
	if s, ok := v.text(); ok {
		r.WorkDirAll = s
		return
	}
	r.WorkDir = []Dirent{}
	for _, x := range v.items {
		if s, ok := x.text(); ok {
			r.WorkDir = append(r.WorkDir, Dirent{Entry: s})
			continue
		}
		d := Dirent{Writable: flag(x.get("writable"))}
		d.Name, _ = textOf(x.get("entryname"))
		d.Entry, _ = textOf(x.get("entry"))
		if x.get("entry") == nil {
			b.fail(x.Pos, at+".listing", "needs entry: files and directories written out are not taken")
		}
		r.WorkDir = append(r.WorkDir, d)
	}
}

func (b *builder) jobHint(v *value, at string) *JobHint {
	h := &JobHint{}
	for _, f := range v.fields {
		where, bad := join(at, f.key), false
		number := func() float64 {
			x, ok := toFloat(f.v.data)
			bad = !ok || x < 0
			return x
		}
		text := func() string {
			s, ok := f.v.text()
			bad = !ok
			return s
		}
		truth := func() *bool {
			t, ok := f.v.data.(bool)
			bad = !ok
			return &t
		}
		switch f.key {
		case "class":
		case "team":
			h.Team = text()
		case "jobClass":
			h.Class = text()
		case "priority":
			h.Priority = text()
			bad = !slices.Contains([]string{"low", "standard", "high", "production"}, h.Priority)
		case "deadline":
			h.DeadlineS = number()
		case "estimate":
			h.EstimateS = number()
		case "imageSize":
			h.ImageGB = number()
		case "spot":
			h.Spot = truth()
		case "once":
			h.Once = truth()
		case "retries":
			n, ok := f.v.data.(int64)
			bad = !ok || n < 0 || n > 1000
			i := int(n)
			h.Retries = &i
		default:
			b.fail(f.at, where, "is no field of the hint")
		}
		if bad {
			b.fail(f.v.Pos, where, "has a wrong value")
		}
	}
	return h
}

// expr checks a text that may hold expressions.
func (b *builder) expr(v *value, at string, req Requirements) {
	if v == nil {
		return
	}
	for _, s := range texts(v) {
		if err := checkExpr(s, req); err != nil {
			b.fail(v.Pos, at, "%v", err)
		}
	}
}
