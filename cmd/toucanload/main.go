// Command toucanload sends callers' requests: one by one, or many as a load.
package main

import (
	"os"

	"toucanfall/caller"
)

func main() {
	os.Exit(caller.Main(os.Args[1:], os.Stdout, os.Stderr))
}
