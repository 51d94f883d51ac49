// Command toucanmeasure prints the tables of docs/MEASURES.md. Arguments select
// tables by name.
package main

import (
	"fmt"
	"os"

	"toucanfall/measure"
)

func main() {
	if err := measure.Print(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
