package client

import (
	"testing"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/internal/wire"
)

// TestSubmissionsKeepTheirForm compares the request body for a job with all fields set with a golden file.
func TestSubmissionsKeepTheirForm(t *testing.T) {
	var j Job
	golden.Fill(&j)
	j.ID, j.Kind, j.Priority = "job-7", Gang, "production"
	submission, err := j.toSchedulerJob()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "submission.json", wire.SubmitRequest(submission).Body)
}
