package ledger

import "testing"

// Guards against a value in the store that makes Decode panic or return an invalid ledger.
func FuzzDecode(f *testing.F) {
	l, err := Create(Member{Host: "host-1", Region: "gulf", FailureDomain: "gulf-a"})
	if err != nil {
		f.Fatal(err)
	}
	value, err := l.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte(`{"epoch":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		if err := decoded.Validate(); err != nil {
			t.Fatalf("Decode returned an invalid ledger: %v", err)
		}
	})
}
