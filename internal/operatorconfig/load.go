package operatorconfig

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"fennelarch/internal/system"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// clientRequired is the value of tls.client that requires a certificate of every client.
const clientRequired = "required"

// Load reads the operator's file at a path. An empty path stands for an empty file.
func Load(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	file, err := Read(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return file, nil
}

// Read parses and validates the text of an operator's file. It resolves the paths in the text relative to folder and
// loads the password and TLS files of the stores. The error describes the first mistake on a single line, with the
// mistake's line number.
func Read(text []byte, folder string) (*File, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", lineOf(text, syntaxErrorOffset(text, err)), err)
	}
	if err := checkSchema(text, document); err != nil {
		return nil, err
	}
	file := &File{}
	if err := json.Unmarshal(text, file); err != nil {
		return nil, err
	}
	if err := file.loadStores(text, folder); err != nil {
		return nil, err
	}
	if err := file.resolveTLS(text, folder); err != nil {
		return nil, err
	}
	return file, file.checkAdmission(text)
}

// loadStores validates the stores and loads the files that they name.
func (f *File) loadStores(text []byte, folder string) error {
	seen := map[string]bool{}
	for i := range f.Stores {
		store := &f.Stores[i]
		locate := func(keys ...string) string {
			return locate(text, append([]string{"stores", strconv.Itoa(i)}, keys...)...)
		}
		if seen[store.UID] {
			return fmt.Errorf("%s: %q is there twice", locate("uid"), store.UID)
		}
		seen[store.UID] = true
		if len(store.Addresses) == 0 && !store.Listed {
			return fmt.Errorf("%s: a store that is not listed needs addresses", locate())
		}
		if store.PasswordFile != "" {
			password, err := system.ReadFile(resolvePath(folder, store.PasswordFile))
			if err != nil {
				return fmt.Errorf("%s: %w", locate("password_file"), err)
			}
			store.Password = strings.TrimSpace(string(password))
		}
		if store.TLS != nil {
			secure, err := store.TLS.load(folder)
			if err != nil {
				return fmt.Errorf("%s: %w", locate("tls"), err)
			}
			store.TLSConfig = secure
		}
	}
	return nil
}

// load loads the files that the TLS settings of a store name.
func (t *TLS) load(folder string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: t.ServerName}
	if t.CAFile != "" {
		pem, err := system.ReadFile(resolvePath(folder, t.CAFile))
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", t.CAFile)
		}
	}
	if t.CertFile != "" {
		pair, err := system.LoadKeyPair(resolvePath(folder, t.CertFile), resolvePath(folder, t.KeyFile))
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// resolveTLS validates the frontend's TLS settings and makes the paths of its files independent of the working
// directory. The frontend loads the files.
func (f *File) resolveTLS(text []byte, folder string) error {
	if f.TLS == nil {
		return nil
	}
	for _, path := range []*string{&f.TLS.CertFile, &f.TLS.KeyFile, &f.TLS.ClientCAFile} {
		if *path != "" {
			*path = resolvePath(folder, *path)
		}
	}
	if f.TLS.Client == clientRequired && f.TLS.ClientCAFile == "" {
		return fmt.Errorf("%s: clients cannot be required to show a certificate of no authority (client_ca_file)",
			locate(text, "tls", "client"))
	}
	return nil
}

// resolvePath joins a relative path to a folder. It returns an absolute path unchanged.
func resolvePath(folder, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
