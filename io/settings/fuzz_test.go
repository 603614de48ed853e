package settings

import "testing"

// Guards against a settings file that makes the host panic instead of reporting an error, or that is accepted without a
// host id.
func FuzzParse(f *testing.F) {
	f.Add([]byte("host = \"host-1\"\n[limits]\ndrain-timeout = \"20s\"\n"))
	f.Add([]byte("host = [1, {a = 2}]\n"))
	f.Add([]byte("[seeds\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("settings.toml", data); err == nil && s.Host == "" {
			t.Fatal("settings without a host id were accepted")
		}
	})
}
