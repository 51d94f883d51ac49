package gateway

import (
	"context"
	"fmt"
	"os"
	"reflect"

	"toucanfall/event"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// reload reads the settings again at each SIGHUP and records whether they differ from those
// of the start. They are not applied: settings cannot change while the process runs.
func (g *Gateway) reload(ctx context.Context, file string, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		next, err := settings.ReadGateway(file)
		if err != nil {
			g.events.Record(event.SettingsRefused, timeline.Fields{"reason": err.Error()})
			continue
		}
		g.events.Record(event.SettingsReloaded, timeline.Fields{"changed": fmt.Sprint(!reflect.DeepEqual(next, g.cfg))})
	}
}
