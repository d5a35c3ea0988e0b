package frontend

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/admission"
)

// testAuthority is a CA that writes the certificates it signs, and their keys, to a folder.
type testAuthority struct {
	t           *testing.T
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{t: t, folder: t.TempDir()}
	a.certificate = &x509.Certificate{
		Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = a.write("ca", a.certificate)
	return a
}

func (a *testAuthority) path(name string) string { return filepath.Join(a.folder, name) }

// write generates a key, signs a certificate for the key, writes both and returns the key.
func (a *testAuthority) write(name string, template *x509.Certificate) *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	if template.NotAfter.IsZero() {
		template.NotAfter = time.Now().Add(time.Hour)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.writePEM(name+".crt", "CERTIFICATE", der)
	a.writePEM(name+".key", "EC PRIVATE KEY", secret)
	return key
}

func (a *testAuthority) writePEM(name, kind string, der []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(name), text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// writeServer writes a server's certificate and key. A zero notAfter means an hour from now.
func (a *testAuthority) writeServer(name string, notAfter time.Time) {
	a.t.Helper()
	a.write(name, &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{"router"}, NotAfter: notAfter,
	})
}

// writeClient writes a client's certificate and key and returns them.
func (a *testAuthority) writeClient(name string) tls.Certificate {
	a.t.Helper()
	a.write(name, &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	pair, err := tls.LoadX509KeyPair(a.path(name+".crt"), a.path(name+".key"))
	if err != nil {
		a.t.Fatal(err)
	}
	return pair
}

// dial connects to a server and returns the common name of its certificate.
func (a *testAuthority) dial(address net.Addr, certificates ...tls.Certificate) (conn *tls.Conn, commonName string) {
	a.t.Helper()
	pool := x509.NewCertPool()
	text, err := os.ReadFile(a.path("ca.crt"))
	if err != nil {
		a.t.Fatal(err)
	}
	pool.AppendCertsFromPEM(text)
	conn, err = tls.Dial("tcp", address.String(),
		&tls.Config{RootCAs: pool, ServerName: "router", Certificates: certificates})
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// ping sends a ping and returns the result of the first read.
func ping(conn net.Conn) string {
	_, _ = io.WriteString(conn, frame("PING", "1"))
	_ = conn.SetReadDeadline(time.Now().Add(responseTimeout))
	buffer := make([]byte, 100)
	n, _ := conn.Read(buffer)
	return string(buffer[:n])
}

// Reloading the keys keeps open connections. After an unusable pair, the old keys stay in use.
func TestTLSKeysAreReloaded(t *testing.T) {
	authority := newTestAuthority(t)
	at := authority.path
	authority.writeServer("one", time.Time{})
	authority.writeServer("two", time.Time{})
	authority.writeServer("old", time.Now().Add(-time.Hour))
	client := authority.writeClient("client")
	keys, err := LoadTLSKeys(TLSFiles{Cert: at("one.crt"), Key: at("one.key"), ClientCA: at("ca.crt")})
	if err != nil {
		t.Fatal(err)
	}
	address, _ := startServer(t, Options{TLSKeys: keys, Admission: admission.Settings{SendRetryAfter: true}})
	before, name := authority.dial(address, client)
	if got := ping(before); got != pong("1") || name != "one" {
		t.Fatalf("got response %q and certificate %s", got, name)
	}
	for _, unusable := range []TLSFiles{
		{Cert: at("none.crt"), Key: at("one.key")},
		{Cert: at("one.crt"), Key: at("two.key")},
		{Cert: at("old.crt"), Key: at("old.key")},
		{Cert: at("one.crt"), Key: at("one.key"), ClientCA: at("one.key")},
	} {
		if err := keys.Load(unusable); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("loading an unusable pair returned %v, want an error of one line", err)
		}
	}
	if _, name := authority.dial(address); name != "one" {
		t.Errorf("certificate %s is in use after an unusable pair, want one", name)
	}
	if err := keys.Load(TLSFiles{Cert: at("two.crt"), Key: at("two.key"), ClientCA: at("ca.crt")}); err != nil {
		t.Fatal(err)
	}
	if after, name := authority.dial(address); name != "two" || ping(after) != pong("1") {
		t.Errorf("certificate %s is in use after the reload, want two", name)
	}
	if got := ping(before); got != pong("1") {
		t.Errorf("a connection opened before the reload got %q", got)
	}
}

// The connection of a client that never finishes its handshake is closed in time.
func TestUnfinishedHandshakeIsClosed(t *testing.T) {
	authority := newTestAuthority(t)
	authority.writeServer("one", time.Time{})
	keys, err := LoadTLSKeys(TLSFiles{Cert: authority.path("one.crt"), Key: authority.path("one.key")})
	if err != nil {
		t.Fatal(err)
	}
	address, server := startServer(t, Options{TLSKeys: keys})
	conn := dial(t, address)
	start := time.Now()
	write(t, conn, "\x16\x03\x01")
	if _, err := io.ReadAll(conn); os.IsTimeout(err) || time.Since(start) > 4*time.Second {
		t.Errorf("a connection with an unfinished handshake was kept for %v", time.Since(start))
	}
	await(t, "no connection is left", func() bool { return server.ConnectionCount() == 0 })
	if count := server.shared.invalidTransitions.Load(); count > 0 {
		t.Errorf("%d invalid transitions", count)
	}
}
