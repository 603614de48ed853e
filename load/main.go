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

// The exit codes of the load generator.
const (
	exitOK = 0
	// exitViolation: a guarantee was violated.
	exitViolation = 1
	// exitUsage: the command line or the profile is invalid, or a server could not be reached.
	exitUsage = 2
)

// sampleInterval is the time between samples of the backend servers' load.
const sampleInterval = 500 * time.Millisecond

// Main runs the load generator and returns its exit code.
func Main(args []string, out io.Writer) int {
	parser := flaggy.NewParser("caller")
	parser.Description = "load generator that sends the traffic of a deployment's teams and checks the guarantees to callers"
	profileFile, duration, asJSON, seed := "", 0*time.Second, false, uint64(1)
	parser.String(&profileFile, "p", "profile", "TOML load profile with the teams' traffic")
	parser.Duration(&duration, "d", "duration", "how long to send requests; default: until interrupted")
	parser.Bool(&asJSON, "j", "json", "print only the report as JSON")
	parser.UInt64(&seed, "s", "seed", "seed of the random arrival times")
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
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, duration)
		defer cancelTimeout()
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
		return exitViolation
	}
	return exitOK
}

// run sends the traffic of profile until ctx ends and reports on it.
func run(ctx context.Context, profile Profile, seed uint64) (Report, error) {
	standIns, err := ConnectStandIns(ctx, profile)
	if err != nil {
		return Report{}, err
	}
	runner := NewRunner(profile)
	group := &errgroup.Group{}
	group.Go(func() error {
		standIns.SampleLoad(ctx, sampleInterval)
		return nil
	})
	runner.Run(ctx, seed)
	_ = group.Wait()
	return runner.Report(standIns), nil
}
