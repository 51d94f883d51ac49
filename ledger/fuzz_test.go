package ledger

import (
	"bytes"
	"encoding/json"
	"testing"

	"toucanfall/settings"
)

// FuzzRecord decodes records in the format of the log. Every decoded record must
// be applied without a panic and survive a round trip through its encoding.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"id":"1","kind":"team","proposer":"ada","wall_ms":1,"counter":2}` + "\n" + `{"id":"quotes","name":"Quotes"}`,
		`{"id":"2","kind":"setting","proposer":"ada","wall_ms":1,"base":7}` + "\n" + `{"path":{"level":"fleet","name":"deadline"},"value":"30s"}`,
		`{"id":"3","kind":"withdraw","proposer":"ada","wall_ms":1}` + "\n" + `{"key":"k1"}`,
		`{"id":"4","kind":"booking_claim","proposer":"vm-1","wall_ms":1}` + "\n" + `{"key":"a\nb\nc","request":"r1"}`,
		`{"id":"5","kind":"snapshot_chunk","proposer":"vm-1","wall_ms":1}` + "\n" + `{"id":"s","covered":1,"index":0,"count":1,"data":"eA=="}`,
		`{"id":"6","kind":"route","proposer":"ada","wall_ms":1}` + "\nnull",
		`{"id":"7","kind":"placement_intent","proposer":"vm-1","wall_ms":1}` + "\n" + `{"epoch":1,"engine":"e1","kind":"load"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		state := NewState()
		state.Apply(1, r)
		state.Apply(2, r)
		if _, err := snapshotOf(state); err != nil {
			t.Fatal(err)
		}
		if !json.Valid(r.Body) {
			return
		}
		first, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeRecord(first)
		if err != nil {
			t.Fatalf("%q does not decode: %v", first, err)
		}
		if second, err := decoded.Encode(); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%q decodes as %q: %v", first, second, err)
		}
	})
}

// FuzzSettingsPut decodes changes of the settings tree. Every decoded change must
// survive a round trip through its encoding and be accepted.
func FuzzSettingsPut(f *testing.F) {
	for _, seed := range []string{
		`{"path":{"level":"fleet","name":"max_tokens"},"value":512}`,
		`{"path":{"level":"team/quotes","name":"deadline"},"value":"1.5s"}`,
		`{"path":{"level":"data_centre/at-1","name":"cut_off_keys"},"value":"refuse"}`,
		`{"path":{"level":"team/quotes","name":"burst_tokens"},"value":1e3}`,
		`{"path":{"level":"fleet","name":"fencing"},"value":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p settings.Put
		if json.Unmarshal(data, &p) != nil {
			return
		}
		first, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var decoded settings.Put
		if err := json.Unmarshal(first, &decoded); err != nil {
			t.Fatalf("%s does not decode: %v", first, err)
		}
		if second, err := json.Marshal(decoded); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%s decodes as %s: %v", first, second, err)
		}
		state := NewState()
		r := stateFixture{t, state}.newRecord(KindSetting, 0, p)
		if v := state.Apply(1, r); !v.Accepted() {
			t.Fatalf("%s decodes but is rejected: %s", data, v.Message)
		}
	})
}
