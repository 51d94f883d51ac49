package settings_test

import (
	"testing"

	"toucanfall/settings"
)

// FuzzGateway checks that any file content either is rejected with a reason or
// yields usable settings.
func FuzzGateway(f *testing.F) {
	for _, s := range []string{
		`{"vm":"v","data_centre":"d","callers":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3","store":"127.0.0.1:4","store_partitions":8,"revoke_within":"5s","drain_within":"2s","config_within":"2s","stop_within":"8s","lease":"3s","repeat_ratio":0.2,"repeat_slack":50,"repeat_window":"10s"}`,
		`{}`, `null`, `[]`, `{"lease":-1}`, `{"lease":"9999999h","repeat_ratio":1e308}`, `{"vm":"`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := settings.DecodeGateway("file", b)
		if err == nil && (g.VM == "" || g.Store == "" || g.Lease <= 0 || g.StorePartitions <= 0) {
			t.Errorf("%q was accepted as %+v", b, g)
		}
		if err != nil && err.Error() == "" {
			t.Errorf("%q was rejected without a reason", b)
		}
	})
}
