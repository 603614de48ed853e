package host

import "testing"

// Guards against a command line that fails before it reads its arguments.
func TestMainWithoutArgumentsSucceeds(t *testing.T) {
	if status := Main(nil); status != 0 {
		t.Fatalf("Main(nil) = %d, want 0", status)
	}
}
