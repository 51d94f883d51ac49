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

// BuildAndRun builds the commands into a temporary directory, stores its path in dir, runs
// the tests and returns their exit code. It removes the directory afterwards. If a build
// fails, it prints the output and returns 1.
func BuildAndRun(m *testing.M, dir *string, commands ...string) int {
	tempDir, err := os.MkdirTemp("", "toucanfall-test")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	args := []string{"build", "-o", tempDir + string(filepath.Separator)}
	for _, c := range commands {
		args = append(args, "toucanfall/cmd/"+c)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Println(string(out), err)
		return 1
	}
	*dir = tempDir
	return m.Run()
}

// TrackSources walks the directories of the module at root, so that the go command records
// them as inputs of the test. Without it a cached result would be reused after a change of
// the commands, which the test builds itself. It must be called from a test.
func TrackSources(root string) error {
	return filepath.WalkDir(root, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && (d.Name() == ".git" || d.Name() == "bin") {
			return filepath.SkipDir
		}
		return err
	})
}
