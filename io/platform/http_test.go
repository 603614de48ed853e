package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a cut that changes other values than the deep ones, or leaves text that cannot be decoded.
func TestCutDeepValues(t *testing.T) {
	deep := func(levels int) string { return strings.Repeat(`{"x":[`, levels/2) + strings.Repeat("]}", levels/2) }
	for _, c := range []struct{ name, text, want string }{
		{"shallow", `{"items":[{"Spec":{"a":"]}[{\"\\"}}]}`, `{"items":[{"Spec":{"a":"]}[{\"\\"}}]}`},
		{"deep", `[` + deep(300) + `,"]",1]`, `[` + strings.Repeat(`{"x":[`, 49) + `{"x":null}` + strings.Repeat("]}", 49) + `,"]",1]`},
		{"as deep as allowed", deep(maxNesting), deep(maxNesting)},
	} {
		if got := string(cutDeepValues([]byte(c.text))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against one invalid entry that takes the whole list with it, so that hosts stop following it, and against an invalid entry
// that nobody learns of.
func TestInvalidEntryTakesOutOnlyItself(t *testing.T) {
	const good = `{"id":"%s","service":"search","address":"10.0.0.1:80","slots":2,"connections":4}`
	for name, odd := range map[string]string{
		"no slots":         `{"id":"odd","service":"search","address":"10.0.0.1:80","connections":4}`,
		"absurd slots":     `{"id":"odd","service":"search","address":"10.0.0.1:80","slots":9223372036854775807,"connections":4}`,
		"number too large": `{"id":"odd","service":"search","address":"10.0.0.1:80","slots":1e999,"connections":4}`,
		"port":             `{"id":"odd","service":"search","address":"10.0.0.1:70000","slots":2,"connections":4}`,
		"text":             `"odd"`,
		"deeply nested":    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "["+fmt.Sprintf(good, "a")+","+odd+","+fmt.Sprintf(good, "b")+"]")
		}))
		listed, err := NewHTTPList(server.URL).BackendServers(context.Background())
		server.Close()
		if invalid := new(InvalidEntriesError); !errors.As(err, &invalid) || invalid.Count != 1 {
			t.Errorf("%s: error %v, want one invalid entry", name, err)
		}
		if len(listed) != 2 || listed[0].ID != "a" || listed[1].ID != "b" {
			t.Errorf("%s: listed %+v, want a and b", name, listed)
		}
	}
}
