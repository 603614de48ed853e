package config

import "testing"

// Guards against a stored configuration that makes the host panic, or that is accepted but cannot be encoded again.
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
			t.Fatalf("cannot encode a configuration that Parse accepted: %v", err)
		}
	})
}

// Guards against a change file that makes the operator's command line panic.
func FuzzParseChangeFile(f *testing.F) {
	f.Add([]byte("[teams.alpha]\ntemplate = \"standard\"\nrate = 5.0\n"))
	f.Add([]byte("delete = [\"teams/old\"]\n"))
	f.Add([]byte("[teams.alpha\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Any result but a panic is fine: the edits are checked again when they are applied.
		_, _ = ParseChangeFile("change.toml", data)
	})
}
