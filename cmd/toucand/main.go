// Command toucand is the entry daemon of one VM.
package main

import (
	"os"

	"toucanfall/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
