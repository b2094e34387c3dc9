package cwl

import "cmp"

// Class is the class of a process.
type Class string

// The classes of processes.
const (
	Tool       Class = "CommandLineTool"
	Expression Class = "ExpressionTool"
	Flow       Class = "Workflow"
)

// Process is a tool, an expression or a workflow.
type Process struct {
	Pos
	Class   Class
	ID      string
	Inputs  []Input
	Outputs []Output
	Req     Requirements

	// CommandLineTool.
	BaseCommand           []string
	Arguments             []Binding
	Stdin, Stdout, Stderr string
	SuccessCodes          []int

	// ExpressionTool.
	Expression string

	// Workflow: each step follows what it depends on.
	Steps []*Step

	src *value // for Pack
}

// Input is an input of a process.
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

// Secondary is a pattern of the names of files that go with another.
type Secondary struct {
	Pattern  string
	Required string // "", "true", "false" or an expression
}

// Binding is how a value becomes part of a command line.
type Binding struct {
	Position      string // a number or an expression; empty: 0
	Prefix        string
	NoSeparate    bool // the prefix and the value are one word
	ItemSeparator string
	HasSeparator  bool
	ValueFrom     string
	NoQuote       bool // not quoted for a shell, with ShellCommandRequirement
	LoadContents  bool
}

// Output is an output of a process.
type Output struct {
	Pos
	ID        string
	Type      *Type
	Secondary []Secondary

	// Of tools.
	Glob         []string
	LoadContents bool
	OutputEval   string

	// Of workflows.
	Link Link
}

// Link is where a value comes from.
type Link struct {
	Source []string // INPUT of the workflow, or STEP/OUTPUT
	Listed bool     // written as a list, even of a single source
	Merge  string   // linkMerge
	Pick   string   // pickValue
}

// Step is a process within a workflow.
type Step struct {
	Pos
	ID      string
	In      []StepIn
	Out     []string
	Run     *Process
	Scatter []string // inputs
	Method  string   // dotProduct, nestedProduct or flatProduct, if it is scattered
	When    string   // an expression; empty: always
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

// Requirements are what a process or step requires of the platform, its own and what it inherits from the workflow
// above.
type Requirements struct {
	JS          bool     // JavaScript in expressions
	Lib         []string // JavaScript that runs before each expression
	Shell       bool
	Image       string
	Env         []EnvVar
	TimeLimit   any // seconds or an expression
	WorkDir     []Dirent
	WorkDirExpr string         // an expression that gives the listing
	Resources   map[string]any // fields of ResourceRequirement: numbers or expressions
	Job         *JobHint
}

// EnvVar is a variable of a tool's environment.
type EnvVar struct{ Name, Value string }

// Dirent is a file or directory that is in a tool's directory before it starts. Name and Entry may be expressions.
type Dirent struct {
	Name     string
	Entry    string
	Writable bool
}

// JobHint is grebedock's own hint: how a step is scheduled. Zero fields are inherited from the workflow above.
type JobHint struct {
	Team      string  `json:"team,omitempty"`
	Class     string  `json:"class,omitempty"`
	Priority  string  `json:"priority,omitempty"`
	DeadlineS float64 `json:"deadline,omitempty"`  // seconds from the step's submission
	EstimateS float64 `json:"estimate,omitempty"`  // seconds a task runs
	ImageGB   float64 `json:"imageSize,omitempty"` // gigabytes
	Spot      *bool   `json:"spot,omitempty"`
	Retries   *int    `json:"retries,omitempty"` // of a task that failed; nil: 2
	Once      *bool   `json:"once,omitempty"`    // a task that may have begun is never started again
}

// WithDefaults returns h with what it lacks taken from an outer hint.
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

// Input returns the input of a name, nil if there is none.
func (p *Process) Input(id string) *Input {
	for i := range p.Inputs {
		if p.Inputs[i].ID == id {
			return &p.Inputs[i]
		}
	}
	return nil
}

// Output returns the output of a name, nil if there is none.
func (p *Process) Output(id string) *Output {
	for i := range p.Outputs {
		if p.Outputs[i].ID == id {
			return &p.Outputs[i]
		}
	}
	return nil
}
