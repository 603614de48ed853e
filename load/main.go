package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"
)

// The exit codes of the caller program.
const (
	exitOK = 0
	// exitBroken: a promise was broken.
	exitBroken = 1
	exitUsage  = 2
)

// sampleInterval is how often the backend servers' free slots are read.
const sampleInterval = 500 * time.Millisecond

// Main runs the caller program and returns its exit code.
func Main(args []string, out io.Writer) int {
	parser := flaggy.NewParser("caller")
	parser.Description = "sends the traffic of a deployment's teams and checks what callers were promised"
	profileFile, duration, asJSON, seed := "", 0*time.Second, false, uint64(1)
	parser.String(&profileFile, "p", "profile", "TOML file with the teams' traffic")
	parser.Duration(&duration, "d", "duration", "how long to send; without it until an interrupt")
	parser.Bool(&asJSON, "j", "json", "print only the report as JSON")
	parser.UInt64(&seed, "s", "seed", "seed of the arrivals")
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	profile, err := ReadProfile(profileFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, duration)
		defer stop()
	}
	report, err := run(ctx, profile, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if asJSON {
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return exitUsage
		}
	} else {
		report.Write(out)
	}
	if report.HasViolations() {
		return exitBroken
	}
	return exitOK
}

func run(ctx context.Context, profile Profile, seed uint64) (Report, error) {
	servers, err := ConnectStandIns(ctx, profile)
	if err != nil {
		return Report{}, err
	}
	runner := NewRunner(profile)
	group := &errgroup.Group{}
	group.Go(func() error {
		servers.SampleLoad(ctx, sampleInterval)
		return nil
	})
	runner.Run(ctx, seed)
	_ = group.Wait()
	return runner.Report(servers), nil
}
