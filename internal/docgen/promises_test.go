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

// promiseCount is the number of promises that the system's specification states.
const promiseCount = 12

var (
	promiseRow  = regexp.MustCompile(`(?m)^\| *\d+ \|.*$`)
	promiseName = regexp.MustCompile("TestPromise[A-Za-z]+")
	testFunc    = regexp.MustCompile(`(?m)^func (TestPromise[A-Za-z]+)\(`)
)

// TestEachPromiseNamesItsTest checks that docs/PROMISES.md has one row per promise, that
// each row names an existing test, and that every TestPromise function has a row.
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
		is.True(!seen[name]) // no two promises share a test
		seen[name] = true
	}
	is.Equal(len(tests), len(seen))
}

// testFunctions returns the first submatch of every match of pattern in the test files below
// root.
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
