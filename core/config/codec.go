package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// MaxEncodedBytes is the largest size of an encoded configuration. It is the store's limit for one value.
const MaxEncodedBytes = 1 << 20

// Encode returns the configuration as JSON with sorted keys. It fails if that exceeds MaxEncodedBytes.
func (c *Configuration) Encode() (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode configuration") }()
	if data, err = json.Marshal(c); err != nil {
		return nil, err
	}
	if len(data) > MaxEncodedBytes {
		return nil, errors.Newf("configuration has %d bytes; accepted: at most %d", len(data), MaxEncodedBytes)
	}
	return data, nil
}

// Parse decodes and checks a whole configuration. Unknown kinds and keys are errors.
func Parse(data []byte) (c Configuration, err error) {
	defer func() { err = errors.Wrap(err, "parse configuration") }()
	parsed, err := decode(data)
	if err != nil {
		return c, err
	}
	if err = parsed.Check(); err != nil {
		return c, err
	}
	return parsed.WithIndex(), nil
}

// decode decodes a whole configuration without a check of its values.
func decode(data []byte) (parsed Configuration, err error) {
	if len(data) > MaxEncodedBytes {
		return parsed, errors.Newf("configuration has %d bytes; accepted: at most %d", len(data), MaxEncodedBytes)
	}
	var fields map[string]json.RawMessage
	if err = decodeStrict(data, &fields); err != nil {
		return parsed, err
	}
	for field, raw := range fields {
		switch field {
		case "sequence":
			err = decodeStrict(raw, &parsed.Sequence)
		case "change-id":
			err = decodeStrict(raw, &parsed.ChangeID)
		default:
			err = parseCollection(&parsed, field, raw)
		}
		if err != nil {
			return Configuration{}, errors.Wrapf(err, "%s", field)
		}
	}
	return parsed, nil
}

func parseCollection(c *Configuration, kind string, raw []byte) error {
	col, ok := collectionOf(kind)
	if !ok {
		return errors.Newf("unknown key %q; accepted: sequence, change-id, %v", kind, DocumentKinds())
	}
	var documents map[string]json.RawMessage
	if err := decodeStrict(raw, &documents); err != nil {
		return err
	}
	return col.load(c, documents)
}
