// Package ingress bounds what a process holds for those who connect to it: connections
// (descriptors) and bytes. One [Admission] belongs to the process; each listener has a part of its
// descriptors, and what is read for clients is reserved in one budget of bytes before it is read.
// docs/design/ingress.md states the bounds and their reasons.
package ingress
