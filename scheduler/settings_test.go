package scheduler

import (
	"errors"
	"math"
	"testing"

	"github.com/grebedock/grebedock/disruption"
)

// Operators receive these error texts. Field names the setting that they must change.
func TestInvalidSettingsNameTheirField(t *testing.T) {
	invalidBudget := map[string]disruption.Budget{"ops": {MaxShare: 2}, "zoo": {MaxTasks: -1}}
	manyTeams := map[string]disruption.Budget{}
	for i := range 101 {
		manyTeams[TaskName("team", i)] = disruption.Budget{}
	}
	for _, tc := range []struct {
		name   string
		change func(*Settings)
		field  string
		text   string
	}{
		{"no functions", func(s *Settings) { s.Functions = 0 }, "functions", "functions must be from 1 to 1000"},
		{"one sample", func(s *Settings) { s.Samples = 1 }, "samples", "samples must be from 2 to 100"},
		{"late share is not a number", func(s *Settings) { s.LateShare = math.NaN() },
			"late_share", "late_share must be above 0 and at most 10"},
		{
			"summary interval too short", func(s *Settings) { s.SummaryS = 0.05 }, "summary_s",
			"summary_s must be from 0.1 to 60",
		},
		{
			"negative idle time", func(s *Settings) { s.IdleBoots = -1 }, "idle_boots",
			"idle_boots must be from 0 to 1000",
		},
		{"start objective too short", func(s *Settings) { s.BeginWithinS = 0.5 },
			"begin_within_s", "begin_within_s must be from 1 to 1000000"},
		{"too many machines", func(s *Settings) { s.Drain = make([]string, 101) },
			"drain", "drain must name at most 100 machines"},
		{"too many teams", func(s *Settings) { s.Disruption = manyTeams },
			"disruption", "disruption must name at most 100 teams"},
		{"invalid budgets, the first by team name", func(s *Settings) { s.Disruption = invalidBudget },
			"disruption.ops", "disruption.ops.share must be from 0 to 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings := DefaultSettings()
			tc.change(&settings)
			err := settings.Validate()
			var fieldError *FieldError
			if !errors.As(err, &fieldError) {
				t.Fatalf("got %v, want a FieldError", err)
			}
			if fieldError.Field != tc.field || err.Error() != tc.text {
				t.Errorf("got field %q, text %q; want %q, %q", fieldError.Field, err, tc.field, tc.text)
			}
		})
	}
}

func TestDefaultSettingsAreValid(t *testing.T) {
	if err := DefaultSettings().Validate(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

func TestInvalidBudgetIsUnwrapped(t *testing.T) {
	settings := DefaultSettings()
	settings.Disruption = map[string]disruption.Budget{"ops": {MaxShare: 2}}
	var budgetError *disruption.FieldError
	if err := settings.Validate(); !errors.As(err, &budgetError) || budgetError.Field != "share" {
		t.Errorf("got %v, want a disruption.FieldError of the field share", err)
	}
}
