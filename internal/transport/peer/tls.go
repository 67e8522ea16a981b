package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
)

// Credentials hold the certificate and the certificate authority for mutual TLS between entries. Each handshake checks
// the modification times of the files and reloads them after a change. If the new files can't be loaded, the previous
// certificates stay in use.
type Credentials struct {
	files settings.TLS

	mu          sync.Mutex
	modTimes    [3]time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadCredentials loads the files and returns an error if one of them is unusable.
func LoadCredentials(files settings.TLS) (*Credentials, error) {
	c := &Credentials{files: files}
	modTimes, err := c.readModTimes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := c.load(modTimes); err != nil {
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (c *Credentials) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{c.files.CertificateFile, c.files.KeyFile, c.files.AuthorityFile} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, errors.Trace(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (c *Credentials) load(modTimes [3]time.Time) error {
	certificate, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return errors.Trace(err)
	}
	pemData, err := os.ReadFile(c.files.AuthorityFile)
	if err != nil {
		return errors.Trace(err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pemData) {
		return errors.Errorf("%s: no certificate found", c.files.AuthorityFile)
	}
	c.modTimes, c.certificate, c.authority = modTimes, &certificate, authority
	return nil
}

// current returns the newest usable certificate and authority.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if modTimes, err := c.readModTimes(); err == nil && modTimes != c.modTimes {
		// While the files are being replaced, certificate and key may not match; the next handshake tries again.
		_ = c.load(modTimes)
	}
	return c.certificate, c.authority
}

// ServerConfig returns a configuration that requires each client to present a certificate of the authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := c.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}, ClientCAs: authority,
				ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// ClientConfig returns a configuration that presents the certificate and verifies the server's chain against the newest
// authority. VerifyConnection does the check because RootCAs can't change during the life of a client. The host name is
// not checked, since a replaced entry gets another address: a certificate proves that its holder is an entry of this
// installation, not which one.
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := c.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
	}
}

func (c *Credentials) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	_, authority := c.current()
	options := x509.VerifyOptions{Roots: authority, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Trace(err)
}
