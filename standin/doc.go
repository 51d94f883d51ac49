// Package standin implements stand-ins for the platform and the upstreams: the
// log service, the VM list, the weight store, model engines and a plain order
// service. Tests, the demo and the measurements run the system against them.
//
// Each stand-in is an http.Handler that serves the protocol of the clients in
// package dialect. [Faults] wraps one to inject faults.
package standin
