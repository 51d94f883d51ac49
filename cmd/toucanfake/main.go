// Command toucanfake runs one stand-in for the platform or an upstream.
package main

import (
	"os"

	"toucanfall/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
