package fleet

import "encoding/json"

// DecodeChecked decodes b into a type that checks itself. plain points to the
// same value as the receiver of check, as a type without UnmarshalJSON, so that
// decoding does not call itself.
func DecodeChecked[T any](b []byte, plain *T, check func() error) error {
	if err := json.Unmarshal(b, plain); err != nil {
		return err
	}
	return check()
}
