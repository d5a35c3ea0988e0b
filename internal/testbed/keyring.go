package testbed

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// keyring is a development certificate authority with pairs of keys, as the router's program makes them.
type keyring struct {
	folder string
	pool   *x509.CertPool
	pairs  map[string]tls.Certificate
}

// newKeyring makes keys for some clients.
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
		return nil, fmt.Errorf("making keys: %w: %s", err, out)
	}
	authority, err := os.ReadFile(keys.path("ca.crt"))
	if err != nil {
		return nil, err
	}
	keys.pool.AppendCertsFromPEM(authority)
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

// clientConfig is the TLS configuration of a client that shows its certificate.
func (k *keyring) clientConfig(client string) *tls.Config {
	config := k.anonymousConfig()
	config.Certificates = []tls.Certificate{k.pairs[client]}
	return config
}

// anonymousConfig is the TLS configuration of a client that shows no certificate.
func (k *keyring) anonymousConfig() *tls.Config {
	return &tls.Config{RootCAs: k.pool, ServerName: "localhost"}
}

// operatorPart is the part of the operator's file for a router with these keys.
func (k *keyring) operatorPart() map[string]any {
	return map[string]any{
		"cert_file": k.path("server.crt"), "key_file": k.path("server.key"),
		"client_ca_file": k.path("ca.crt"), "client": "optional",
	}
}
