package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/peer"
	"toucanfall/settings"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("authority", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign writes NAME.crt and NAME.key.
func (a *authority) sign(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template.SerialNumber = big.NewInt(1)
	template.Subject = pkix.Name{CommonName: name}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	is.New(a.t).NoErr(os.WriteFile(filepath.Join(a.dir, name), b, 0o600))
}

// vm returns the settings of a VM with a certificate for 127.0.0.1.
func (a *authority) vm(name string) *settings.TLS {
	a.sign(name, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	file := func(name string) string { return filepath.Join(a.dir, name) }
	return &settings.TLS{Certificate: file(name + ".crt"), Key: file(name + ".key"), Authority: file("authority.crt")}
}

func load(is *is.I, t *settings.TLS) *tls.Config {
	config, err := t.Load()
	is.NoErr(err)
	return config
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ours, others := newAuthority(t), newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serve(t, tls.NewListener(l, load(is, ours.vm("b"))))
	address := l.Addr().String()
	for _, c := range []struct {
		name   string
		config *tls.Config
		ok     bool
	}{
		{"same authority", load(is, ours.vm("a")), true},
		{"other authority", load(is, others.vm("a")), false},
		{"certificate of another authority", withRoots(load(is, others.vm("c")), load(is, ours.vm("c"))), false},
		{"no certificate", &tls.Config{RootCAs: load(is, ours.vm("d")).RootCAs}, false},
		{"plain TCP", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			links := peer.NewClient(c.config)
			defer links.Close()
			err := say(links, address, "hello")
			is.New(t).Equal(err == nil, c.ok)
		})
	}
}

// withRoots returns a config that trusts the server but shows a certificate
// that the server does not trust.
func withRoots(config, trusted *tls.Config) *tls.Config {
	config.RootCAs = trusted.RootCAs
	return config
}

func TestClientRefusesServerOfAnotherAuthority(t *testing.T) {
	is := is.New(t)
	ours, others := newAuthority(t), newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	config := load(is, others.vm("b"))
	config.ClientAuth = tls.NoClientCert
	serve(t, tls.NewListener(l, config))
	links := peer.NewClient(load(is, ours.vm("a")))
	defer links.Close()
	is.True(say(links, l.Addr().String(), "hello") != nil)
}

func TestListenerRefusesMissingFiles(t *testing.T) {
	_, err := (&settings.TLS{Certificate: "none.crt", Key: "none.key", Authority: "none"}).Load()
	is.New(t).True(err != nil)
}
