package terminal

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/io/operators"
)

var fileFlag = flag{"file", "TOML change file; - for standard input", "-"}

var validateCommand = command{
	name: "validate", description: "check a change file, or a whole configuration, without applying it",
	example: "validate --file change.toml",
	flags: []flag{
		fileFlag,
		{"configuration", "JSON or TOML file with a whole configuration to check instead of a change file", ""},
		{"against", "configuration in force to compare with: host, none or a file", againstHost},
		{"strict", "true: warnings about the whole configuration also end with exit code 2", ""},
		{"format", "text or json", ""},
	},
	run: func(ctx context.Context, s *session, v values) error {
		if err := s.setFormat(v.get("format")); err != nil {
			return err
		}
		if v.get("configuration") != "" {
			return s.checkConfiguration(ctx, v)
		}
		edits, err := readEdits(v.get("file"))
		if err != nil {
			return err
		}
		if err := s.client.Validate(ctx, operators.ChangeRequest{Edits: edits}); err != nil {
			return err
		}
		return s.print(map[string]bool{"valid": true}, "valid")
	},
}

var applyCommand = command{
	name: "apply", description: "apply a change file", example: "apply --file change.toml --expect 41",
	flags: []flag{fileFlag, {"expect", "configuration sequence that the change is based on; default: the current one", ""}},
	run: func(ctx context.Context, s *session, v values) error {
		edits, err := readEdits(v.get("file"))
		if err != nil {
			return err
		}
		if v.get("expect") == "" {
			return s.applyToCurrent(ctx, edits)
		}
		expect, err := strconv.ParseUint(v.get("expect"), 10, 64)
		if err != nil {
			return errors.Mark(errors.Newf("--expect: %q is not a sequence number", v.get("expect")), errUsage)
		}
		return s.applyExpecting(ctx, expect, edits)
	},
}

var configurationCommand = command{
	name: "configuration", description: "print the host's current configuration", example: "configuration --json",
	run: func(ctx context.Context, s *session, _ values) error {
		current, err := s.client.Configuration(ctx)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(current, "", "  ")
		if err != nil {
			return err
		}
		return s.print(current, string(text))
	},
}

func readEdits(file string) (edits []config.Edit, err error) {
	defer func() { err = errors.Mark(err, errUsage) }()
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return config.ParseChangeFile(file, data)
}

// readFile reads a file, or standard input if its name is -.
func readFile(file string) ([]byte, error) {
	if file == "-" {
		file = "/dev/stdin"
	}
	return os.ReadFile(file)
}

// applyToCurrent applies the edits on top of the host's current configuration.
func (s *session) applyToCurrent(ctx context.Context, edits []config.Edit) error {
	current, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return s.applyExpecting(ctx, current.Sequence, edits)
}

// applyExpecting applies the edits if the current configuration still has the sequence expect. Otherwise another change
// was written in the meantime, and the result is a conflict.
func (s *session) applyExpecting(ctx context.Context, expect uint64, edits []config.Edit) error {
	result, err := s.client.Apply(ctx, operators.ChangeRequest{ExpectedSequence: expect, Edits: edits})
	if err != nil {
		return err
	}
	if err := s.print(result, describeResult(result)); err != nil {
		return err
	}
	switch result.State {
	case operators.Conflict:
		return &exitError{ExitConflict, "nothing was written; review the other change before you retry"}
	case operators.Pending:
		return &exitError{ExitPending, "written, but not yet in force at every host"}
	}
	return nil
}

func describeResult(r operators.ChangeResult) string {
	switch r.State {
	case operators.Pending:
		return fmt.Sprintf("pending: sequence %d was written; not yet confirmed by %s", r.Sequence, strings.Join(r.Unconfirmed, ", "))
	case operators.Conflict:
		return fmt.Sprintf("conflict: sequence %d was written first: %s", r.Sequence, describeChange(r.ConflictingChange))
	}
	return fmt.Sprintf("accepted: sequence %d is in force at every host", r.Sequence)
}

func describeChange(c *config.Change) string {
	if c == nil {
		return "(the other change is unknown)"
	}
	var parts []string
	for _, e := range c.Edits {
		action := "sets"
		if len(e.Document) == 0 {
			action = "deletes"
		}
		parts = append(parts, action+" "+e.Kind+"/"+e.Name+" "+string(e.Document))
	}
	return strings.Join(parts, "; ")
}

// editDocument reads the current document, lets modify change it and applies the result. A document that does not exist
// yet is passed to modify as its zero value.
func editDocument[Document any](ctx context.Context, s *session, kind, name string, modify func(d *Document) error) error {
	current, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	var document Document
	if data, err := current.Document(kind, name); err == nil && len(data) > 0 {
		if err := json.Unmarshal(data, &document); err != nil {
			return err
		}
	}
	if err := modify(&document); err != nil {
		return errors.Mark(err, errUsage)
	}
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return s.applyExpecting(ctx, current.Sequence, []config.Edit{{Kind: kind, Name: name, Document: data}})
}
