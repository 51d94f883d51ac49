// Command toucanfake runs one simulated platform service or upstream.
package main

import (
	"os"

	"toucanfall/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
