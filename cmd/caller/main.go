// Command caller is a load generator: it sends the traffic of a deployment's teams through the system, reports latencies
// and refusals, and checks the system's guarantees to callers.
package main

import (
	"os"

	"vanillatally/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout))
}
