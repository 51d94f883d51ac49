package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/settings"
)

// fields are the template fields of a deployment, as text.
var fields = map[string]string{
	"NodeName|json": `"v"`, "Zone|json": `"z"`, "Zones|json": `{"z":"eu","y":"us"}`,
	"Listen.Front|json": `"127.0.0.1:1"`, "Listen.Ready|json": `"127.0.0.1:2"`, "Ip": "127.0.0.1", "PortRange.0": "3", "PortRange.1": "4",
	"Provider.Address|json": `"127.0.0.1:5"`, "Provider.parts|json": "8",
	"Bounds.RevokeMs": "5000", "Bounds.ConfigMs": "3000", "Bounds.DrainMs": "2000", "Bounds.GraceS": "8", "Bounds.LeaseMs": "3000",
	"Bounds.BudgetWindowS": "10",
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	field   = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// render fills in the template of the settings file. Fields that the test does not know are null.
func render(t *testing.T, more map[string]string) string {
	t.Helper()
	b, err := os.ReadFile("../deploy/gateway.json")
	is.New(t).NoErr(err)
	text := section.ReplaceAllStringFunc(string(b), func(s string) string {
		m := section.FindStringSubmatch(s)
		if more[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return field.ReplaceAllStringFunc(text, func(s string) string {
		name := strings.Trim(s, "{}")
		if v, ok := more[name]; ok {
			return v
		}
		if v, ok := fields[name]; ok {
			return v
		}
		return "null"
	})
}

// Guards against a template whose result cannot be read on a deployment that sets no bound on
// evacuations, and against regions or a bound that are lost.
func TestTemplateGivesSettings(t *testing.T) {
	is := is.New(t)
	g, err := settings.DecodeGateway("file", []byte(render(t, nil)))
	is.NoErr(err)
	is.Equal(g.EvacuateWithin, settings.Span(0))
	is.Equal(g.Regions, map[fleet.DataCentre]fleet.Region{"z": "eu", "y": "us"})
	g, err = settings.DecodeGateway("file", []byte(render(t, map[string]string{"Bounds.EvacuateMs": "2500"})))
	is.NoErr(err)
	is.Equal(g.EvacuateWithin, settings.Span(2500*time.Millisecond))
	_, err = settings.DecodeGateway("file", []byte(render(t, map[string]string{"Bounds.EvacuateMs": "-1"})))
	is.True(err != nil)
}
