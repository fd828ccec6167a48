package inner

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"

	"carobpulley"
)

// TLS holds the settings of mutual TLS between processes. If no file is set,
// connections are in plain text.
type TLS struct {
	// Cert, Key and CA are the paths of PEM files. Either all or none are set.
	Cert string
	Key  string
	CA   string
	// Name is the name that the certificates of servers must contain. If it is
	// empty, they must contain the server's IP address.
	Name string
	// AllowPlain permits plain text on addresses other than loopback.
	AllowPlain bool
}

// Enabled reports whether connections use TLS.
func (t TLS) Enabled() bool {
	return t.Cert != "" || t.Key != "" || t.CA != ""
}

// Validate checks the settings. It doesn't read the files.
func (t TLS) Validate() error {
	if t.Enabled() && (t.Cert == "" || t.Key == "" || t.CA == "") {
		return tlsErrorf("certificate, key and CA must be set together")
	}
	return nil
}

// CheckAddr returns an error if connections on an address would be in plain text and
// that is not allowed: AllowPlain is not set and the address is not loopback.
func (t TLS) CheckAddr(addr netip.AddrPort) error {
	if t.Enabled() || t.AllowPlain || addr.Addr().IsLoopback() {
		return nil
	}
	return tlsErrorf("plain text is not allowed on %s: set TLS files or allow it explicitly", addr)
}

// Client returns the TLS configuration of a client; nil for plain text.
func (t TLS) Client() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, pool, err := t.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   t.Name,
	}, nil
}

// Server returns the TLS configuration of a server that requires a client
// certificate issued by the same CA; nil for plain text.
func (t TLS) Server() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, pool, err := t.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

func (t TLS) load() (tls.Certificate, *x509.CertPool, error) {
	if err := t.Validate(); err != nil {
		return tls.Certificate{}, nil, err
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return tls.Certificate{}, nil, tlsErrorf("certificate: %s", err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return tls.Certificate{}, nil, tlsErrorf("CA: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tls.Certificate{}, nil, tlsErrorf("CA: %s holds no certificate", t.CA)
	}
	return cert, pool, nil
}

func tlsErrorf(format string, args ...any) error {
	return &carobpulley.Error{
		Op:     "tls settings",
		Kind:   carobpulley.KindInvalid,
		Msg:    fmt.Sprintf(format, args...),
		NotRun: true,
	}
}
