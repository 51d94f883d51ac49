// Package settings reads the two kinds of settings: the file of one process,
// which gives addresses, data centre, VM id and platform addresses, and the
// tree of settings that operators change at run time, which is held in the
// ordered state.
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
	// who makes the others.
	FirstOperator fleet.KeyHash `json:"first_operator"`
	LogLevel      string        `json:"log_level"`
	// StopAfter is how long a planned stop goes on serving new requests, until
	// the balancer has noticed.
	StopAfter Span `json:"stop_after"`
}

// Listener is the address of a listener. Operators' and peers' listeners
// outside loopback need certificates or Insecure.
type Listener struct {
	Address  string `json:"address"`
	Insecure bool   `json:"insecure,omitempty"`
	TLS      *TLS   `json:"tls,omitempty"`
}

// TLS names the PEM files of a listener.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority signs the certificates of the other side. Operators and peers
	// should have authorities of their own: whoever holds a certificate of the
	// peers' authority can speak as a VM.
	Authority string `json:"authority"`
}

// Platform gives the base URLs of the platform's services.
type Platform struct {
	Log         string `json:"log"`
	VMList      string `json:"vm_list"`
	WeightStore string `json:"weight_store"`
}

// Span is a duration that is written with its unit, such as "5s".
type Span time.Duration

// UnmarshalText reads a duration with a unit.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration %q must have a unit out of ms, s, m and h", b)
	}
	*s = Span(d)
	return nil
}

// FieldError is a fault in a settings file.
type FieldError struct {
	File   string
	Path   string
	Value  string
	Reason string
}

// Error names file, path, value and reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: value %q: %s", e.File, e.Path, e.Value, e.Reason)
}

// ReadProcess reads and checks the settings file of a process as a whole.
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

// DecodeProcess decodes and checks the content of a settings file.
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

func (l Listener) check(path string, guarded bool) *FieldError {
	host, _, err := net.SplitHostPort(l.Address)
	if err != nil {
		return &FieldError{Path: path + ".address", Value: l.Address, Reason: "must be HOST:PORT with an IP number"}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return &FieldError{Path: path + ".address", Value: l.Address, Reason: "the host must be an IP number"}
	}
	if l.TLS != nil {
		return l.TLS.check(path+".tls", guarded)
	}
	if guarded && !ip.IsLoopback() && !l.Insecure {
		return &FieldError{Path: path, Value: l.Address, Reason: "a listener outside loopback needs tls, or insecure to be set"}
	}
	return nil
}

// check reports the first missing file. Callers show keys, so their listener
// needs no authority.
func (t *TLS) check(path string, mutual bool) *FieldError {
	for _, f := range []struct {
		name, value string
		needed      bool
	}{
		{"certificate", t.Certificate, true}, {"key", t.Key, true}, {"authority", t.Authority, mutual},
	} {
		if f.needed && f.value == "" {
			return &FieldError{Path: path + "." + f.name, Reason: "missing"}
		}
	}
	return nil
}

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
