package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// promiseCount is the number of promises of the brief.
const promiseCount = 12

var (
	promiseRow  = regexp.MustCompile(`(?m)^\| *\d+ \|.*$`)
	promiseName = regexp.MustCompile("TestPromise[A-Za-z]+")
	testFunc    = regexp.MustCompile(`(?m)^func (TestPromise[A-Za-z]+)\(`)
)

// TestEachPromiseNamesItsTest checks that docs/PROMISES.md has a row for each
// promise, that the test it names exists, and that no other test has such a
// name.
func TestEachPromiseNamesItsTest(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/PROMISES.md")
	is.NoErr(err)
	tests := testFunctions(t, "../..", testFunc)
	rows := promiseRow.FindAllString(string(page), -1)
	is.Equal(len(rows), promiseCount)
	seen := make(map[string]bool)
	for _, row := range rows {
		name := promiseName.FindString(row)
		if !tests[name] {
			t.Errorf("no test is called %q, which this row names: %s", name, row)
		}
		is.True(!seen[name]) // each promise has a test of its own
		seen[name] = true
	}
	is.Equal(len(tests), len(seen))
}

// functions returns what a pattern finds first in the tests below a folder.
func testFunctions(t *testing.T, root string, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range pattern.FindAllStringSubmatch(string(b), -1) {
			tests[m[1]] = true
		}
		return err
	})
	is.New(t).NoErr(err)
	return tests
}
