package operatorconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each mistake gets one line, with the place in the text.
func ExampleRead() {
	for _, text := range []string{
		`{"stores": [{"uid": "s-1", "addresses": ["127.0.0.1:6379"]}]}`,
		"{\n \"stores\": [\n  {\"uid\": \"s-1\"}]}",
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true},\n  {\"uid\": \"s-1\", \"listed\": true}]}",
		"{\n \"stores\": [\n  {\"uid\": \"s-1\",\n   \"addresses\": [\"nowhere\"]}]}",
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true,\n   \"weight\": 0}]}",
		"{\n \"stroes\": []}",
		"{\n \"stores\": [\n  {\"addresses\": []}]}",
		"{\n \"shared\": {\n  \"lease\": \"yes\"}}",
		"{\n \"shared\": {\n  \"keep_ms\": 1}}",
		"{\n \"stores\": [,]}",
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"password_file\": \"none.txt\"}]}",
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"cert_file\": \"a\"}}]}",
		"",
	} {
		_, err := Read([]byte(text), "/nonexistent")
		fmt.Println(err)
	}
	// Output:
	// <nil>
	// line 3: stores.0: a store that is not listed needs addresses
	// line 4: stores.1.uid: "s-1" is there twice
	// line 4: stores.0.addresses.0: 'nowhere' does not match pattern '^[^ ]+:[0-9]{1,5}$'
	// line 4: stores.0.weight: exclusiveMinimum: got 0, want 0
	// line 2: stroes: there is no such setting
	// line 3: stores.0: missing property 'uid'
	// line 3: shared.lease: got string, want boolean
	// line 3: shared.keep_ms: minimum: got 1, want 1,000
	// line 2: invalid character ',' looking for beginning of value
	// line 3: stores.0.password_file: open /nonexistent/none.txt: no such file or directory
	// line 3: stores.0.tls: properties 'key_file' required, if 'cert_file' exists
	// line 1: EOF
}

func TestFiles(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "word"), []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read([]byte(`{"stores": [{"uid": "s-1", "listed": true, "password_file": "word", "tls": {}}]}`), folder)
	if err != nil || f.Stores[0].Password != "secret" || f.Stores[0].Secure == nil {
		t.Error(f, err)
	}
	if _, err := Load(filepath.Join(folder, "none")); err == nil || strings.Count(err.Error(), "\n") > 0 {
		t.Error(err)
	}
	if f, err := Load("../../deploy/operator.example.json"); err != nil || len(f.Stores) != 1 {
		t.Error(f, err)
	}
	a, _ := Read([]byte(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`), "")
	b, _ := Read([]byte(`{"stores": [{"uid": "s-2", "listed": true}]}`), "")
	c, _ := Read([]byte(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"keep_ms": 5000}}`), "")
	if a.ImmutableChange(a) != "" || a.ImmutableChange(b) != "stores" || a.ImmutableChange(c) != "shared.keep_ms" {
		t.Error(a.ImmutableChange(a), a.ImmutableChange(b), a.ImmutableChange(c))
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Read([]byte(text), "/nonexistent"); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("more than a line: %v", err)
		}
	})
}
