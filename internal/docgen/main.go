// Command docgen makes the pages of docs/ that come from tables in the code, or
// checks that they agree with the code.
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
		return fmt.Errorf("%s does not agree with the code; run make docs", p.file)
	}
	return nil
}
