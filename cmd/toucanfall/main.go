// Command toucanfall runs the gateway on a VM of the platform.
package main

import (
	"os"

	"toucanfall/gateway"
)

func main() {
	os.Exit(gateway.Main(os.Args[1:], os.Stdout, os.Stderr))
}
