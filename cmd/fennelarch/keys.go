package main

// This file owns the making of development keys: an authority, a pair for the router and pairs for clients. They are for
// trying things out; a real installation has its own authority.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
)

type keysCmd struct {
	Folder  string        `arg:"" type:"path" help:"Where the files go; it is made if it is not there."`
	Names   []string      `default:"localhost,127.0.0.1" help:"Names and addresses of the router."`
	Clients []string      `default:"client" help:"Names of clients, each of which gets a pair."`
	For     time.Duration `default:"720h" help:"How long the pairs are good."`
}

// maker makes pairs of one authority.
type maker struct {
	folder string
	until  time.Time
	ca     *x509.Certificate
	key    *ecdsa.PrivateKey
}

func (k keysCmd) Run() error {
	if err := os.MkdirAll(k.Folder, 0o700); err != nil {
		return err
	}
	m := &maker{folder: k.Folder, until: time.Now().Add(k.For)}
	ca := &x509.Certificate{
		Subject: pkix.Name{CommonName: "fennelarch development authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	if err := m.make("ca", ca); err != nil {
		return err
	}
	server := &x509.Certificate{
		Subject: pkix.Name{CommonName: k.Names[0]}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
	for _, n := range k.Names {
		if ip := net.ParseIP(n); ip != nil {
			server.IPAddresses = append(server.IPAddresses, ip)
		} else {
			server.DNSNames = append(server.DNSNames, n)
		}
	}
	if err := m.make("server", server); err != nil {
		return err
	}
	for _, n := range k.Clients {
		c := &x509.Certificate{
			Subject: pkix.Name{CommonName: n}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
			KeyUsage: x509.KeyUsageDigitalSignature,
		}
		if err := m.make(n, c); err != nil {
			return err
		}
	}
	fmt.Printf("an authority, a pair for %v and %d for clients are in %s\n", k.Names, len(k.Clients), k.Folder)
	return nil
}

// make writes NAME.crt and NAME.key; the first is the authority's own.
func (m *maker) make(name string, c *x509.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if c.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return err
	}
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Minute), m.until
	if m.ca == nil {
		m.ca, m.key = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, m.ca, &key.PublicKey, m.key)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		suffix, kind string
		der          []byte
		mode         os.FileMode
	}{{".crt", "CERTIFICATE", der, 0o644}, {".key", "EC PRIVATE KEY", secret, 0o600}} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := renameio.WriteFile(filepath.Join(m.folder, name+f.suffix), text, f.mode); err != nil {
			return err
		}
	}
	return nil
}
