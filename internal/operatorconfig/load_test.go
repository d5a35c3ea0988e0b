package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readCases maps test names to the text of a file and the expected error, "" for none.
var readCases = map[string]struct{ text, want string }{
	"valid": {`{"stores": [{"uid": "s-1", "addresses": ["127.0.0.1:6379"]}]}`, ""},
	"store without address": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\"}]}",
		"line 3: stores.0: a store that is not listed needs addresses",
	},
	"duplicate store": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true},\n  {\"uid\": \"s-1\", \"listed\": true}]}",
		`line 4: stores.1.uid: "s-1" is there twice`,
	},
	"address without port": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\",\n   \"addresses\": [\"nowhere\"]}]}",
		"line 4: stores.0.addresses.0: 'nowhere' does not match pattern '^[^ ]+:[0-9]{1,5}$'",
	},
	"weight of zero": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true,\n   \"weight\": 0}]}",
		"line 4: stores.0.weight: exclusiveMinimum: got 0, want 0",
	},
	"unknown key": {"{\n \"stroes\": []}", "line 2: stroes: there is no such setting"},
	"store without uid": {
		"{\n \"stores\": [\n  {\"addresses\": []}]}",
		"line 3: stores.0: missing property 'uid'",
	},
	"string for a boolean": {
		"{\n \"shared\": {\n  \"lease\": \"yes\"}}",
		"line 3: shared.lease: got string, want boolean",
	},
	"number too small": {
		"{\n \"shared\": {\n  \"keep_ms\": 1}}",
		"line 3: shared.keep_ms: minimum: got 1, want 1,000",
	},
	"syntax error": {
		"{\n \"stores\": [,]}",
		"line 2: invalid character ',' looking for beginning of value",
	},
	"missing password file": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"password_file\": \"none.txt\"}]}",
		"line 3: stores.0.password_file: open /nonexistent/none.txt: no such file or directory",
	},
	"certificate without key": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"cert_file\": \"a\"}}]}",
		"line 3: stores.0.tls: properties 'key_file' required, if 'cert_file' exists",
	},
	"empty": {"", "line 1: EOF"},
}

func TestReadSaysWhereAMistakeIs(t *testing.T) {
	for name, test := range readCases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if _, err := Read([]byte(test.text), "/nonexistent"); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("error %q, want %q", got, test.want)
			}
		})
	}
}

func TestReadRejectsContradictoryAdmission(t *testing.T) {
	for name, test := range map[string]struct{ admission, want string }{
		"duplicate known client": {
			`"known": ["10.0.0.1", "10.0.0.1"]`,
			`line 1: admission.known.1: "10.0.0.1" is there twice, at 0 too`,
		},
		"reserve without known clients": {
			`"reserve": 3, "remember": 1`,
			"line 1: admission.reserve: a reserve for known clients, but nobody can be known",
		},
		"burst without rate": {
			`"burst": 3`,
			"line 1: admission.burst: a burst of new connections has no meaning without new_per_s",
		},
		"limit of one address above the total": {
			`"views_per_address": 4, "views": 3`,
			"line 1: admission.views_per_address: one address may have more open views than all together",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read([]byte(`{"admission": {`+test.admission+`}}`), "")
			if err == nil || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}

func TestReadLoadsPasswordAndTLS(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "password"), []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := `{"stores": [{"uid": "s-1", "listed": true, "password_file": "password", "tls": {}}]}`
	file, err := Read([]byte(text), folder)
	if err != nil {
		t.Fatal(err)
	}
	if store := file.Stores[0]; store.Password != "secret" || store.TLSConfig == nil {
		t.Errorf("unexpected password or TLS configuration: %+v", store)
	}
}

func TestLoad(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	if err == nil || strings.Count(err.Error(), "\n") > 0 {
		t.Error(err)
	}
	if file, err := Load("../../deploy/operator.example.json"); err != nil || len(file.Stores) != 1 {
		t.Error(file, err)
	}
}

func TestImmutableChange(t *testing.T) {
	read := func(text string) *File {
		t.Helper()
		file, err := Read([]byte(text), "")
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	file := read(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`)
	for name, test := range map[string]struct{ changed, want string }{
		"no change":     {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`, ""},
		"mutable key":   {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 3}}`, ""},
		"another store": {`{"stores": [{"uid": "s-2", "listed": true}]}`, "stores"},
		"TTL":           {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"keep_ms": 5000}}`, "shared.keep_ms"},
		"client TLS":    {`{"stores": [{"uid": "s-1", "listed": true}], "tls": {"cert_file": "a", "key_file": "b"}}`, "tls"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := file.ImmutableChange(read(test.changed)); got != test.want {
				t.Errorf("immutable change %q, want %q", got, test.want)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Read([]byte(text), "/nonexistent"); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error has more than one line: %v", err)
		}
	})
}
