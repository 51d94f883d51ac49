package event

import "github.com/sirupsen/logrus"

// Events of the teams' token rates.
var (
	ShareMinted   = Event{501, "rate_share_minted", logrus.InfoLevel, "This VM holds a share of the teams' rates and refills its token buckets from it."}
	ShareLost     = Event{502, "rate_share_lost", logrus.WarnLevel, "This VM lost its share of the teams' rates: it reached neither the log nor a VM that confirms it, or its share is being taken over. It admits only what it can borrow from other VMs."}
	ShareTakeover = Event{503, "rate_share_takeover", logrus.WarnLevel, "This VM proposed to take over the share of a VM that the platform removed from its list. The share is used again once the leases of that VM have expired."}
)
