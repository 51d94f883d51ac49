package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"toucanfall/fleet"
)

// Gateway is the settings file of a gateway process. The platform generates it
// from the template in deploy/. Unknown fields are ignored, because the platform
// may be newer than the process and write more fields.
type Gateway struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Regions maps data centres to regions. A request that is allowed in certain regions
	// only is not sent to a data centre without a region.
	Regions map[fleet.DataCentre]fleet.Region `json:"regions"`
	// Callers, Ready and Peers are the addresses (IP:PORT) of the listeners for
	// requests of callers, for readiness checks and for other VMs.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	// Metrics is the address of the listener for metrics. If it is empty, metrics
	// are not served.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// StorePartitions is the number of partitions of each topic of the store.
	StorePartitions int `json:"store_partitions"`
	// RevokeWithin is the time from the withdrawal of a key until every VM must
	// reject it.
	RevokeWithin Span `json:"revoke_within"`
	// ConfigWithin is the time from the publication of a configuration until every
	// VM must apply it.
	ConfigWithin Span `json:"config_within"`
	// DrainWithin is the time from the announcement that an upstream is leaving
	// until it must receive no new requests.
	DrainWithin Span `json:"drain_within"`
	// EvacuateWithin is the time from the request to evacuate a data centre until its
	// upstreams must receive no new requests. 0 sets no bound.
	EvacuateWithin Span `json:"evacuate_within"`
	// StopWithin is the time from SIGTERM until the platform kills the process.
	StopWithin Span `json:"stop_within"`
	// Lease is how long no other VM may give orders after a coordinator lost its
	// leadership.
	Lease Span `json:"lease"`
	// Fenced reports whether engines check the fencing tokens of orders.
	Fenced bool `json:"fenced"`
	// RepeatRatio, RepeatSlack and RepeatWindow are the retry budget of the fleet:
	// in any window, at most RepeatRatio times the number of requests, plus
	// RepeatSlack, may be sent again.
	RepeatRatio  float64 `json:"repeat_ratio"`
	RepeatSlack  float64 `json:"repeat_slack"`
	RepeatWindow Span    `json:"repeat_window"`
	// MemoryMB is the memory of the VM in MiB, from which the limit of the heap is
	// derived, and the budget of bytes for clients. 0 sets no limit.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of descriptors that the process may have open, from which
	// the numbers of connections are derived. 0 means the limit of the operating system.
	Descriptors int `json:"descriptors"`
	// Contracts lists what engines and clients of the deployment have agreed on. Names that this
	// version does not know are ignored.
	Contracts []string `json:"contracts"`
	LogLevel  string   `json:"log_level"`
}

// MinDescriptors is the least number of descriptors that can be set: 200 for files and some for each
// kind of connection.
const MinDescriptors = 300

// GatewayLimit describes a setting of the file of a gateway that limits what the process holds.
type GatewayLimit struct {
	Name, Default string
	// Text describes the limits that follow from the setting.
	Text string
}

// GatewayLimits lists these settings, in the order of docs/SETTINGS.md.
var GatewayLimits = []GatewayLimit{
	{"memory_mb", "0", "Memory of the VM in MiB. The heap is kept below 60% of it; 25% are the budget of bytes for bodies, responses and messages of other VMs (at least 12 MiB), and 25% limit the connections of clients, at 48 KiB each. 0 sets none of these limits."},
	{"descriptors", "0", "Descriptors that the process may have open: 200 for files, and of the rest 48% for connections of clients, 20% to upstreams, 12% each from and to other VMs, 2% each for readiness checks and metrics. 0 means the limit of the operating system; the least is 300."},
}

// ReadGateway reads and validates the settings file of a gateway.
func ReadGateway(file string) (*Gateway, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cannot read the settings file: %w", err)
	}
	return DecodeGateway(file, b)
}

// DecodeGateway decodes and validates the content b of a settings file. Errors
// name file.
func DecodeGateway(file string, b []byte) (*Gateway, error) {
	g := &Gateway{LogLevel: "info"}
	if err := json.Unmarshal(b, g); err != nil {
		return nil, decodeError(file, b, err)
	}
	if fe := g.check(); fe != nil {
		fe.File = file
		return nil, fe
	}
	return g, nil
}

// check returns the first invalid field, nil if there is none.
func (g *Gateway) check() *FieldError {
	if g.VM == "" {
		return &FieldError{Path: "vm", Reason: "missing"}
	}
	if g.DataCentre == "" {
		return &FieldError{Path: "data_centre", Reason: "missing"}
	}
	for _, a := range []struct{ path, value string }{
		{"callers", g.Callers}, {"ready", g.Ready}, {"peers", g.Peers}, {"store", g.Store},
	} {
		if host, _, err := net.SplitHostPort(a.value); err != nil || net.ParseIP(host) == nil {
			return &FieldError{Path: a.path, Value: a.value, Reason: "must be IP:PORT"}
		}
	}
	if host, _, err := net.SplitHostPort(g.Metrics); g.Metrics != "" && (err != nil || net.ParseIP(host) == nil) {
		return &FieldError{Path: "metrics", Value: g.Metrics, Reason: "must be IP:PORT"}
	}
	for _, d := range []struct {
		path  string
		value Span
	}{
		{"revoke_within", g.RevokeWithin}, {"config_within", g.ConfigWithin}, {"drain_within", g.DrainWithin}, {"stop_within", g.StopWithin}, {"lease", g.Lease}, {"repeat_window", g.RepeatWindow},
	} {
		if d.value <= 0 {
			return &FieldError{Path: d.path, Value: time.Duration(d.value).String(), Reason: "must be above 0"}
		}
	}
	if g.EvacuateWithin < 0 {
		return &FieldError{Path: "evacuate_within", Value: time.Duration(g.EvacuateWithin).String(), Reason: "must not be negative"}
	}
	if g.StorePartitions <= 0 {
		return &FieldError{Path: "store_partitions", Value: fmt.Sprint(g.StorePartitions), Reason: "must be above 0"}
	}
	if g.RepeatRatio < 0 || g.RepeatSlack < 0 {
		return &FieldError{Path: "repeat_ratio", Value: fmt.Sprint(g.RepeatRatio), Reason: "must not be negative"}
	}
	return g.checkLimits()
}

// checkLimits returns the first invalid limit of what the process holds, nil if there is none.
func (g *Gateway) checkLimits() *FieldError {
	if g.MemoryMB < 0 {
		return &FieldError{Path: "memory_mb", Value: fmt.Sprint(g.MemoryMB), Reason: "must not be negative"}
	}
	if g.Descriptors != 0 && g.Descriptors < MinDescriptors {
		return &FieldError{Path: "descriptors", Value: fmt.Sprint(g.Descriptors), Reason: fmt.Sprintf("must be 0 or at least %d", MinDescriptors)}
	}
	return nil
}
