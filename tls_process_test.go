package main_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its private key
// to files and returns their paths.
func writeCertificate(t *testing.T) (cert, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	require.NoError(t, err)
	p, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	d := t.TempDir()
	cert, key = filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: b}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: p}), 0o600))
	return cert, key
}

// Callers and operators reach an instance over TLS. Operators also need the token.
func TestTLSAndToken(t *testing.T) {
	cert, key := writeCertificate(t)
	platform, callers, operators := freeAddr(t), freeAddr(t), freeAddr(t)
	startProgram(t, "standin", "platform", "--listen", platform)
	startProgram(t, "entry", "--id", "e1", "--failure-domain", "cerro", "--platform", "http://"+platform, "--callers", callers, "--operators", operators, "--peers", freeAddr(t),
		"--callers-cert", cert, "--callers-key", key, "--operators-cert", cert, "--operators-key", key, "--token", "secret")
	status := []string{"status", "--server", "https://" + operators, "--ca", cert}
	eventually(t, "the instance answers operators", func() bool {
		_, code := runProgram(append(status, "--token", "secret")...)
		return code == 0
	})
	out, code := runProgram(append(status, "--token", "wrong")...)
	require.Equal(t, 2, code, out)
	require.Contains(t, out, "unauthorized")
	out, code = runProgram("status", "--server", "https://"+operators, "--token", "secret")
	require.Equal(t, 1, code, "the client must not trust the certificate")
	require.Contains(t, out, "certificate")
	out, code = runProgram("query", "--server", "https://"+callers, "--ca", cert, "--service", "diaries", "x")
	require.Equal(t, 4, code, out)
	require.Contains(t, out, "no configuration is in force yet")
	out, code = runProgram("entry", "--id", "e2", "--failure-domain", "cerro", "--platform", "http://"+platform, "--callers-cert", cert)
	require.Equal(t, 2, code, out)
	require.Contains(t, out, "--callers-cert, --callers-key")
}
