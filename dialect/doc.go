// Package dialect holds HTTP clients for the append-only log, the VM list, the
// engines and the services that toucand uses, with the JSON messages of their
// protocol. The stand-ins of package standin implement the servers.
package dialect
