// Command toucanplatform simulates the platform for the demo.
package main

import (
	"os"

	"toucanfall/platform/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
