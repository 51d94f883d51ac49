package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Load reads the files and returns a configuration for both servers and clients:
// each side presents its certificate and accepts only one that the authority
// signed. Without an authority, which only the listener for callers may omit, the
// other side needs no certificate.
func (t *TLS) Load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("cannot load the certificate: %w", err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if t.Authority == "" {
		return config, nil
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("cannot load the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("cannot load the authority: the file holds no certificate")
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// checkFiles loads the TLS files of all listeners and returns the first error.
func (p *Process) checkFiles() *FieldError {
	for _, l := range []struct {
		path string
		tls  *TLS
	}{
		{"callers.tls", p.Callers.TLS}, {"operators.tls", p.Operators.TLS}, {"peers.tls", p.Peers.TLS},
	} {
		if l.tls == nil {
			continue
		}
		if _, err := l.tls.Load(); err != nil {
			return &FieldError{Path: l.path, Value: l.tls.Certificate, Reason: err.Error()}
		}
	}
	return nil
}
