// Command standin plays a small deployment around real controller processes: the state
// service, the cloud, the workers, the load balancer and the users. It follows the
// protocol page. Each case of the review is one of its subcommands. It starts the
// controllers as separate processes, uses loopback addresses and the real clock, writes
// what was sent, answered and run to record.txt, and exits with 1 if a rule was broken, 0
// if the rule held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run, one line for each event, with the seconds since
// the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// now returns the time since the start of the run.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// logf writes a line to the record.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to standard output.
func (r *recorder) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
