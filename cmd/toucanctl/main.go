// Command toucanctl runs operators' commands and queries.
package main

import (
	"os"

	"toucanfall/control"
)

func main() {
	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
}
