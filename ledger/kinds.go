package ledger

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
)

// The kinds of records that operators propose.
const (
	KindSetting  Kind = "setting"
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindRoute    Kind = "route"
	KindWithdraw Kind = "withdraw"
	KindOperator Kind = "operator"
)

// applyFunc applies one record to the state. Its result must depend only on its
// arguments, so that all VMs reach the same state.
type applyFunc func(s *State, offset fleet.Offset, r Record) Verdict

// kinds maps all kinds of records to the functions that apply them. VMs skip
// records of kinds that are missing here.
var kinds map[Kind]applyFunc

// kinds is set in init because the functions use the decoder of Record, which
// reads kinds: a composite literal would be an initialization cycle.
func init() {
	kinds = map[Kind]applyFunc{
		KindSetting:  decodeBody(applySetting),
		KindTeam:     decodeBody(applyTeam),
		KindKey:      decodeBody(applyKey),
		KindModel:    decodeBody(applyModel),
		KindAdapter:  decodeBody(applyAdapter),
		KindRoute:    decodeBody(applyRoute),
		KindWithdraw: decodeBody(applyWithdraw),
		KindOperator: decodeBody(applyOperator),

		KindBookingClaim:   decodeBody(applyBookingClaim),
		KindBookingOutcome: decodeBody(applyBookingOutcome),

		KindMintJoin:         decodeBody(applyMintJoin),
		KindMintConfirm:      decodeBody(applyMintConfirm),
		KindMintRelease:      decodeBody(applyMintRelease),
		KindMintTakeover:     decodeBody(applyMintTakeover),
		KindSnapshotChunk:    decodeBody(applySnapshotChunk),
		KindBookingExpire:    decodeBody(applyBookingExpire),
		KindPlacerClaim:      decodeBody(applyPlacerClaim),
		KindPlacementIntent:  decodeBody(applyPlacementIntent),
		KindPlacementOutcome: decodeBody(applyPlacementOutcome),
		KindPlacementClear:   decodeBody(applyPlacementClear),
	}
}

// checkedBody is a pointer to a body whose UnmarshalJSON also validates it.
type checkedBody[B any] interface {
	*B
	json.Unmarshaler
}

// decodeBody returns an applyFunc that decodes the body and calls apply. A body
// that cannot be decoded is rejected with invalid_request. UnmarshalJSON is
// called directly because json.Unmarshal would scan the text twice before calling
// it.
func decodeBody[B any, P checkedBody[B]](apply func(s *State, offset fleet.Offset, r Record, b B) Verdict) applyFunc {
	return func(s *State, offset fleet.Offset, r Record) Verdict {
		var b B
		if err := P(&b).UnmarshalJSON(r.Body); err != nil {
			return reject(offset, fault.InvalidRequest, "body of %s record: %v", r.Kind, err)
		}
		return apply(s, offset, r, b)
	}
}

func reject(offset fleet.Offset, kind fault.Kind, format string, args ...any) Verdict {
	return Verdict{Offset: offset, Fault: kind, Message: fmt.Sprintf(format, args...)}
}

// operatorBodies maps each kind that operators propose to a function that returns
// an empty body, so that bodies can be validated before they are appended.
var operatorBodies = map[Kind]func() any{
	KindSetting:  func() any { return new(settings.Put) },
	KindTeam:     func() any { return new(fleet.Team) },
	KindKey:      func() any { return new(fleet.Key) },
	KindModel:    func() any { return new(fleet.Model) },
	KindAdapter:  func() any { return new(fleet.Adapter) },
	KindRoute:    func() any { return new(fleet.Route) },
	KindWithdraw: func() any { return new(Withdrawal) },
	KindOperator: func() any { return new(Operator) },

	KindPlacementClear: func() any { return new(PlacementClear) },
}

// CheckBody validates the body of an operator's record. It returns an
// invalid_request fault if operators do not propose the kind, if the body cannot
// be decoded, or if it has unknown fields, which would otherwise be ignored.
func CheckBody(r Record) error {
	newBody, ok := operatorBodies[r.Kind]
	if !ok {
		return fault.New(fault.InvalidRequest, "operators do not propose records of kind %q", r.Kind)
	}
	decoded := newBody()
	if err := json.Unmarshal(r.Body, decoded); err != nil {
		return fault.New(fault.InvalidRequest, "%s: %w", r.Kind, err)
	}
	return checkFieldNames(r, decoded)
}

// checkFieldNames rejects top-level fields that the body's type does not have.
// json.Decoder.DisallowUnknownFields has no effect here because the types
// implement UnmarshalJSON, so the names are compared with the JSON names of the
// type's fields.
func checkFieldNames(r Record, decoded any) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return fault.New(fault.InvalidRequest, "%s: %w", r.Kind, err)
	}
	known := fieldNames(reflect.TypeOf(decoded).Elem())
	for name := range fields {
		if !slices.Contains(known, name) {
			return fault.New(fault.InvalidRequest, "%s: unknown field %q", r.Kind, name)
		}
	}
	return nil
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}
