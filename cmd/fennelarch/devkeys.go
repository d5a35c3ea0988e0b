package main

// This file generates development keys: a certificate authority, a key pair for the router and key pairs for clients.
// Production installations use their own authority.

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

const (
	authorityName    = "ca"
	serverName       = "server"
	serialNumberBits = 120
	// clockSkewAllowed is how long before its creation a certificate becomes valid, for peers whose clocks are behind.
	clockSkewAllowed = time.Minute

	keyFolderMode   = 0o700
	certificateMode = 0o644
	privateKeyMode  = 0o600
)

type keysCmd struct {
	Folder  string        `arg:"" type:"path" help:"Folder for the files, created if it does not exist."`
	Names   []string      `default:"localhost,127.0.0.1" help:"Host names and IP addresses of the router."`
	Clients []string      `default:"client" help:"Names of clients, each of which gets a key pair."`
	For     time.Duration `default:"720h" help:"How long the certificates are valid."`
}

func (k keysCmd) Run() error {
	if err := os.MkdirAll(k.Folder, keyFolderMode); err != nil {
		return err
	}
	issuer := &keyIssuer{folder: k.Folder, validUntil: time.Now().Add(k.For)}
	if err := issuer.issue(authorityName, authorityTemplate()); err != nil {
		return err
	}
	if err := issuer.issue(serverName, serverTemplate(k.Names)); err != nil {
		return err
	}
	for _, client := range k.Clients {
		if err := issuer.issue(client, clientTemplate(client)); err != nil {
			return err
		}
	}
	fmt.Printf("wrote a development CA and key pairs for %v and %d clients to %s\n", k.Names, len(k.Clients), k.Folder)
	return nil
}

// authorityTemplate returns the template of the authority's certificate.
func authorityTemplate() *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: "fennelarch development authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
}

// serverTemplate returns the template of a server certificate for host names and IP addresses. There must be at least
// one name.
func serverTemplate(names []string) *x509.Certificate {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: names[0]}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	return template
}

// clientTemplate returns the template of a client certificate.
func clientTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

// keyIssuer generates key pairs and has one authority sign them.
type keyIssuer struct {
	folder       string
	validUntil   time.Time
	authority    *x509.Certificate // nil until the first key pair is issued, which is the authority's
	authorityKey *ecdsa.PrivateKey
}

// issue generates a key pair and writes NAME.crt and NAME.key. The first key pair is the authority's and signs itself.
func (k *keyIssuer) issue(name string, template *x509.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return err
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-clockSkewAllowed), k.validUntil
	if k.authority == nil {
		k.authority, k.authorityKey = template, key
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, k.authority, &key.PublicKey, k.authorityKey)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := k.write(name+".crt", certificateMode, &pem.Block{Type: "CERTIFICATE", Bytes: certificate}); err != nil {
		return err
	}
	return k.write(name+".key", privateKeyMode, &pem.Block{Type: "EC PRIVATE KEY", Bytes: private})
}

// write writes a PEM block to a file of the folder.
func (k *keyIssuer) write(name string, mode os.FileMode, block *pem.Block) error {
	return renameio.WriteFile(filepath.Join(k.folder, name), pem.EncodeToMemory(block), mode)
}
