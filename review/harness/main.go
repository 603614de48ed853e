// Command harness runs one case of the review: it starts entry hosts as separate processes, plays the store, the instances
// and the clients as the users' pages describe them, and checks one rule on what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes: the rule held, the rule was broken, the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun ends a case that takes too long.
const longestRun = 115 * time.Second

// run is one play of a case.
type run struct {
	*record
	dir     string
	trouble bool
	store   *store
	hosts   []*hostProcess
	// ports are the ports of the hosts.
	ports []int
}

// cases maps the name of a case to its function, which returns the breaches of the rule that it saw.
var cases = map[string]func(*run) ([]string, error){
	"crashing-request": crashingRequest,
	"uploads":          uploads,
	"cut-watches":      cutWatches,
	"cold-again":       coldAgain,
	"pieces":           pieces,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// play runs a case and writes the record into folder.
func play(name, folder string) (code int, err error) {
	out, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = out.close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{record: out, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if r.store, err = newStore(out.note); err != nil {
		return exitFailed, err
	}
	defer r.store.stop()
	defer r.stopHosts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		r.stopHosts()
		_ = os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	out.note("case %s, disruption: %v", name, r.trouble)
	breaches, err := cases[name](r)
	if err != nil {
		out.note("the case could not run: %v", err)
		return exitFailed, err
	}
	for _, breach := range breaches {
		out.note("BROKEN: %s", breach)
		fmt.Println("BROKEN:", breach)
	}
	if len(breaches) > 0 {
		return exitBroken, nil
	}
	out.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld, nil
}

// until waits until the condition holds, for at most limit, and reports whether it did.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
