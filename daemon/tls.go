package daemon

import (
	"crypto/tls"
	"fmt"
	"net"

	"toucanfall/peer"
	"toucanfall/settings"
)

// newLinks returns links to the peers, over mutual TLS if the settings have
// certificates for it.
func newLinks(cfg *settings.Process) (*peer.Links, error) {
	if cfg.Peers.TLS == nil {
		return peer.NewLinks(nil), nil
	}
	config, err := cfg.Peers.TLS.Load()
	if err != nil {
		return nil, fmt.Errorf("links to peers: %w", err)
	}
	return peer.NewLinks(config), nil
}

// openListener opens a listener, over TLS if the settings have certificates for
// it. The certificates are checked before the port is opened.
func openListener(cfg settings.Listener) (net.Listener, error) {
	var config *tls.Config
	if cfg.TLS != nil {
		var err error
		if config, err = cfg.TLS.Load(); err != nil {
			return nil, fmt.Errorf("open listener %s: %w", cfg.Address, err)
		}
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	if config == nil {
		return l, nil
	}
	return tls.NewListener(l, config), nil
}
