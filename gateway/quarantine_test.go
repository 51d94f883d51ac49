package gateway

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/internal/cli"
	"toucanfall/platform"
	"toucanfall/platform/standin"
	"toucanfall/quarantine"
)

// writeSettings writes a settings file with the address of a store, and returns its name.
func writeSettings(t *testing.T, store string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "gateway.json")
	text := fmt.Sprintf(`{"vm": "vm-1", "data_centre": "dc", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3", "store": %q,
		"store_partitions": 8, "revoke_within": "3s", "config_within": "3s", "drain_within": "1s", "stop_within": "10s", "lease": "3s",
		"repeat_ratio": 0.1, "repeat_slack": 10, "repeat_window": "10s"}`, store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCommand runs the toucanfall command and returns its exit code and what it prints.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against a quarantine that operators can neither see nor end: the commands list the parts with their
// engines, and lift one of them in the log that all VMs read.
func TestQuarantineCommands(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewStore().Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	store, file := platform.NewStore(address, 8, func(string, error) {}), writeSettings(t, address)
	request := quarantine.Fingerprint("team", "GET", "h", "/p", nil)
	for i, part := range []fleet.PartID{"91bd3f06", "dead0bad", request} {
		var engines []quarantine.EngineStart
		for n := range 3 {
			engines = append(engines, quarantine.EngineStart{Upstream: fleet.UpstreamID(fmt.Sprintf("i-%d-%d", i, n)), Born: 1})
		}
		is.NoErr(store.WriteReport(t.Context(), quarantine.Report{
			VM: "vm-2", Number: uint64(i), Kind: quarantine.Summary, At: time.Now().UnixMilli(), Parts: []quarantine.PartCount{{Part: part}},
			Engines: engines, Origin: &quarantine.Origin{Team: "team", Route: "route"},
		}))
	}
	code, stdout, stderr := runCommand("quarantine", "list", "--settings", file)
	is.Equal(stderr, "")
	is.Equal(code, cli.ExitOK)
	is.Equal(stdout, "91bd3f06 i-0-0 i-0-1 i-0-2\ndead0bad i-1-0 i-1-1 i-1-2\n"+string(request)+" team=\"team\" route=\"route\" i-2-0 i-2-1 i-2-2\n")
	for _, part := range []string{"dead0bad", string(request)} {
		code, stdout, stderr = runCommand("quarantine", "lift", "--settings", file, part)
		is.Equal(stderr, "")
		is.Equal(code, cli.ExitOK)
		is.Equal(stdout, part+" is lifted\n")
	}
	_, stdout, _ = runCommand("quarantine", "list", "--settings", file)
	is.Equal(stdout, "91bd3f06 i-0-0 i-0-1 i-0-2\n")
}

// Wrong arguments and a store that cannot be reached give an exit code other than 0 and a reason.
func TestQuarantineCommandsFail(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewStore().Handler())
	file := writeSettings(t, server.Listener.Addr().String())
	for _, args := range [][]string{
		{"quarantine"}, {"quarantine", "list"}, {"quarantine", "lift", "--settings", file}, {"quarantine", "lift", "--settings", file, "Not Hex"},
		{"quarantine", "list", "--settings", file + ".missing"},
	} {
		code, stdout, stderr := runCommand(args...)
		is.True(code != cli.ExitOK)
		is.Equal(stdout, "")
		is.True(strings.TrimSpace(stderr) != "")
	}
	server.Close()
	code, _, stderr := runCommand("quarantine", "list", "--settings", file)
	is.Equal(code, cli.ExitFailure)
	is.True(stderr != "")
}
