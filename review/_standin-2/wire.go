package main

import (
	_ "embed"
	"strings"
)

// wireText holds the names of the platform's pages that the code uses, a key and a name on each line.
//
//go:embed wire.txt
var wireText string

var wireNames = func() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(wireText) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[key] = name
	}
	return out
}()

// wire returns a name of the platform's pages.
func wire(key string) string {
	name, ok := wireNames[key]
	if !ok {
		panic("no name " + key)
	}
	return name
}
