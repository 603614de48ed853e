package config

import "testing"

// Guards against a stored configuration that crashes the host or is accepted although it cannot be written again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"sequence":1,"change-id":"a","regions":{"gulf":{}}}`))
	f.Add([]byte(`{"sequence":1,"teams":{"alpha":{"template":"none"}}}`))
	f.Add([]byte(`{"sequence":1,`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		if _, err := c.Encode(); err != nil {
			t.Fatalf("an accepted configuration cannot be written: %v", err)
		}
	})
}

// Guards against an operator's change file that crashes the command line.
func FuzzParseEdits(f *testing.F) {
	f.Add([]byte("[teams.alpha]\ntemplate = \"standard\"\nrate = 5.0\n"))
	f.Add([]byte("delete = [\"teams/old\"]\n"))
	f.Add([]byte("[teams.alpha\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Any outcome but a panic is fine: the edits are checked again as a whole.
		_, _ = ParseChangeFile("change.toml", data)
	})
}
