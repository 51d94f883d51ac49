package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSecretsDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[Secret]bool)
	for range 100 {
		s := NewSecret()
		is.True(!seen[s])
		is.True(strings.HasPrefix(string(s), secretPrefix))
		is.Equal(len(s), len(secretPrefix)+43) // 32 bytes in base64
		seen[s] = true
	}
}

// TestSecretIsNotPrinted checks that the formatting verbs that log lines and errors
// use do not print a secret.
func TestSecretIsNotPrinted(t *testing.T) {
	is := is.New(t)
	s := NewSecret()
	key := struct{ Secret Secret }{s}
	for _, text := range []string{
		fmt.Sprint(s), fmt.Sprintf("%v", key), fmt.Sprintf("%+v", key), fmt.Sprintf("%q", s), fmt.Sprintf("%#v", key),
	} {
		is.True(!strings.Contains(text, string(s)))
	}
}

func TestKeyHashText(t *testing.T) {
	is := is.New(t)
	h := Secret("s").Hash()
	b, err := json.Marshal(h)
	is.NoErr(err)
	var got KeyHash
	is.NoErr(json.Unmarshal(b, &got))
	is.True(got.Equal(h))
	is.True(!got.Equal(Secret("t").Hash()))
	is.True(json.Unmarshal([]byte(`"abcd"`), &got) != nil)
	is.True(json.Unmarshal([]byte(`"`+strings.Repeat("zz", 32)+`"`), &got) != nil)
}

func TestParseBearer(t *testing.T) {
	for header, want := range map[string]Secret{
		"Bearer s":   "s",
		"bearer  s ": "s",
		"Bearer":     "",
		"Bearer  ":   "",
		"Basic s":    "",
		"s":          "",
		"":           "",
	} {
		got, ok := ParseBearer(header)
		is.New(t).Equal(got, want)
		is.New(t).Equal(ok, want != "")
	}
}
