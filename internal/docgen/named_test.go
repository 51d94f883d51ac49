package main

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

// testReference matches the name of a test in backquotes on a page.
var testReference = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")

// Pages that refer to tests as evidence must name tests that exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := testFunctions(t, "../..", regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`))
	for _, page := range []string{"FIELD-REPORTS.md", "design/permissions.md", "PROMISES.md"} {
		t.Run(page, func(t *testing.T) {
			b, err := os.ReadFile("../../docs/" + page)
			is.New(t).NoErr(err)
			for _, m := range testReference.FindAllStringSubmatch(string(b), -1) {
				if !tests[m[1]] {
					t.Errorf("there is no %s", m[1])
				}
			}
		})
	}
}
