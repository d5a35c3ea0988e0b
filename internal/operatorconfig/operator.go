// Package operator reads the operator's own file: what an installation has beyond the platform. This file owns the form
// of that file and the places of its mistakes. It must never hold a default that decides anything about views.
package operatorconfig

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"fennelarch/internal/system"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON schema of the file.
//
//go:embed schema.json
var Schema []byte

// File is what the operator's file says.
type File struct {
	Stores    []Store      `json:"stores"`
	Shared    Shared       `json:"shared"`
	Admission *Admission   `json:"admission"`
	TLS       *FrontendTLS `json:"tls"`
}

// Admission is who may connect; what is absent does not hold, or is filled in by the decisions.
type Admission struct {
	Known              []string `json:"known"`
	Reserve            int      `json:"reserve"`
	PerAddress         int      `json:"per_address"`
	NewPerSecond       float64  `json:"new_per_s"`
	Burst              int      `json:"burst"`
	RequestsPerAddress int      `json:"views_per_address"`
	Requests           int      `json:"views"`
	Handshakes         int      `json:"handshakes"`
	HandshakeCPU       float64  `json:"handshake_cores"`
	Remember           int      `json:"remember"`
}

// FrontendTLS has the front speak TLS.
type FrontendTLS struct {
	CertFile     string `json:"cert_file"`
	KeyFile      string `json:"key_file"`
	ClientCAFile string `json:"client_ca_file"`
	Client       string `json:"client"`
	MinVersion   string `json:"min_version"`
}

// Store is one shared store.
type Store struct {
	UID          string   `json:"uid"`
	Addresses    []string `json:"addresses"`
	Listed       bool     `json:"listed"`
	Weight       float64  `json:"weight"`
	Prefix       string   `json:"prefix"`
	User         string   `json:"user"`
	PasswordFile string   `json:"password_file"`
	Database     int      `json:"database"`
	TLS          *TLS     `json:"tls"`

	Password string      `json:"-"`
	Secure   *tls.Config `json:"-"`
}

// TLS is how a connection to a store is secured.
type TLS struct {
	CAFile     string `json:"ca_file"`
	ServerName string `json:"server_name"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
}

// Shared is what holds for all stores.
type Shared struct {
	Capacity       float64 `json:"capacity_per_s"`
	SlowStartShare float64 `json:"cold_share"`
	SlowStartMS    float64 `json:"cold_ms"`
	OverloadFactor float64 `json:"multiple"`
	Routers        int     `json:"routers"`
	MaxInFlight    int     `json:"most_out"`
	KeepMS         float64 `json:"keep_ms"`
	Lease          *bool   `json:"lease"`
}

// Milliseconds is a number of milliseconds as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Load reads the file at a path; an empty path is an empty file.
func Load(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	f, err := Read(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return f, nil
}

// Read takes the text of a file; files that it names are looked up from a folder. A mistake is told in one line, with its
// line in the text.
func Read(text []byte, folder string) (*File, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", lineOf(text, syntaxAt(text, err)), err)
	}
	if err := check(doc); err != nil {
		var v *jsonschema.ValidationError
		if !errors.As(err, &v) {
			return nil, err
		}
		return nil, told(text, v)
	}
	f := &File{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i := range f.Stores {
		s := &f.Stores[i]
		at := func(name string) string { return place(text, "stores", strconv.Itoa(i), name) }
		if seen[s.UID] {
			return nil, fmt.Errorf("%s: %q is there twice", at("uid"), s.UID)
		}
		seen[s.UID] = true
		if len(s.Addresses) == 0 && !s.Listed {
			return nil, fmt.Errorf("%s: a store that is not listed needs addresses", place(text, "stores", strconv.Itoa(i)))
		}
		if s.PasswordFile != "" {
			word, err := system.ReadFile(within(folder, s.PasswordFile))
			if err != nil {
				return nil, fmt.Errorf("%s: %w", at("password_file"), err)
			}
			s.Password = strings.TrimSpace(string(word))
		}
		if s.TLS != nil {
			if s.Secure, err = s.TLS.config(folder); err != nil {
				return nil, fmt.Errorf("%s: %w", at("tls"), err)
			}
		}
	}
	if t := f.TLS; t != nil {
		for _, p := range []*string{&t.CertFile, &t.KeyFile, &t.ClientCAFile} {
			if *p != "" {
				*p = within(folder, *p)
			}
		}
		if t.Client == "required" && t.ClientCAFile == "" {
			return nil, fmt.Errorf("%s: clients cannot be required to show a certificate of no authority (client_ca_file)", place(text, "tls", "client"))
		}
	}
	return f, f.contradicts(text)
}

// contradicts finds what each part allows and both together do not.
func (f *File) contradicts(text []byte) error {
	a := f.Admission
	if a == nil {
		return nil
	}
	seen := map[string]int{}
	for i, k := range a.Known {
		if at, twice := seen[k]; twice {
			return fmt.Errorf("%s: %q is there twice, at %d too", place(text, "admission", "known", strconv.Itoa(i)), k, at)
		}
		seen[k] = i
	}
	if a.Reserve > 0 && len(a.Known) == 0 && (f.TLS == nil || f.TLS.ClientCAFile == "") && a.Remember == 1 {
		return fmt.Errorf("%s: a reserve for known clients, but nobody can be known", place(text, "admission", "reserve"))
	}
	if a.Burst > 0 && a.NewPerSecond <= 0 {
		return fmt.Errorf("%s: a burst of new connections has no meaning without new_per_s", place(text, "admission", "burst"))
	}
	if a.RequestsPerAddress > 0 && a.Requests > 0 && a.RequestsPerAddress > a.Requests {
		return fmt.Errorf("%s: one address may have more open views than all together", place(text, "admission", "views_per_address"))
	}
	return nil
}

func within(folder, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

func (t *TLS) config(folder string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: t.ServerName}
	if t.CAFile != "" {
		pem, err := system.ReadFile(within(folder, t.CAFile))
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", t.CAFile)
		}
	}
	if t.CertFile != "" {
		pair, err := system.LoadKeyPair(within(folder, t.CertFile), within(folder, t.KeyFile))
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

// ImmutableChange names the part in which two files differ that cannot change while the router runs, or nothing.
func (f *File) ImmutableChange(to *File) string {
	strip := func(s Store) Store { s.Secure = nil; return s }
	if !slices.EqualFunc(f.Stores, to.Stores, func(a, b Store) bool { return reflect.DeepEqual(strip(a), strip(b)) }) {
		return "stores"
	}
	if f.Shared.KeepMS != to.Shared.KeepMS {
		return "shared.keep_ms"
	}
	if (f.TLS == nil) != (to.TLS == nil) {
		return "tls"
	}
	return ""
}

func check(doc any) error {
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.json", schema); err != nil {
		return err
	}
	s, err := c.Compile("operator.json")
	if err != nil {
		return err
	}
	return s.Validate(doc)
}

// told is the first mistake that the schema found, with its place.
func told(text []byte, v *jsonschema.ValidationError) error {
	for len(v.Causes) > 0 {
		v = slices.MinFunc(v.Causes, func(a, b *jsonschema.ValidationError) int {
			return offset(text, a.InstanceLocation) - offset(text, b.InstanceLocation)
		})
	}
	at := v.InstanceLocation
	if k, is := v.ErrorKind.(*kind.AdditionalProperties); is && len(k.Properties) > 0 {
		return fmt.Errorf("%s: there is no such setting", place(text, append(slices.Clone(at), k.Properties[0])...))
	}
	return fmt.Errorf("%s: %s", place(text, at...), v.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// place names a part of the text: its line and its path.
func place(text []byte, path ...string) string {
	name := strings.Join(path, ".")
	if name == "" {
		name = "the whole"
	}
	return fmt.Sprintf("line %d: %s", lineOf(text, offset(text, path)), name)
}

func lineOf(text []byte, at int) int { return 1 + bytes.Count(text[:min(at, len(text))], []byte{'\n'}) }

func syntaxAt(text []byte, err error) int {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return int(s.Offset)
	}
	return len(text)
}

// offset is where the part at a path begins, or as much of the path as there is.
func offset(text []byte, path []string) int {
	d := json.NewDecoder(bytes.NewReader(text))
	at := 0
	for _, step := range path {
		t, err := d.Token()
		if err != nil {
			return at
		}
		switch t {
		case json.Delim('{'):
			found := false
			for d.More() {
				name, err := d.Token()
				if err != nil {
					return at
				}
				if name == step {
					at, found = int(d.InputOffset()), true
					break
				}
				if d.Decode(new(json.RawMessage)) != nil {
					return at
				}
			}
			if !found {
				return at
			}
		case json.Delim('['):
			n, _ := strconv.Atoi(step)
			for ; n > 0 && d.More(); n-- {
				if d.Decode(new(json.RawMessage)) != nil {
					return at
				}
			}
			at = int(d.InputOffset())
			for at < len(text) && bytes.IndexByte([]byte(" \t\r\n,"), text[at]) >= 0 {
				at++
			}
		default:
			return at
		}
	}
	return at
}
