package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"

	"toucanfall/dialect"
	"toucanfall/peer"
	"toucanfall/settings"
)

// Sockets opens listeners and connections. Tests implement it to run daemons
// over in-memory connections.
type Sockets interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP opens sockets of the operating system.
type TCP struct {
	dialer net.Dialer
}

// NewTCP returns sockets whose outgoing connections use TCP keep-alive to
// detect a peer that no longer acknowledges packets.
func NewTCP() *TCP {
	return &TCP{dialer: dialect.NewDialer()}
}

// Listen opens a TCP listener.
func (t *TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial opens a connection.
func (t *TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, address)
}

// newTransport returns a transport over the daemon's sockets. The daemon closes
// its idle connections when it stops.
func (d *Daemon) newTransport() *http.Transport {
	t := dialect.NewTransport()
	t.DialContext = d.sockets.Dial
	d.transports = append(d.transports, t)
	return t
}

// newPeerClient returns the RPC client for peers, which uses mutual TLS if the
// settings name certificates for it.
func (d *Daemon) newPeerClient() (*peer.Client, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return d.sockets.Dial(ctx, "tcp", address)
	}
	if d.cfg.Peers.TLS == nil {
		return peer.NewClientWithDial(dial), nil
	}
	config, err := d.cfg.Peers.TLS.Load()
	if err != nil {
		return nil, fmt.Errorf("TLS for peers: %w", err)
	}
	return peer.NewClientWithDial(peer.DialTLS(dial, config)), nil
}

// openListener opens a listener, which uses TLS if the settings name
// certificates for it. The certificates are loaded before the port is opened.
func (d *Daemon) openListener(cfg settings.Listener) (net.Listener, error) {
	var config *tls.Config
	if cfg.TLS != nil {
		var err error
		if config, err = cfg.TLS.Load(); err != nil {
			return nil, fmt.Errorf("open listener %s: %w", cfg.Address, err)
		}
	}
	l, err := d.sockets.Listen(cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	if config == nil {
		return l, nil
	}
	return tls.NewListener(l, config), nil
}
