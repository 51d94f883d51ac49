// Package standin holds small stand-ins for the platform and the upstreams:
// the log service, the VM list, the weight store, model engines and a plain
// order service. Tests, the demo and the measures run the system against them.
//
// Each stand-in is an http.Handler that speaks the same protocol as the
// clients in package platform, with faults to order through [Faults].
package standin
