package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Name names a setting of the tree. The unit is part of the name where the
// value is a plain number.
type Name string

// The settings of the tree.
const (
	RateTokensPerSecond   Name = "rate_tokens_per_second"
	BurstTokens           Name = "burst_tokens"
	Deadline              Name = "deadline"
	PromptBytesPerToken   Name = "prompt_bytes_per_token"
	MaxTokens             Name = "max_tokens"
	QueueSlots            Name = "queue_slots"
	QueueWaiting          Name = "queue_waiting"
	CutOffKeys            Name = "cut_off_keys"
	Fencing               Name = "fencing"
	KVRoomPercent         Name = "kv_room_percent"
	EngineTokensPerSecond Name = "engine_tokens_per_second"
	SnapshotInterval      Name = "snapshot_interval"
	BookingMemory         Name = "booking_memory"
)

// The values of CutOffKeys.
const (
	CutOffServe  = "serve"
	CutOffRefuse = "refuse"
)

// Type is the type of a setting's value.
type Type string

// The types of values.
const (
	TypeNumber   Type = "number"
	TypeDuration Type = "duration"
	TypeWord     Type = "word"
)

// Definition describes a setting.
type Definition struct {
	Name    Name
	Type    Type
	Default Value
	// Min and Max bound numbers, and durations in seconds.
	Min, Max float64
	// Words lists the values of a TypeWord setting.
	Words []string
	// Levels on which the setting may stand.
	Levels []LevelKind
	// Text explains the setting to operators.
	Text string
}

// Registry lists all settings of the tree. docs/SETTINGS.md is made from it.
var Registry = []Definition{
	{
		Name: RateTokensPerSecond, Type: TypeNumber, Default: raw(`1000`), Min: 0, Max: 1e9,
		Levels: []LevelKind{KindFleet, KindTeam},
		Text:   "Tokens a second that a team may use over all VMs together.",
	},
	{
		Name: BurstTokens, Type: TypeNumber, Default: raw(`10000`), Min: 0, Max: 1e12,
		Levels: []LevelKind{KindFleet, KindTeam},
		Text:   "Tokens that a team may use at once after a quiet time, over all VMs together.",
	},
	{
		Name: Deadline, Type: TypeDuration, Default: raw(`"60s"`), Min: 0.01, Max: 86400,
		Levels: []LevelKind{KindFleet, KindDataCentre, KindTeam, KindModel, KindRoute},
		Text:   "Time from the arrival of a request to the end of its answer.",
	},
	{
		Name: MaxTokens, Type: TypeNumber, Default: raw(`512`), Min: 1, Max: 1e6,
		Levels: []LevelKind{KindFleet, KindTeam, KindModel, KindRoute},
		Text:   "Tokens that one answer may have if the caller sets no lower limit.",
	},
	{
		Name: QueueSlots, Type: TypeNumber, Default: raw(`64`), Min: 1, Max: 1e5,
		Levels: []LevelKind{KindFleet, KindDataCentre, KindModel},
		Text:   "Drafts of one model that a VM sends to engines at once. The others wait for their turn.",
	},
	{
		Name: QueueWaiting, Type: TypeNumber, Default: raw(`256`), Min: 0, Max: 1e5,
		Levels: []LevelKind{KindFleet, KindDataCentre, KindModel},
		Text:   "Drafts of one model that may wait for their turn on a VM. More are refused as overloaded.",
	},
	{
		Name: PromptBytesPerToken, Type: TypeNumber, Default: raw(`1`), Min: 1, Max: 16,
		Levels: []LevelKind{KindFleet, KindTeam, KindModel, KindRoute},
		Text:   "Bytes of a prompt that are charged as one token until the engine tells how many it had. With 1 the charge is never too low. A higher value charges long prompts less at first, but lets a team pass its rate where its texts have more tokens, as Chinese and code do.",
	},
	{
		Name: CutOffKeys, Type: TypeWord, Default: raw(`"serve"`), Words: []string{CutOffServe, CutOffRefuse},
		Levels: []LevelKind{KindFleet, KindDataCentre, KindTeam},
		Text:   "What a VM does with known keys after 5 s in which it reached neither the log nor a VM that does: serve, because a data centre that is cut off goes on serving what it can, or refuse, which also ends what is in progress, where a withdrawal that cannot arrive weighs more.",
	},
	{
		Name: Fencing, Type: TypeWord, Default: raw(`"ignored"`), Words: []string{"checked", "ignored"},
		Levels: []LevelKind{KindFleet, KindDataCentre},
		Text:   "Whether engines refuse an order with an old fencing number. The default takes the worse case. Engines that lose the highest number they have seen in a restart count as ignored.",
	},
	{
		Name: KVRoomPercent, Type: TypeNumber, Default: raw(`20`), Min: 0, Max: 95,
		Levels: []LevelKind{KindFleet, KindDataCentre},
		Text:   "Part of an engine's memory that is kept for KV cache and never given to weights.",
	},
	{
		Name: EngineTokensPerSecond, Type: TypeNumber, Default: raw(`2000`), Min: 1, Max: 1e9,
		Levels: []LevelKind{KindFleet, KindDataCentre},
		Text:   "Tokens a second that one engine generates at full load. Models of engines that come near it gain copies elsewhere.",
	},
	{
		Name: SnapshotInterval, Type: TypeDuration, Default: raw(`"1h"`), Min: 1, Max: 30 * 86400,
		Levels: []LevelKind{KindFleet},
		Text:   "Age at which the newest snapshot in the log is replaced. Keep it below a quarter of the time that the platform keeps records.",
	},
	{
		Name: BookingMemory, Type: TypeDuration, Default: raw(`"72h"`), Min: 48 * 3600, Max: 90 * 24 * 3600,
		Levels: []LevelKind{KindFleet, KindTeam, KindRoute},
		Text:   "Time for which the idempotency key of a booking is remembered, from its claim on. Afterwards the key is new again and a repeat would run. It is always longer than the longest deadline.",
	},
}

func raw(s string) Value {
	return Value{RawMessage: json.RawMessage(s)}
}

// Find returns the definition of a setting.
func Find(name Name) (Definition, bool) {
	i := slices.IndexFunc(Registry, func(d Definition) bool { return d.Name == name })
	if i < 0 {
		return Definition{}, false
	}
	return Registry[i], true
}

// Accept reports why v is not a value of the setting.
func (d Definition) Validate(v Value) error {
	switch d.Type {
	case TypeNumber:
		return d.acceptNumber(v)
	case TypeDuration:
		return d.acceptDuration(v)
	default:
		return d.acceptWord(v)
	}
}

func (d Definition) acceptNumber(v Value) error {
	var n float64
	if err := decodeScalar(v.RawMessage, &n); err != nil {
		return fmt.Errorf("%s: value %s must be a number without a unit", d.Name, v.RawMessage)
	}
	if n < d.Min || n > d.Max {
		return fmt.Errorf("%s: value %v must be between %v and %v", d.Name, n, d.Min, d.Max)
	}
	return nil
}

func (d Definition) acceptDuration(v Value) error {
	var s string
	if err := decodeScalar(v.RawMessage, &s); err != nil {
		return fmt.Errorf("%s: value %s must be a string with a unit, such as \"250ms\" or \"30s\"", d.Name, v.RawMessage)
	}
	dur, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%s: value %q must have a unit out of ms, s, m and h", d.Name, s)
	}
	if sec := dur.Seconds(); sec < d.Min || sec > d.Max {
		return fmt.Errorf("%s: value %s must be between %vs and %vs", d.Name, s, d.Min, d.Max)
	}
	return nil
}

func (d Definition) acceptWord(v Value) error {
	var s string
	if err := decodeScalar(v.RawMessage, &s); err != nil || !slices.Contains(d.Words, s) {
		return fmt.Errorf("%s: value %s must be one of %s", d.Name, v.RawMessage, strings.Join(d.Words, ", "))
	}
	return nil
}

// decodeScalar decodes a number or a string and refuses null.
func decodeScalar(b []byte, into any) error {
	if bytes.Equal(bytes.TrimSpace(b), []byte("null")) {
		return errors.New("null is not a value")
	}
	return json.Unmarshal(b, into)
}

// strictDecode decodes one JSON value and refuses null, unknown fields and
// trailing data.
func strictDecode(b []byte, into any) error {
	if bytes.Equal(bytes.TrimSpace(b), []byte("null")) {
		return errors.New("null is not a value")
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
