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

// Check returns an error for the first invalid field.
func (t *Team) Check() error {
	return CheckID("team", t.ID)
}

// Key is a caller's key in its stored form, which has only a hash of the secret.
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

// Check returns an error for the first invalid field.
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

// Check returns an error for the first invalid field.
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

// Adapter is a small set of weights that is loaded in addition to its base model.
type Adapter struct {
	ID    AdapterID `json:"id"`
	Model ModelID   `json:"model"`
	// Size is the accelerator memory that the weights need.
	Size Bytes `json:"size_bytes"`
}

// UnmarshalJSON decodes and checks an adapter.
func (a *Adapter) UnmarshalJSON(b []byte) error {
	type plain Adapter
	return DecodeChecked(b, (*plain)(a), a.Check)
}

// Check returns an error for the first invalid field.
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

// RouteKind determines how requests of a route are forwarded.
type RouteKind string

// The kinds of routes.
const (
	// RouteDraft forwards completion requests to model engines. They may be retried.
	RouteDraft RouteKind = "draft"
	// RouteService forwards requests to a service that is not a model engine.
	RouteService RouteKind = "service"
)

// Priority is the priority class of a request. A class with a lower [Priority.Rank]
// is served first.
type Priority string

// The priority classes, highest priority first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityNormal      Priority = "normal"
	PriorityBatch       Priority = "batch"
)

// Rank returns the position of the class, 0 for the highest priority. An empty or
// unknown priority ranks as PriorityNormal.
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

// Route determines where requests are forwarded and which teams may send them.
type Route struct {
	ID   RouteID   `json:"id"`
	Kind RouteKind `json:"kind"`
	// Teams are the teams that may use the route. It is ignored if Open is set.
	Teams []TeamID `json:"teams,omitempty"`
	// Open is set if requests need no key.
	Open bool `json:"open,omitempty"`
	// Model and Adapter are the model and the optional adapter of a RouteDraft.
	Model   ModelID   `json:"model,omitempty"`
	Adapter AdapterID `json:"adapter,omitempty"`
	// Service is the name of the service of a RouteService.
	Service string `json:"service,omitempty"`
	// Repeatable is set if requests to the service may be sent more than once.
	Repeatable bool     `json:"repeatable,omitempty"`
	Priority   Priority `json:"priority,omitempty"`
}

// UnmarshalJSON decodes and checks a route.
func (r *Route) UnmarshalJSON(b []byte) error {
	type plain Route
	return DecodeChecked(b, (*plain)(r), r.Check)
}

// Check returns an error for the first invalid field.
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

// Allows reports whether team is listed in Teams. It ignores Open.
func (r *Route) Allows(team TeamID) bool {
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Role is what runs on a VM on the platform's VM list.
type Role string

// The roles of VMs.
const (
	RoleEntry       Role = "entry"
	RoleModelEngine Role = "model_engine"
	RoleService     Role = "service"
)

// VMState is the state of a VM according to the platform.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID         VMID       `json:"id"`
	Role       Role       `json:"role"`
	DataCentre DataCentre `json:"data_centre"`
	// Address is host:port of the VM's peer listener or its service.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Service is the name of the service if the role is RoleService.
	Service string `json:"service,omitempty"`
}

// UnmarshalJSON decodes and checks an entry of the list.
func (v *VM) UnmarshalJSON(b []byte) error {
	type plain VM
	return DecodeChecked(b, (*plain)(v), v.Check)
}

// Check returns an error for the first invalid field.
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
