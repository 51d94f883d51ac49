// Command docgen generates the pages of docs/ that document tables in the code. Without
// -write it checks that the pages are up to date.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	write := flag.Bool("write", false, "write the pages instead of checking them")
	flag.Parse()
	for _, p := range pages {
		if err := writeOrCheck(p, *write); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func writeOrCheck(p page, write bool) error {
	if write {
		return os.WriteFile(p.file, []byte(p.text()), 0o644)
	}
	b, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	if string(b) != p.text() {
		return fmt.Errorf("%s is out of date with the code; run make docs", p.file)
	}
	return nil
}
