// Command vanillatally runs a host of the traffic steering system, or an operator command that calls a host's API.
package main

import (
	"os"

	"vanillatally/host"
	"vanillatally/io/terminal"
	"vanillatally/platform"
)

func main() {
	os.Exit(terminal.Main(os.Args[1:], os.Stdout, os.Stderr, terminal.Runners{Host: host.Run, Entry: platform.Run}))
}
