// Command toucand runs the entry daemon of a VM.
package main

import (
	"os"

	"toucanfall/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
