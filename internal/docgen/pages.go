package main

import (
	"fmt"
	"strings"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/metric"
	"toucanfall/settings"
)

// page is a generated file in docs/.
type page struct {
	file string
	text func() string
}

var pages = []page{
	{"docs/ERRORS.md", errorsPage},
	{"docs/EVENTS.md", eventsPage},
	{"docs/SETTINGS.md", settingsPage},
	{"docs/METRICS.md", metricsPage},
}

const generatedNotice = "This page is made from the code by `make docs`; edit the table there.\n\n"

func errorsPage() string {
	var b strings.Builder
	b.WriteString("# Errors\n\n" + generatedNotice)
	b.WriteString("Every refusal has one of these codes. \"Not run\" is true only where no attempt at the work can have started. ")
	b.WriteString("Where a time to come back is given, the answer carries it as `Retry-After`, or a more exact one.\n\n")
	b.WriteString("| Code | Status | Not run | Come back after | Meaning |\n|---|---|---|---|---|\n")
	for _, a := range fault.Table {
		after := "-"
		if a.RetryAfter > 0 {
			after = a.RetryAfter.String()
		}
		notRun := "no"
		if a.NotRun {
			notRun = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", a.Kind, a.Status, notRun, after, a.Summary)
	}
	return b.String()
}

func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\n" + generatedNotice)
	b.WriteString("Each log line carries the number of its event in the field `event`. `toucanctl timeline` shows the same events over all processes.\n\n")
	b.WriteString("| Number | Name | Level | Meaning |\n|---|---|---|---|\n")
	for _, e := range event.Registry {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	return b.String()
}

func metricsPage() string {
	var b strings.Builder
	b.WriteString("# Metrics of the gateway\n\n" + generatedNotice)
	b.WriteString("The gateway shows them as text on the address of its setting `metrics`, at any path. Labels whose values others choose have a bounded number of them; the rest counts as `other`.\n\n")
	b.WriteString("| Name | Kind | Labels | Meaning |\n|---|---|---|---|\n")
	for _, d := range metric.Registry {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, strings.Join(d.Labels, ", "), d.Text)
	}
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings tree\n\n" + generatedNotice)
	b.WriteString("Levels inherit in this order: `fleet`, `data_centre/ID`, `team/ID`, `model/ID`, `route/ID`; a later one overrides an earlier one.\n\n")
	b.WriteString("| Setting | Type | Default | Values | Levels | Meaning |\n|---|---|---|---|---|---|\n")
	for _, d := range settings.Registry {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s | %s | %s |\n", d.Name, d.Type, d.Default.RawMessage, valueRange(d), levelNames(d), d.Text)
	}
	b.WriteString("\n# Limits in the settings file of a gateway\n\n")
	b.WriteString("Reasons in [design/ingress.md](design/ingress.md).\n\n")
	b.WriteString("| Setting | Default | Meaning |\n|---|---|---|\n")
	for _, l := range settings.GatewayLimits {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s |\n", l.Name, l.Default, l.Text)
	}
	return b.String()
}

func valueRange(d settings.Definition) string {
	switch d.Type {
	case settings.TypeWord:
		return strings.Join(d.Words, ", ")
	case settings.TypeDuration:
		return fmt.Sprintf("%gs to %gs", d.Min, d.Max)
	default:
		return fmt.Sprintf("%g to %g", d.Min, d.Max)
	}
}

func levelNames(d settings.Definition) string {
	var out []string
	for _, l := range d.Levels {
		out = append(out, string(l))
	}
	return strings.Join(out, ", ")
}
