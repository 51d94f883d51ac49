// Package built builds commands of the module for tests that run them as processes.
package built

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Run builds commands into a directory, which it stores in dir, runs the tests, and
// returns their exit code.
func BuildAndRun(m *testing.M, dir *string, commands ...string) int {
	made, err := os.MkdirTemp("", "toucanfall-test")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(made) }()
	args := []string{"build", "-o", made + string(filepath.Separator)}
	for _, c := range commands {
		args = append(args, "toucanfall/cmd/"+c)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Println(string(out), err)
		return 1
	}
	*dir = made
	return m.Run()
}

// NoteSources lists the directories of the module at root. The go command sees that
// the tests depend on them and takes no cached result after a change, though the
// commands under test are built by the tests. It must be called from a test.
func TrackSources(root string) error {
	return filepath.WalkDir(root, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && (d.Name() == ".git" || d.Name() == "bin") {
			return filepath.SkipDir
		}
		return err
	})
}
