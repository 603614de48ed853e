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

// collection has the operations of one kind of document.
type collection struct {
	kind string
	// set adds or replaces a document in a copy of the collection's map, so that older configurations do not change.
	set func(c *Configuration, name string, document []byte) error
	// load decodes all documents into the collection's map.
	load func(c *Configuration, documents map[string]json.RawMessage) error
	// remove deletes a document in a copy of the collection's map. It returns false if there is no such document.
	remove func(c *Configuration, name string) bool
	// names returns the sorted names of the documents.
	names func(c *Configuration) []string
	// document returns one document as JSON, or nil if there is none.
	document func(c *Configuration, name string) ([]byte, error)
	// check reports values that are not accepted and, with references set, names of documents that do not exist.
	check func(c *Configuration, name string, references bool, report reportFunc)
}

// collections lists all kinds of documents in the order in which they are checked and compared.
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

// DocumentKinds returns the names of all kinds of documents.
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

// newCollection returns the operations of one kind of document; field returns the collection's map in a configuration.
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

// decodeStrict decodes JSON and rejects unknown keys and data after the value.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON document")
	}
	return nil
}

// newDecodeError turns an error of the JSON decoder into one that names the document and, if it is known, the key.
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
