// Command standin-3 plays the cases of the third review: it starts entry hosts with the command of the deploy file, and plays the
// platform's store, the backend servers and the callers itself, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a run.
const timeLimit = 112 * time.Second

// scenario plays one case and reports whether the rule was broken. trouble is false for the run without the disruption.
type scenario func(r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	r.note("case %s, trouble %t", args[0], trouble)
	// The run ends itself, and its processes, before the limit of 120 s and on a signal.
	defer time.AfterFunc(timeLimit, func() { abandon(r, "the time is over") }).Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var group sync.WaitGroup
	group.Go(func() {
		if received, ok := <-signals; ok {
			abandon(r, received.String())
		}
	})
	defer group.Wait()
	defer close(signals)
	defer signal.Stop(signals)
	broken, err := scenarios[args[0]](r, trouble)
	switch {
	case err != nil:
		r.note("NOT RUN: %v", err)
		return exitNotRun
	case broken:
		r.note("BROKEN")
		return exitBroken
	}
	r.note("HELD")
	return exitHeld
}

// abandon ends the processes that the run has started, and the run.
func abandon(r *record, reason string) {
	closeDeployments()
	r.note("NOT RUN: %s", reason)
	os.Exit(exitNotRun)
}
