package terminal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
)

// The values of the flag against that are not files.
const (
	againstHost = "host"
	againstNone = "none"
)

// checkResult is the result of the check of a whole configuration.
type checkResult struct {
	// Valid is set if hosts accept the configuration, whatever the warnings say.
	Valid    bool      `json:"valid"`
	Findings []finding `json:"findings"`
	// Against names what Changes compares with; it is empty without a comparison.
	Against string `json:"against,omitempty"`
	// Sequence is that of the configuration in force.
	Sequence uint64           `json:"sequence,omitempty"`
	Changes  []documentChange `json:"changes,omitempty"`
}

// finding is one error or warning.
type finding struct {
	Severity string `json:"severity"`
	Document string `json:"document"`
	Key      string `json:"key,omitempty"`
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
	// Line is 0 if it is not known.
	Line int `json:"line,omitempty"`
}

// The severities of findings.
const (
	severityError   = "error"
	severityWarning = "warning"
)

// documentChange is one document that differs from the configuration in force.
type documentChange struct {
	Document string `json:"document"`
	// Action is "added", "changed" or "removed".
	Action string      `json:"action"`
	Keys   []keyChange `json:"keys,omitempty"`
}

// keyChange is one key of a document with its values as JSON. A value is empty if the key is absent.
type keyChange struct {
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// setFormat selects the output by the value of the flag format. An empty value leaves it to the flag json.
func (s *session) setFormat(format string) error {
	switch format {
	case "":
	case "text", "json":
		s.json = format == "json"
	default:
		return errors.Mark(errors.Newf("--format: %q; accepted: text, json", format), errUsage)
	}
	return nil
}

// checkConfiguration checks a whole configuration and compares it with the one in force. It prints the findings also if the
// one in force cannot be read.
func (s *session) checkConfiguration(ctx context.Context, v values) error {
	file := v.get("configuration")
	if v.get("file") != fileFlag.defaultValue {
		return errors.Mark(errors.New("--file and --configuration; accepted: one of them"), errUsage)
	}
	report, err := checkFile(file)
	if err != nil {
		if s.json {
			undecodable := finding{Severity: severityError, Document: file, Value: err.Error(), Accepted: "a file that can be decoded"}
			err = errors.CombineErrors(err, s.print(checkResult{Findings: []finding{undecodable}}, ""))
		}
		return errors.Mark(err, errUsage)
	}
	result := checkResult{
		Valid:    len(report.Errors) == 0,
		Findings: append(findingsOf(severityError, report.Errors), findingsOf(severityWarning, report.Warnings)...),
	}
	var compareErr error
	if result.Valid && v.get("against") != againstNone {
		compareErr = s.compare(ctx, v.get("against"), &report.Configuration, &result)
	}
	if err := s.print(result, result.describe(file)); err != nil {
		return err
	}
	switch {
	case !result.Valid:
		return &exitError{ExitUsage, fmt.Sprintf("%s: %d errors; hosts would refuse the configuration", file, len(report.Errors))}
	case compareErr != nil:
		return compareErr
	case len(report.Warnings) > 0 && v.get("strict") == "true":
		return &exitError{ExitUsage, fmt.Sprintf("%s: %d warnings", file, len(report.Warnings))}
	}
	return nil
}

func checkFile(file string) (report config.Report, err error) {
	data, err := readFile(file)
	if err != nil {
		return report, err
	}
	return config.CheckFile(file, data)
}

// compare sets the changes between the configuration in force and c.
func (s *session) compare(ctx context.Context, against string, c *config.Configuration, result *checkResult) error {
	inForce, err := s.configurationInForce(ctx, against)
	if err != nil {
		return err
	}
	edits, err := config.Diff(&inForce, c)
	if err != nil {
		return err
	}
	result.Against, result.Sequence = against, inForce.Sequence
	for _, edit := range edits {
		before, err := inForce.Document(edit.Kind, edit.Name)
		if err != nil {
			return err
		}
		change, err := describeDocumentChange(edit, before)
		if err != nil {
			return err
		}
		result.Changes = append(result.Changes, change)
	}
	return nil
}

// configurationInForce reads the configuration in force from a file or from the host.
func (s *session) configurationInForce(ctx context.Context, against string) (config.Configuration, error) {
	if against == againstHost {
		return s.client.Configuration(ctx)
	}
	report, err := checkFile(against)
	if err == nil && len(report.Errors) > 0 {
		err = errors.Wrapf(report.Errors, "%s", against)
	}
	return report.Configuration, errors.Mark(err, errUsage)
}

// describeDocumentChange lists the keys that differ between a document and the one before, which is empty if there was none.
func describeDocumentChange(edit config.Edit, before []byte) (change documentChange, err error) {
	change = documentChange{Document: edit.Kind + "/" + edit.Name, Action: "changed"}
	switch {
	case len(before) == 0:
		change.Action = "added"
	case len(edit.Document) == 0:
		change.Action = "removed"
		return change, nil
	}
	old, err := decodeKeys(before)
	if err != nil {
		return change, err
	}
	current, err := decodeKeys(edit.Document)
	if err != nil {
		return change, err
	}
	all := maps.Clone(current)
	maps.Copy(all, old)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if bytes.Equal(old[key], current[key]) {
			continue
		}
		changed := keyChange{Key: key, Before: old[key], After: current[key]}
		if edit.Kind == "teams" && key == "keys" {
			changed.Before, changed.After = countKeys(old[key]), countKeys(current[key])
		}
		change.Keys = append(change.Keys, changed)
	}
	return change, nil
}

func decodeKeys(document []byte) (keys map[string]json.RawMessage, err error) {
	keys = map[string]json.RawMessage{}
	if len(document) == 0 {
		return keys, nil
	}
	return keys, errors.Wrap(json.Unmarshal(document, &keys), "decode a document")
}

// countKeys replaces a list of hashes of API keys by its length.
func countKeys(list json.RawMessage) json.RawMessage {
	var hashes []string
	if len(list) == 0 || json.Unmarshal(list, &hashes) != nil {
		return list
	}
	return json.RawMessage(fmt.Sprintf(`"%d hidden"`, len(hashes)))
}

func findingsOf(severity string, problems config.ValidationErrors) []finding {
	findings := make([]finding, 0, len(problems))
	for _, p := range problems {
		findings = append(findings, finding{
			Severity: severity, Document: p.Document, Key: p.Key, Value: p.Value, Accepted: p.Accepted, Line: p.Line,
		})
	}
	return findings
}

// describe returns the result as text, with one line for each finding and each change.
func (r checkResult) describe(file string) string {
	var lines []string
	for _, f := range r.Findings {
		place := file
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", file, f.Line)
		}
		problem := config.ValidationError{Document: f.Document, Key: f.Key, Value: f.Value, Accepted: f.Accepted}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", place, f.Severity, problem.Error()))
	}
	if r.Against != "" {
		lines = append(lines, fmt.Sprintf("%d documents differ from sequence %d (%s)", len(r.Changes), r.Sequence, r.Against))
	}
	for _, c := range r.Changes {
		lines = append(lines, c.describe())
	}
	if r.Valid {
		lines = append(lines, "valid")
	}
	return strings.Join(lines, "\n")
}

func (c documentChange) describe() string {
	keys := make([]string, 0, len(c.Keys))
	for _, k := range c.Keys {
		text := k.Key + " " + valueOrAbsent(k.Before) + " to " + valueOrAbsent(k.After)
		if c.Action == "added" {
			text = k.Key + " " + string(k.After)
		}
		keys = append(keys, text)
	}
	return strings.TrimSuffix(fmt.Sprintf("%s %s: %s", c.Action, c.Document, strings.Join(keys, ", ")), ": ")
}

func valueOrAbsent(value json.RawMessage) string {
	if len(value) == 0 {
		return "absent"
	}
	return string(value)
}
