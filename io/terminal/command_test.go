package terminal

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/io/events"
	"vanillatally/io/operators"
)

const credential = "an-operator-credential"

// fakeControl is a host with one configuration in memory.
type fakeControl struct {
	current config.Configuration
	state   operators.State
	move    operators.Move
	down    bool
}

func newControl(t *testing.T) *fakeControl {
	t.Helper()
	data, err := os.ReadFile("testdata/configuration.toml")
	if err != nil {
		t.Fatal(err)
	}
	edits, err := config.ParseChangeFile("configuration.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	current, err := config.Configuration{}.WithEdits(edits)
	if err != nil {
		t.Fatal(err)
	}
	current.Sequence = 41
	return &fakeControl{current: current, state: operators.Accepted}
}

func (f *fakeControl) Status() operators.Status {
	status := operators.Status{Host: "host-1", Region: "gulf", FailureDomain: "gulf-a", Ready: true, Sequence: f.current.Sequence}
	if f.move.Name != "" {
		status.Moves = []operators.Move{f.move}
	}
	return status
}
func (f *fakeControl) Configuration() *config.Configuration { return &f.current }

func (f *fakeControl) Validate(edits []config.Edit) error {
	_, err := f.current.WithEdits(edits)
	return err
}

func (f *fakeControl) Apply(_ context.Context, change operators.ChangeRequest) (operators.ChangeResult, error) {
	if f.down {
		return operators.ChangeResult{}, errors.New("store is unavailable")
	}
	if change.Expect != f.current.Sequence {
		other := config.Change{Sequence: f.current.Sequence, Edits: []config.Edit{{Kind: "teams", Name: "alpha"}}}
		return operators.ChangeResult{State: operators.Conflict, Sequence: f.current.Sequence, Other: &other}, nil
	}
	next, err := f.current.WithEdits(change.Edits)
	if err != nil {
		return operators.ChangeResult{}, err
	}
	next.Sequence = change.Expect + 1
	f.current = next
	return operators.ChangeResult{State: f.state, Sequence: next.Sequence, Unconfirmed: map[operators.State][]string{operators.Pending: {"host-7"}}[f.state]}, nil
}

func (f *fakeControl) Decisions(kind, subject string, _ int) []events.Decision {
	return []events.Decision{{Time: time.Unix(0, 0).UTC(), Kind: kind, Subject: subject, Outcome: "refused", Reason: "rate-exceeded"}}
}
func (f *fakeControl) Ready() bool { return true }

func serve(t *testing.T, control operators.HostControl) string {
	t.Helper()
	server := httptest.NewServer(operators.NewServer(control, credential, http.NotFoundHandler()))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against commands that change the wrong document, print something else than the outcome, or end with
// an exit code that scripts would misread. Each case folder holds the arguments and the expected output.
func TestCommands(t *testing.T) {
	faults := map[string]func(*fakeControl){
		"pending":    func(f *fakeControl) { f.state = operators.Pending },
		"store-down": func(f *fakeControl) { f.down = true },
		"reverted": func(f *fakeControl) {
			f.move = operators.Move{Name: "evening", Kind: "shift", State: "reverted", Reason: "deadline"}
		},
		"shift-done": func(f *fakeControl) {
			f.move = operators.Move{Name: "evening", Kind: "shift", State: "done", Share: 0.3}
		},
	}
	folders, err := filepath.Glob("testdata/*/arguments.txt")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, file := range folders {
		folder := filepath.Dir(file)
		name := filepath.Base(folder)
		t.Run(name, func(t *testing.T) {
			control := newControl(t)
			if fault := faults[name]; fault != nil {
				fault(control)
			}
			arguments, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			args := append(strings.Fields(string(arguments)), "--address", serve(t, control), "--credential", credential)
			var out, errOut bytes.Buffer
			address := args[len(args)-3]
			code := Main(args, &out, &errOut, Runners{})
			got := fmt.Sprintf("%s%sexit %d\n", out.String(), strings.ReplaceAll(errOut.String(), address, "HOST"), code)
			golden := filepath.Join(folder, "expected-output.txt")
			if os.Getenv("UPDATE_GOLDEN") != "" {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil || got != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against an operator API that answers without the credential.
func TestCredentialIsRequired(t *testing.T) {
	address := serve(t, newControl(t))
	_, err := operators.NewClient(address, "another-credential").Status(context.Background())
	if !errors.Is(err, operators.ErrRefused) {
		t.Fatalf("status with a wrong credential: %v", err)
	}
}
