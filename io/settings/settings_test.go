package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against errors that do not name the file, line, key and accepted range, and against accepting an invalid file.
// Each folder in testdata holds a settings file and the expected result.
func TestParseNamesLineAndRangeOfInvalidSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/*/settings.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings files in testdata: %v", err)
	}
	for _, file := range files {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(filepath.Join(folder, "expected-output.txt"))
			if err != nil {
				t.Fatal(err)
			}
			got := "accepted"
			if _, err := Parse("settings.toml", data); err != nil {
				got = err.Error()
			}
			if got != strings.TrimSpace(string(want)) {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}
