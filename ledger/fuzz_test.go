package ledger

import (
	"encoding/json"
	"reflect"
	"testing"

	"toucanfall/settings"
)

// FuzzRecord decodes records as they stand in the log. What decodes is folded
// without a panic and comes back from its own encoding.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"id":"1","kind":"team","proposer":"ada","at":{"wall_ms":1,"counter":2},"body":{"id":"quotes","name":"Quotes"}}`,
		`{"id":"2","kind":"setting","proposer":"ada","at":{},"base":7,"body":{"path":{"level":"fleet","name":"deadline"},"value":"30s"}}`,
		`{"id":"3","kind":"withdraw","proposer":"ada","at":{},"body":{"key":"k1"}}`,
		`{"id":"4","kind":"booking_claim","proposer":"vm-1","at":{},"body":{"key":"a\nb\nc","request":"r1"}}`,
		`{"id":"5","kind":"snapshot_chunk","proposer":"vm-1","at":{},"body":{"id":"s","covered":1,"index":0,"count":1,"data":"eA=="}}`,
		`{"id":"6","kind":"route","proposer":"ada","at":{},"body":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		state := NewState()
		state.Apply(1, r)
		state.Apply(2, r)
		if _, err := state.encodeSnapshot(); err != nil {
			t.Fatal(err)
		}
		checkEncodesBack(t, r)
	})
}

// FuzzSettingsPut decodes changes of the settings tree.
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
		checkEncodesBack(t, p)
		state := NewState()
		r := fold{t, state}.record(KindSetting, 0, p)
		if v := state.Apply(1, r); !v.Accepted() {
			t.Fatalf("%s decodes but is rejected: %s", data, v.Message)
		}
	})
}

// checkEncodesBack encodes v, decodes it and expects the same encoding again.
func checkEncodesBack[T any](t *testing.T, v T) {
	first, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var back T
	if err := json.Unmarshal(first, &back); err != nil {
		t.Fatalf("%s does not decode: %v", first, err)
	}
	second, err := json.Marshal(back)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("%s came back as %s", first, second)
	}
}
