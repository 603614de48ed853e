// Command capacity computes the tables of docs/CAPACITY.md from recorded benchmark output, checks the page against
// them and draws its plot.
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

// run runs one command: tables, write, check or plot.
func run(args []string) error {
	recorded, page, file := "docs/capacity-benchmarks.txt", "docs/CAPACITY.md", "docs/capacity.svg"
	parser := flaggy.NewParser("capacity")
	parser.Description = "Computes, writes and checks the tables of docs/CAPACITY.md and draws its plot."
	parser.String(&recorded, "b", "benchmarks", "recorded output of go test -bench")
	parser.String(&page, "p", "page", "the capacity page")
	commands := map[string]*flaggy.Subcommand{}
	for name, help := range map[string]string{
		"tables": "Prints the tables that follow from the benchmarks.",
		"write":  "Replaces the page's tables.",
		"check":  "Exits with status 1 if the page's tables do not follow from the benchmarks.",
		"plot":   "Draws the plot. Example: capacity plot --output docs/capacity.svg",
	} {
		commands[name] = flaggy.NewSubcommand(name)
		commands[name].Description = help
		parser.AttachSubcommand(commands[name], 1)
	}
	commands["plot"].String(&file, "o", "output", "file to draw, .svg or .png")
	if err := parser.ParseArgs(args); err != nil {
		return errors.Wrap(err, "read the command line")
	}
	input, err := os.Open(recorded)
	if err != nil {
		return errors.Wrap(err, "open the recorded benchmarks")
	}
	defer input.Close()
	r, err := readRecord(input, recorded)
	if err != nil {
		return err
	}
	if commands["plot"].Used {
		return draw(r, file)
	}
	text, err := tables(r)
	if err != nil {
		return err
	}
	if commands["tables"].Used {
		fmt.Print(text)
		return nil
	}
	content, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	if !commands["write"].Used {
		return check(string(content), r)
	}
	before, rest, found := strings.Cut(string(content), begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return errors.Newf("%s has no markers %q and %q", page, begin, end)
	}
	return errors.Wrap(os.WriteFile(page, []byte(before+begin+"\n\n"+text+end+after), 0o644), "write the page")
}
