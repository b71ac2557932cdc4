package sim

import (
	"testing"
	"time"
)

// cancelScenario is a run in which a job is cancelled while the orders to stop its tasks
// don't reach the machine.
type cancelScenario struct {
	*largeFleet
	machine *Worker // the machine that runs the job's task
	job     string
}

// faultsAt is when the faults of a scenario begin. The job is cancelled 200 ms later.
const faultsAt = 60 * second

// afterReportAnswer calls f once the machine has received the answer to a report that it
// sent after the given time, or has begun a new session after it.
func (s *cancelScenario) afterReportAnswer(sent time.Duration, f func()) {
	s.runWhen(sent, func() bool { return s.machine.leaseStartedAt > sent }, f)
}

// crashEachLeader crashes each leader as soon as the machine has an answer from it, until
// the given time.
func (s *cancelScenario) crashEachLeader(until time.Duration) {
	s.afterReportAnswer(s.Now, func() {
		s.crashLeader(300 * time.Millisecond)
		if s.Now < until {
			s.crashEachLeader(until)
		}
	})
}

// cancelScenarios are scenarios in which a machine gets an answer, and with it a renewed
// lease, later than cancel_s - lease_s after the cancellation was confirmed to the user.
// Nothing after that answer tells the machine of the cancellation in time: direct commands,
// which would otherwise stop the task, arrive 2 to 16 s late (LateCommandFraction). The
// setting cancel_s is the time within which the tasks of a cancelled job must be gone
// (CancelWithin), lease_s is the duration of a worker's lease.
var cancelScenarios = []struct {
	name            string
	machinesPerZone int
	run             func(scenario *cancelScenario)
}{
	{"each leader crashes before the machine reports to it again", 5, func(scenario *cancelScenario) {
		scenario.LateCommandFraction = 1
		scenario.crashLeader(300 * time.Millisecond)
		scenario.crashEachLeader(scenario.Now + scenario.Options.Config.CancelWithin)
	}},
	{"the next leader is elected late, and the machine is paused once that leader has answered it", 5, pauseOnceAnswered},
	{"the same among thousands of machines", 1340, pauseOnceAnswered},
}

// pauseOnceAnswered prevents any election until a renewed lease of the machine would
// last longer than CancelWithin allows. It then pauses the machine, for longer than its
// lease, as soon as the new leader has answered it.
func pauseOnceAnswered(scenario *cancelScenario) {
	config := scenario.Options.Config
	scenario.LateCommandFraction = 1
	scenario.crashLeader(10 * second)
	scenario.storeOutage(scenario.Now+500*time.Millisecond, scenario.Now+config.CancelWithin-config.Lease)
	scenario.afterReportAnswer(scenario.Now+config.CancelWithin-config.Lease, func() { scenario.machine.Pause(config.Lease + 10*second) })
}

// TestCancelledTasksAreGone checks that the tasks of a cancelled job are gone within
// cancel_s, whatever answers a machine gets. It guards against a new leader that answers
// machines whose tasks it has not yet reconciled, and so renews their leases, without
// the order to stop the tasks of cancelled jobs.
func TestCancelledTasksAreGone(t *testing.T) {
	for _, test := range cancelScenarios {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			options := largestDeploymentOptions(1)
			scenario := &cancelScenario{largeFleet: newLargeFleet(options, test.machinesPerZone), job: "req-000001"}
			scenario.Users.StopsPollingAtEnd = true
			scenario.At(20*second, func() { scenario.Users.Submit(serviceJob(scenario.job, 1), 0) })
			scenario.RunUntil(faultsAt)
			scenario.machine = scenario.runningMachine(scenario.job + "/0")
			if scenario.machine == nil {
				t.Fatal("got no machine that runs the task, want one")
			}
			test.run(scenario)
			scenario.RunUntil(faultsAt + 200*time.Millisecond)
			scenario.Users.Cancel(scenario.job)
			scenario.RunUntil(faultsAt + 2*options.Config.CancelWithin)
			for _, violation := range scenario.Checker.Violations {
				t.Error(violation)
			}
			confirmedAt := scenario.Checker.jobs[scenario.job].cancelConfirmedAt
			if confirmedAt == 0 || confirmedAt > faultsAt+5*second || scenario.Checker.CancelledTasksStopped == 0 {
				t.Errorf("scenario without effect: got cancellation confirmed at %v (0s: not confirmed) with %d cancelled tasks stopped, want it confirmed by 1m5s, 5 s after the faults began, and at least 1 task stopped", confirmedAt, scenario.Checker.CancelledTasksStopped)
			}
			t.Logf("the cancelled tasks were gone %v before the end of cancel_s", scenario.Checker.LeastMargin)
		})
	}
}
