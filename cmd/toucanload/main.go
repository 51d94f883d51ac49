// Command toucanload sends callers' requests, single ones or a load test.
package main

import (
	"os"

	"toucanfall/caller"
)

func main() {
	os.Exit(caller.Main(os.Args[1:], os.Stdout, os.Stderr))
}
