package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases of the review, by name. Each plays its scenario, with its
// disruption only if trouble is set, and returns whether the rule was broken.
var cases = map[string]struct {
	site func() *site
	play func(w *world, trouble bool) (bool, error)
}{
	"reset":        {kerbrat, playReset},
	"weightless":   {naipe, playWeightless},
	"guarantee":    {kerbrat, playGuarantee},
	"search":       {kerbrat, playSearch},
	"search-naipe": {naipe, playSearch},
	"gap":          {kerbrat, playGap},
}

// timeLimit bounds a run.
const timeLimit = 116 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase plays a case and returns the exit code.
func runCase(name, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	w, err := newWorld(c.site(), filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w.rec.sayf("case %s at %s, with the disruption: %v", name, w.site.name, trouble)
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := c.play(w, trouble)
		ended <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-ended:
		switch {
		case r.err != nil:
			w.rec.sayf("the case could not run: %v", r.err)
			return 2
		case r.broken:
			w.rec.sayf("the rule was broken")
			return 1
		}
		w.rec.sayf("the rule held")
		return 0
	case <-time.After(timeLimit):
		w.rec.sayf("the case could not run: it took too long")
	case <-interrupted:
		w.rec.sayf("the case could not run: interrupted")
	}
	return 2
}
