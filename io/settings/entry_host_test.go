package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against accepting settings of an entry host that are out of range, and against errors that do not name the
// key.
func TestEntryHostSettingsOutOfRangeAreRejected(t *testing.T) {
	const validSettings = `host = "h1"
region = "north"
failure-domain = "north-a"
caller-address = "127.0.0.1:1"
ready-address = "127.0.0.1:2"
lookup-address = "127.0.0.1:3"
operator-address = "127.0.0.1:4"
peer-address = "127.0.0.1:5"
store-endpoint = "http://127.0.0.1:6"
[limits]
`
	read := func(limits string) error {
		file := filepath.Join(t.TempDir(), "entry.toml")
		if err := os.WriteFile(file, []byte(validSettings+limits), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadEntryHost(file)
		return err
	}
	if err := read(""); err != nil {
		t.Error(err)
	}
	for _, invalid := range []string{
		"retry-share = 1.5", "exposure-share = -0.1", "retry-slack = -1.0", "rate-slack = 1e9", "lookup-hosts = 0", "lookup-hosts = 65",
		"request-bytes = 1", "body-bytes = -1", "caller-connections = -1", `grace = "1ms"`, `lookup-ttl = "1h"`, "unknown = 1",
	} {
		key, _, _ := strings.Cut(invalid, " ")
		if err := read(invalid); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error = %v, want one that names the key", invalid, err)
		}
	}
}
