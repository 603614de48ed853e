package terminal

import (
	"bytes"
	"net"
	"strings"
	"testing"
)

// Guards against findings that are lost, or a comparison that seems to have been made, when the host cannot be reached.
func TestCheckPrintsFindingsWithoutHost(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	code := Main([]string{"validate", "--configuration", "testdata/whole-warnings.toml", "--address", address}, &out, &errOut, Runners{})
	if code != ExitFailed || !strings.Contains(out.String(), "routes/search: objective") || strings.Contains(out.String(), "differ") {
		t.Errorf("exit code %d, output %q, errors %q, want exit code 1 with findings and no comparison", code, &out, &errOut)
	}
}
