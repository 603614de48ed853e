// Package host joins the decision logic under core and the adapters under io into one process.
package host

import "fmt"

// Main runs the command line with args and returns the exit status.
func Main(args []string) int {
	fmt.Println("vanillatally", args)
	return 0
}
