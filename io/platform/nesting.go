package platform

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxNesting is the depth of a JSON text beyond which values are dropped if the text cannot be decoded as it is. Valid lists and
// objects have less than ten levels.
const maxNesting = 100

// UnmarshalCuttingDeepValues decodes a JSON text. encoding/json rejects a text that is nested too deeply anywhere as a whole; then
// the values below maxNesting levels are replaced by null, so that one such value does not take its neighbours with it.
func UnmarshalCuttingDeepValues(data []byte, out any) (err error) {
	defer func() { err = errors.Wrap(err, "decode JSON") }()
	err = json.Unmarshal(data, out)
	if syntax := new(json.SyntaxError); !errors.As(err, &syntax) {
		return err
	}
	cut := cutDeepValues(data)
	if len(cut) == len(data) {
		return err
	}
	return json.Unmarshal(cut, out)
}

// cutDeepValues returns the JSON text with each array or object below maxNesting levels replaced by null.
func cutDeepValues(data []byte) []byte {
	cut := make([]byte, 0, len(data))
	depth, inString, escaped := 0, false, false
	for _, c := range data {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			depth++
			if depth == maxNesting+1 {
				cut = append(cut, "null"...)
			}
		case c == '}' || c == ']':
			depth--
			if depth == maxNesting {
				continue
			}
		}
		if depth <= maxNesting {
			cut = append(cut, c)
		}
	}
	return cut
}
