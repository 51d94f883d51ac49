package event

import "github.com/sirupsen/logrus"

// Events of rates.
var (
	ShareMinted   = Event{501, "rate_share_minted", logrus.InfoLevel, "This VM mints its share of the teams' rates."}
	ShareLost     = Event{502, "rate_share_lost", logrus.WarnLevel, "This VM mints no rate any more: it reached neither the log nor a VM that vouches for it, or its share is being taken over. It admits what it can borrow."}
	ShareTakeover = Event{503, "rate_share_takeover", logrus.WarnLevel, "This VM proposed to take over the share of a VM that the platform dropped. The share is minted again once the leases of that VM have ended."}
)
