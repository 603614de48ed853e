package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// changeFile is the TOML format of a change, with one table for each document, such as [teams.alpha].
type changeFile struct {
	Templates map[string]TeamTemplate   `toml:"templates"`
	Teams     map[string]Team           `toml:"teams"`
	Routes    map[string]Route          `toml:"routes"`
	Services  map[string]Service        `toml:"services"`
	Servers   map[string]ServerOverride `toml:"servers"`
	Hosts     map[string]HostOverride   `toml:"hosts"`
	Regions   map[string]Region         `toml:"regions"`
	Links     map[string]Link           `toml:"links"`
	Shifts    map[string]Shift          `toml:"shifts"`
	Rollouts  map[string]Rollout        `toml:"rollouts"`
	// Delete lists the documents to delete as kind/name.
	Delete []string `toml:"delete"`
}

// ChangeFileHelp explains the format of change files to operators.
const ChangeFileHelp = `A change file is TOML with one table for each document to set, and a list of documents to delete:

  delete = ["teams/old"]

  [teams.alpha]
  template = "standard"
  rate = 50.0

Kinds: templates, teams, routes, services, servers, hosts, regions, links, shifts, rollouts.`

// ParseChangeFile decodes and checks a change file. Its errors name the file, line, key and accepted range. References
// between documents are checked later, in the configuration to which the edits are applied.
func ParseChangeFile(file string, data []byte) (edits []Edit, err error) {
	parsed, documents, err := decodeChangeFile(file, data)
	if err != nil {
		return nil, err
	}
	var problems ValidationErrors
	for _, col := range collections {
		for _, name := range col.names(documents) {
			problems = checkDocument(documents, col, name, false, problems)
			document, err := col.document(documents, name)
			if err != nil {
				return nil, errors.Wrapf(err, "%s: %s/%s", file, col.kind, name)
			}
			edits = append(edits, Edit{Kind: col.kind, Name: name, Document: document})
		}
	}
	if len(problems) > 0 {
		return nil, withLineNumbers(file, data, problems)
	}
	for _, document := range parsed.Delete {
		kind, name, ok := strings.Cut(document, "/")
		if _, known := collectionOf(kind); !ok || !known || !namePattern.MatchString(name) {
			line := keyLines(data)["delete"]
			return nil, errors.Newf("%s:%d: delete = %q; accepted: kind/name with a kind of %v", file, line, document, DocumentKinds())
		}
		edits = append(edits, Edit{Kind: kind, Name: name})
	}
	if len(edits) == 0 || len(edits) > MaxEdits {
		return nil, errors.Newf("%s: %d documents; accepted: 1 to %d", file, len(edits), MaxEdits)
	}
	return edits, nil
}

// decodeChangeFile decodes a change file without a check of its values, and returns its documents as a configuration.
func decodeChangeFile(file string, data []byte) (parsed changeFile, documents *Configuration, err error) {
	if len(data) > MaxEncodedBytes {
		return parsed, nil, errors.Newf("%s: %d bytes; accepted: at most %d", file, len(data), MaxEncodedBytes)
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&parsed); err != nil {
		return parsed, nil, describeDecodeError(file, err)
	}
	return parsed, &Configuration{
		Templates: parsed.Templates, Teams: parsed.Teams, Routes: parsed.Routes, Services: parsed.Services,
		Servers: parsed.Servers, Hosts: parsed.Hosts, Regions: parsed.Regions, Links: parsed.Links,
		Shifts: parsed.Shifts, Rollouts: parsed.Rollouts,
	}, nil
}

// describeDecodeError adds the file, line and key to an error of the TOML decoder.
func describeDecodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return errors.Newf("%s:%d: %s: unknown key; accepted: %s", file, row, strings.Join(first.Key(), "."), acceptedKeys(first.Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return errors.Newf("%s:%d: %s: %s", file, row, strings.Join(decode.Key(), "."), decode.Error())
	}
	return errors.Wrap(err, file)
}

// acceptedKeys describes what is accepted instead of an unknown key.
func acceptedKeys(key toml.Key) string {
	if _, ok := collectionOf(key[0]); !ok {
		return fmt.Sprintf("delete and %v", DocumentKinds())
	}
	return "a key of kind " + key[0]
}

// withLineNumbers puts the file and line before each validation error. An error without a line of its own gets that of
// the document's table.
func withLineNumbers(file string, data []byte, problems ValidationErrors) error {
	setLines(data, problems)
	texts := make([]string, 0, min(len(problems), maxReportedErrors))
	for _, p := range problems[:min(len(problems), maxReportedErrors)] {
		texts = append(texts, fmt.Sprintf("%s:%d: %s", file, p.Line, p))
	}
	return errors.New(strings.Join(texts, "\n"))
}

// setLines sets the lines of problems in a change file.
func setLines(data []byte, problems ValidationErrors) {
	at := keyLines(data)
	for _, p := range problems {
		table := strings.Replace(p.Document, "/", ".", 1)
		if p.Line = at[table+"."+p.Key]; p.Line == 0 {
			p.Line = at[table]
		}
	}
}

// keyLines maps the dotted keys and tables of a TOML document to their line numbers.
func keyLines(data []byte) map[string]int {
	at := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	var table string
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyAndLine(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path + "."
			at[path] = line
		case unstable.KeyValue:
			at[table+path] = line
		}
	}
	return at
}

// keyAndLine returns the dotted key of an expression and its line number.
func keyAndLine(parser *unstable.Parser, node *unstable.Node) (path string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
