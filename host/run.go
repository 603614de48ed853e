// Package host assembles a host process from the decision logic in core and the adapters in io.
package host

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"vanillatally/io/events"
	"vanillatally/io/settings"
)

// The exit codes of the host command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs a host with the settings in file until SIGTERM or SIGINT, and returns the exit code. With invalid settings, it
// returns before it listens.
func Run(file string) int {
	hostSettings, err := settings.Read(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	log := events.NewLog(os.Stderr, parseLogLevel(hostSettings.LogLevel), hostSettings.Host)
	h, err := New(hostSettings, log)
	if err == nil {
		err = h.Run(ctx)
	}
	if err != nil {
		log.Emit(events.ComponentFailed, "error", err)
		return exitFailed
	}
	return exitOK
}

func parseLogLevel(name string) slog.Level {
	var level slog.Level
	// The validation of the settings accepts only names that slog knows.
	_ = level.UnmarshalText([]byte(name))
	return level
}
