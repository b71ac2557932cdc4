package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// OperatorSettings is the operators' own file. Whatever it leaves out keeps its
// default.
type OperatorSettings struct {
	Dispatch *DispatchSettings `hcl:"dispatch,block"`
	State    *StateSettings    `hcl:"state,block"`
	Fleet    *FleetSettings    `hcl:"fleet,block"`
}

// DispatchSettings tunes the dispatch rule.
type DispatchSettings struct {
	SkipLimit *int     `hcl:"skip_limit,optional"`
	BudgetMS  *float64 `hcl:"budget_ms,optional"`
}

// StateSettings tunes what is written to the state service.
type StateSettings struct {
	WriteEveryS *float64 `hcl:"write_every_s,optional"`
}

// FleetSettings tunes renting and returning.
type FleetSettings struct {
	IdleBoots     *float64 `hcl:"idle_boots,optional"`
	GiveUpBoots   *float64 `hcl:"give_up_boots,optional"`
	Patience      *float64 `hcl:"patience,optional"`
	SpareServices *int     `hcl:"spare_services,optional"`
	SpareGangs    *int     `hcl:"spare_gangs,optional"`
	MaxMachines   *int     `hcl:"max_machines,optional"`
}

// setting is a value of the operators' file with its bounds, both included.
type setting[T int | float64] struct {
	field string
	value *T // nil: left out
	min   T
	max   T
	set   func(T)
}

// apply checks the value, if there is one, and puts it to use.
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

// Bounds of what operators may set.
const (
	minBudgetMS       = 0.001
	maxBudgetMS       = 10_000
	minWriteIntervalS = 0.001
	maxWriteIntervalS = 60
	maxBoots          = 1_000_000
	maxCount          = 1_000_000
)

// applyOperatorFile puts the operators' file to use.
func (s *Settings) applyOperatorFile(path string) error {
	var o OperatorSettings
	if err := hclsimple.DecodeFile(path, nil, &o); err != nil {
		return singleLineError(path, err)
	}
	for _, apply := range s.operatorAppliers(&o) {
		if err := apply(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// singleLineError makes one line of what the parser says.
func singleLineError(path string, err error) error {
	var diagnostics hcl.Diagnostics
	if !errors.As(err, &diagnostics) || len(diagnostics) == 0 {
		return err
	}
	d := diagnostics[0]
	where := path
	if d.Subject != nil {
		where = fmt.Sprintf("%s:%d", path, d.Subject.Start.Line)
	}
	return fmt.Errorf("%s: %s: %s", where, d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
}

// operatorAppliers lists the checks of all that the file may set.
func (s *Settings) operatorAppliers(o *OperatorSettings) []func() error {
	t := &s.Tuning
	var list []func() error
	if d := o.Dispatch; d != nil {
		list = append(list,
			setting[int]{"dispatch.skip_limit", d.SkipLimit, 0, maxCount, func(v int) { t.SkipLimit = v }}.apply,
			setting[float64]{"dispatch.budget_ms", d.BudgetMS, minBudgetMS, maxBudgetMS, func(v float64) { s.RoundBudget = seconds(v / 1000) }}.apply,
		)
	}
	if d := o.State; d != nil {
		list = append(list,
			setting[float64]{"state.write_every_s", d.WriteEveryS, minWriteIntervalS, maxWriteIntervalS, func(v float64) { t.BitmapWriteInterval = seconds(v) }}.apply,
		)
	}
	if f := o.Fleet; f != nil {
		list = append(list,
			setting[float64]{"fleet.idle_boots", f.IdleBoots, 0, maxBoots, func(v float64) { t.IdleBoots = v }}.apply,
			setting[float64]{"fleet.give_up_boots", f.GiveUpBoots, 1, maxBoots, func(v float64) { t.GiveUpBoots = v }}.apply,
			setting[float64]{"fleet.patience", f.Patience, 0, 1, func(v float64) { t.Patience = v }}.apply,
			setting[int]{"fleet.spare_services", f.SpareServices, 0, maxCount, func(v int) { t.SpareServices = v }}.apply,
			setting[int]{"fleet.spare_gangs", f.SpareGangs, 0, maxCount, func(v int) { t.SpareGangs = v }}.apply,
			setting[int]{"fleet.max_machines", f.MaxMachines, 1, maxCount, func(v int) { t.MaxMachines = v }}.apply,
		)
	}
	return list
}
