package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mulleinfall/internal/model"
)

// The form of a submission.

// isValidJobID says whether id has the form of job ids: "req-" and digits.
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

// requiredFields lists the fields of a submission that may not be left out.
var requiredFields = []string{"id", "lane", "owner", "shape", "rank", "pieces", "cpus", "cards", "memoryGb",
	"build", "pullGb", "samePlace", "scatter", "loaners", "guessS", "snapshotEveryS", "snapshotCostS"}

// ParseJob reads a submission and checks its form.
func ParseJob(body []byte) (*model.Job, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	for _, f := range requiredFields {
		v, ok := fields[f]
		if !ok || bytes.Equal(v, []byte("null")) {
			return nil, fmt.Errorf("%s: missing", f)
		}
	}
	var j model.Job
	if err := json.Unmarshal(body, &j); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: not valid", te.Field)
		}
		return nil, errors.New("not valid")
	}
	if v, ok := fields["flavors"]; ok && !bytes.Equal(v, []byte("null")) && len(j.Types) == 0 {
		return nil, errors.New("flavors: empty")
	}
	for _, check := range []func(*model.Job) error{checkStrings, checkNumbers} {
		if err := check(&j); err != nil {
			return nil, err
		}
	}
	return &j, nil
}

// maxNameBytes bounds the names that users choose, in bytes.
const maxNameBytes = 200

func isValidName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// checkStrings checks the fields of a submission that hold words.
func checkStrings(j *model.Job) error {
	for _, f := range []struct {
		field string
		valid bool
	}{
		{"id", isValidJobID(j.ID)}, {"lane", isValidName(j.Class)}, {"owner", isValidName(j.Team)}, {"build", isValidName(j.Image)},
		{"shape", slices.Contains([]string{model.KindBatch, model.KindService, model.KindGang}, j.Kind)},
		{"rank", slices.Contains([]string{model.PriorityProd, model.PriorityHigh, model.PriorityNormal, model.PriorityLow}, j.Priority)},
		{"flavors", !slices.Contains(j.Types, "")},
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

// checkNumbers checks the fields of a submission that hold numbers.
func checkNumbers(j *model.Job) error {
	if j.Tasks < 1 || j.Tasks > maxTasks {
		return fmt.Errorf("pieces: not within 1 and %d", maxTasks)
	}
	for _, a := range []struct {
		field string
		value float64
	}{
		{"cpus", j.CPUs}, {"cards", j.GPUs}, {"memoryGb", j.MemoryGB}, {"pullGb", j.ImageGB},
		{"guessS", j.EstimateS}, {"snapshotEveryS", j.CheckpointEveryS}, {"snapshotCostS", j.CheckpointCostS},
	} {
		if !(a.value >= 0) || a.value > maxNumber {
			return fmt.Errorf("%s: not valid", a.field)
		}
	}
	if j.DueS != nil && (!(*j.DueS >= 0) || math.IsInf(*j.DueS, 0)) {
		return errors.New("dueS: not valid")
	}
	return nil
}
