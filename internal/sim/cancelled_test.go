package sim

import (
	"testing"
	"time"
)

// cancelScenario is a day on which a job is cancelled while the orders to stop its
// tasks don't get through.
type cancelScenario struct {
	*grown
	machine *Worker // which has the job's tasks
	job     string
}

const cancelAt = 60 * second

// afterReportAnswer calls f once the machine has taken an answer to a report that it
// sent after a time.
func (d *cancelScenario) afterReportAnswer(sent time.Duration, f func()) {
	d.runWhen(sent, func() bool { return d.machine.leaseStartedAt > sent }, f)
}

// crashEachLeader ends whoever leads as soon as the machine has its answer, again and
// again until a time.
func (d *cancelScenario) crashEachLeader(until time.Duration) {
	d.afterReportAnswer(d.Now, func() {
		d.crashLeader(300 * time.Millisecond)
		if d.Now < until {
			d.crashEachLeader(until)
		}
	})
}

// Days on which a machine is answered more than cancel_s - lease_s after its
// task's user was told of the cancellation, and doesn't hear of it after that.
var cancelScenarios = []struct {
	name string
	zone int // machines in each zone
	play func(d *cancelScenario)
}{
	{"each leader ends before the machine reports to it again", 5, func(d *cancelScenario) {
		d.LateCommandFraction = 1
		d.crashLeader(300 * time.Millisecond)
		d.crashEachLeader(d.Now + d.Options.Config.CancelWithin)
	}},
	{"the machine hangs once a leader elected late has answered it", 5, pauseOnceAnswered},
	{"the same among thousands of machines", 1340, pauseOnceAnswered},
}

// pauseOnceAnswered has nobody lead until a machine's lease may be renewed beyond
// what is allowed, and the machine hang as soon as that has happened.
func pauseOnceAnswered(d *cancelScenario) {
	c := d.Options.Config
	d.LateCommandFraction = 1
	d.crashLeader(10 * second)
	d.outage(d.Now+500*time.Millisecond, d.Now+c.CancelWithin-c.Lease)
	d.afterReportAnswer(d.Now+c.CancelWithin-c.Lease, func() { d.machine.Pause(c.Lease + 10*second) })
}

// TestCancelledTasksAreGone: whatever is answered to a machine, the tasks of a
// cancelled job are gone within cancel_s. A new leader once answered machines that
// it hadn't adopted yet, and with that renewed their leases, without the order to
// stop such tasks.
func TestCancelledTasksAreGone(t *testing.T) {
	for _, day := range cancelScenarios {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			opt := largest(1)
			d := &cancelScenario{grown: growTo(opt, day.zone), job: "req-000001"}
			d.Users.StopsPollingAtEnd = true
			d.At(20*second, func() { d.Users.Submit(serviceJob(d.job, 1), 0) })
			d.RunUntil(cancelAt)
			d.machine = d.runningMachine(d.job + "/0")
			if d.machine == nil {
				t.Fatal("the task doesn't run")
			}
			day.play(d)
			d.RunUntil(cancelAt + 200*time.Millisecond)
			d.Users.Cancel(d.job)
			d.RunUntil(cancelAt + 2*opt.Config.CancelWithin)
			for _, b := range d.Checker.Violations {
				t.Error(b)
			}
			told := d.Checker.jobs[d.job].cancelConfirmedAt
			if told == 0 || told > cancelAt+5*second || d.Checker.CancelledTasksStopped == 0 {
				t.Errorf("told of the cancellation at %v, %d tasks seen to go: the day shows nothing", told, d.Checker.CancelledTasksStopped)
			}
			t.Logf("gone %v before the time allowed was over", d.Checker.LeastMargin)
		})
	}
}
