// Command standin runs a stand-in for the platform or for a backend server in demonstrations.
package main

import (
	"os"

	"vanillatally/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:]))
}
