// Package settings defines the two kinds of settings: the file of a process,
// which holds its VM id, its data centre, the addresses of its listeners and
// those of the platform's services, and the tree of settings that operators
// change at run time, which is part of the replicated state.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
)

// Process is the settings file of a toucand process.
type Process struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// DataCentres lists all data centres of the fleet.
	DataCentres []fleet.DataCentre `json:"data_centres"`
	Callers     Listener           `json:"callers"`
	Operators   Listener           `json:"operators"`
	Peers       Listener           `json:"peers"`
	Platform    Platform           `json:"platform"`
	// FirstOperator is the hash of the credential of the operator "first",
	// who creates the others.
	FirstOperator fleet.KeyHash `json:"first_operator"`
	LogLevel      string        `json:"log_level"`
	// StopAfter is how long new requests are still served after the start of a
	// graceful shutdown, until the load balancer has noticed it.
	StopAfter Span `json:"stop_after"`
}

// Listener holds the address and the TLS files of a listener.
type Listener struct {
	// Address is IP:PORT.
	Address string `json:"address"`
	// Insecure permits a listener for operators or peers without TLS on an address
	// other than loopback.
	Insecure bool `json:"insecure,omitempty"`
	TLS      *TLS `json:"tls,omitempty"`
}

// TLS holds the paths of the PEM files of a listener.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the certificate authority that signs the certificates of the
	// other side. Operators and peers should have separate authorities: whoever
	// holds a certificate of the peers' authority can act as a VM.
	Authority string `json:"authority"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log         string `json:"log"`
	VMList      string `json:"vm_list"`
	WeightStore string `json:"weight_store"`
}

// Span is a duration that is written with its unit in JSON, such as "5s".
type Span time.Duration

// UnmarshalText parses a duration with a unit.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration %q must have a unit out of ms, s, m and h", b)
	}
	*s = Span(d)
	return nil
}

// FieldError is an error in a settings file.
type FieldError struct {
	File string
	// Path is the path of the field, such as "peers.tls.key", or the line number
	// if the file is not valid JSON.
	Path   string
	Value  string
	Reason string
}

// Error returns the file, the path, the value and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: value %q: %s", e.File, e.Path, e.Value, e.Reason)
}

// ReadProcess reads and validates the settings file of a process, including the
// TLS files that it names.
func ReadProcess(file string) (*Process, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cannot read the settings file: %w", err)
	}
	p, err := DecodeProcess(file, b)
	if err != nil {
		return nil, err
	}
	if fe := p.checkFiles(); fe != nil {
		fe.File = file
		return nil, fe
	}
	return p, nil
}

// DecodeProcess decodes and validates the content b of a settings file, without
// reading the TLS files. Errors name file.
func DecodeProcess(file string, b []byte) (*Process, error) {
	p := &Process{LogLevel: "info", StopAfter: Span(time.Second)}
	if err := strictDecode(b, p); err != nil {
		return nil, decodeError(file, b, err)
	}
	if fe := p.check(); fe != nil {
		fe.File = file
		return nil, fe
	}
	return p, nil
}

// check returns the first invalid field, nil if there is none.
func (p *Process) check() *FieldError {
	if err := fleet.CheckID("vm", p.VM); err != nil {
		return &FieldError{Path: "vm", Value: string(p.VM), Reason: err.Error()}
	}
	if len(p.DataCentres) == 0 {
		return &FieldError{Path: "data_centres", Reason: "must list at least one data centre"}
	}
	if !slices.Contains(p.DataCentres, p.DataCentre) {
		return &FieldError{Path: "data_centre", Value: string(p.DataCentre), Reason: "unknown data centre; it is not in data_centres"}
	}
	if p.FirstOperator == (fleet.KeyHash{}) {
		return &FieldError{Path: "first_operator", Reason: "missing; make one by toucanctl secret"}
	}
	if p.StopAfter < 0 {
		return &FieldError{Path: "stop_after", Value: time.Duration(p.StopAfter).String(), Reason: "must not be negative"}
	}
	if _, err := logrus.ParseLevel(p.LogLevel); err != nil {
		return &FieldError{Path: "log_level", Value: p.LogLevel, Reason: "must be one of error, warning, info and debug"}
	}
	if fe := p.checkListeners(); fe != nil {
		return fe
	}
	return p.Platform.check()
}

func (p *Process) checkListeners() *FieldError {
	if fe := p.Callers.check("callers", false); fe != nil {
		return fe
	}
	if fe := p.Operators.check("operators", true); fe != nil {
		return fe
	}
	return p.Peers.check("peers", true)
}

// check returns the first invalid field. With requireTLS the listener needs TLS or
// Insecure, unless its address is loopback.
func (l Listener) check(path string, requireTLS bool) *FieldError {
	host, _, err := net.SplitHostPort(l.Address)
	if err != nil {
		return &FieldError{Path: path + ".address", Value: l.Address, Reason: "must be HOST:PORT with an IP number"}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return &FieldError{Path: path + ".address", Value: l.Address, Reason: "the host must be an IP number"}
	}
	if l.TLS != nil {
		return l.TLS.check(path+".tls", requireTLS)
	}
	if requireTLS && !ip.IsLoopback() && !l.Insecure {
		return &FieldError{Path: path, Value: l.Address, Reason: "a listener outside loopback needs tls, or insecure to be set"}
	}
	return nil
}

// check returns the first missing path of a file. The listener for callers needs no
// authority, because callers authenticate with keys instead of certificates.
func (t *TLS) check(path string, requireAuthority bool) *FieldError {
	for _, f := range []struct {
		name, value string
		needed      bool
	}{
		{"certificate", t.Certificate, true}, {"key", t.Key, true}, {"authority", t.Authority, requireAuthority},
	} {
		if f.needed && f.value == "" {
			return &FieldError{Path: path + "." + f.name, Reason: "missing"}
		}
	}
	return nil
}

// check returns the first invalid URL.
func (p Platform) check() *FieldError {
	for _, f := range []struct{ name, value string }{
		{"log", p.Log}, {"vm_list", p.VMList}, {"weight_store", p.WeightStore},
	} {
		path := "platform." + f.name
		if f.value == "" {
			return &FieldError{Path: path, Reason: "missing address"}
		}
		u, err := url.Parse(f.value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return &FieldError{Path: path, Value: f.value, Reason: "must be an http or https URL"}
		}
	}
	return nil
}
