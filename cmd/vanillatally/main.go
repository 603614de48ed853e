// Command vanillatally runs a host of the traffic steering system and the operator commands that talk to one.
package main

import (
	"os"

	"vanillatally/host"
)

func main() {
	os.Exit(host.Main(os.Args[1:]))
}
