package sim

import (
	"testing"
	"time"
)

// cancelledDay is a day on which a job is cancelled while the orders to stop its
// tasks don't get through.
type cancelledDay struct {
	*grown
	machine *Worker // which has the job's tasks
	job     string
}

const cancelAt = 60 * second

// afterAnswer calls f once the machine has taken an answer to a report that it
// sent after a time.
func (d *cancelledDay) afterAnswer(sent time.Duration, f func()) {
	d.when(sent, func() bool { return d.machine.leaseFrom > sent }, f)
}

// endLeaders ends whoever leads as soon as the machine has its answer, again and
// again until a time.
func (d *cancelledDay) endLeaders(until time.Duration) {
	d.afterAnswer(d.Now, func() {
		d.crashLeader(300 * time.Millisecond)
		if d.Now < until {
			d.endLeaders(until)
		}
	})
}

// Days on which a machine is answered more than cancel_s - lease_s after its
// task's user was told of the cancellation, and doesn't hear of it after that.
var cancelledDays = []struct {
	name string
	zone int // machines in each zone
	play func(d *cancelledDay)
}{
	{"each leader ends before the machine reports to it again", 5, func(d *cancelledDay) {
		d.LateCommands = 1
		d.crashLeader(300 * time.Millisecond)
		d.endLeaders(d.Now + d.Opt.Config.CancelWithin)
	}},
	{"the machine hangs once a leader elected late has answered it", 5, hangOnceAnswered},
	{"the same among thousands of machines", 1340, hangOnceAnswered},
}

// hangOnceAnswered has nobody lead until a machine's lease may be renewed beyond
// what is allowed, and the machine hang as soon as that has happened.
func hangOnceAnswered(d *cancelledDay) {
	c := d.Opt.Config
	d.LateCommands = 1
	d.crashLeader(10 * second)
	d.outage(d.Now+500*time.Millisecond, d.Now+c.CancelWithin-c.Lease)
	d.afterAnswer(d.Now+c.CancelWithin-c.Lease, func() { d.machine.Hang(c.Lease + 10*second) })
}

// TestCancelledTasksAreGone: whatever is answered to a machine, the tasks of a
// cancelled job are gone within cancel_s. A new leader once answered machines that
// it hadn't adopted yet, and with that renewed their leases, without the order to
// stop such tasks.
func TestCancelledTasksAreGone(t *testing.T) {
	for _, day := range cancelledDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			opt := largest(1)
			d := &cancelledDay{grown: growTo(opt, day.zone), job: "req-000001"}
			d.Users.Quiet = true
			d.At(20*second, func() { d.Users.Submit(service(d.job, 1), 0) })
			d.Run(cancelAt)
			d.machine = d.host(d.job + "/0")
			if d.machine == nil {
				t.Fatal("the task doesn't run")
			}
			day.play(d)
			d.Run(cancelAt + 200*time.Millisecond)
			d.Users.Cancel(d.job)
			d.Run(cancelAt + 2*opt.Config.CancelWithin)
			for _, b := range d.Check.Broken {
				t.Error(b)
			}
			told := d.Check.jobs[d.job].toldCancelled
			if told == 0 || told > cancelAt+5*second || d.Check.Cancelled == 0 {
				t.Errorf("told of the cancellation at %v, %d tasks seen to go: the day shows nothing", told, d.Check.Cancelled)
			}
			t.Logf("gone %v before the time allowed was over", d.Check.LeastMargin)
		})
	}
}
