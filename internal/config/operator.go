package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Operator is the operators' own file. Whatever it leaves out keeps its
// default.
type Operator struct {
	Dispatch *Dispatch `hcl:"dispatch,block"`
	State    *State    `hcl:"state,block"`
	Fleet    *Fleet    `hcl:"fleet,block"`
}

// Dispatch tunes the dispatch rule.
type Dispatch struct {
	SkipLimit *int     `hcl:"skip_limit,optional"`
	BudgetMS  *float64 `hcl:"budget_ms,optional"`
}

// State tunes what is written to the state service.
type State struct {
	WriteEveryS *float64 `hcl:"write_every_s,optional"`
}

// Fleet tunes renting and returning.
type Fleet struct {
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
	least T
	most  T
	set   func(T)
}

// apply checks the value, if there is one, and puts it to use.
func (s setting[T]) apply() error {
	if s.value == nil {
		return nil
	}
	if v := *s.value; !(v >= s.least && v <= s.most) {
		return fmt.Errorf("%s: %v is not within %v and %v", s.field, v, s.least, s.most)
	}
	s.set(*s.value)
	return nil
}

// Bounds of what operators may set.
const (
	shortestBudgetMS = 0.001
	longestBudgetMS  = 10_000
	shortestWriteS   = 0.001
	longestWriteS    = 60
	mostBoots        = 1_000_000
	mostCount        = 1_000_000
)

// readOperator puts the operators' file to use.
func (s *Settings) readOperator(path string) error {
	var o Operator
	if err := hclsimple.DecodeFile(path, nil, &o); err != nil {
		return operatorError(path, err)
	}
	for _, apply := range s.operatorSettings(&o) {
		if err := apply(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// operatorError makes one line of what the parser says.
func operatorError(path string, err error) error {
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

// operatorSettings lists the checks of all that the file may set.
func (s *Settings) operatorSettings(o *Operator) []func() error {
	t := &s.Tuning
	var list []func() error
	if d := o.Dispatch; d != nil {
		list = append(list,
			setting[int]{"dispatch.skip_limit", d.SkipLimit, 0, mostCount, func(v int) { t.SkipLimit = v }}.apply,
			setting[float64]{"dispatch.budget_ms", d.BudgetMS, shortestBudgetMS, longestBudgetMS, func(v float64) { s.Budget = seconds(v / 1000) }}.apply,
		)
	}
	if d := o.State; d != nil {
		list = append(list,
			setting[float64]{"state.write_every_s", d.WriteEveryS, shortestWriteS, longestWriteS, func(v float64) { t.BitmapWriteInterval = seconds(v) }}.apply,
		)
	}
	if f := o.Fleet; f != nil {
		list = append(list,
			setting[float64]{"fleet.idle_boots", f.IdleBoots, 0, mostBoots, func(v float64) { t.IdleBoots = v }}.apply,
			setting[float64]{"fleet.give_up_boots", f.GiveUpBoots, 1, mostBoots, func(v float64) { t.GiveUpBoots = v }}.apply,
			setting[float64]{"fleet.patience", f.Patience, 0, 1, func(v float64) { t.Patience = v }}.apply,
			setting[int]{"fleet.spare_services", f.SpareServices, 0, mostCount, func(v int) { t.SpareServices = v }}.apply,
			setting[int]{"fleet.spare_gangs", f.SpareGangs, 0, mostCount, func(v int) { t.SpareGangs = v }}.apply,
			setting[int]{"fleet.max_machines", f.MaxMachines, 1, mostCount, func(v int) { t.MaxMachines = v }}.apply,
		)
	}
	return list
}
