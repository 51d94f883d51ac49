// Command toucanplatform stands in for the users' platform in the demo.
package main

import (
	"os"

	"toucanfall/platform/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
