package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// decodeError converts an error of encoding/json into a FieldError with the path
// and the value, as far as the error reports them. b is the content of the file.
func decodeError(file string, b []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(b[:min(int(syntax.Offset), len(b))], []byte("\n"))
		return &FieldError{File: file, Path: fmt.Sprintf("line %d", line), Reason: "not valid JSON: " + err.Error()}
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{File: file, Path: wrongType.Field, Value: wrongType.Value, Reason: "must be of type " + wrongType.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{File: file, Path: strings.Trim(name, `"`), Reason: "unknown field"}
	}
	return decodeTextError(file, b, err)
}

// decodeTextError converts an error of an UnmarshalText method. Because
// encoding/json does not report the path of the value, it decodes the fields with
// such types again to find the one that failed.
func decodeTextError(file string, b []byte, err error) error {
	var texts struct {
		FirstOperator json.RawMessage `json:"first_operator"`
		StopAfter     json.RawMessage `json:"stop_after"`
	}
	if json.Unmarshal(b, &texts) != nil {
		return &FieldError{File: file, Path: "(file)", Reason: err.Error()}
	}
	var span Span
	if len(texts.StopAfter) > 0 && json.Unmarshal(texts.StopAfter, &span) != nil {
		return &FieldError{File: file, Path: "stop_after", Value: string(texts.StopAfter), Reason: err.Error()}
	}
	return &FieldError{File: file, Path: "first_operator", Value: string(texts.FirstOperator), Reason: err.Error()}
}
