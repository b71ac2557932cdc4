package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// OperatorSettings is the content of the operators' settings file. Settings that it
// leaves out keep their defaults.
type OperatorSettings struct {
	Dispatch *DispatchSettings `hcl:"dispatch,block"`
	State    *StateSettings    `hcl:"state,block"`
	Fleet    *FleetSettings    `hcl:"fleet,block"`
}

// DispatchSettings tunes how tasks are assigned to machines.
type DispatchSettings struct {
	// SkipLimit is how many tasks of later jobs may be placed ahead of a waiting job. After
	// that, its tasks take any free machine, even without the job's image, or have one reserved.
	SkipLimit *int     `hcl:"skip_limit,optional"`
	BudgetMS  *float64 `hcl:"budget_ms,optional"` // time that one dispatch round may take
}

// StateSettings tunes the writes to the state service.
type StateSettings struct {
	WriteEveryS *float64 `hcl:"write_every_s,optional"` // minimum time between two writes of the same chunk of a job's bitmap of finished tasks
}

// FleetSettings tunes when machines are rented from the cloud and returned to it.
type FleetSettings struct {
	IdleBoots   *float64 `hcl:"idle_boots,optional"`    // how long an idle machine is kept, in multiples of its boot time
	GiveUpBoots *float64 `hcl:"give_up_boots,optional"` // a rented machine that has not reported after this many of its boot times is given up
	// Patience is a share of the time that a batch job can wait without missing its goals.
	// After this share, more expensive machines are rented for the job.
	Patience      *float64 `hcl:"patience,optional"`
	SpareServices *int     `hcl:"spare_services,optional"` // service tasks for which capacity is reserved
	SpareGangs    *int     `hcl:"spare_gangs,optional"`    // gangs for which capacity is reserved
	MaxMachines   *int     `hcl:"max_machines,optional"`   // maximum number of machines; without it, as many as the cloud offers
}

// setting is one value of the operators' file with its inclusive bounds.
type setting[T int | float64] struct {
	field string
	value *T // nil if the file leaves it out
	min   T
	max   T
	set   func(T)
}

// apply checks the value and sets it, if the file contains it.
func (s setting[T]) apply() error {
	if s.value == nil {
		return nil
	}
	if v := *s.value; !(v >= s.min && v <= s.max) {
		return fmt.Errorf("%s: %v is not within %v and %v", s.field, v, s.min, s.max)
	}
	s.set(*s.value)
	return nil
}

// Bounds of the operators' settings.
const (
	minBudgetMS       = 0.001
	maxBudgetMS       = 10_000
	minWriteIntervalS = 0.001
	maxWriteIntervalS = 60
	maxBoots          = 1_000_000 // multiples of a machine's boot time
	maxCount          = 1_000_000
)

// applyOperatorFile reads the operators' file, checks it and sets its values.
func (s *Settings) applyOperatorFile(path string) error {
	var operator OperatorSettings
	if err := hclsimple.DecodeFile(path, nil, &operator); err != nil {
		return singleLineError(path, err)
	}
	for _, apply := range s.operatorAppliers(&operator) {
		if err := apply(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// singleLineError formats the first error of the HCL parser as a single line.
func singleLineError(path string, err error) error {
	var diagnostics hcl.Diagnostics
	if !errors.As(err, &diagnostics) || len(diagnostics) == 0 {
		return err
	}
	first := diagnostics[0]
	location := path
	if first.Subject != nil {
		location = fmt.Sprintf("%s:%d", path, first.Subject.Start.Line)
	}
	return fmt.Errorf("%s: %s: %s", location, first.Summary, strings.ReplaceAll(first.Detail, "\n", " "))
}

// operatorAppliers returns one function for each setting that the file may contain.
// Each function checks its setting and sets it.
func (s *Settings) operatorAppliers(operator *OperatorSettings) []func() error {
	tuning := &s.Tuning
	var appliers []func() error
	if d := operator.Dispatch; d != nil {
		appliers = append(appliers,
			setting[int]{"dispatch.skip_limit", d.SkipLimit, 0, maxCount, func(v int) { tuning.SkipLimit = v }}.apply,
			setting[float64]{"dispatch.budget_ms", d.BudgetMS, minBudgetMS, maxBudgetMS, func(v float64) { s.RoundBudget = seconds(v / 1000) }}.apply,
		)
	}
	if d := operator.State; d != nil {
		appliers = append(appliers,
			setting[float64]{"state.write_every_s", d.WriteEveryS, minWriteIntervalS, maxWriteIntervalS, func(v float64) { tuning.BitmapWriteInterval = seconds(v) }}.apply,
		)
	}
	if fleet := operator.Fleet; fleet != nil {
		appliers = append(appliers,
			setting[float64]{"fleet.idle_boots", fleet.IdleBoots, 0, maxBoots, func(v float64) { tuning.IdleBoots = v }}.apply,
			setting[float64]{"fleet.give_up_boots", fleet.GiveUpBoots, 1, maxBoots, func(v float64) { tuning.GiveUpBoots = v }}.apply,
			setting[float64]{"fleet.patience", fleet.Patience, 0, 1, func(v float64) { tuning.Patience = v }}.apply,
			setting[int]{"fleet.spare_services", fleet.SpareServices, 0, maxCount, func(v int) { tuning.SpareServices = v }}.apply,
			setting[int]{"fleet.spare_gangs", fleet.SpareGangs, 0, maxCount, func(v int) { tuning.SpareGangs = v }}.apply,
			setting[int]{"fleet.max_machines", fleet.MaxMachines, 1, maxCount, func(v int) { tuning.MaxMachines = v }}.apply,
		)
	}
	return appliers
}
