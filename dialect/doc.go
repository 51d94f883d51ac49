// Package dialect holds thin clients of the project's own protocol towards an
// append-only log, a list of VMs and the engines. The stand-ins speak it, and
// so does toucand.
package dialect
