// Command caller sends the traffic of a deployment's teams through the system and reports what callers saw.
package main

import (
	"os"

	"vanillatally/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout))
}
