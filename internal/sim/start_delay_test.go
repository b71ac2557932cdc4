package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// startDelays records, by attempt, how long it takes from the decision to place a task until its
// machine has the start.
type startDelays struct {
	placedAt map[string]time.Duration // by task and attempt
	delays   []time.Duration
}

// measureStartDelays records the start delays of a simulation.
func measureStartDelays(sim *Simulation) *startDelays {
	recorded := &startDelays{placedAt: map[string]time.Duration{}}
	tamper := sim.Options.Tamper
	sim.Options.Tamper = func(sim *Simulation, controller *Controller, effect core.Effect) core.Effect {
		if line, ok := effect.(core.Log); ok && line.Text == "task placed" {
			recorded.placedAt[fmt.Sprint(line.Args[1], line.Args[3])] = sim.Now
		}
		if tamper != nil {
			return tamper(sim, controller, effect)
		}
		return effect
	}
	var watch func()
	watch = func() {
		for _, worker := range sim.Workers {
			for name, run := range worker.tasks {
				key := fmt.Sprint(name, run.attempt)
				if placedAt, ok := recorded.placedAt[key]; ok {
					recorded.delays = append(recorded.delays, sim.Now-placedAt)
					delete(recorded.placedAt, key)
				}
			}
		}
		sim.After(10*time.Millisecond, watch)
	}
	watch()
	return recorded
}

// quantile returns the delay that a share of the tasks had at most.
func (recorded *startDelays) quantile(share float64) time.Duration {
	slices.Sort(recorded.delays)
	return recorded.delays[int(share*float64(len(recorded.delays)-1))]
}

// TestStartDelays guards against tasks that wait for a report of their machine: only answers to
// reports carry starts, and a worker may report once in a report interval only. Nine of ten starts
// must be there within 2 s, the shortest start goal of the operators, unless leaders change, and
// all with the next regular report.
func TestStartDelays(t *testing.T) {
	const shortestStartGoal = 2 * second
	for _, c := range []struct {
		name          string
		leadersChange bool
	}{{"one leader", false}, {"leaders change", true}} {
		options := largestDeploymentOptions(8)
		longestReportInterval := options.Config.ReportInterval * 5 / 4
		fleet := newLargeFleet(options, 80)
		recorded := measureStartDelays(fleet.Simulation)
		fleet.submitLoad(100 * second)
		if c.leadersChange {
			for at := 30 * second; at < 100*second; at += 20 * second {
				fleet.At(at, func() { fleet.crashLeader(second) })
			}
		}
		fleet.RunUntil(110 * second)
		t.Logf("%s: %d starts, half within %v, 90%% within %v, 98%% within %v, all within %v; %d direct commands", c.name, len(recorded.delays),
			recorded.quantile(0.5), recorded.quantile(0.9), recorded.quantile(0.98), recorded.quantile(1), fleet.directCommands)
		if !c.leadersChange && recorded.quantile(0.9) > shortestStartGoal {
			t.Errorf("%s: got 90%% of the starts within %v, want within %v", c.name, recorded.quantile(0.9), shortestStartGoal)
		}
		if last := recorded.quantile(1); last > longestReportInterval+second {
			t.Errorf("%s: got a start after %v, want all within %v and a second", c.name, last, longestReportInterval)
		}
	}
}
