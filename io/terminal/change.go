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

var fileFlag = flag{"file", "TOML change file; - reads standard input", "-"}

var validateCommand = command{
	name: "validate", description: "check a change file without applying it", example: "validate --file change.toml",
	flags: []flag{fileFlag},
	run: func(ctx context.Context, s *session, v values) error {
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
	flags: []flag{fileFlag, {"expect", "sequence that the change is based on; default: the sequence in force", ""}},
	run: func(ctx context.Context, s *session, v values) error {
		edits, err := readEdits(v.get("file"))
		if err != nil {
			return err
		}
		if v.get("expect") == "" {
			return s.apply(ctx, edits)
		}
		expect, err := strconv.ParseUint(v.get("expect"), 10, 64)
		if err != nil {
			return errors.Mark(errors.Newf("--expect: %q is not a sequence", v.get("expect")), errUsage)
		}
		return s.applyAt(ctx, expect, edits)
	},
}

var configurationCommand = command{
	name: "configuration", description: "show the configuration in force at the host", example: "configuration --json",
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
	path := file
	if file == "-" {
		path = "/dev/stdin"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.ParseChangeFile(file, data)
}

// apply bases the edits on the sequence in force at the host.
func (s *session) apply(ctx context.Context, edits []config.Edit) error {
	current, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return s.applyAt(ctx, current.Sequence, edits)
}

func (s *session) applyAt(ctx context.Context, expect uint64, edits []config.Edit) error {
	answer, err := s.client.Apply(ctx, operators.ChangeRequest{Expect: expect, Edits: edits})
	if err != nil {
		return err
	}
	if err := s.print(answer, describe(answer)); err != nil {
		return err
	}
	switch answer.State {
	case operators.Conflict:
		return &exitError{ExitConflict, "nothing was written; read the other change and decide again"}
	case operators.Pending:
		return &exitError{ExitPending, "written, but not yet in force at every host"}
	}
	return nil
}

func describe(a operators.ChangeResult) string {
	switch a.State {
	case operators.Pending:
		return fmt.Sprintf("pending: sequence %d is written; not confirmed by %s", a.Sequence, strings.Join(a.Unconfirmed, ", "))
	case operators.Conflict:
		return fmt.Sprintf("conflict: sequence %d came first: %s", a.Sequence, describeChange(a.Other))
	}
	return fmt.Sprintf("accepted: sequence %d is in force at every host", a.Sequence)
}

func describeChange(c *config.Change) string {
	if c == nil {
		return "(the other change is not known)"
	}
	var parts []string
	for _, e := range c.Edits {
		verb := "sets"
		if len(e.Document) == 0 {
			verb = "deletes"
		}
		parts = append(parts, verb+" "+e.Kind+"/"+e.Name+" "+string(e.Document))
	}
	return strings.Join(parts, "; ")
}

// edit changes one document through fn, which gets the document in force.
func edit[Document any](ctx context.Context, s *session, kind, name string, fn func(d *Document) error) error {
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
	if err := fn(&document); err != nil {
		return errors.Mark(err, errUsage)
	}
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return s.applyAt(ctx, current.Sequence, []config.Edit{{Kind: kind, Name: name, Document: data}})
}
