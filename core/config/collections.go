package config

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// collection gives one kind of document its codec and checks.
type collection struct {
	kind string
	// set replaces the collection's map by a copy that holds the document.
	set func(c *Configuration, name string, document []byte) error
	// load fills the collection's map.
	load func(c *Configuration, documents map[string]json.RawMessage) error
	// remove replaces the collection's map by a copy without the document; false when there is none.
	remove func(c *Configuration, name string) bool
	// names returns the documents' names in order.
	names func(c *Configuration) []string
	// document returns one document as JSON, or nil when there is none.
	document func(c *Configuration, name string) ([]byte, error)
	// check reports values out of range and, with references set, names that do not exist.
	check func(c *Configuration, name string, references bool, report reportFunc)
}

// collections is the look-up table of all kinds, in the order in which they are checked and compared.
var collections = []collection{
	newCollection("templates", func(c *Configuration) *map[string]TeamTemplate { return &c.Templates }, checkTemplate),
	newCollection("teams", func(c *Configuration) *map[string]Team { return &c.Teams }, checkTeam),
	newCollection("routes", func(c *Configuration) *map[string]Route { return &c.Routes }, checkRoute),
	newCollection("services", func(c *Configuration) *map[string]Service { return &c.Services }, checkService),
	newCollection("servers", func(c *Configuration) *map[string]ServerOverride { return &c.Servers }, noCheck[ServerOverride]),
	newCollection("hosts", func(c *Configuration) *map[string]HostOverride { return &c.Hosts }, noCheck[HostOverride]),
	newCollection("regions", func(c *Configuration) *map[string]Region { return &c.Regions }, checkRegion),
	newCollection("links", func(c *Configuration) *map[string]Link { return &c.Links }, checkLink),
	newCollection("shifts", func(c *Configuration) *map[string]Shift { return &c.Shifts }, checkShift),
	newCollection("rollouts", func(c *Configuration) *map[string]Rollout { return &c.Rollouts }, checkRollout),
	newCollection("evacuations", func(c *Configuration) *map[string]Evacuation { return &c.Evacuations }, noCheck[Evacuation]),
	newCollection("limits", func(c *Configuration) *map[string]Limit { return &c.Limits }, checkLimit),
}

// DocumentKinds returns the kinds of documents.
func DocumentKinds() []string {
	kinds := make([]string, len(collections))
	for i, col := range collections {
		kinds[i] = col.kind
	}
	return kinds
}

func collectionOf(kind string) (collection, bool) {
	i := slices.IndexFunc(collections, func(c collection) bool { return c.kind == kind })
	if i < 0 {
		return collection{}, false
	}
	return collections[i], true
}

func newCollection[D any](
	kind string,
	field func(*Configuration) *map[string]D,
	check func(c *Configuration, name string, document D, references bool, report reportFunc),
) collection {
	return collection{
		kind: kind,
		set: func(c *Configuration, name string, document []byte) error {
			var decoded D
			if err := decodeStrict(document, &decoded); err != nil {
				return newDecodeError(kind, name, err)
			}
			documents := maps.Clone(*field(c))
			if documents == nil {
				documents = map[string]D{}
			}
			documents[name] = decoded
			*field(c) = documents
			return nil
		},
		load: func(c *Configuration, documents map[string]json.RawMessage) error {
			loaded := make(map[string]D, len(documents))
			for name, document := range documents {
				var decoded D
				if err := decodeStrict(document, &decoded); err != nil {
					return newDecodeError(kind, name, err)
				}
				loaded[name] = decoded
			}
			*field(c) = loaded
			return nil
		},
		remove: func(c *Configuration, name string) bool {
			if _, ok := (*field(c))[name]; !ok {
				return false
			}
			documents := maps.Clone(*field(c))
			delete(documents, name)
			*field(c) = documents
			return true
		},
		names: func(c *Configuration) []string { return slices.Sorted(maps.Keys(*field(c))) },
		document: func(c *Configuration, name string) ([]byte, error) {
			document, ok := (*field(c))[name]
			if !ok {
				return nil, nil
			}
			return json.Marshal(document)
		},
		check: func(c *Configuration, name string, references bool, report reportFunc) {
			check(c, name, (*field(c))[name], references, report)
		},
	}
}

// decodeStrict refuses unknown keys and anything after the value.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more data after the document")
	}
	return nil
}

// newDecodeError names the document, and the key where the decoder tells it, of a decoding error.
func newDecodeError(kind, name string, err error) *ValidationError {
	p := &ValidationError{Document: kind + "/" + name, Value: err.Error(), Accepted: "a document of kind " + kind}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		p.Key, p.Value, p.Accepted = mismatch.Field, mismatch.Value, "a value of type "+mismatch.Type.String()
		return p
	}
	const unknown = "json: unknown field "
	if text := err.Error(); len(text) > len(unknown) && text[:len(unknown)] == unknown {
		if key, unquoteErr := strconv.Unquote(text[len(unknown):]); unquoteErr == nil {
			p.Key, p.Value, p.Accepted = key, "unknown key", "a key of kind "+kind
		}
	}
	return p
}
