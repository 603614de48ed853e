// Package terminal implements the vanillatally command line: the commands that run a host and those for operators.
package terminal

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"vanillatally/io/operators"
)

// The exit codes, which docs/operators.md lists as well.
const (
	ExitOK = 0
	// ExitFailed: the host could not be reached or returned an error.
	ExitFailed = 1
	// ExitUsage: the command line, the settings or the change file is invalid; nothing was sent.
	ExitUsage = 2
	// ExitConflict: another operator's change was written first; this one was not written.
	ExitConflict = 3
	// ExitPending: the change was written, but not every host has confirmed it.
	ExitPending = 4
	// ExitReverted: the watched shift or rollout was reverted.
	ExitReverted = 5
)

// errUsage marks errors in the command line and in local files; they end with ExitUsage.
var errUsage = errors.New("usage")

// exitError is an error with an exit code other than ExitFailed and ExitUsage.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

// session holds the client and the output settings of one command invocation.
type session struct {
	client *operators.Client
	out    io.Writer
	// json selects JSON output for scripts.
	json bool
	// progress is set when out is a terminal, which can show progress in place.
	progress bool
}

// command defines one operator command.
type command struct {
	name        string
	description string
	// example is shown in the help.
	example string
	// arguments are positional and required.
	arguments []argument
	flags     []flag
	run       func(ctx context.Context, s *session, values values) error
}

type argument struct{ name, description string }

// flag is an option with a string value, which the command itself parses.
type flag struct{ name, description, defaultValue string }

// values maps the names of the arguments and flags of one invocation to their values.
type values map[string]*string

func (v values) get(name string) string { return *v[name] }

// commands lists the operator commands in the order of the help text.
var commands = []command{
	validateCommand, applyCommand, configurationCommand,
	templateListCommand, templateEditCommand, teamListCommand, teamEditCommand,
	keyGrantCommand, keyWithdrawCommand,
	shiftStartCommand, shiftWatchCommand, shiftCancelCommand,
	rolloutStartCommand, rolloutWatchCommand, rolloutCancelCommand,
	drainServerCommand, drainHostCommand, hostDeadCommand, regionDeadCommand,
	statusCommand, explainCommand, traceCommand, reportCommand,
}

// HostRunner runs a host with the settings in file until a signal stops it, and returns the exit code.
type HostRunner func(file string) int

// Runners holds the functions that the host and entry commands call.
type Runners struct {
	// Host runs a host with the system's own protocols, Entry an entry host on the users' platform.
	Host, Entry HostRunner
}

// Main parses args, runs the command and returns its exit code.
func Main(args []string, out, errOut io.Writer, runners Runners) int {
	parser := flaggy.NewParser("vanillatally")
	parser.Description = "steers the traffic of teams to backend servers across regions"
	parser.ShowHelpOnUnexpected = true
	address, credential, asJSON := "127.0.0.1:8301", os.Getenv("VANILLATALLY_CREDENTIAL"), false
	parser.String(&address, "a", "address", "IP:port of a host's operator API")
	parser.String(&credential, "c", "credential", "operator credential; default: $VANILLATALLY_CREDENTIAL")
	parser.Bool(&asJSON, "j", "json", "print JSON for scripts")

	host := flaggy.NewSubcommand("host")
	host.Description = "run a host. Example: vanillatally host --settings host-1.toml"
	settingsFile := ""
	host.String(&settingsFile, "s", "settings", "TOML settings of the host")
	parser.AttachSubcommand(host, 1)

	entry := flaggy.NewSubcommand("entry")
	entry.Description = "run an entry host on the platform. Example: vanillatally entry --settings entry.toml"
	entrySettingsFile := ""
	entry.String(&entrySettingsFile, "s", "settings", "TOML settings of the host; default: the file given by the platform")
	parser.AttachSubcommand(entry, 1)

	subcommands := make([]*flaggy.Subcommand, len(commands))
	parsed := make([]values, len(commands))
	for i, c := range commands {
		subcommands[i], parsed[i] = c.subcommand()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if host.Used {
		return runners.Host(settingsFile)
	}
	if entry.Used {
		return runners.Entry(entrySettingsFile)
	}
	for i, c := range commands {
		if !subcommands[i].Used {
			continue
		}
		s := &session{client: operators.NewClient(address, credential), out: out, json: asJSON, progress: isTerminal(out)}
		return exitCode(errOut, c.run(context.Background(), s, parsed[i]))
	}
	parser.ShowHelp()
	return ExitUsage
}

// subcommand returns the parser of the command, and the values that it will set.
func (c command) subcommand() (*flaggy.Subcommand, values) {
	subcommand := flaggy.NewSubcommand(c.name)
	subcommand.Description = c.description + ". Example: vanillatally " + c.example
	parsed := values{}
	for i, a := range c.arguments {
		parsed[a.name] = new(string)
		subcommand.AddPositionalValue(parsed[a.name], a.name, i+1, true, a.description)
	}
	for _, f := range c.flags {
		value := f.defaultValue
		parsed[f.name] = &value
		subcommand.String(parsed[f.name], "", f.name, f.description)
	}
	return subcommand, parsed
}

// exitCode prints err and returns the exit code for it.
func exitCode(errOut io.Writer, err error) int {
	var coded *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		fmt.Fprintln(errOut, coded.message)
		return coded.code
	case errors.Is(err, errUsage):
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	fmt.Fprintln(errOut, err)
	return ExitFailed
}

// print writes v as JSON if --json was given, and text otherwise.
func (s *session) print(v any, text string) error {
	if !s.json {
		_, err := fmt.Fprintln(s.out, text)
		return err
	}
	return json.NewEncoder(s.out).Encode(v)
}

// isTerminal reports whether out is a terminal, that is, a character device.
func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// pollInterval is the time between polls of a shift or rollout that is being watched.
const pollInterval = 500 * time.Millisecond
