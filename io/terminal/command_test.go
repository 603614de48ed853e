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

// fakeHost implements operators.HostControl with a configuration in memory.
type fakeHost struct {
	current   config.Configuration
	state     operators.State
	move      operators.Move
	storeDown bool
}

func newFakeHost(t *testing.T) *fakeHost {
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
	return &fakeHost{current: current, state: operators.Accepted}
}

func (f *fakeHost) Status() operators.Status {
	status := operators.Status{Host: "host-1", Region: "gulf", FailureDomain: "gulf-a", Ready: true, Sequence: f.current.Sequence}
	if f.move.Name != "" {
		status.Moves = []operators.Move{f.move}
	}
	return status
}
func (f *fakeHost) Configuration() *config.Configuration { return &f.current }

func (f *fakeHost) Validate(edits []config.Edit) error {
	_, err := f.current.WithEdits(edits)
	return err
}

func (f *fakeHost) Apply(_ context.Context, change operators.ChangeRequest) (operators.ChangeResult, error) {
	if f.storeDown {
		return operators.ChangeResult{}, errors.New("store is unavailable")
	}
	if change.ExpectedSequence != f.current.Sequence {
		conflicting := config.Change{Sequence: f.current.Sequence, Edits: []config.Edit{{Kind: "teams", Name: "alpha"}}}
		return operators.ChangeResult{State: operators.Conflict, Sequence: f.current.Sequence, ConflictingChange: &conflicting}, nil
	}
	next, err := f.current.WithEdits(change.Edits)
	if err != nil {
		return operators.ChangeResult{}, err
	}
	next.Sequence = change.ExpectedSequence + 1
	f.current = next
	return operators.ChangeResult{
		State: f.state, Sequence: next.Sequence,
		Unconfirmed: map[operators.State][]string{operators.Pending: {"host-7"}}[f.state],
	}, nil
}

func (f *fakeHost) Decisions(kind, subject string, _ int) []events.Decision {
	return []events.Decision{{
		Time: time.Unix(0, 0).UTC(), Kind: kind, Subject: subject, Outcome: "refused", Reason: "rate-exceeded",
	}}
}
func (f *fakeHost) Ready() bool { return true }

func serveAPI(t *testing.T, control operators.HostControl) string {
	t.Helper()
	server := httptest.NewServer(operators.NewServer(control, credential, http.NotFoundHandler()))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against commands that change the wrong document, print a wrong outcome or return a wrong exit code, which would
// mislead scripts. Each folder in testdata with arguments.txt is a case; expected-output.txt holds its output.
func TestCommands(t *testing.T) {
	faults := map[string]func(*fakeHost){
		"pending":    func(f *fakeHost) { f.state = operators.Pending },
		"store-down": func(f *fakeHost) { f.storeDown = true },
		"reverted": func(f *fakeHost) {
			f.move = operators.Move{Name: "evening", Kind: "shift", State: "reverted", Reason: "deadline"}
		},
		"shift-done": func(f *fakeHost) {
			f.move = operators.Move{Name: "evening", Kind: "shift", State: "done", Share: 0.3}
		},
	}
	argumentFiles, err := filepath.Glob("testdata/*/arguments.txt")
	if err != nil || len(argumentFiles) == 0 {
		t.Fatalf("no test cases in testdata: %v", err)
	}
	for _, argumentFile := range argumentFiles {
		folder := filepath.Dir(argumentFile)
		name := filepath.Base(folder)
		t.Run(name, func(t *testing.T) {
			host := newFakeHost(t)
			if fault := faults[name]; fault != nil {
				fault(host)
			}
			arguments, err := os.ReadFile(argumentFile)
			if err != nil {
				t.Fatal(err)
			}
			args := append(strings.Fields(string(arguments)), "--address", serveAPI(t, host), "--credential", credential)
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
				t.Errorf("output and exit code:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// Guards against an operator API that answers requests with a wrong credential.
func TestCredentialIsRequired(t *testing.T) {
	address := serveAPI(t, newFakeHost(t))
	_, err := operators.NewClient(address, "another-credential").Status(context.Background())
	if !errors.Is(err, operators.ErrRefused) {
		t.Fatalf("status with a wrong credential: %v", err)
	}
}
