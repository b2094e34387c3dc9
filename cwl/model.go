package cwl

import "cmp"

// Class is the CWL class of a process.
type Class string

// Supported process classes.
const (
	Tool       Class = "CommandLineTool"
	Expression Class = "ExpressionTool"
	Flow       Class = "Workflow"
)

// Process is a CommandLineTool, an ExpressionTool or a Workflow.
type Process struct {
	Pos
	Class   Class
	ID      string
	Inputs  []Input
	Outputs []Output
	Req     Requirements

	// Fields of a CommandLineTool.
	BaseCommand           []string
	Arguments             []Binding
	Stdin, Stdout, Stderr string
	SuccessCodes          []int

	// Fields of an ExpressionTool.
	Expression string

	// Fields of a Workflow. Steps are in topological order: each step follows the steps that it depends on.
	Steps []*Step

	src *value // the parsed document, from which Pack writes the process
}

// Input is an input parameter of a process.
type Input struct {
	Pos
	ID           string
	Type         *Type
	Default      any
	HasDefault   bool
	Binding      *Binding
	Secondary    []Secondary
	LoadContents bool
}

// Secondary is an entry of secondaryFiles: a pattern that derives the name of an accompanying file from the name of
// the primary file.
type Secondary struct {
	Pattern  string
	Required string // "true", "false", an expression, or empty if not given
}

// Binding is a CommandLineBinding: it defines how a value is added to a command line.
type Binding struct {
	Position      string // a number or an expression; empty means 0
	Prefix        string
	NoSeparate    bool // the prefix and the value form a single argument
	ItemSeparator string
	HasSeparator  bool
	ValueFrom     string
	NoQuote       bool // not quoted for the shell; applies only with ShellCommandRequirement
	LoadContents  bool
}

// Output is an output parameter of a process.
type Output struct {
	Pos
	ID        string
	Type      *Type
	Secondary []Secondary

	// Fields for outputs of tools.
	Glob         []string
	LoadContents bool
	OutputEval   string

	// Field for outputs of workflows.
	Link Link
}

// Link defines the sources of a value and how their values are combined.
type Link struct {
	Source []string // each is INPUT for an input of the workflow, or STEP/OUTPUT
	Listed bool     // the sources are written as a list, possibly of a single source
	Merge  string   // value of linkMerge
	Pick   string   // value of pickValue
}

// Step is a step of a workflow.
type Step struct {
	Pos
	ID      string
	In      []StepIn
	Out     []string
	Run     *Process
	Scatter []string // IDs of the scattered inputs
	Method  string   // dotProduct, nestedProduct or flatProduct if the step is scattered
	When    string   // an expression; empty means that the step always runs
	Req     Requirements
}

// StepIn is an input of a step.
type StepIn struct {
	Pos
	ID           string
	Link         Link
	Default      any
	HasDefault   bool
	ValueFrom    string
	LoadContents bool
}

// Requirements are the requirements of a process or step, including those inherited from the enclosing workflow.
type Requirements struct {
	JS          bool     // expressions may contain JavaScript
	Lib         []string // JavaScript code that runs before each expression
	Shell       bool
	Image       string
	Env         []EnvVar
	TimeLimit   any // seconds, or an expression; nil means no limit
	WorkDir     []Dirent
	WorkDirExpr string         // an expression that evaluates to the whole listing
	Resources   map[string]any // fields of ResourceRequirement, each a number or an expression
	Job         *JobHint
}

// EnvVar is an environment variable of a tool. Value may contain expressions.
type EnvVar struct{ Name, Value string }

// Dirent is a file or directory that is placed in a tool's working directory before the tool starts. Name and Entry
// may be expressions.
type Dirent struct {
	Name     string
	Entry    string
	Writable bool
}

// JobHint is the grebedock extension hint that controls how a step is scheduled. Fields with the zero value are
// inherited from the enclosing workflow.
type JobHint struct {
	Team      string  `json:"team,omitempty"`
	Class     string  `json:"class,omitempty"`
	Priority  string  `json:"priority,omitempty"`
	DeadlineS float64 `json:"deadline,omitempty"`  // seconds after the step's submission
	EstimateS float64 `json:"estimate,omitempty"`  // estimated run time of a task, in seconds
	ImageGB   float64 `json:"imageSize,omitempty"` // size of the container image, in gigabytes
	Spot      *bool   `json:"spot,omitempty"`
	Retries   *int    `json:"retries,omitempty"` // maximum number of retries of a failed task; nil means 2
	Once      *bool   `json:"once,omitempty"`    // a task that may have started is never started again
}

// WithDefaults returns h with its unset fields taken from the outer hint. Either hint may be nil.
func (h *JobHint) WithDefaults(outer *JobHint) *JobHint {
	if h == nil {
		return outer
	}
	if outer == nil {
		return h
	}
	return &JobHint{
		Team:      cmp.Or(h.Team, outer.Team),
		Class:     cmp.Or(h.Class, outer.Class),
		Priority:  cmp.Or(h.Priority, outer.Priority),
		DeadlineS: cmp.Or(h.DeadlineS, outer.DeadlineS),
		EstimateS: cmp.Or(h.EstimateS, outer.EstimateS),
		ImageGB:   cmp.Or(h.ImageGB, outer.ImageGB),
		Spot:      cmp.Or(h.Spot, outer.Spot),
		Retries:   cmp.Or(h.Retries, outer.Retries),
		Once:      cmp.Or(h.Once, outer.Once),
	}
}

// Input returns the input with the given ID, or nil if there is none.
func (p *Process) Input(id string) *Input {
	for i := range p.Inputs {
		if p.Inputs[i].ID == id {
			return &p.Inputs[i]
		}
	}
	return nil
}

// Output returns the output with the given ID, or nil if there is none.
func (p *Process) Output(id string) *Output {
	for i := range p.Outputs {
		if p.Outputs[i].ID == id {
			return &p.Outputs[i]
		}
	}
	return nil
}
