package peer

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
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/settings"
)

// writeCredentials creates a self-signed certificate for 127.0.0.1, which is its own authority, and writes the files to
// a directory with the given modification time.
func writeCredentials(t *testing.T, dir string, modTime time.Time) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(modTime.UnixNano()), Subject: pkix.Name{CommonName: "entry"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		assert.NilError(t, os.Chtimes(file, modTime, modTime))
		return file
	}
	return settings.TLS{
		CertificateFile: write("cert.pem", "CERTIFICATE", der), KeyFile: write("key.pem", "PRIVATE KEY", encoded),
		AuthorityFile: write("ca.pem", "CERTIFICATE", der),
	}
}

func get(config *tls.Config, url string) error {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// Guards against entries that accept a peer without a certificate of their authority, and against replaced certificate
// files that take effect only after a restart.
func TestMutualTLSAndCertificateReload(t *testing.T) {
	dir, modTime := t.TempDir(), time.Now().Add(-time.Minute)
	credentials, err := LoadCredentials(writeCredentials(t, dir, modTime))
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = credentials.ServerConfig()
	server.StartTLS()
	defer server.Close()
	assert.NilError(t, get(credentials.ClientConfig(), server.URL))
	otherAuthority, err := LoadCredentials(writeCredentials(t, t.TempDir(), modTime))
	assert.NilError(t, err)
	assert.Assert(t, get(otherAuthority.ClientConfig(), server.URL) != nil,
		"a server with a certificate of another authority was accepted")
	anonymous := &tls.Config{InsecureSkipVerify: true}
	assert.Assert(t, get(anonymous, server.URL) != nil, "a client without a certificate was accepted")
	old := credentials.certificate
	writeCredentials(t, dir, modTime.Add(time.Second))
	assert.NilError(t, get(credentials.ClientConfig(), server.URL))
	assert.Assert(t, credentials.certificate != old)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("torn"), 0o600))
	assert.NilError(t, get(credentials.ClientConfig(), server.URL),
		"a partly written certificate file broke the handshake")
}
