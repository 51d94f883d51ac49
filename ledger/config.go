package ledger

import (
	"encoding/json"
	"fmt"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// Withdrawal permanently revokes a key.
type Withdrawal struct {
	Key fleet.KeyID `json:"key"`
}

// UnmarshalJSON decodes and checks a withdrawal.
func (w *Withdrawal) UnmarshalJSON(b []byte) error {
	type plain Withdrawal
	return fleet.DecodeChecked(b, (*plain)(w), w.check)
}

func (w *Withdrawal) check() error {
	return fleet.CheckID("key", w.Key)
}

// Access is the permission of an operator.
type Access string

// The access levels. Write access includes read access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Operator is a person or program that may call the operators' listener with its
// own credential.
type Operator struct {
	ID     fleet.OperatorID `json:"id"`
	Hash   fleet.KeyHash    `json:"hash"`
	Access Access           `json:"access"`
	// Disabled operators are rejected.
	Disabled bool `json:"disabled,omitempty"`
}

// UnmarshalJSON decodes and checks an operator.
func (o *Operator) UnmarshalJSON(b []byte) error {
	type plain Operator
	return fleet.DecodeChecked(b, (*plain)(o), o.check)
}

func (o *Operator) check() error {
	if o.Access != AccessRead && o.Access != AccessWrite {
		return fmt.Errorf("operator %q: unknown access %q", o.ID, o.Access)
	}
	if o.Hash == (fleet.KeyHash{}) {
		return fmt.Errorf("operator %q has no hash", o.ID)
	}
	return fleet.CheckID("operator", o.ID)
}

func applySetting(s *State, offset fleet.Offset, r Record, b settings.Put) Verdict {
	return s.settings.put(offset, r, b.Path.String(), b)
}

func applyTeam(s *State, offset fleet.Offset, r Record, b fleet.Team) Verdict {
	return s.Teams.put(offset, r, b.ID, b)
}

// applyKey adds a key. Keys never change and their IDs are never reused, so a
// second record with the same ID conflicts even after the key was withdrawn.
func applyKey(s *State, offset fleet.Offset, r Record, b fleet.Key) Verdict {
	if _, ok := s.Teams.Get(b.Team); !ok {
		return reject(offset, fault.NotFound, "team %q does not exist", b.Team)
	}
	if id, ok := s.keyByHash.Get(hashKey(b.Hash)); ok && id != b.ID {
		// With a second ID, a secret would remain valid after its withdrawal.
		return reject(offset, fault.Conflict, "key %q has the same hash", id)
	}
	r.Base = 0
	v := s.Keys.put(offset, r, b.ID, b)
	if v.Accepted() {
		s.keyByHash.Put(hashKey(b.Hash), b.ID)
	}
	return v
}

func applyModel(s *State, offset fleet.Offset, r Record, b fleet.Model) Verdict {
	return s.Models.put(offset, r, b.ID, b)
}

func applyAdapter(s *State, offset fleet.Offset, r Record, b fleet.Adapter) Verdict {
	if _, ok := s.Models.Get(b.Model); !ok {
		return reject(offset, fault.NotFound, "model %q does not exist", b.Model)
	}
	return s.Adapters.put(offset, r, b.ID, b)
}

func applyRoute(s *State, offset fleet.Offset, r Record, b fleet.Route) Verdict {
	for _, t := range b.Teams {
		if _, ok := s.Teams.Get(t); !ok {
			return reject(offset, fault.NotFound, "team %q does not exist", t)
		}
	}
	if b.Kind == fleet.RouteDraft {
		if v := checkDraftRoute(s, offset, b); !v.Accepted() {
			return v
		}
	}
	return s.Routes.put(offset, r, b.ID, b)
}

func checkDraftRoute(s *State, offset fleet.Offset, b fleet.Route) Verdict {
	if _, ok := s.Models.Get(b.Model); !ok {
		return reject(offset, fault.NotFound, "model %q does not exist", b.Model)
	}
	if b.Adapter == "" {
		return Verdict{}
	}
	a, ok := s.Adapters.Get(b.Adapter)
	if !ok {
		return reject(offset, fault.NotFound, "adapter %q does not exist", b.Adapter)
	}
	if a.Value.Model != b.Model {
		return reject(offset, fault.InvalidRequest, "adapter %q belongs to model %q, not %q", b.Adapter, a.Value.Model, b.Model)
	}
	return Verdict{}
}

// applyWithdraw adds to a set that only grows. It also accepts repeated
// withdrawals and withdrawals of keys that are not known yet.
func applyWithdraw(s *State, offset fleet.Offset, r Record, b Withdrawal) Verdict {
	if old, ok := s.Withdrawn.Get(b.Key); ok {
		return Verdict{Offset: offset, Revision: old.Revision}
	}
	r.Base = 0
	return s.Withdrawn.put(offset, r, b.Key, b)
}

func applyOperator(s *State, offset fleet.Offset, r Record, b Operator) Verdict {
	if id, ok := s.operatorByHash.Get(hashKey(b.Hash)); ok && id != b.ID {
		return reject(offset, fault.Conflict, "operator %q has the same hash", id)
	}
	old, _ := s.Operators.Get(b.ID)
	v := s.Operators.put(offset, r, b.ID, b)
	if v.Accepted() {
		if old.Revision != 0 {
			s.operatorByHash.Delete(hashKey(old.Value.Hash))
		}
		s.operatorByHash.Put(hashKey(b.Hash), b.ID)
	}
	return v
}

// hashKey converts a hash to a string, the key type of shard.Map.
func hashKey(h fleet.KeyHash) string {
	return string(h[:])
}

// rebuildHashIndexes rebuilds the indexes by hash after a snapshot was restored.
func (s *State) rebuildHashIndexes() {
	for _, id := range s.Keys.Keys() {
		e, _ := s.Keys.Get(id)
		s.keyByHash.Put(hashKey(e.Value.Hash), id)
	}
	for _, id := range s.Operators.Keys() {
		e, _ := s.Operators.Get(id)
		s.operatorByHash.Put(hashKey(e.Value.Hash), id)
	}
	for _, h := range s.operatorByHash.Keys() {
		id, _ := s.operatorByHash.Get(h)
		if e, ok := s.Operators.Get(id); !ok || hashKey(e.Value.Hash) != h {
			s.operatorByHash.Delete(h)
		}
	}
}

// KeyByHash returns the key whose secret has the given hash.
func (s *State) KeyByHash(h fleet.KeyHash) (fleet.Key, bool) {
	id, ok := s.keyByHash.Get(hashKey(h))
	if !ok {
		return fleet.Key{}, false
	}
	e, ok := s.Keys.Get(id)
	return e.Value, ok && e.Value.Hash.Equal(h)
}

// OperatorByHash returns the operator whose credential has the given hash.
func (s *State) OperatorByHash(h fleet.KeyHash) (Operator, bool) {
	id, ok := s.operatorByHash.Get(hashKey(h))
	if !ok {
		return Operator{}, false
	}
	e, ok := s.Operators.Get(id)
	return e.Value, ok && e.Value.Hash.Equal(h)
}

// WithdrawnKey returns the key that a record withdraws. It reports false for
// records of other kinds and for bodies that cannot be decoded.
func WithdrawnKey(r Record) (fleet.KeyID, bool) {
	if r.Kind != KindWithdraw {
		return "", false
	}
	var w Withdrawal
	if err := json.Unmarshal(r.Body, &w); err != nil {
		return "", false
	}
	return w.Key, true
}
