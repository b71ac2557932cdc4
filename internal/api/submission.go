package api

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
)

// This file decodes and validates submissions.

// isValidJobID reports whether id has the form of a job id: "req-" and 6 to 20 digits.
func isValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "req-")
	if !ok || len(digits) < 6 || len(digits) > 20 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// requiredFields lists the fields that every submission must contain.
var requiredFields = []string{"id", "lane", "owner", "shape", "rank", "pieces", "cpus", "cards", "memoryGb",
	"build", "pullGb", "samePlace", "scatter", "loaners", "guessS", "snapshotEveryS", "snapshotCostS"}

// ParseJob decodes a submission and validates it.
func ParseJob(body []byte) (*model.Job, error) {
	var fields map[string]exactjson.Value
	if err := exactjson.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	for _, field := range requiredFields {
		value, ok := fields[field]
		if !ok || bytes.Equal(value, []byte("null")) {
			return nil, fmt.Errorf("%s: missing", field)
		}
	}
	var job model.Job
	if err := exactjson.Unmarshal(body, &job); err != nil {
		if typeErr, ok := errors.AsType[*exactjson.TypeError](err); ok {
			return nil, fmt.Errorf("%s: not valid", typeErr.Field)
		}
		return nil, errors.New("not valid")
	}
	if value, ok := fields["flavors"]; ok && !bytes.Equal(value, []byte("null")) && len(job.Types) == 0 {
		return nil, errors.New("flavors: empty")
	}
	for _, check := range []func(*model.Job) error{checkStrings, checkNumbers} {
		if err := check(&job); err != nil {
			return nil, err
		}
	}
	return &job, nil
}

// maxNameBytes bounds the length of the names that users choose.
const maxNameBytes = 200

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkStrings checks the fields of a submission that contain strings.
func checkStrings(job *model.Job) error {
	for _, f := range []struct {
		field string
		valid bool
	}{
		{"id", isValidJobID(job.ID)}, {"lane", isValidName(job.Class)}, {"owner", isValidName(job.Team)}, {"build", isValidName(job.Image)},
		{"shape", slices.Contains([]string{model.KindBatch, model.KindService, model.KindGang}, job.Kind)},
		{"rank", slices.Contains([]string{model.PriorityProd, model.PriorityHigh, model.PriorityNormal, model.PriorityLow}, job.Priority)},
		{"flavors", !slices.Contains(job.Types, "")},
	} {
		if !f.valid {
			return fmt.Errorf("%s: not valid", f.field)
		}
	}
	return nil
}

// Bounds of the numbers in a submission.
const (
	maxTasks  = 100_000
	maxNumber = 1e9
)

// checkNumbers checks the fields of a submission that contain numbers.
func checkNumbers(job *model.Job) error {
	if job.Tasks < 1 || job.Tasks > maxTasks {
		return fmt.Errorf("pieces: not within 1 and %d", maxTasks)
	}
	for _, number := range []struct {
		field string
		value float64
	}{
		{"cpus", job.CPUs}, {"cards", job.GPUs}, {"memoryGb", job.MemoryGB}, {"pullGb", job.ImageGB},
		{"guessS", job.EstimateS}, {"snapshotEveryS", job.CheckpointEveryS}, {"snapshotCostS", job.CheckpointCostS},
	} {
		if !(number.value >= 0) || number.value > maxNumber {
			return fmt.Errorf("%s: not valid", number.field)
		}
	}
	if job.DueS != nil && (!(*job.DueS >= 0) || math.IsInf(*job.DueS, 0)) {
		return errors.New("dueS: not valid")
	}
	return nil
}
