package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/schedules"
)

func scheduleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "schedule", Short: "Check, preview, apply and query schedules of recurring jobs"}
	cmd.AddCommand(checkSchedulesCommand(), previewSchedulesCommand(), applySchedulesCommand())
	for _, c := range []struct{ use, short, method, path string }{
		{"list", "List schedules", "GET", ""},
		{"show NAME", "Show a schedule and its latest decisions", "GET", "/%s"},
		{"history NAME", "Show the decisions of a schedule with their reasons, oldest first", "GET", "/%s/history"},
		{"pause NAME", "Pause a schedule: it starts no runs until it is resumed", "POST", "/%s/pause"},
		{"resume NAME", "Resume a schedule; times that were due during the pause get no run", "POST", "/%s/resume"},
		{"remove NAME", "Remove a schedule; runs that it already decided continue", "DELETE", "/%s"},
	} {
		cmd.AddCommand(scheduleRequestCommand(c.use, c.short, c.method, "/v1/schedules"+c.path))
	}
	return cmd
}

func calendarCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "calendar", Short: "Show and apply calendars of recurring schedules"}
	cmd.AddCommand(
		scheduleRequestCommand(
			"show NAME", "Show a calendar, and the schedules that use it", "GET", "/v1/calendars/%s",
		),
		applyCommand("calendar", "calendars", "Apply the calendars in a file to all schedules that use them",
			"Each schedule that uses a changed calendar gets a new version, effective from now or from\n"+
				"the time of --effective.",
			func(f *schedules.File) (names []string) {
				for _, c := range f.Calendars {
					names = append(names, c.Name)
				}
				return names
			}),
	)
	return cmd
}

// readSchedules reads a file of calendars and schedules.
func readSchedules(name string) (*schedules.File, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := schedules.ParseFile(b)
	if err != nil {
		return nil, &codedError{fmt.Errorf("%s: %w", name, err), exitInvalid}
	}
	return f, nil
}

// packSchedules encodes a file with each workflow file that it names replaced by the packed document.
func packSchedules(f *schedules.File, dir string) ([]byte, error) {
	for _, s := range f.Schedules {
		if s.Workflow == nil || s.Workflow.File == "" {
			continue
		}
		name := s.Workflow.File
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		p, err := cwl.Load(name, os.ReadFile)
		if err != nil {
			return nil, err
		}
		if _, err := p.CheckInputs(s.Workflow.Inputs); err != nil {
			return nil, fmt.Errorf("schedule %s: workflow.inputs: %w", s.Name, err)
		}
		doc, err := json.Marshal(cwl.Pack(p))
		if err != nil {
			return nil, err
		}
		s.Workflow.File, s.Workflow.Document = "", string(doc)
	}
	return toml.Marshal(f)
}

// requestSchedules sends a request about schedules to the administration API.
func requestSchedules(addr string, r wire.Request) (a schedules.Response, err error) {
	body, err := adminRequest(addr, r)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(body, &a)
}

func scheduleRequestCommand(use, short, method, path string) *cobra.Command {
	var addr string
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(strings.Count(use, " "))}
	cmd.Flags().StringVar(&addr, "addr", "", adminAddrUsage)
	if err := cmd.MarkFlagRequired("addr"); err != nil {
		panic(err)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		requestPath := path
		if len(args) > 0 {
			requestPath = fmt.Sprintf(requestPath, url.PathEscape(args[0]))
		}
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		for from := ""; ; {
			query := requestPath
			if from != "" {
				query += "?from=" + url.QueryEscape(from)
			}
			a, err := requestSchedules(addr, wire.Request{Method: method, Path: query})
			if err != nil {
				return err
			}
			from, a.More = a.More, ""
			if err := enc.Encode(a); err != nil || from == "" {
				return err
			}
		}
	}
	return cmd
}

func applySchedulesCommand() *cobra.Command {
	return applyCommand("schedule", "schedules", "Create or change the schedules in a file, with its calendars",
		"Creates or changes the schedules in a file. A changed schedule gets a new version, effective\n"+
			"from now or from the time of --effective. Earlier decisions stay; the old version applies to\n"+
			"runs that are due before that time.",
		func(f *schedules.File) (names []string) {
			for _, s := range f.Schedules {
				names = append(names, s.Name)
			}
			return names
		})
}

// applyCommand returns a command that applies the items of one resource in a file, one by one.
func applyCommand(resource, path, short, long string, names func(*schedules.File) []string) *cobra.Command {
	var addr, effective string
	cmd := &cobra.Command{Use: "apply FILE", Short: short, Long: long, Args: cobra.ExactArgs(1),
		Example: "  grebedock " + resource + " apply --addr 10.0.0.1:8081 provinces.toml"}
	cmd.Flags().StringVar(&addr, "addr", "", adminAddrUsage)
	cmd.Flags().StringVar(&effective, "effective", "", "time from which the file applies, RFC 3339; default: now")
	if err := cmd.MarkFlagRequired("addr"); err != nil {
		panic(err)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		f, err := readSchedules(args[0])
		if err != nil {
			return err
		}
		b, err := packSchedules(f, filepath.Dir(args[0]))
		if err != nil {
			return &codedError{fmt.Errorf("%s: %w", args[0], err), exitInvalid}
		}
		for _, name := range names(f) {
			requestPath := "/v1/" + path + "/" + url.PathEscape(name)
			if effective != "" {
				requestPath += "?effective=" + url.QueryEscape(effective)
			}
			a, err := requestSchedules(addr, wire.Request{Method: "PUT", Path: requestPath, Body: b})
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s", name, a.State)
			if a.Version > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), ", version %d", a.Version)
			}
			for _, s := range a.Schedules {
				fmt.Fprintf(cmd.OutOrStdout(), "; %s version %d", s.Name, s.Version)
			}
			fmt.Fprintln(cmd.OutOrStdout())
		}
		return nil
	}
	return cmd
}

func checkSchedulesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a file of calendars and schedules, and report errors",
		Example: "  grebedock schedule check docs/examples/schedules/provinces.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readSchedules(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(
				cmd.OutOrStdout(), "%s: %d calendars, %d schedules: valid\n", args[0], len(f.Calendars),
				len(f.Schedules),
			)
			return nil
		},
	}
}

// previewRow is the printed form of a due time.
type previewRow struct {
	Schedule string `json:"schedule"`
	At       string `json:"at,omitempty"`
	Date     string `json:"day"`
	Clock    string `json:"clock,omitempty"`
	Dropped  bool   `json:"fell_out,omitempty"`
	Reason   string `json:"why,omitempty"`
}

func previewSchedulesCommand() *cobra.Command {
	var p previewOptions
	cmd := &cobra.Command{
		Use:   "preview FILE",
		Short: "Show when schedules are due, with each moved or dropped date and its reason",
		Example: "  grebedock schedule preview --from 2027-01-01 --to 2028-01-01 " +
			"docs/examples/schedules/provinces.toml\n" +
			"  grebedock schedule preview --moved --name month-end-reads docs/examples/schedules/provinces.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return p.printSchedules(cmd.OutOrStdout(), args[0]) },
	}
	fl := cmd.Flags()
	fl.StringVar(&p.from, "from", recurrence.DateOf(time.Now()).String(), "first day, YYYY-MM-DD")
	fl.StringVar(&p.to, "to", "", "day after the last, YYYY-MM-DD; default: 365 days after --from")
	fl.StringVar(&p.name, "name", "", "show only the schedule with this name")
	fl.BoolVar(&p.onlyMoved, "moved", false, "show only due times that are moved or dropped")
	fl.BoolVar(&p.json, "json", false, "print one JSON object per line")
	return cmd
}

// previewOptions select the due times of schedules to show.
type previewOptions struct {
	from, to, name  string
	onlyMoved, json bool
}

func (p *previewOptions) printSchedules(w io.Writer, file string) error {
	f, err := readSchedules(file)
	if err != nil {
		return err
	}
	from, to, err := p.dateRange()
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	found := p.name == ""
	for _, s := range f.Schedules {
		if p.name != "" && s.Name != p.name {
			continue
		}
		found = true
		moments, err := s.Between(s.Midnight(from), s.Midnight(to))
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		for _, m := range moments {
			if p.onlyMoved && m.Reason == "" {
				continue
			}
			if err := p.printMoment(w, out, s.Name, m); err != nil {
				return err
			}
		}
	}
	if !found {
		return &codedError{fmt.Errorf("--name: %s has no schedule %q", file, p.name), exitInvalid}
	}
	return out.Flush()
}

// dateRange returns the first day and the day after the last.
func (p *previewOptions) dateRange() (from, to recurrence.Date, err error) {
	if from, err = recurrence.ParseDate(p.from); err != nil {
		return from, to, &codedError{fmt.Errorf("--from: %w", err), exitInvalid}
	}
	if p.to == "" {
		return from, from.Add(365), nil
	}
	if to, err = recurrence.ParseDate(p.to); err != nil {
		return from, to, &codedError{fmt.Errorf("--to: %w", err), exitInvalid}
	}
	return from, to, nil
}

// printMoment prints a due time: to w as JSON, or to the table.
func (p *previewOptions) printMoment(w io.Writer, table *tabwriter.Writer, schedule string, m recurrence.Moment) error {
	row := previewRow{Schedule: schedule, Date: m.Date.String(), Dropped: m.Dropped, Reason: m.Reason}
	if !m.Dropped {
		row.At, row.Clock = m.At.Format(time.RFC3339), m.Clock.String()
	}
	if p.json {
		return json.NewEncoder(w).Encode(row)
	}
	when := row.At
	if m.Dropped {
		when = row.Date + " dropped"
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", schedule, when, m.Date.Weekday().String()[:3], m.Reason)
	return nil
}
