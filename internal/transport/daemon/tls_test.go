package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
)

// writeCredentials writes a self-signed certificate, which is also the certificate authority, and its key.
func writeCredentials(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	certificate := filepath.Join(t.TempDir(), "entry.pem")
	keyFile := filepath.Join(t.TempDir(), "key.pem")
	assert.NilError(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
	return settings.TLS{CertificateFile: certificate, KeyFile: keyFile, AuthorityFile: certificate}
}

// Guards against entries that can't reach each other once certificates are set. An entry takes its seat only through
// Loan calls, which use these connections.
func TestEntriesCommunicateOverMutualTLS(t *testing.T) {
	site := startSite(t)
	files := writeCredentials(t)
	var all [2]*settings.Settings
	for i := range all {
		s := DevSettings(site.servers[0].URL())
		s.Entry, s.Seat, s.Seats, s.PeerTLS = "tls-0", uint32(i), 2, files
		s.PeerListen = newAddress(t)
		all[i] = s
	}
	all[1].Entry = "tls-1"
	for i, s := range all {
		other := all[1-i]
		s.Peers = []settings.Peer{{ID: other.Entry, Address: other.PeerListen, DataCentre: other.DataCentre}}
		d, err := Start(s, slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		t.Cleanup(d.Close)
		if i == 1 {
			waitFor(t, "the peer to be usable", func() bool {
				return len(d.Actor().Snapshot().Peers) == 1 && d.Actor().Snapshot().Peers[0].Usable
			})
		}
	}
}
