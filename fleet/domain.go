package fleet

import (
	"fmt"
)

// Team is a tenant. Its limits are in the settings tree.
type Team struct {
	ID   TeamID `json:"id"`
	Name string `json:"name"`
}

// UnmarshalJSON decodes and checks a team.
func (t *Team) UnmarshalJSON(b []byte) error {
	type plain Team
	return DecodeChecked(b, (*plain)(t), t.Check)
}

// Check reports the first field that is not valid.
func (t *Team) Check() error {
	return CheckID("team", t.ID)
}

// Key is a caller's key as it is stored: the secret is kept only as a hash.
type Key struct {
	ID   KeyID   `json:"id"`
	Team TeamID  `json:"team"`
	Hash KeyHash `json:"hash"`
}

// UnmarshalJSON decodes and checks a key.
func (k *Key) UnmarshalJSON(b []byte) error {
	type plain Key
	return DecodeChecked(b, (*plain)(k), k.Check)
}

// Check reports the first field that is not valid.
func (k *Key) Check() error {
	if err := CheckID("key", k.ID); err != nil {
		return err
	}
	if err := CheckID("team", k.Team); err != nil {
		return err
	}
	if k.Hash == (KeyHash{}) {
		return fmt.Errorf("key %q has no hash", k.ID)
	}
	return nil
}

// Model is a language model that engines can load.
type Model struct {
	ID      ModelID `json:"id"`
	Version string  `json:"version"`
	// Size is the accelerator memory that the weights need.
	Size Bytes `json:"size_bytes"`
}

// UnmarshalJSON decodes and checks a model.
func (m *Model) UnmarshalJSON(b []byte) error {
	type plain Model
	return DecodeChecked(b, (*plain)(m), m.Check)
}

// Check reports the first field that is not valid.
func (m *Model) Check() error {
	if err := CheckID("model", m.ID); err != nil {
		return err
	}
	if m.Version == "" {
		return fmt.Errorf("model %q has no version", m.ID)
	}
	if m.Size <= 0 {
		return fmt.Errorf("model %q: size_bytes must be above 0, not %d", m.ID, m.Size)
	}
	return nil
}

// Adapter is a small set of weights that is loaded beside its base model.
type Adapter struct {
	ID    AdapterID `json:"id"`
	Model ModelID   `json:"model"`
	Size  Bytes     `json:"size_bytes"`
}

// UnmarshalJSON decodes and checks an adapter.
func (a *Adapter) UnmarshalJSON(b []byte) error {
	type plain Adapter
	return DecodeChecked(b, (*plain)(a), a.Check)
}

// Check reports the first field that is not valid.
func (a *Adapter) Check() error {
	if err := CheckID("adapter", a.ID); err != nil {
		return err
	}
	if err := CheckID("model", a.Model); err != nil {
		return err
	}
	if a.Size <= 0 {
		return fmt.Errorf("adapter %q: size_bytes must be above 0, not %d", a.ID, a.Size)
	}
	return nil
}

// RouteKind tells how requests of a route are carried.
type RouteKind string

// The kinds of routes.
const (
	// RouteDraft goes to model engines and may be retried.
	RouteDraft RouteKind = "draft"
	// RouteService goes to a plain service.
	RouteService RouteKind = "service"
)

// Priority orders requests: a lower class is served first.
type Priority string

// The priority classes, most urgent first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityNormal      Priority = "normal"
	PriorityBatch       Priority = "batch"
)

// Rank returns 0 for the most urgent class. An empty priority is normal.
func (p Priority) Rank() int {
	switch p {
	case PriorityInteractive:
		return 0
	case PriorityBatch:
		return 2
	default:
		return 1
	}
}

// Route says where the requests of a service go and who may make them.
type Route struct {
	ID   RouteID   `json:"id"`
	Kind RouteKind `json:"kind"`
	// Teams that may use the route. It is ignored if Open is set.
	Teams []TeamID `json:"teams,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Model and Adapter are set on draft routes.
	Model   ModelID   `json:"model,omitempty"`
	Adapter AdapterID `json:"adapter,omitempty"`
	// Service is the name of the plain service on service routes.
	Service string `json:"service,omitempty"`
	// Repeatable service requests may be sent more than once.
	Repeatable bool     `json:"repeatable,omitempty"`
	Priority   Priority `json:"priority,omitempty"`
}

// UnmarshalJSON decodes and checks a route.
func (r *Route) UnmarshalJSON(b []byte) error {
	type plain Route
	return DecodeChecked(b, (*plain)(r), r.Check)
}

// Check reports the first field that is not valid.
func (r *Route) Check() error {
	if err := CheckID("route", r.ID); err != nil {
		return err
	}
	switch r.Priority {
	case "", PriorityInteractive, PriorityNormal, PriorityBatch:
	default:
		return fmt.Errorf("route %q: unknown priority %q", r.ID, r.Priority)
	}
	if !r.Open && len(r.Teams) == 0 {
		return fmt.Errorf("route %q: needs at least one team, or open", r.ID)
	}
	switch r.Kind {
	case RouteDraft:
		return CheckID("model", r.Model)
	case RouteService:
		return CheckID("service", r.Service)
	default:
		return fmt.Errorf("route %q: unknown kind %q", r.ID, r.Kind)
	}
}

// Allows reports whether team may use the route.
func (r *Route) Allows(team TeamID) bool {
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Role tells what runs on a VM of the platform's list.
type Role string

// The roles of VMs.
const (
	RoleEntry       Role = "entry"
	RoleModelEngine Role = "model_engine"
	RoleService     Role = "service"
)

// VMState is the platform's view of a VM.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID         VMID       `json:"id"`
	Role       Role       `json:"role"`
	DataCentre DataCentre `json:"data_centre"`
	// Address is host:port of the VM's peer listener or its service.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Service is the name of the service on a VM with RoleService.
	Service string `json:"service,omitempty"`
}

// UnmarshalJSON decodes and checks an entry of the list.
func (v *VM) UnmarshalJSON(b []byte) error {
	type plain VM
	return DecodeChecked(b, (*plain)(v), v.Check)
}

// Check reports the first field that is not valid.
func (v *VM) Check() error {
	if err := CheckID("vm", v.ID); err != nil {
		return err
	}
	if v.Address == "" {
		return fmt.Errorf("vm %q has no address", v.ID)
	}
	switch v.Role {
	case RoleEntry, RoleModelEngine, RoleService:
	default:
		return fmt.Errorf("vm %q: unknown role %q", v.ID, v.Role)
	}
	if v.State != VMLive && v.State != VMLeaving {
		return fmt.Errorf("vm %q: unknown state %q", v.ID, v.State)
	}
	return nil
}
