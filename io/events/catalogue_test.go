package events

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"testing"
)

// page renders the catalogue as docs/events.md.
func page() []byte {
	var b bytes.Buffer
	b.WriteString("# Log events\n\nEach log line is a JSON object whose `event` is one of these numbers. Numbers are never reused.\n\n")
	b.WriteString("| Number | Level | Message | What it means |\n|---|---|---|---|\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning)
	}
	return b.Bytes()
}

// Guards against a page of the docs that differs from the events in the code, and against event numbers that are used twice.
// UPDATE_GOLDEN=1 writes the page.
func TestCataloguePageIsCurrent(t *testing.T) {
	const file = "../../docs/events.md"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(file, page(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, page()) {
		t.Error("docs/events.md differs from the catalogue; run UPDATE_GOLDEN=1 go test ./io/events")
	}
	for i := 1; i < len(Catalogue); i++ {
		if Catalogue[i].Number <= Catalogue[i-1].Number {
			t.Errorf("event %d is not above the one before it", Catalogue[i].Number)
		}
	}
}

// Guards against decisions that are kept without a bound or returned in the wrong order.
func TestDecisionsAreBoundedAndNewestFirst(t *testing.T) {
	log := NewLog(io.Discard, 0, "host-1")
	for i := range decisionCapacity + 10 {
		log.RecordDecision("admission", fmt.Sprint(i), "refused", "rate-exceeded")
	}
	all := log.Decisions("", "", 0)
	if len(all) != decisionCapacity || all[0].Subject != fmt.Sprint(decisionCapacity+9) {
		t.Fatalf("%d decisions, the newest about %q", len(all), all[0].Subject)
	}
}
