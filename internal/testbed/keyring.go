package testbed

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// keyring holds a development certificate authority and key pairs, created by the router's keys command.
type keyring struct {
	folder string
	pool   *x509.CertPool
	pairs  map[string]tls.Certificate
}

// newKeyring creates the keys of a router and of the named clients.
func newKeyring(clients ...string) (*keyring, error) {
	program, err := FindProgram()
	if err != nil {
		return nil, err
	}
	keys := &keyring{pool: x509.NewCertPool(), pairs: map[string]tls.Certificate{}}
	if keys.folder, err = os.MkdirTemp("", "testbed-keys"); err != nil {
		return nil, err
	}
	args := []string{"keys", keys.folder}
	for _, client := range clients {
		args = append(args, "--clients", client)
	}
	if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("creating keys: %w: %s", err, out)
	}
	authorityPEM, err := os.ReadFile(keys.path("ca.crt"))
	if err != nil {
		return nil, err
	}
	keys.pool.AppendCertsFromPEM(authorityPEM)
	for _, client := range clients {
		pair, err := tls.LoadX509KeyPair(keys.path(client+".crt"), keys.path(client+".key"))
		if err != nil {
			return nil, err
		}
		keys.pairs[client] = pair
	}
	return keys, nil
}

func (k *keyring) path(name string) string { return filepath.Join(k.folder, name) }

func (k *keyring) close() { _ = os.RemoveAll(k.folder) }

// clientConfig returns the TLS configuration of a client that presents its certificate.
func (k *keyring) clientConfig(client string) *tls.Config {
	config := k.anonymousConfig()
	config.Certificates = []tls.Certificate{k.pairs[client]}
	return config
}

// anonymousConfig returns the TLS configuration of a client that presents no certificate.
func (k *keyring) anonymousConfig() *tls.Config {
	return &tls.Config{RootCAs: k.pool, ServerName: "localhost"}
}

// operatorSection returns the section "tls" of the operator's file of a router with these keys.
func (k *keyring) operatorSection() map[string]any {
	return map[string]any{
		"cert_file": k.path("server.crt"), "key_file": k.path("server.key"),
		"client_ca_file": k.path("ca.crt"), "client": "optional",
	}
}
