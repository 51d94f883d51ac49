package fleet

import "encoding/json"

// DecodeChecked decodes the JSON text b into plain and then calls check. It is for
// UnmarshalJSON methods that validate: plain must point to the receiver, converted to
// a type without methods, so that decoding does not call UnmarshalJSON again.
func DecodeChecked[T any](b []byte, plain *T, check func() error) error {
	if err := json.Unmarshal(b, plain); err != nil {
		return err
	}
	return check()
}
