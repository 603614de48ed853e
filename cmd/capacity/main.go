// Command capacity computes the tables of docs/CAPACITY.md from recorded benchmark output. It can print them, write them
// to the page, check the page against them, and draw the page's plot.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the command in args: tables, write, check or plot. Without a command it checks the page.
func run(args []string) error {
	resultsFile, pageFile, plotFile := "docs/capacity-benchmarks.txt", "docs/CAPACITY.md", "docs/capacity.svg"
	parser := flaggy.NewParser("capacity")
	parser.Description = "Computes, writes and checks the tables of docs/CAPACITY.md and draws the page's plot."
	parser.String(&resultsFile, "b", "benchmarks", "file with recorded output of go test -bench")
	parser.String(&pageFile, "p", "page", "file of the capacity page")
	commands := map[string]*flaggy.Subcommand{}
	for name, help := range map[string]string{
		"tables": "Prints the tables computed from the benchmarks.",
		"write":  "Replaces the tables in the page.",
		"check":  "Exits with status 1 if the tables in the page differ from those computed from the benchmarks.",
		"plot":   "Draws the plot. Example: capacity plot --output docs/capacity.svg",
	} {
		commands[name] = flaggy.NewSubcommand(name)
		commands[name].Description = help
		parser.AttachSubcommand(commands[name], 1)
	}
	commands["plot"].String(&plotFile, "o", "output", "image file to write, .svg or .png")
	if err := parser.ParseArgs(args); err != nil {
		return errors.Wrap(err, "parse the command line")
	}
	input, err := os.Open(resultsFile)
	if err != nil {
		return errors.Wrap(err, "open the recorded benchmarks")
	}
	defer input.Close()
	r, err := readResults(input, resultsFile)
	if err != nil {
		return err
	}
	if commands["plot"].Used {
		return drawPlot(r, plotFile)
	}
	text, err := renderTables(r)
	if err != nil {
		return err
	}
	if commands["tables"].Used {
		fmt.Print(text)
		return nil
	}
	content, err := os.ReadFile(pageFile)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	if !commands["write"].Used {
		return checkPage(string(content), r)
	}
	before, rest, found := strings.Cut(string(content), tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return errors.Newf("%s has no markers %q and %q", pageFile, tablesBegin, tablesEnd)
	}
	return errors.Wrap(os.WriteFile(pageFile, []byte(before+tablesBegin+"\n\n"+text+tablesEnd+after), 0o644), "write the page")
}
