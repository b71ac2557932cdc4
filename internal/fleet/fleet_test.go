package fleet

import (
	"fmt"
	"testing"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

var (
	small = &model.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, SpotPrice: 0.1}
	large = &model.MachineType{Name: "large", CPUs: 16, MemoryGB: 64, Price: 0.7, SpotPrice: 0.3}
)

func offers() []Offer {
	var out []Offer
	for _, zone := range []string{"a", "b"} {
		for _, t := range []*model.MachineType{small, large} {
			out = append(out, Offer{Type: t, Zone: zone, Price: t.Price}, Offer{Type: t, Zone: zone, Spot: true, Price: t.SpotPrice})
		}
	}
	return out
}

func newDemand(n int, j model.Job) Demand {
	j.CPUs, j.MemoryGB = 2, 4
	return Demand{Job: &j, Need: sched.Resources{CPUs: 2, MemoryGB: 4}, Count: n}
}

func TestPlan(t *testing.T) {
	spread := newDemand(2, model.Job{})
	spread.ZoneAllowance = func(string) int { return 1 }
	patient := newDemand(2, model.Job{Spot: true})
	patient.CanWait = true
	nospot := newDemand(2, model.Job{})
	nospot.CanWait = true
	gang := func(n int) Demand {
		w := newDemand(n, model.Job{ID: "gang"})
		w.AllOrNothing = true
		return w
	}
	cases := []struct {
		name   string
		wants  []Demand
		coming []ExpectedCapacity
		limit  int
		want   string
	}{
		{"nothing is wanted", nil, nil, 9, "[]"},
		{"two tasks fill a small machine", []Demand{newDemand(2, model.Job{})}, nil, 9, "[{small a false 1 []}]"},
		{"many tasks fill a large one", []Demand{newDemand(8, model.Job{})}, nil, 9, "[{large a false 1 []}]"},
		{"spot where the job may", []Demand{newDemand(2, model.Job{Spot: true})}, nil, 9, "[{small a true 1 []}]"},
		{"what is coming is filled first", []Demand{newDemand(2, model.Job{})}, []ExpectedCapacity{{"small", "b", false, sched.Resources{CPUs: 4, MemoryGB: 16}}}, 9, "[]"},
		{"but not on a kind that the job may not use", []Demand{newDemand(2, model.Job{})}, []ExpectedCapacity{{"small", "b", true, sched.Resources{CPUs: 4, MemoryGB: 16}}}, 9, "[{small a false 1 []}]"},
		{"spread over zones", []Demand{spread}, nil, 9, "[{small a false 1 []} {small b false 1 []}]"},
		{"only zone b", []Demand{newDemand(2, model.Job{Zone: "b"})}, nil, 9, "[{small b false 1 []}]"},
		{"only large machines", []Demand{newDemand(1, model.Job{Types: []string{"large"}})}, nil, 9, "[{large a false 1 []}]"},
		{"a patient job takes spot machines", []Demand{patient}, nil, 9, "[{small a true 1 []}]"},
		{"and none if it may not use them", []Demand{nospot}, nil, 9, "[]"},
		{"a gang whole", []Demand{gang(10)}, nil, 9, "[{large a false 1 [gang]} {small a false 1 [gang]}]"},
		{"a gang not in part, and others instead", []Demand{gang(40), newDemand(2, model.Job{})}, nil, 2, "[{small a false 1 []}] unmet [gang]"},
		{"what comes is not for a gang that it isn't enough for", []Demand{gang(40), newDemand(2, model.Job{})}, []ExpectedCapacity{{"small", "b", false, sched.Resources{CPUs: 4, MemoryGB: 16}}}, 2, "[] unmet [gang]"},
		{"no more than the limit", []Demand{newDemand(40, model.Job{})}, nil, 2, "[{large a false 1 []} {large b false 1 []}]"},
	}
	for _, c := range cases {
		got, unmet := Plan(c.wants, c.coming, offers(), c.limit)
		s := fmt.Sprint(got)
		if len(unmet) > 0 {
			s += fmt.Sprint(" unmet ", unmet)
		}
		if s != c.want {
			t.Errorf("%s: %s, want %s", c.name, s, c.want)
		}
	}
}
