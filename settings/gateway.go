package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"toucanfall/fleet"
)

// Gateway is the settings file of a gateway process. The platform makes it from
// the template in deploy/. Unknown fields are passed over, because the platform
// may know newer ones.
type Gateway struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Callers, Ready and Peers are the addresses of the listeners.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	// Metrics is the address of the listener for metrics; none if it is empty.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// StorePartitions is the number of partitions of each of its topics.
	StorePartitions int `json:"store_partitions"`
	// RevokeWithin is when a withdrawn key must have stopped working.
	RevokeWithin Span `json:"revoke_within"`
	// ConfigWithin is when a configuration must be in force.
	ConfigWithin Span `json:"config_within"`
	// DrainWithin is when a leaving upstream must get nothing new any more.
	DrainWithin Span `json:"drain_within"`
	// StopWithin is how long after SIGTERM the process is killed.
	StopWithin Span `json:"stop_within"`
	// Lease is how long nobody else may give orders after a coordinator.
	Lease Span `json:"lease"`
	// Fenced is set where engines check the fencing tokens of orders.
	Fenced bool `json:"fenced"`
	// RepeatRatio, RepeatSlack and RepeatWindow bound repeated sends over the
	// fleet: in any window, the ratio of the requests and the slack.
	RepeatRatio  float64 `json:"repeat_ratio"`
	RepeatSlack  float64 `json:"repeat_slack"`
	RepeatWindow Span    `json:"repeat_window"`
	MemoryMB     int     `json:"memory_mb"`
	LogLevel     string  `json:"log_level"`
}

// ReadGateway reads and checks a settings file as a whole.
func ReadGateway(file string) (*Gateway, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cannot read the settings file: %w", err)
	}
	return DecodeGateway(file, b)
}

// DecodeGateway decodes and checks the content of a settings file.
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
	if g.StorePartitions <= 0 {
		return &FieldError{Path: "store_partitions", Value: fmt.Sprint(g.StorePartitions), Reason: "must be above 0"}
	}
	if g.RepeatRatio < 0 || g.RepeatSlack < 0 {
		return &FieldError{Path: "repeat_ratio", Value: fmt.Sprint(g.RepeatRatio), Reason: "must not be negative"}
	}
	return nil
}
