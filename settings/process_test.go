package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDecodeProcess reads each JSON file in testdata/process. If the file must be
// rejected, the file with the suffix .error holds the expected error, without the
// file name.
func TestDecodeProcess(t *testing.T) {
	files, err := filepath.Glob("testdata/process/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := ReadProcess(file)
			want, readErr := os.ReadFile(strings.TrimSuffix(file, ".json") + ".error")
			if os.IsNotExist(readErr) {
				is.NoErr(err)
				return
			}
			is.NoErr(readErr)
			is.True(err != nil)
			is.Equal(err.Error(), file+": "+strings.TrimSpace(string(want)))
		})
	}
}
