package terminal

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/io/operators"
)

var moveArgument = argument{"name", "name of the shift or rollout"}

var shiftStartCommand = command{
	name: "shift-start", description: "move a share of a route's or a team's traffic between two regions or backend servers",
	example:   "shift-start evening --route search --from gulf --to levant --share 0.3 --cap 0.4 --within 10m",
	arguments: []argument{moveArgument},
	flags: []flag{
		{"route", "route whose traffic moves", ""},
		{"team", "team whose traffic moves", ""},
		{"from", "region or backend server", ""},
		{"to", "region or backend server", ""},
		{"share", "share to move, above 0 and at most 1", ""},
		{"cap", "largest share that may be moved at any time, above 0 and at most 1", ""},
		{"within", "time until the deadline, such as 10m", "10m"},
	},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "shifts", v.get("name"), func(d *config.Shift) error {
			within, share, shareCap, err := parseMoveFlags(v, "share", "cap")
			*d = config.Shift{
				Route: v.get("route"), Team: v.get("team"), From: v.get("from"), To: v.get("to"),
				Share: share, Cap: shareCap, Within: config.Duration(within),
			}
			return err
		})
	},
}

var rolloutStartCommand = command{
	name: "rollout-start", description: "move a service's traffic gradually to a new version by a deadline",
	example:   "rollout-start search-v2 --service search --from v1 --to v2 --cap 0.05 --within 30m",
	arguments: []argument{moveArgument},
	flags: []flag{
		{"service", "service to roll out", ""},
		{"from", "current version", ""},
		{"to", "new version", ""},
		{"cap", "largest share of the new version until it has proved healthy, above 0 and at most 1", "0.05"},
		{"within", "time until the deadline, such as 30m", "30m"},
		{
			"on-too-little-traffic",
			"finish or revert: what to do at the deadline if there was too little traffic to judge the new version", "revert",
		},
	},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "rollouts", v.get("name"), func(d *config.Rollout) error {
			within, shareCap, _, err := parseMoveFlags(v, "cap", "cap")
			*d = config.Rollout{
				Service: v.get("service"), From: v.get("from"), To: v.get("to"), Cap: shareCap,
				Within: config.Duration(within), OnTooLittleTraffic: v.get("on-too-little-traffic"),
			}
			return err
		})
	},
}

// parseMoveFlags parses the flag within and two required flags that hold shares, and returns the shares in the same order.
func parseMoveFlags(v values, firstFlag, secondFlag string) (within time.Duration, firstShare, secondShare float64, err error) {
	within, err = time.ParseDuration(v.get("within"))
	if err != nil {
		return 0, 0, 0, errors.Newf("--within: %q is not a duration with a unit", v.get("within"))
	}
	shares := [2]float64{}
	for i, name := range []string{firstFlag, secondFlag} {
		n, err := parseNumberFlag(v, name)
		if err != nil {
			return 0, 0, 0, err
		}
		if n == nil {
			return 0, 0, 0, errors.Newf("--%s is missing", name)
		}
		shares[i] = *n
	}
	return within, shares[0], shares[1], nil
}

var (
	shiftWatchCommand   = newWatchCommand("shift-watch", "shift", "evening")
	rolloutWatchCommand = newWatchCommand("rollout-watch", "rollout", "search-v2")
)

var shiftCancelCommand = command{
	name: "shift-cancel", description: "cancel a shift and revert it", example: "shift-cancel evening",
	arguments: []argument{moveArgument},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "shifts", v.get("name"), func(d *config.Shift) error {
			d.Cancelled = true
			return nil
		})
	},
}

var rolloutCancelCommand = command{
	name: "rollout-cancel", description: "cancel a rollout and revert it", example: "rollout-cancel search-v2",
	arguments: []argument{moveArgument},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "rollouts", v.get("name"), func(d *config.Rollout) error {
			d.Cancelled = true
			return nil
		})
	},
}

// newWatchCommand returns a command that polls a shift or rollout until it is done or reverted.
func newWatchCommand(name, kind, example string) command {
	return command{
		name: name, description: "show the progress of a " + kind + " until it is done or reverted", example: name + " " + example,
		arguments: []argument{moveArgument},
		flags:     []flag{{"for", "maximum time to watch, such as 1h", "1h"}},
		run: func(ctx context.Context, s *session, v values) error {
			timeout, err := time.ParseDuration(v.get("for"))
			if err != nil {
				return errors.Mark(errors.Newf("--for: %q is not a duration with a unit", v.get("for")), errUsage)
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return s.watchMove(ctx, kind, v.get("name"))
		},
	}
}

// watchMove polls a shift or rollout until it ends. It returns an error if the move was reverted, or if ctx ends first.
func (s *session) watchMove(ctx context.Context, kind, name string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		move, err := findMove(status, kind, name)
		if err != nil {
			return err
		}
		switch move.State {
		case "done":
			return s.print(move, describeMove(move))
		case "reverted":
			if err := s.print(move, describeMove(move)); err != nil {
				return err
			}
			return &exitError{ExitReverted, "the move was reverted: " + move.Reason}
		}
		if s.progress {
			fmt.Fprintf(s.out, "\r\033[K%s", describeMove(move))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%s %s is still %s", kind, name, move.State)
		}
	}
}

func findMove(status operators.Status, kind, name string) (operators.Move, error) {
	for _, m := range status.Moves {
		if m.Kind == kind && m.Name == name {
			return m, nil
		}
	}
	return operators.Move{}, errors.Newf("host %s has no %s named %q", status.Host, kind, name)
}

func describeMove(m operators.Move) string {
	return fmt.Sprintf("%s %s: %s, share %.3f, evidence: %s, driver %s, next step %s, deadline in %s, reason: %s",
		m.Kind, m.Name, m.State, m.Share, m.Evidence, m.Driver, m.NextStep, m.Deadline, m.Reason)
}
