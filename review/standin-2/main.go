// Package main holds the stand-ins of the platform, the backend servers and the callers with which the cases 6 to 10 of the review
// run hosts of this project on loopback addresses. Each case is one subcommand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// verdict is the outcome of a case: what broke the rule, or an empty string if it held.
type verdict string

// cases maps the names of the cases to their drivers.
var cases = map[string]func(ctx context.Context, e *environment) (verdict, error){}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// write adds a line with the time since the start of the case.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Without the record the exit code still tells the result.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// environment is what a case runs in.
type environment struct {
	*record
	// trouble is unset if the case has to run without the disturbance.
	trouble bool
	// program is the path of the host's program, and folder a temporary folder.
	program, folder string
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	found, err := runCase(arguments[0], arguments[1])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case found != "":
		fmt.Println("broken:", found)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// stopOnSignal ends the case with all processes that it started when a signal asks for it.
func stopOnSignal(folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	var group errgroup.Group
	group.Go(func() error {
		<-signals
		started.killAll()
		// The process ends here.
		_ = os.RemoveAll(folder)
		os.Exit(exitNotRun)
		return nil
	})
}

func runCase(name, recordFile string) (found verdict, err error) {
	defer func() { err = errors.Wrapf(err, "case %s", name) }()
	file, err := os.Create(recordFile)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return "", err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(folder)) }()
	stopOnSignal(folder)
	e := &environment{
		record:  &record{file: file, started: time.Now()},
		trouble: os.Getenv("TROUBLE") != "0", program: "target/vanillatally", folder: folder,
	}
	e.write("case %s, disturbance: %t", name, e.trouble)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	found, err = cases[name](ctx, e)
	switch {
	case err != nil:
		e.write("the case could not run: %v", err)
	case found != "":
		e.write("broken: %s", found)
	default:
		e.write("held")
	}
	return found, err
}
