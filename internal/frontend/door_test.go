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

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

func serve(t *testing.T, d Options) (address string, s *Server) {
	l := limits.From(limits.Inputs{MemoryMB: 64, Sockets: 256, StreamsPerConnection: 100, LongestDeadline: 5 * time.Second})
	s = New(l, config.Names{Classes: []string{"clip"}}, []routing.Class{{}}, d, func(time.Time, engine.Message) bool { return true }, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), s
}

// One that is not taken is told so in a way that it can read, and the word arrives though it is still sending.
func TestTurnedBackCleanly(t *testing.T) {
	address, _ := serve(t, Options{Admission: admission.Settings{ConnectionsPerPeer: 1, SendRetryAfter: true, MaxRetryAfter: time.Second}})
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, _ = io.WriteString(first, frame("PING", "1"))
	_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := first.Read(make([]byte, 64)); err != nil || n == 0 {
		t.Fatal(err)
	}
	for _, c := range []struct{ sends, more, want string }{
		{do(7, ""), "", "*4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n"},
		{do(7, ""), strings.Repeat("x", 20_000), "*4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n"},
		{frame("JUMP", "3"), "", "*4\r\n$1\r\n3\r\n$6\r\nFAILED\r\n"},
		{"", "", "-BUSY too many connections, come back in "},
		{"GET / HTTP/1.0\r\n\r\n", "", "-BUSY"},
		{"*4\r\n$2\r\nDO\r\n$1", "", "-BUSY"},
	} {
		up, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(up, c.sends+c.more)
		_ = up.SetReadDeadline(time.Now().Add(5 * time.Second))
		got, err := io.ReadAll(up)
		if !strings.HasPrefix(string(got), c.want) || err != nil {
			t.Errorf("%.30q gets %q, %v", c.sends, got, err)
		}
		_ = up.Close()
	}
}

// pair writes a certificate and its key, of an authority or of itself.
func pair(t *testing.T, folder, name string, c *x509.Certificate, ca *x509.Certificate, by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c.SerialNumber = big.NewInt(time.Now().UnixNano())
	if c.NotAfter.IsZero() {
		c.NotAfter = time.Now().Add(time.Hour)
	}
	if ca == nil {
		ca, by = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, ca, &key.PublicKey, by)
	if err != nil {
		t.Fatal(err)
	}
	secret, _ := x509.MarshalECPrivateKey(key)
	for suffix, b := range map[string]*pem.Block{".crt": {Type: "CERTIFICATE", Bytes: der}, ".key": {Type: "EC PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(filepath.Join(folder, name+suffix), pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return c, key
}

// Keys are read again without a connection lost; a pair that cannot be used leaves the old one in force.
func TestKeys(t *testing.T) {
	folder := t.TempDir()
	at := func(name string) string { return filepath.Join(folder, name) }
	ca, by := pair(t, folder, "ca", &x509.Certificate{Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	server := func(name string) *x509.Certificate {
		return &x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{"router"}}
	}
	pair(t, folder, "one", server("one"), ca, by)
	pair(t, folder, "two", server("two"), ca, by)
	old := server("old")
	old.NotAfter = time.Now().Add(-time.Hour)
	pair(t, folder, "old", old, ca, by)
	pair(t, folder, "crew", &x509.Certificate{Subject: pkix.Name{CommonName: "crew"}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}, ca, by)
	f := TLSFiles{Cert: at("one.crt"), Key: at("one.key"), ClientCA: at("ca.crt")}
	keys, err := LoadTLSKeys(f)
	if err != nil {
		t.Fatal(err)
	}
	address, s := serve(t, Options{Keys: keys, Admission: admission.Settings{SendRetryAfter: true}})
	pool := x509.NewCertPool()
	text, _ := os.ReadFile(at("ca.crt"))
	pool.AppendCertsFromPEM(text)
	crew, err := tls.LoadX509KeyPair(at("crew.crt"), at("crew.key"))
	if err != nil {
		t.Fatal(err)
	}
	ask := func(up *tls.Conn) string {
		_, _ = io.WriteString(up, frame("PING", "1"))
		_ = up.SetReadDeadline(time.Now().Add(5 * time.Second))
		b := make([]byte, 100)
		n, _ := up.Read(b)
		return string(b[:n])
	}
	dial := func(shows ...tls.Certificate) (*tls.Conn, string) {
		up, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, ServerName: "router", Certificates: shows})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = up.Close() })
		return up, up.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	up := frame("1", "UP", "", "")
	before, name := dial(crew)
	if got := ask(before); got != up || name != "one" {
		t.Fatalf("%q of %s", got, name)
	}
	for _, bad := range []TLSFiles{
		{Cert: at("none.crt"), Key: at("one.key")},
		{Cert: at("one.crt"), Key: at("two.key")},
		{Cert: at("old.crt"), Key: at("old.key")},
		{Cert: at("one.crt"), Key: at("one.key"), ClientCA: at("one.key")},
	} {
		if err := keys.Load(bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v", err)
		}
	}
	if _, name := dial(); name != "one" {
		t.Errorf("%s is in force after a bad pair", name)
	}
	f.Cert, f.Key = at("two.crt"), at("two.key")
	if err := keys.Load(f); err != nil {
		t.Fatal(err)
	}
	if after, name := dial(); name != "two" || ask(after) != up {
		t.Errorf("%s is in force", name)
	}
	if got := ask(before); got != up {
		t.Errorf("a connection from before the reload gets %q", got)
	}
	// One that never finishes its handshake is ended in time.
	half, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	_, _ = half.Write([]byte{22, 3, 1})
	_ = half.SetReadDeadline(time.Now().Add(10 * time.Second))
	begun := time.Now()
	if _, err := io.ReadAll(half); os.IsTimeout(err) || time.Since(begun) > 4*time.Second {
		t.Errorf("half a handshake is held for %v", time.Since(begun))
	}
	for end := time.Now().Add(5 * time.Second); s.ConnectionCount() > 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections", s.ConnectionCount())
		}
	}
}
